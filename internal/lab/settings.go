package lab

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/core"
)

// Algorithm is the way flows are bound to back ends.
type Algorithm string

const (
	// AlgorithmEpochs is this project's design.
	AlgorithmEpochs Algorithm = "epochs"
	// AlgorithmModulo hashes flows modulo the number of back ends.
	AlgorithmModulo Algorithm = "modulo"
	// AlgorithmRendezvous uses rendezvous hashing without any state.
	AlgorithmRendezvous Algorithm = "rendezvous"
	// AlgorithmTable adds a local flow table to rendezvous hashing.
	AlgorithmTable Algorithm = "table"
)

// ServiceSettings describes one service of a run.
type ServiceSettings struct {
	Name     string
	Backends int
	// ArrivalRate is the number of new flows a second.
	ArrivalRate float64
	// MeanFlowDuration is the mean life of a flow.
	MeanFlowDuration time.Duration
	// MeanPacketInterval is the mean time between packets of a flow.
	MeanPacketInterval time.Duration
	// InitialFlows are opened in the first seconds of the run.
	InitialFlows int
}

// NetworkSettings describes the network between nodes.
type NetworkSettings struct {
	// SameZoneDelay and CrossZoneDelay are the one-way delays.
	SameZoneDelay, CrossZoneDelay time.Duration
	// ClientDelay is the one-way delay between callers and balancers.
	ClientDelay time.Duration
	// Jitter is added to each delay, uniformly up to this much.
	Jitter time.Duration
	// SYNACKLoss is the probability that the answer to a SYN is lost, so that the
	// caller sends the SYN again.
	SYNACKLoss float64
	// MessageLoss and Duplicate are probabilities for messages between nodes.
	MessageLoss, MessageDuplication float64
}

// StoreSettings describes the platform's store.
type StoreSettings struct {
	// Delay is the one-way delay to the store.
	Delay time.Duration
	// ReachableWhenPartitioned lets a zone that is cut off reach the store.
	ReachableWhenPartitioned bool
	// ResponseLoss is the probability that a write's answer is lost.
	ResponseLoss float64
	// WatchDelay is how much later a watcher sees a change.
	WatchDelay time.Duration
}

// Settings describe a run.
type Settings struct {
	Seed         uint64
	Algorithm    Algorithm
	Zones        []string
	NodesPerZone int
	Services     []ServiceSettings
	Network      NetworkSettings
	Store        StoreSettings
	Core         core.Config
	// FabricConvergenceTime is how long the fabric sends packets to a node that is gone.
	FabricConvergenceTime time.Duration
	// TickInterval is how often a node's control state is ticked.
	TickInterval time.Duration
	FlowCapacity int
	// Trace keeps the history of each flow, for the search of a cause.
	Trace   bool
	Reports ReportSettings
}

// Scale multiplies the flows of all services.
func (settings Settings) Scale(factor float64) Settings {
	services := append([]ServiceSettings(nil), settings.Services...)
	for index := range services {
		services[index].ArrivalRate *= factor
		services[index].InitialFlows = int(float64(services[index].InitialFlows) * factor)
	}
	settings.Services = services
	return settings
}

// DarAlWarraqSettings are the sizes of Dar al-Warraq Lending House: three zones, 14
// and 4 back ends of about 2,000 connections each.
func DarAlWarraqSettings(seed uint64) Settings {
	return twoServiceSettings(seed, []string{"maadi", "nasr", "giza"}, "lending", "covers", time.Millisecond)
}

// KayalpathSettings are the sizes of Kayalpath Ticketing Edge.
func KayalpathSettings(seed uint64) Settings {
	return twoServiceSettings(seed, []string{"ernakulam", "vyttila", "kakkanad"}, "booking", "timetables", 3*time.Millisecond)
}

func twoServiceSettings(seed uint64, zones []string, largeService, smallService string, clientDelay time.Duration) Settings {
	return Settings{
		Seed:         seed,
		Algorithm:    AlgorithmEpochs,
		Zones:        zones,
		NodesPerZone: 2,
		Services: []ServiceSettings{
			{Name: largeService, Backends: 14, ArrivalRate: 40, MeanFlowDuration: 10 * time.Minute,
				MeanPacketInterval: 2 * time.Second, InitialFlows: 24_000},
			{Name: smallService, Backends: 4, ArrivalRate: 60, MeanFlowDuration: time.Minute,
				MeanPacketInterval: 2 * time.Second, InitialFlows: 4000},
		},
		Network: NetworkSettings{
			SameZoneDelay:      200 * time.Microsecond,
			CrossZoneDelay:     1500 * time.Microsecond,
			ClientDelay:        clientDelay,
			Jitter:             300 * time.Microsecond,
			SYNACKLoss:         0.02,
			MessageLoss:        0.001,
			MessageDuplication: 0.001,
		},
		Store:                 StoreSettings{Delay: 2 * time.Millisecond, WatchDelay: 20 * time.Millisecond},
		Core:                  core.DefaultConfig(),
		FabricConvergenceTime: time.Second,
		TickInterval:          50 * time.Millisecond,
		FlowCapacity:          400_000,
	}
}
