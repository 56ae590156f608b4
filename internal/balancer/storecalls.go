package balancer

import (
	"context"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// storePurpose is the reason for a call to the store.
type storePurpose uint8

// The platform charges for each call to the store, and these calls are what a large fleet
// pays most for.
const (
	// storeStart: a balancer that has no data reads what it needs to begin.
	storeStart storePurpose = iota
	// storeFollow: the reader reads the store on behalf of all balancers.
	storeFollow
	// storeAudit: the reader checks for changes that following may have missed.
	storeAudit
	// storeStandIn: another balancer reads the store because news from the reader has
	// stopped.
	storeStandIn
	// storePing: another balancer finds out whether the store serves it, because news from
	// the reader has stopped.
	storePing
	// storeMembers: entries of balancers are written.
	storeMembers
	storePurposeCount
)

var storePurposeNames = [storePurposeCount]string{"start", "follow", "audit", "stand_in", "ping", "members"}

// String returns the purpose as it appears in metrics and logs.
func (p storePurpose) String() string { return storePurposeNames[p] }

// storeCalls counts the calls to the store by purpose.
type storeCalls [storePurposeCount]callCounts

// purposeOf returns the purpose of a read of the store. The reader is the balancer that is
// assigned to read it.
func purposeOf(poll replication.Poll, hasData, reader bool) storePurpose {
	switch {
	case !hasData:
		return storeStart
	case poll == replication.PollPing:
		return storePing
	case !reader:
		return storeStandIn
	case poll == replication.PollSnapshot:
		return storeAudit
	}
	return storeFollow
}

// callsLogInterval is how often the numbers of calls to the store are logged.
const callsLogInterval = time.Minute

// logStoreCalls logs how often this balancer has called the store and why, every minute
// and at the end.
func (b *Balancer) logStoreCalls(ctx context.Context) error {
	ticker := time.NewTicker(callsLogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			b.logCallsOnce()
			return nil
		case <-ticker.C:
			b.logCallsOnce()
		}
	}
}

// logCallsOnce writes one line, unless the store has never been called.
func (b *Balancer) logCallsOnce() {
	fields := make([]any, 0, 2*(storePurposeCount+1))
	total := uint64(0)
	for purpose := range storePurposeCount {
		calls := b.storeCalls[purpose].answered.Load() + b.storeCalls[purpose].failed.Load()
		if calls == 0 {
			continue
		}
		total += calls
		fields = append(fields, purpose.String(), calls)
	}
	if total > 0 {
		b.logger.Info("Store: calls so far.", append(fields, "all", total)...)
	}
}
