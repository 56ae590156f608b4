package core

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config sets how a Core trades speed against messages and caution. Start from
// DefaultConfig and change what the network asks for.
type Config struct {
	// HeartbeatInterval is how often a node greets each peer. A shorter one
	// finds failures sooner and costs bytes in proportion to the group's size:
	// about 90 bytes a peer and heartbeat. News does not wait for it: a change
	// of progress is sent at once.
	HeartbeatInterval time.Duration

	// FencingTime is how long a node may trust its view without a majority's
	// confirmation, and the least time after which it may be fenced. A shorter
	// one lets changes pass a dead node sooner; a longer one rides out longer
	// pauses without dropping packets of flows the node does not know.
	FencingTime time.Duration

	// FencingMargin is added to FencingTime on the side of those who fence. It
	// must cover the drift of the clocks' rates over FencingTime.
	FencingMargin time.Duration

	// RecoveryTime is after how long without a majority of the members the
	// remaining nodes may fence the silent ones by the store alone. A short
	// one recovers sooner from the loss of most members at once; one shorter
	// than a usual cut between zones lets the smaller side go on alone.
	RecoveryTime time.Duration

	// MarkDelay is the longest time between learning a leaving mark and
	// keeping new flows from the back end. Within it a mark reaches all nodes
	// in contact; a longer one leaves fewer SYNs to race with the mark, a
	// shorter one empties the back end sooner.
	MarkDelay time.Duration

	// SynRetryTime is how long after a SYN the next one may come, through
	// another node. Flows silent for longer are not recorded before a pending
	// epoch becomes active. Callers double the time between their tries; 16
	// seconds pass before the sixth.
	SynRetryTime time.Duration

	// MemberDelay is how long a change of the live members must last before an
	// epoch is published for it. A longer one batches the replacements of a
	// rolling restart; a shorter one restores the second copy of records
	// sooner.
	MemberDelay time.Duration

	// RuleInterval is the least time between an epoch and the next one that
	// changes weights alone, without a new revision. It bounds the cost when two
	// nodes that both believe they decide weights publish against each other.
	RuleInterval time.Duration

	// PublishBackoff separates the ranks of writers: the node of rank n waits
	// n times as long. It should exceed a round trip to the store and its
	// spread to the peers.
	PublishBackoff time.Duration

	// LookupTimeout is how long one keeper may take to answer before the other is
	// asked. Two round trips between zones are the least.
	LookupTimeout time.Duration

	// LookupDeadline is after how long a question without answer is given up and
	// its packets are dropped.
	LookupDeadline time.Duration

	// MaximumLookups bounds the questions under way; at the bound, new ones are
	// answered as unavailable, which drops the packet.
	MaximumLookups int

	// MaximumRecords bounds the records kept, at about 120 bytes each. At the
	// bound new flows follow the rule unrecorded, which may break them at the next
	// change; it should exceed the displaced flows of the group by far.
	MaximumRecords int

	// RecordBytesPerSecond paces the offers of displaced flows. All control
	// traffic of a node should fit its budget; this is the part that grows
	// with the flows.
	RecordBytesPerSecond int

	// OfferSize is how many flows one offer lists, at 5 bytes each.
	OfferSize int

	// RecordIdleTime is after how long without a packet at the keeper it asks
	// the others whether a recorded flow is alive.
	RecordIdleTime time.Duration

	// ServeIsolated lets a node without contact open flows by its last view.
	// It keeps a zone that is cut off in service; flows it opens while the
	// rest changes the rule may break when the cut heals.
	ServeIsolated bool

	// Disabled removes guards, for proofs only; leave it 0.
	Disabled Guard
}

// DefaultConfig suits one group over zones a few milliseconds apart.
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

// DefaultConfigRegions suits a group whose zones are in several regions, some
// 100 milliseconds apart.
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

// Validate reports the first field that cannot work.
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
		return errors.Newf("AskDeadline is %s; set it to AskTimeout (%s) or more",
			config.LookupDeadline, config.LookupTimeout)
	case config.OfferSize < 1 || config.MaximumLookups < 1 || config.MaximumRecords < 1 || config.RecordBytesPerSecond < 1:
		return errors.New("OfferSize, MaximumAsks, MaximumRecords and RecordBytesPerSecond must be 1 or more")
	}
	return nil
}

func milliseconds(duration time.Duration) uint32 {
	return uint32(duration / time.Millisecond)
}
