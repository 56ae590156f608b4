package settings

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// BalancerDefaults are the settings of a balancer that sets nothing.
func BalancerDefaults() *apiv1.BalancerSettings {
	return &apiv1.BalancerSettings{
		DataAddress:       "127.0.0.1:6080",
		ReadinessAddress:  "127.0.0.1:6081",
		PeerAddress:       "127.0.0.1:6090",
		LogLevel:          "info",
		LogFormat:         "text",
		PollMilliseconds:  1000,
		StaleMilliseconds: 1400,
		FlowMilliseconds:  60_000,
		StopMilliseconds:  2500,
	}
}

// LoadBalancer reads a file over the defaults; an empty path reads none.
// Overrides are field names and values from flags. The settings are checked as
// a whole, and all faults are returned at once.
func LoadBalancer(path string, overrides map[string]string) (*apiv1.BalancerSettings, error) {
	loaded := BalancerDefaults()
	lines, faults, err := read(path, overrides, loaded)
	if err != nil {
		return nil, err
	}
	faults = append(faults, checkBalancer(loaded, lines)...)
	if len(faults) > 0 {
		return nil, faults
	}
	return loaded, nil
}

func checkBalancer(loaded *apiv1.BalancerSettings, lines map[string]int) Faults {
	checker := &checker{lines: lines}
	checker.name("name", loaded.GetName())
	checker.name("zone", loaded.GetZone())
	checker.address("data_address", loaded.GetDataAddress(), true)
	checker.address("readiness_address", loaded.GetReadinessAddress(), true)
	checker.address("peer_address", loaded.GetPeerAddress(), true)
	checker.address("metrics_address", loaded.GetMetricsAddress(), false)
	checker.address("store_address", loaded.GetStoreAddress(), true)
	for _, seed := range loaded.GetSeeds() {
		checker.address("seeds", seed, true)
	}
	checker.oneOf("log_level", loaded.GetLogLevel(), "debug", "info", "warn", "error")
	checker.oneOf("log_format", loaded.GetLogFormat(), "text", "json")
	checker.between("poll_milliseconds", loaded.GetPollMilliseconds(), 100, 60_000)
	checker.between("stale_milliseconds", loaded.GetStaleMilliseconds(), loaded.GetPollMilliseconds(), 120_000)
	checker.between("flow_milliseconds", loaded.GetFlowMilliseconds(), 1000, 86_400_000)
	checker.between("stop_milliseconds", loaded.GetStopMilliseconds(), 0, 60_000)
	return checker.faults
}
