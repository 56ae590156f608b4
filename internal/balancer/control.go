package balancer

import (
	"context"
	"math/rand/v2"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/replication"
	"github.com/indigobarrow/indigobarrow/internal/withdrawal"
)

const (
	// tickInterval is how often the control goroutine checks its timers.
	tickInterval = 50 * time.Millisecond
	// emptyPoolGraceDivisor divides the time within which a leaving back end must stop
	// taking new flows. The quotient is how long back ends that vanished without notice
	// may still take new flows when their pool has no other. Together with the age that
	// the directory may have, it stays within that time.
	emptyPoolGraceDivisor = 3
	// peerRetryDelay is how long a peer that failed is skipped.
	peerRetryDelay = 2 * time.Second
	// maxStoreBackoff is the longest pause between calls to a failing store.
	maxStoreBackoff = time.Second
	// startupStoreDelay is how long a starting balancer leaves a large store to the other
	// balancers.
	startupStoreDelay = 500 * time.Millisecond
	// auditInterval is how often a large store is read completely.
	auditInterval = 60 * time.Second
	// buildPauseFactor makes the pause after a table build this many times as long as the
	// build, which bounds building to a small share of the time. The pause is at most the
	// poll interval divided by buildPauseDivisor: a machine with a small share of a core
	// may stall during a build and must not then wait ten times as long as the stall.
	buildPauseFactor  = 10
	buildPauseDivisor = 4
	// slowBuildThreshold is the duration from which a table build is logged.
	slowBuildThreshold = 200 * time.Millisecond
	// shareUpdateInterval is the time between two updates of the shares of new flows from
	// the traffic observations.
	shareUpdateInterval = 250 * time.Millisecond
	// maxWaitingFollowers bounds the calls of followers that wait at the same time.
	maxWaitingFollowers = 256
)

// control is the state of the control goroutine.
type control struct {
	balancer     *Balancer
	replica      *directory.Directory
	core         *replication.Core
	client       *replication.Client
	packer       replication.Packer
	policies     policyCache
	weightInputs weightInputs
	findings     findings
	demand       demandState
	withdrawal   withdrawalState
	// balancersByZone counts the balancers of each zone, this one included.
	balancersByZone zoneCounts
	admission       admissionState
	followCalls     chan *followCall
	// testifyRequests carries the calls in which followers report what they saw of back
	// ends, and wakeRequested wakes this goroutine to pass on what the traffic goroutine
	// saw.
	testifyRequests chan *apiv1.TestifyRequest
	wakeRequested   chan struct{}
	observations    observationExchange
	waitingCalls    []*followCall
	fullReplies     fullReplyLimiter
	pageCache       pageCache
	pollInFlight    bool
	// pendingWrite is the write to the store about balancers that is under way, and
	// pendingWriteEra the store's era, as far as it was known, when that write began.
	pendingWrite    replication.Write
	pendingWriteEra uint64
	// balancerChangesSeen is the replica's count of balancer changes when the balancers
	// were last read from it.
	balancerChangesSeen uint64
	// poolLastUse holds, for each address, the pools that its route has named and when it
	// last named each.
	poolLastUse map[flow.Address]map[string]time.Time
	// firstRoutesAt is when this balancer first had a route table.
	firstRoutesAt   time.Time
	lateNews        lateNews
	lateness        lateness
	staleSpell      staleSpell
	rebuildNeeded   bool
	nextTableChange time.Time
	// nextBuild is the earliest time of the next table build, which depends on how long
	// the last one took.
	nextBuild         time.Time
	nextOperatorCheck time.Time
	// nextShareUpdate is when the shares of new flows are updated again from the traffic
	// observations.
	nextShareUpdate time.Time
}

func newControl(balancer *Balancer, random *rand.Rand) *control {
	settings := balancer.settings.Load()
	retention := seconds(settings.GetFlowSeconds())
	c := &control{
		balancer: balancer,
		replica:  directory.New(retention),
		core: replication.NewCore(replication.Config{
			Self:       balancer.ownEntry(),
			Timing:     timingOf(settings),
			TreeFanout: replication.DefaultTreeFanout,

			SharedOrderLimit: replication.DefaultSharedOrderLimit,

			PeerRetryDelay: peerRetryDelay,
			MaxBackoff:     maxStoreBackoff,

			StartupWait:   startupStoreDelay,
			AuditInterval: auditInterval,
		}, random, balancer.started),
		client:       replication.NewClient(balancer.logger),
		policies:     policyCache{compiled: make(map[string]*compiledPolicy)},
		weightInputs: newWeightInputs(),
		withdrawal:   withdrawalState{detector: withdrawal.New()},
		admission:    newAdmissionState(),
		followCalls:  make(chan *followCall, maxWaitingFollowers),

		testifyRequests: make(chan *apiv1.TestifyRequest, maxWaitingFollowers),
		wakeRequested:   make(chan struct{}, 1),
		observations:    observationExchange{clock: random.Uint64() | 1, client: replication.NewClient(balancer.logger)},

		demand: demandState{tree: demand.NewTree(balancer.started)},

		poolLastUse: make(map[flow.Address]map[string]time.Time),
	}
	c.lateness.logger = balancer.logger
	c.core.SetSeeds(settings.GetSeeds())
	return c
}

func (c *control) run(ctx context.Context) error {
	defer c.client.Close()
	defer c.observations.client.Close()
	messages, err := c.balancer.bus.Subscribe(ctx)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	began := time.Now()
	c.lateness.running(began)
	c.tick(ctx, began)
	for {
		c.lateness.waiting(time.Now())
		select {
		case <-ctx.Done():
			return nil
		case msg, open := <-messages:
			if !open {
				return nil
			}
			c.lateness.running(time.Now())
			c.handle(msg)
		case call := <-c.followCalls:
			c.lateness.running(time.Now())
			c.enqueueFollow(call)
		case request := <-c.testifyRequests:
			c.lateness.running(time.Now())
			c.handleTestifyRequest(request, time.Now())
		case <-c.wakeRequested:
			c.lateness.running(time.Now())
		case <-ticker.C:
			c.lateness.running(time.Now())
		}
		c.tick(ctx, time.Now())
	}
}

// wake wakes the control goroutine without waiting for it. It may be called from any
// goroutine.
func (c *control) wake() {
	select {
	case c.wakeRequested <- struct{}{}:
	default:
	}
}

// timingOf returns the replication timing that the settings give.
func timingOf(settings *apiv1.BalancerSettings) replication.Timing {
	poll := time.Duration(settings.GetPollMilliseconds()) * time.Millisecond
	stale := time.Duration(settings.GetStaleMilliseconds()) * time.Millisecond
	return replication.NewTiming(poll, stale, changeDeadline(settings))
}

// changeDeadline returns the shortest time within which a change in the store must take
// effect.
func changeDeadline(loaded *apiv1.BalancerSettings) time.Duration {
	deadline := min(loaded.GetConfigurationMilliseconds(), loaded.GetDrainMilliseconds())
	if evacuation := loaded.GetEvacuationMilliseconds(); evacuation > 0 {
		deadline = min(deadline, evacuation)
	}
	return time.Duration(deadline * float64(time.Millisecond))
}

// tick starts the calls that are due, answers followers and rebuilds the table.
func (c *control) tick(ctx context.Context, now time.Time) {
	c.startPoll(ctx, now)
	c.startWrite(ctx, now)
	c.startPeerCalls(ctx, now)
	c.collectObservations(now)
	c.sendObservations(ctx, now)
	c.sendDemandReport(ctx, now)
	c.answerWaiting(now)
	c.updateWithdrawal(now)
	if c.replica.Expire(now) || c.updateShares(now) {
		c.rebuildNeeded = true
	}
	due := c.rebuildNeeded || !c.nextTableChange.IsZero() && now.After(c.nextTableChange)
	if !due || now.Before(c.nextBuild) {
		return
	}
	began := time.Now()
	c.rebuildTable(now)
	took := time.Since(began)
	if took >= slowBuildThreshold {
		c.balancer.logger.Info("Control: table build was slow.", "took", took.Round(time.Millisecond))
	}
	c.nextBuild = now.Add(buildPause(took, timingOf(c.balancer.settings.Load())))
}

// buildPause returns the pause after a table build of the given duration.
func buildPause(took time.Duration, timing replication.Timing) time.Duration {
	return min(buildPauseFactor*took, timing.PollInterval/buildPauseDivisor)
}

// updateShares applies what the traffic goroutine and other balancers have observed.
// It reports whether shares of new flows change as a result.
func (c *control) updateShares(now time.Time) bool {
	if c.balancer.traffic == nil || now.Before(c.nextShareUpdate) {
		return false
	}
	c.nextShareUpdate = now.Add(shareUpdateInterval)
	c.updateDemand(now)
	summary := c.balancer.traffic.latestSummary.Load()
	changed := c.weightInputs.update(summary, now)
	c.updateAdmission(summary, now)
	c.findings.local = nil
	if summary != nil && now.Sub(summary.At) <= summaryMaxAge {
		c.findings.local = summary.Findings
	}
	changed = c.updateHealth(now) || changed
	changed = c.planZoneShares(now) || changed
	if changed {
		c.balancer.logger.Debug("Control: shares change.", "unwell", len(c.weightInputs.unhealthy), "demand", c.weightInputs.inFlightByPool(),
			"parts", c.weightInputs.plannedShares)
	}
	return changed
}

func (c *control) startPoll(ctx context.Context, now time.Time) {
	if c.pollInFlight {
		return
	}
	kind := c.core.NextPoll(now)
	if kind == replication.PollNone {
		return
	}
	c.pollInFlight = true
	c.core.PollStarted(kind, now)
	c.balancer.logger.Debug("Control: reading the store.", "kind", kind, "reader", c.core.IsReader())
	_, hasData := c.core.Age(now)
	go c.poll(ctx, kind, purposeOf(kind, hasData, c.core.ReadsStore()), c.replica.Revision(), now)
	if kind == replication.PollChanges && !now.Before(c.nextOperatorCheck) {
		c.nextOperatorCheck = now.Add(timingOf(c.balancer.settings.Load()).PollInterval)
		go c.checkOperatorEntries(ctx)
	}
}
