package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// BalancerDefaults are the settings of a balancer that sets nothing.
func BalancerDefaults() *apiv1.BalancerSettings {
	return &apiv1.BalancerSettings{
		DataAddress:      "127.0.0.1:6080",
		ReadinessAddress: "127.0.0.1:6081",
		PeerAddress:      "127.0.0.1:6090",
		LogLevel:         "info",
		LogFormat:        "text",
		FlowSeconds:      60,
		StopSeconds:      6,

		ConfigurationMilliseconds: 3000,
		DrainMilliseconds:         3000,
		LapseMilliseconds:         2000,
		HeartbeatMilliseconds:     1200,
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
	checker.numberInRange("flow_seconds", loaded.GetFlowSeconds(), 1, 86_400)
	checker.numberInRange("stop_seconds", loaded.GetStopSeconds(), 0, 600)
	checker.numberInRange("configuration_milliseconds", loaded.GetConfigurationMilliseconds(), 300, 600_000)
	checker.numberInRange("drain_milliseconds", loaded.GetDrainMilliseconds(), 300, 600_000)
	if loaded.GetEvacuationMilliseconds() == 0 {
		loaded.EvacuationMilliseconds = loaded.GetConfigurationMilliseconds()
	}
	checker.numberInRange("evacuation_milliseconds", loaded.GetEvacuationMilliseconds(), 300, 600_000)
	checker.numberInRange("warmup_overshoot", loaded.GetWarmupOvershoot(), 0, 1000)
	checker.numberInRange("warmup_slack", loaded.GetWarmupSlack(), 0, 1_000_000)
	checker.inRange("lapse_milliseconds", loaded.GetLapseMilliseconds(), 0, 60_000)
	checker.inRange("heartbeat_milliseconds", loaded.GetHeartbeatMilliseconds(), 1, 60_000)
	checker.numberInRange("processor_cores", loaded.GetProcessorCores(), 0, 4096)
	checker.numberInRange("link_megabits", loaded.GetLinkMegabits(), 0, 10_000_000)
	if _, err := mechanism.Parse(loaded.GetWithout()); err != nil {
		checker.fault("without", strings.Join(loaded.GetWithout(), ","), "names what is no mechanism: "+err.Error(),
			"leave out what is not in that list")
	}
	derivePollInterval(loaded)
	checker.inRange("poll_milliseconds", loaded.GetPollMilliseconds(), 100, 60_000)
	checker.inRange("stale_milliseconds", loaded.GetStaleMilliseconds(), minStaleMilliseconds(loaded), 120_000)
	return checker.faults
}

const (
	// pollsPerDeadline is how many reads of the store fit into the time that a
	// change may take, so that one may fail.
	pollsPerDeadline = 3
	// maxPollMilliseconds is the pace where changes have much time.
	maxPollMilliseconds = 2000
)

// derivePollInterval fills the pace of reading where the settings leave it open.
func derivePollInterval(loaded *apiv1.BalancerSettings) {
	if loaded.GetPollMilliseconds() == 0 {
		inForce := min(loaded.GetConfigurationMilliseconds(), loaded.GetDrainMilliseconds(),
			loaded.GetEvacuationMilliseconds())
		loaded.PollMilliseconds = uint32(min(inForce/pollsPerDeadline, maxPollMilliseconds))
	}
	if loaded.GetStaleMilliseconds() == 0 {
		loaded.StaleMilliseconds = minStaleMilliseconds(loaded)
	}
}

// minStaleMilliseconds is the least age, in milliseconds, that may count as stale at the
// pace of the settings.
func minStaleMilliseconds(loaded *apiv1.BalancerSettings) uint32 {
	poll := time.Duration(loaded.GetPollMilliseconds()) * time.Millisecond
	return uint32(replication.MinStaleAge(poll).Milliseconds())
}

// numberInRange checks a field that may be a fraction.
func (checker *checker) numberInRange(field string, value, low, high float64) {
	if value < low || value > high {
		checker.fault(field, strconv.FormatFloat(value, 'g', -1, 64), "is out of range",
			fmt.Sprintf("set it between %g and %g", low, high))
	}
}
