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
	// emptyShare is the part of the time for a leaving back end to be in force
	// for which back ends that vanished without a notice may still take new
	// flows when their pool has no other. With the age that knowledge may have,
	// it stays within that time.
	emptyShare = 3
	// peerPause is for how long a peer that failed is passed over.
	peerPause = 2 * time.Second
	// storeBackoffLimit is the longest pause between calls to a store that
	// fails.
	storeBackoffLimit = time.Second
	// startPatience is how long a start leaves a large store to others.
	startPatience = 500 * time.Millisecond
	// auditInterval is how often a large store is read whole.
	auditInterval = 60 * time.Second
	// buildShare bounds the building of tables to one part in so many of the
	// time, as long as the pause is no longer than one part in buildPauses of the
	// pace of reading. A machine with a small share of a core may stand still while
	// it builds, and must not wait ten times as long for that.
	buildShare  = 10
	buildPauses = 4
	// longBuild is from which time on a build is told in the log.
	longBuild = 200 * time.Millisecond
	// lookPause is the time between two looks at what was observed.
	lookPause = 250 * time.Millisecond
	// followersLimit bounds the followers' calls that wait at once.
	followersLimit = 256
)

// control is the state of the control goroutine.
type control struct {
	balancer *Balancer
	known    *directory.Directory
	core     *replication.Core
	client   *replication.Client
	packer   replication.Packer
	programs policyCache
	observed weightInputs
	findings findings
	demand   demandState
	aside    withdrawalState
	// listed are the balancers of each zone, this one included.
	listed    listing
	gate      admissionState
	followers chan *follower
	// testimonies are calls of followers that tell what they saw of back ends, and
	// nudged wakes this goroutine to pass on what the traffic goroutine saw.
	testimonies chan *apiv1.TestifyRequest
	nudged      chan struct{}
	testimony   observationExchange
	waiting     []*follower
	complete    completeAnswers
	pages       pages
	polling     bool
	// write is what is being written to the store about balancers, and writeEra the store's
	// era, as far as was known, when that began.
	write    replication.Write
	writeEra uint64
	// balancersSeen is the directory's count of changes when the balancers were
	// last taken.
	balancersSeen uint64
	// former are the pools that addresses had, and when they last had them.
	former   map[flow.Address]map[string]time.Time
	firstAt  time.Time
	rebuild  bool
	nextTurn time.Time
	// nextBuild spaces the building of tables by what the last one took.
	nextBuild time.Time
	nextCheck time.Time
	// nextLook is when what was observed is looked at again.
	nextLook time.Time
}

func newControl(balancer *Balancer, chance *rand.Rand) *control {
	settings := balancer.settings.Load()
	retention := seconds(settings.GetFlowSeconds())
	made := &control{
		balancer: balancer,
		known:    directory.New(retention),
		core: replication.NewCore(replication.Config{
			Self:      balancer.entry(),
			Pace:      paceOf(settings),
			TreeWidth: replication.DefaultTreeWidth,

			SharedOrderLimit: replication.DefaultSharedOrderLimit,

			PeerPause:    peerPause,
			BackoffLimit: storeBackoffLimit,

			StartPatience: startPatience,
			AuditInterval: auditInterval,
		}, chance, balancer.started),
		client:    replication.NewClient(balancer.logger),
		programs:  policyCache{compiled: make(map[string]*compiledPolicy)},
		observed:  newWeightInputs(),
		aside:     withdrawalState{core: aside.New()},
		gate:      newAdmissionState(),
		followers: make(chan *follower, followersLimit),

		testimonies: make(chan *apiv1.TestifyRequest, followersLimit),
		nudged:      make(chan struct{}, 1),
		testimony:   observationExchange{clock: chance.Uint64() | 1, client: replication.NewClient(balancer.logger)},

		demand: demandState{tree: demand.NewTree(balancer.started)},

		former: make(map[flow.Address]map[string]time.Time),
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
		case asking := <-c.followers:
			c.take(asking)
		case told := <-c.testimonies:
			c.handleTestifyRequest(told, time.Now())
		case <-c.nudged:
		case <-ticker.C:
		}
		c.tick(ctx, time.Now())
	}
}

// nudge wakes the control goroutine, from any goroutine, without waiting for it.
func (c *control) nudge() {
	select {
	case c.nudged <- struct{}{}:
	default:
	}
}

// paceOf is the pace that the settings give.
func paceOf(settings *apiv1.BalancerSettings) replication.Pace {
	poll := time.Duration(settings.GetPollMilliseconds()) * time.Millisecond
	stale := time.Duration(settings.GetStaleMilliseconds()) * time.Millisecond
	return replication.NewPace(poll, stale)
}

// tick starts the calls that are due, answers followers and renews the table.
func (c *control) tick(ctx context.Context, now time.Time) {
	c.startPoll(ctx, now)
	c.startWrite(ctx, now)
	c.startCalls(ctx, now)
	c.collectObservations(now)
	c.sendObservations(ctx, now)
	c.sendDemandReport(ctx, now)
	c.answerWaiting(now)
	c.updateWithdrawal(now)
	if c.known.Expire(now) || c.takeObserved(now) {
		c.rebuild = true
	}
	due := c.rebuild || !c.nextTurn.IsZero() && now.After(c.nextTurn)
	if !due || now.Before(c.nextBuild) {
		return
	}
	began := time.Now()
	c.renewTable(now)
	took := time.Since(began)
	if took >= longBuild {
		c.balancer.logger.Info("Control: a table took long.", "took", took.Round(time.Millisecond))
	}
	c.nextBuild = now.Add(buildPause(took, paceOf(c.balancer.settings.Load())))
}

// buildPause is the pause after a table that took so long to build.
func buildPause(took time.Duration, pace replication.Pace) time.Duration {
	return min(buildShare*took, pace.Poll/buildPauses)
}

// takeObserved takes what the traffic goroutine and other balancers have
// observed. It tells whether shares of new flows change by it.
func (c *control) takeObserved(now time.Time) bool {
	if c.balancer.traffic == nil || now.Before(c.nextLook) {
		return false
	}
	c.nextLook = now.Add(lookPause)
	c.updateDemand(now)
	summary := c.balancer.traffic.observed.Load()
	changed := c.observed.applySummary(summary, now)
	c.updateAdmission(summary, now)
	c.findings.own = nil
	if summary != nil && now.Sub(summary.At) <= summaryMaxAge {
		c.findings.own = summary.Findings
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
	if c.polling {
		return
	}
	kind := c.core.NextPoll(now)
	if kind == replication.PollNone {
		return
	}
	c.polling = true
	c.core.PollStarted(kind, now)
	c.balancer.logger.Debug("Control: store is read.", "kind", kind, "reader", c.core.Reader())
	_, knows := c.core.Age(now)
	go c.poll(ctx, kind, purposeOf(kind, knows, c.core.Reads()), c.known.Revision(), now)
	if kind == replication.PollChanges && !now.Before(c.nextCheck) {
		c.nextCheck = now.Add(paceOf(c.balancer.settings.Load()).Poll)
		go c.checkOrders(ctx)
	}
}
