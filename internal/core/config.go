package core

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the parameters of a Core. They trade reaction time against
// message volume and safety margins. Start from DefaultConfig and adapt it to
// the network.
type Config struct {
	// HeartbeatInterval is the time between two heartbeats to each peer. A
	// shorter interval detects failures sooner and costs bandwidth in
	// proportion to the size of the group: about 90 bytes per peer and
	// heartbeat. Progress changes do not wait for it: they are sent at once.
	HeartbeatInterval time.Duration

	// FencingTime is how long a node may trust its view without confirmation by
	// a majority, and the least time after which the node may be fenced. A
	// shorter time lets changes proceed sooner without a dead node; a longer
	// one tolerates longer pauses without dropping packets of flows that the
	// node does not know.
	FencingTime time.Duration

	// FencingMargin is added to FencingTime by the nodes that fence another
	// one. It must cover the drift of the clock rates over FencingTime.
	FencingMargin time.Duration

	// RecoveryTime is how long the remaining nodes must be without a majority
	// of the members before they may fence the silent ones through the store
	// alone. A short time recovers sooner from the simultaneous loss of most
	// members; a time shorter than a typical partition between zones lets the
	// smaller side continue on its own.
	RecoveryTime time.Duration

	// MarkDelay is the longest time between receiving a leaving mark and
	// excluding the back end from new flows. Within this time the mark reaches
	// all nodes in contact. A longer delay leaves fewer SYNs that race with the
	// mark; a shorter one drains the back end sooner.
	MarkDelay time.Duration

	// SynRetryTime is the time after a SYN within which a retransmission of it
	// may arrive, possibly through another node. Flows that have been silent
	// for longer are not recorded before a pending epoch becomes active.
	// Clients double the time between their attempts; 16 seconds pass before
	// the sixth.
	SynRetryTime time.Duration

	// MemberDelay is how long a change of the live members must persist before
	// an epoch is published for it. A longer delay batches the replacements of
	// a rolling restart; a shorter one restores the second copy of records
	// sooner.
	MemberDelay time.Duration

	// RuleInterval is the least time between an epoch and the next one that
	// changes only weights, without a new revision. It bounds the cost when two
	// nodes that both believe they decide weights keep overwriting each other's
	// epochs.
	RuleInterval time.Duration

	// PublishBackoff staggers the writers by rank: the node of rank n waits n
	// times as long. It should exceed a round trip to the store plus the time
	// in which the document spreads to the peers.
	PublishBackoff time.Duration

	// LookupTimeout is how long one keeper may take to respond before the other
	// one is queried. It must be at least two round trips between zones.
	LookupTimeout time.Duration

	// LookupDeadline is the time after which an unanswered lookup is given up
	// and its packets are dropped.
	LookupDeadline time.Duration

	// MaximumLookups limits the lookups in progress. At the limit, new lookups
	// resolve as unavailable, which drops the packet.
	MaximumLookups int

	// MaximumRecords limits the records that the node keeps, at about 120 bytes
	// each. At the limit, new flows follow the rule without a record, and the
	// next change may break them. The limit should far exceed the number of
	// displaced flows of the group.
	MaximumRecords int

	// RecordBytesPerSecond limits the rate at which displaced flows are offered
	// to keepers. All control traffic of a node should fit its budget; this is
	// the part that grows with the number of flows.
	RecordBytesPerSecond int

	// OfferSize is the number of flows that one offer lists, at 5 bytes each.
	OfferSize int

	// RecordIdleTime is the time without a packet at the keeper after which it
	// asks the other nodes whether a recorded flow is still alive.
	RecordIdleTime time.Duration

	// ServeIsolated lets a node without contact open flows according to its
	// last view. This keeps a zone that is cut off in service; flows that it
	// opens while the other nodes change the rule may break when the partition
	// heals.
	ServeIsolated bool

	// Disabled selects safeguards to disable. It serves only the tests that
	// show each safeguard to be necessary; leave it 0.
	Disabled Guard
}

// DefaultConfig returns a Config for one group whose zones are a few
// milliseconds apart.
func DefaultConfig() Config {
	return Config{
		HeartbeatInterval:    500 * time.Millisecond,
		FencingTime:          2 * time.Second,
		FencingMargin:        500 * time.Millisecond,
		RecoveryTime:         30 * time.Second,
		MarkDelay:            2 * time.Second,
		SynRetryTime:         17 * time.Second,
		MemberDelay:          2 * time.Second,
		RuleInterval:         5 * time.Second,
		PublishBackoff:       200 * time.Millisecond,
		LookupTimeout:        60 * time.Millisecond,
		LookupDeadline:       400 * time.Millisecond,
		MaximumLookups:       4096,
		MaximumRecords:       400_000,
		RecordBytesPerSecond: 2048,
		OfferSize:            200,
		RecordIdleTime:       15 * time.Minute,
		ServeIsolated:        true,
	}
}

// DefaultConfigRegions returns a Config for a group whose zones are in several
// regions, some 100 milliseconds apart.
func DefaultConfigRegions() Config {
	config := DefaultConfig()
	config.HeartbeatInterval = 2 * time.Second
	config.FencingTime = 8 * time.Second
	config.FencingMargin = 2 * time.Second
	config.MarkDelay = 3 * time.Second
	config.PublishBackoff = time.Second
	config.LookupTimeout = 300 * time.Millisecond
	config.LookupDeadline = 1500 * time.Millisecond
	return config
}

// Validate returns an error for the first field with an unusable value.
func (config Config) Validate() error {
	switch {
	case config.HeartbeatInterval <= 0:
		return errors.Newf("HeartbeatInterval is %s; set it above 0", config.HeartbeatInterval)
	case config.FencingTime < 3*config.HeartbeatInterval:
		return errors.Newf("FencingTime is %s; set it to three heartbeat intervals (%s) or more",
			config.FencingTime, 3*config.HeartbeatInterval)
	case config.FencingMargin <= 0:
		return errors.Newf("FencingMargin is %s; set it above 0", config.FencingMargin)
	case config.LookupDeadline < config.LookupTimeout:
		return errors.Newf("LookupDeadline is %s; set it to LookupTimeout (%s) or more",
			config.LookupDeadline, config.LookupTimeout)
	case config.OfferSize < 1 || config.MaximumLookups < 1 || config.MaximumRecords < 1 || config.RecordBytesPerSecond < 1:
		return errors.New("OfferSize, MaximumLookups, MaximumRecords and RecordBytesPerSecond must be 1 or more")
	}
	return nil
}

func milliseconds(duration time.Duration) uint32 {
	return uint32(duration / time.Millisecond)
}
