// Package mechanism names the mechanisms by which a balancer decides where new
// flows go, so that each can be switched off to measure what it is worth.
//
// # Usage
//
//	off, err := mechanism.Parse([]string{"least_used"})
//	if off.Has(mechanism.LeastUsed) { ... }
package mechanism

import (
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Name is the name of a mechanism as the setting "without" takes it.
type Name string

// The mechanisms.
const (
	// LocalZone keeps new flows in the balancer's zone.
	LocalZone Name = "local_zone"
	// ZoneSharing sends new flows to other zones beyond what the own has room for.
	ZoneSharing Name = "zone_sharing"
	// SpreadAfterStart sends new flows to all zones alike for the first seconds.
	SpreadAfterStart Name = "spread_after_start"
	// LeastUsed compares several back ends by how much of them is in use.
	LeastUsed Name = "least_used"
	// AvoidSilent avoids back ends that did not answer a first packet.
	AvoidSilent Name = "avoid_silent"
	// SilentZones avoids zones of which several back ends in a row did not answer.
	SilentZones Name = "silent_zones"
	// Verdicts judges back ends dead by repeated requests.
	Verdicts Name = "verdicts"
	// IdleResets resets flows that wait for nothing with the verdict.
	IdleResets Name = "idle_resets"
	// JoinedEvidence judges back ends by the witnesses of all balancers.
	JoinedEvidence Name = "joined_evidence"
	// RestedFlows remembers flows for as long as they may rest, to reset them too.
	RestedFlows Name = "rested_flows"
	// LapseGrace keeps back ends whose entries lapsed in an outage.
	LapseGrace Name = "lapse_grace"
	// EarlyPackets keeps packets that come before the first table until it is there.
	EarlyPackets Name = "early_packets"
	// DemandShares divides new flows between zones by the demand and room of all, where a
	// picture of them is there.
	DemandShares Name = "demand_shares"
	// Health avoids back ends whose answers differ from the others'.
	Health Name = "health"
	// StepAside lets a balancer that can't carry its share say that it is not ready.
	StepAside Name = "step_aside"
	// Admission refuses new flows that a pool has no room for, the least urgent first.
	Admission Name = "admission"
)

// All are the mechanisms, in the order of this list.
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
	var made Set
	for _, name := range names {
		if !slices.Contains(All, Name(name)) {
			return Set{}, errors.Newf("%q is no mechanism; there are %s", name, list())
		}
		made.names = append(made.names, Name(name))
	}
	return made, nil
}

func list() string {
	var names []string
	for _, name := range All {
		names = append(names, string(name))
	}
	return strings.Join(names, ", ")
}

// Has tells whether a mechanism is in the set.
func (s Set) Has(name Name) bool { return slices.Contains(s.names, name) }
