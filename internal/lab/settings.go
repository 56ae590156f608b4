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
	// Arrivals is the number of new flows a second.
	Arrivals float64
	// MeanDuration is the mean life of a flow.
	MeanDuration time.Duration
	// PacketInterval is the mean time between packets of a flow.
	PacketInterval time.Duration
	// WarmFlows are opened in the first seconds of the run.
	WarmFlows int
}

// NetworkSettings describes the network between nodes.
type NetworkSettings struct {
	// SameZone and OtherZone are the one-way delays.
	SameZone, OtherZone time.Duration
	// ClientDelay is the one-way delay between callers and balancers.
	ClientDelay time.Duration
	// Jitter is added to each delay, uniformly up to this much.
	Jitter time.Duration
	// AnswerLoss is the probability that the answer to a SYN is lost, so that the
	// caller sends the SYN again.
	AnswerLoss float64
	// Loss and Duplicate are probabilities for messages between nodes.
	Loss, Duplicate float64
}

// StoreSettings describes the platform's store.
type StoreSettings struct {
	// Delay is the one-way delay to the store.
	Delay time.Duration
	// ReachedFromCuts lets a zone that is cut off reach the store.
	ReachedFromCuts bool
	// LostAnswers is the probability that a write's answer is lost.
	LostAnswers float64
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
	// FabricDelay is how long the fabric sends packets to a node that is gone.
	FabricDelay time.Duration
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
		services[index].Arrivals *= factor
		services[index].WarmFlows = int(float64(services[index].WarmFlows) * factor)
	}
	settings.Services = services
	return settings
}

// DarAlWarraq are the sizes of Dar al-Warraq Lending House: three zones, 14
// and 4 back ends of about 2,000 connections each.
func DarAlWarraq(seed uint64) Settings {
	return twoServices(seed, []string{"maadi", "nasr", "giza"}, "lending", "covers", time.Millisecond)
}

// Kayalpath are the sizes of Kayalpath Ticketing Edge.
func Kayalpath(seed uint64) Settings {
	return twoServices(seed, []string{"ernakulam", "vyttila", "kakkanad"}, "booking", "timetables", 3*time.Millisecond)
}

func twoServices(seed uint64, zones []string, large, small string, client time.Duration) Settings {
	return Settings{
		Seed:         seed,
		Algorithm:    AlgorithmEpochs,
		Zones:        zones,
		NodesPerZone: 2,
		Services: []ServiceSettings{
			{Name: large, Backends: 14, Arrivals: 40, MeanDuration: 10 * time.Minute,
				PacketInterval: 2 * time.Second, WarmFlows: 24_000},
			{Name: small, Backends: 4, Arrivals: 60, MeanDuration: time.Minute,
				PacketInterval: 2 * time.Second, WarmFlows: 4000},
		},
		Network: NetworkSettings{
			SameZone:    200 * time.Microsecond,
			OtherZone:   1500 * time.Microsecond,
			ClientDelay: client,
			Jitter:      300 * time.Microsecond,
			AnswerLoss:  0.02,
			Loss:        0.001,
			Duplicate:   0.001,
		},
		Store:        StoreSettings{Delay: 2 * time.Millisecond, WatchDelay: 20 * time.Millisecond},
		Core:         core.DefaultConfig(),
		FabricDelay:  time.Second,
		TickInterval: 50 * time.Millisecond,
		FlowCapacity: 400_000,
	}
}
