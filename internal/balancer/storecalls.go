package balancer

import (
	"context"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/replication"
)

// storePurpose is why the store is called.
type storePurpose uint8

// The purposes. All calls are priced by the platform, and their sum over a large
// fleet is what it pays most for.
const (
	// storeStart: a balancer that knows nothing reads what it needs to begin.
	storeStart storePurpose = iota
	// storeFollow: the reader reads the store for all.
	storeFollow
	// storeAudit: the reader checks what following may have missed.
	storeAudit
	// storeStandIn: another balancer reads, since the reader's news stays away.
	storeStandIn
	// storeMembers: entries of balancers are written.
	storeMembers
	storePurposeCount
)

var storePurposeNames = [storePurposeCount]string{"start", "follow", "audit", "stand_in", "members"}

// String returns the purpose as metrics and logs name it.
func (p storePurpose) String() string { return storePurposeNames[p] }

// storeCalls counts the calls to the store by purpose.
type storeCalls [storePurposeCount]callCounts

// purposeOf is why the store is read. The reader is the one that should read it.
func purposeOf(poll replication.Poll, knows, reader bool) storePurpose {
	switch {
	case !knows:
		return storeStart
	case !reader:
		return storeStandIn
	case poll == replication.PollSnapshot:
		return storeAudit
	}
	return storeFollow
}

// callsLogInterval is how often the calls to the store are told in the log.
const callsLogInterval = time.Minute

// logStoreCalls tells in the log how often this balancer has called the store and
// why, each minute and at the end.
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

// logCallsOnce writes one line, unless the store was never called.
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
