package lab

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/core"
)

// Algorithm is the method that assigns flows to back ends.
type Algorithm string

const (
	// AlgorithmEpochs uses the epochs of packages core and router.
	AlgorithmEpochs Algorithm = "epochs"
	// AlgorithmModulo takes the flow's hash modulo the number of back ends, without
	// any state.
	AlgorithmModulo Algorithm = "modulo"
	// AlgorithmRendezvous uses rendezvous hashing, without any state.
	AlgorithmRendezvous Algorithm = "rendezvous"
	// AlgorithmTable uses rendezvous hashing and a flow table local to each node.
	AlgorithmTable Algorithm = "table"
)

// ServiceSettings describes one service of a run.
type ServiceSettings struct {
	Name     string
	Backends int
	// ArrivalRate is the mean number of new flows per second.
	ArrivalRate float64
	// MeanFlowDuration is the mean time from the first SYN of a flow to its end.
	MeanFlowDuration time.Duration
	// MeanPacketInterval is the mean time between two packets of a flow.
	MeanPacketInterval time.Duration
	// InitialFlows is the number of flows that are opened during the first seconds
	// of traffic, in addition to those of ArrivalRate.
	InitialFlows int
}

// NetworkSettings describes the network between clients, nodes and back ends.
type NetworkSettings struct {
	// SameZoneDelay and CrossZoneDelay are the one-way delays within a zone and
	// between zones.
	SameZoneDelay, CrossZoneDelay time.Duration
	// ClientDelay is the one-way delay between clients and balancers.
	ClientDelay time.Duration
	// Jitter bounds the random time, uniformly distributed from 0, that is added
	// to the delays within and between zones.
	Jitter time.Duration
	// SYNACKLoss is the probability that the SYN-ACK is lost, so that the client
	// retransmits the SYN.
	SYNACKLoss float64
	// MessageLoss and MessageDuplication are the probabilities that a message
	// between nodes is lost or duplicated.
	MessageLoss, MessageDuplication float64
}

// StoreSettings describes the platform's store.
type StoreSettings struct {
	// Delay is the one-way delay to the store.
	Delay time.Duration
	// ReachableWhenPartitioned lets the nodes of a partitioned zone reach the store.
	ReachableWhenPartitioned bool
	// ResponseLoss is the probability that the response to a write is lost.
	ResponseLoss float64
	// WatchDelay is the time after which a watcher is notified of a change.
	WatchDelay time.Duration
}

// Settings describes a run.
type Settings struct {
	Seed         uint64
	Algorithm    Algorithm
	Zones        []string
	NodesPerZone int
	Services     []ServiceSettings
	Network      NetworkSettings
	Store        StoreSettings
	Core         core.Config
	// FabricConvergenceTime is how long the fabric goes on sending packets to a
	// killed node, and how long it takes to use a new one.
	FabricConvergenceTime time.Duration
	// TickInterval is the time between two ticks of a node's core.
	TickInterval time.Duration
	FlowCapacity int
	// Trace records the history of each flow, to find out why a flow broke.
	Trace   bool
	Reports ReportSettings
}

// Scale returns settings in which the arrival rates and the initial flows of all
// services are multiplied by a factor.
func (settings Settings) Scale(factor float64) Settings {
	services := append([]ServiceSettings(nil), settings.Services...)
	for index := range services {
		services[index].ArrivalRate *= factor
		services[index].InitialFlows = int(float64(services[index].InitialFlows) * factor)
	}
	settings.Services = services
	return settings
}

// DarAlWarraqSettings returns settings with the sizes of the user Dar al-Warraq
// Lending House: three zones, and services with 14 and 4 back ends of about 2,000
// connections each.
func DarAlWarraqSettings(seed uint64) Settings {
	return twoServiceSettings(seed, []string{"maadi", "nasr", "giza"}, "lending", "covers", time.Millisecond)
}

// KayalpathSettings returns settings with the sizes of the user Kayalpath
// Ticketing Edge: three zones, and services with 14 and 4 back ends.
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
