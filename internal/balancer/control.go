package balancer

import (
	"context"
	"math/rand/v2"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/aside"
	"github.com/indigobarrow/indigobarrow/internal/demand"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

const (
	// tickInterval is how often timers of the control state are looked at.
	tickInterval = 50 * time.Millisecond
	// emptyPoolGraceDivisor is the part of the time for a leaving back end to be in force
	// for which back ends that vanished without a notice may still take new
	// flows when their pool has no other. With the age that knowledge may have,
	// it stays within that time.
	emptyPoolGraceDivisor = 3
	// peerRetryDelay is for how long a peer that failed is passed over.
	peerRetryDelay = 2 * time.Second
	// maxStoreBackoff is the longest pause between calls to a store that
	// fails.
	maxStoreBackoff = time.Second
	// startupStoreDelay is how long a start leaves a large store to others.
	startupStoreDelay = 500 * time.Millisecond
	// auditInterval is how often a large store is read whole.
	auditInterval = 60 * time.Second
	// buildPauseFactor bounds the building of tables to one part in so many of the
	// time, as long as the pause is no longer than one part in buildPauseDivisor of the
	// pace of reading. A machine with a small share of a core may stand still while
	// it builds, and must not wait ten times as long for that.
	buildPauseFactor  = 10
	buildPauseDivisor = 4
	// slowBuildThreshold is from which time on a build is told in the log.
	slowBuildThreshold = 200 * time.Millisecond
	// shareUpdateInterval is the time between two looks at what was observed.
	shareUpdateInterval = 250 * time.Millisecond
	// maxWaitingFollowers bounds the followers' calls that wait at once.
	maxWaitingFollowers = 256
)

// control is the state of the control goroutine.
type control struct {
	balancer   *Balancer
	replica    *directory.Directory
	core       *replication.Core
	client     *replication.Client
	packer     replication.Packer
	programs   policyCache
	observed   weightInputs
	findings   findings
	demand     demandState
	withdrawal withdrawalState
	// balancersByZone are the balancers of each zone, this one included.
	balancersByZone zoneCounts
	gate            admissionState
	followCalls     chan *followCall
	// testifyRequests are calls of followers that tell what they saw of back ends, and
	// nudged wakes this goroutine to pass on what the traffic goroutine saw.
	testifyRequests chan *apiv1.TestifyRequest
	wakeRequested   chan struct{}
	testimony       observationExchange
	waitingCalls    []*followCall
	fullReplies     fullReplyLimiter
	pageCache       pageCache
	pollInFlight    bool
	// pendingWrite is what is being written to the store about balancers, and pendingWriteEra the store's
	// era, as far as was known, when that began.
	pendingWrite    replication.Write
	pendingWriteEra uint64
	// balancerChangesSeen is the directory's count of changes when the balancers were
	// last taken.
	balancerChangesSeen uint64
	// poolLastUse are the pools that addresses had, and when they last had them.
	poolLastUse     map[flow.Address]map[string]time.Time
	firstRoutesAt   time.Time
	rebuildNeeded   bool
	nextTableChange time.Time
	// nextBuild spaces the building of tables by what the last one took.
	nextBuild         time.Time
	nextOperatorCheck time.Time
	// nextShareUpdate is when what was observed is looked at again.
	nextShareUpdate time.Time
}

func newControl(balancer *Balancer, chance *rand.Rand) *control {
	settings := balancer.settings.Load()
	retention := seconds(settings.GetFlowSeconds())
	made := &control{
		balancer: balancer,
		replica:  directory.New(retention),
		core: replication.NewCore(replication.Config{
			Self:       balancer.ownEntry(),
			Timing:     paceOf(settings),
			TreeFanout: replication.DefaultTreeFanout,

			SharedOrderLimit: replication.DefaultSharedOrderLimit,

			PeerRetryDelay: peerRetryDelay,
			MaxBackoff:     maxStoreBackoff,

			StartupWait:   startupStoreDelay,
			AuditInterval: auditInterval,
		}, chance, balancer.started),
		client:      replication.NewClient(balancer.logger),
		programs:    policyCache{compiled: make(map[string]*compiledPolicy)},
		observed:    newWeightInputs(),
		withdrawal:  withdrawalState{core: aside.New()},
		gate:        newAdmissionState(),
		followCalls: make(chan *followCall, maxWaitingFollowers),

		testifyRequests: make(chan *apiv1.TestifyRequest, maxWaitingFollowers),
		wakeRequested:   make(chan struct{}, 1),
		testimony:       observationExchange{clock: chance.Uint64() | 1, client: replication.NewClient(balancer.logger)},

		demand: demandState{tree: demand.NewTree(balancer.started)},

		poolLastUse: make(map[flow.Address]map[string]time.Time),
	}
	made.core.SetSeeds(settings.GetSeeds())
	return made
}

func (c *control) run(ctx context.Context) error {
	defer c.client.Close()
	defer c.testimony.client.Close()
	messages, err := c.balancer.bus.Subscribe(ctx)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.tick(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case carried, open := <-messages:
			if !open {
				return nil
			}
			c.handle(carried)
		case asking := <-c.followCalls:
			c.enqueueFollow(asking)
		case told := <-c.testifyRequests:
			c.handleTestifyRequest(told, time.Now())
		case <-c.wakeRequested:
		case <-ticker.C:
		}
		c.tick(ctx, time.Now())
	}
}

// wake wakes the control goroutine, from any goroutine, without waiting for it.
func (c *control) wake() {
	select {
	case c.wakeRequested <- struct{}{}:
	default:
	}
}

// paceOf is the pace that the settings give.
func paceOf(settings *apiv1.BalancerSettings) replication.Timing {
	poll := time.Duration(settings.GetPollMilliseconds()) * time.Millisecond
	stale := time.Duration(settings.GetStaleMilliseconds()) * time.Millisecond
	return replication.NewTiming(poll, stale)
}

// tick starts the calls that are due, answers followers and renews the table.
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
		c.balancer.logger.Info("Control: a table took long.", "took", took.Round(time.Millisecond))
	}
	c.nextBuild = now.Add(buildPause(took, paceOf(c.balancer.settings.Load())))
}

// buildPause is the pause after a table that took so long to build.
func buildPause(took time.Duration, pace replication.Timing) time.Duration {
	return min(buildPauseFactor*took, pace.PollInterval/buildPauseDivisor)
}

// updateShares takes what the traffic goroutine and other balancers have
// observed. It tells whether shares of new flows change by it.
func (c *control) updateShares(now time.Time) bool {
	if c.balancer.traffic == nil || now.Before(c.nextShareUpdate) {
		return false
	}
	c.nextShareUpdate = now.Add(shareUpdateInterval)
	c.updateDemand(now)
	summary := c.balancer.traffic.latestSummary.Load()
	changed := c.observed.update(summary, now)
	c.updateAdmission(summary, now)
	c.findings.local = nil
	if summary != nil && now.Sub(summary.At) <= summaryMaxAge {
		c.findings.local = summary.Findings
	}
	changed = c.updateHealth(now) || changed
	changed = c.planZoneShares(now) || changed
	if changed {
		c.balancer.logger.Debug("Control: shares change.", "unwell", len(c.observed.unhealthy), "demand", c.observed.inFlightByPool(),
			"parts", c.observed.plannedShares)
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
	c.balancer.logger.Debug("Control: store is read.", "kind", kind, "reader", c.core.IsReader())
	_, knows := c.core.Age(now)
	go c.poll(ctx, kind, purposeOf(kind, knows, c.core.ReadsStore()), c.replica.Revision(), now)
	if kind == replication.PollChanges && !now.Before(c.nextOperatorCheck) {
		c.nextOperatorCheck = now.Add(paceOf(c.balancer.settings.Load()).PollInterval)
		go c.checkOperatorEntries(ctx)
	}
}
