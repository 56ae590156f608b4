// Package mechanism names the mechanisms by which a balancer decides where new
// flows go. Each can be disabled to measure its effect.
//
// # Usage
//
//	disabled, err := mechanism.Parse([]string{"least_used"})
//	if disabled.Has(mechanism.LeastUsed) { ... }
package mechanism

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Name is the name of a mechanism as used in the setting "without".
type Name string

// The mechanisms.
const (
	// LocalZone sends new flows to back ends in the balancer's zone.
	LocalZone Name = "local_zone"
	// ZoneSharing sends new flows that exceed the capacity of the local zone to other zones.
	ZoneSharing Name = "zone_sharing"
	// SpreadAfterStart sends new flows to the back ends of all zones with the same weight for
	// the first seconds.
	SpreadAfterStart Name = "spread_after_start"
	// LeastUsed compares several back ends by their utilization.
	LeastUsed Name = "least_used"
	// AvoidSilent avoids back ends that did not answer the first packet of a flow.
	AvoidSilent Name = "avoid_silent"
	// SilentZones avoids zones where several back ends in a row did not answer.
	SilentZones Name = "silent_zones"
	// Verdicts detects failed back ends by retransmitted requests.
	Verdicts Name = "verdicts"
	// IdleResets resets idle flows too when their back end is detected as failed.
	IdleResets Name = "idle_resets"
	// JoinedEvidence detects failed back ends by the unanswered requests of all balancers.
	JoinedEvidence Name = "joined_evidence"
	// RestedFlows keeps flows in memory for as long as they may be idle, to reset them too.
	RestedFlows Name = "rested_flows"
	// LapseGrace keeps back ends whose entries expired during a store outage.
	LapseGrace Name = "lapse_grace"
	// EarlyPackets queues packets that arrive before the first table until it exists.
	EarlyPackets Name = "early_packets"
	// DemandShares distributes new flows over zones by the demand on and the capacity of all
	// zones, where an aggregate of them is available.
	DemandShares Name = "demand_shares"
	// Health avoids back ends whose responses differ from those of the others.
	Health Name = "health"
	// StepAside makes a balancer that can't carry its share report that it is not ready.
	StepAside Name = "step_aside"
	// Admission refuses new flows that exceed the capacity of a pool, the lowest priority first.
	Admission Name = "admission"
)

// All lists the mechanisms, in the order in which messages list them.
var All = []Name{
	LocalZone,
	ZoneSharing,
	SpreadAfterStart,
	LeastUsed,
	AvoidSilent,
	SilentZones,
	Verdicts,
	IdleResets,
	JoinedEvidence,
	RestedFlows,
	LapseGrace,
	EarlyPackets,
	DemandShares,
	Health,
	StepAside,
	Admission,
}

// Set is a set of mechanisms. It is immutable; the zero value is empty.
type Set struct {
	names []Name
}

// Parse returns the set of the named mechanisms.
func Parse(names []string) (Set, error) {
	var set Set
	for _, name := range names {
		if !slices.Contains(All, Name(name)) {
			return Set{}, errors.Newf("%q is not a mechanism; use one of %s", name, joinedNames())
		}
		set.names = append(set.names, Name(name))
	}
	return set, nil
}

func joinedNames() string {
	var names []string
	for _, name := range All {
		names = append(names, string(name))
	}
	return strings.Join(names, ", ")
}

// Has reports whether a mechanism is in the set.
func (s Set) Has(name Name) bool { return slices.Contains(s.names, name) }
