package balancer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ThreeDotsLabs/watermill/message"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/events"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/replication"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

const (
	// tickInterval is how often timers of the control state are looked at.
	tickInterval = 50 * time.Millisecond
	// lapseShare is the part of the time for a leaving back end to be in force
	// for which back ends that vanished together, without a notice, may still
	// take new flows. With the age that knowledge may have, it stays within
	// that time.
	lapseShare = 3
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
	// time.
	buildShare = 10
	// followersLimit bounds the followers' calls that wait at once.
	followersLimit = 256
)

// control is the state of the control goroutine.
type control struct {
	balancer  *Balancer
	known     *directory.Directory
	core      *replication.Core
	client    *replication.Client
	packer    replication.Packer
	programs  programs
	followers chan *follower
	waiting   []*follower
	polling   bool
	following bool
	// former are the pools that addresses had, and when they last had them.
	former   map[flow.Address]map[string]time.Time
	firstAt  time.Time
	rebuild  bool
	nextTurn time.Time
	// nextBuild spaces the building of tables by what the last one took.
	nextBuild time.Time
	nextCheck time.Time
}

func newControl(balancer *Balancer, chance *rand.Rand) *control {
	settings := balancer.settings.Load()
	retention := seconds(settings.GetFlowSeconds())
	made := &control{
		balancer: balancer,
		known:    directory.New(retention),
		core: replication.NewCore(replication.Config{
			Self:         balancer.entry(),
			Seeds:        settings.GetSeeds(),
			PollInterval: time.Duration(settings.GetPollMilliseconds()) * time.Millisecond,
			StaleAfter:   time.Duration(settings.GetStaleMilliseconds()) * time.Millisecond,
			TreeWidth:    replication.DefaultTreeWidth,

			SharedOrderLimit: replication.DefaultSharedOrderLimit,

			PeerPause:    peerPause,
			BackoffLimit: storeBackoffLimit,

			StartPatience: startPatience,
			AuditInterval: auditInterval,
		}, chance, balancer.started),
		client:    replication.NewClient(balancer.logger),
		programs:  programs{compiled: make(map[string]*compiledPolicy)},
		followers: make(chan *follower, followersLimit),
		former:    make(map[flow.Address]map[string]time.Time),
	}
	made.core.SetBalancers(nil)
	return made
}

func (control *control) run(ctx context.Context) error {
	defer control.client.Close()
	messages, err := control.balancer.bus.Subscribe(ctx)
	if err != nil {
		return err
	}
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	control.tick(ctx, time.Now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case carried, open := <-messages:
			if !open {
				return nil
			}
			control.handle(carried)
		case asking := <-control.followers:
			control.take(asking)
		case <-ticker.C:
		}
		control.tick(ctx, time.Now())
	}
}

// tick starts the calls that are due, answers followers and renews the table.
func (control *control) tick(ctx context.Context, now time.Time) {
	control.startPoll(ctx, now)
	if !control.following {
		control.core.SetSeeds(control.balancer.settings.Load().GetSeeds())
		if peer, found := control.core.NextPeer(now); found {
			control.following = true
			age, known := control.core.Age(now)
			if !known {
				age = unknownAge
			}
			go control.follow(ctx, peer, control.known.Revision(), age)
		}
	}
	control.answerWaiting(now)
	if control.known.Expire(now) {
		control.rebuild = true
	}
	due := control.rebuild || !control.nextTurn.IsZero() && now.After(control.nextTurn)
	if due && !now.Before(control.nextBuild) {
		control.renewTable(now)
		took := time.Since(now)
		control.nextBuild = now.Add(buildShare * took)
	}
}

func (control *control) startPoll(ctx context.Context, now time.Time) {
	if control.polling {
		return
	}
	kind := control.core.NextPoll(now)
	if kind == replication.PollNone {
		return
	}
	control.polling = true
	control.core.PollStarted(kind, now)
	control.balancer.logger.Debug("Control: store is read.", "kind", kind, "reader", control.core.Reader())
	go control.poll(ctx, kind, control.known.Revision(), now)
	if kind == replication.PollChanges && !now.Before(control.nextCheck) {
		control.nextCheck = now.Add(time.Duration(control.balancer.settings.Load().GetPollMilliseconds()) * time.Millisecond)
		go control.checkRoutes(ctx, now)
	}
}

func (control *control) handle(carried *message.Message) {
	event, err := events.Decode(carried)
	if err != nil {
		control.balancer.logger.Error("Control: event not understood.", "error", err)
		return
	}
	if news, isNews := event.Body.(*apiv1.DirectoryNews); isNews {
		control.learn(news, time.Now())
	}
}

// learn takes the answer of the store or of a peer.
func (control *control) learn(news *apiv1.DirectoryNews, now time.Time) {
	asOf := control.balancer.started.Add(time.Duration(news.GetAsOfNanoseconds()))
	switch {
	case news.GetCheck():
	case news.GetPeer() == "":
		control.polling = false
		control.pollEnded(news, now)
	default:
		control.following = false
		control.followEnded(news, asOf, now)
	}
	if news.GetError() != "" {
		control.balancer.logger.Debug("Control: call failed.", "peer", news.GetPeer(), "error", news.GetError())
		return
	}
	if control.known.Apply(news.GetBatch(), now) {
		control.rebuild = true
		control.core.SetBalancers(control.known.Balancers())
	}
	// A batch without a revision is a part of what the store holds, or comes
	// from a peer that knows nothing itself.
	if news.GetBatch().GetRevision() > 0 {
		control.core.Confirm(asOf)
		control.balancer.confirmedAt.Store(int64(control.core.ConfirmedAt().Sub(control.balancer.started)))
	}
}

func (control *control) pollEnded(news *apiv1.DirectoryNews, now time.Time) {
	switch {
	case news.GetHistoryLost():
		control.core.HistoryLost(now)
	case news.GetError() != "":
		control.core.PollFailed(now)
	default:
		control.core.PollSucceeded(replication.Poll(news.GetPoll()), news.GetBatch().GetComplete(), now)
	}
}

func (control *control) followEnded(news *apiv1.DirectoryNews, asOf, now time.Time) {
	peer := replication.Peer{Address: news.GetPeer(), Everything: news.GetEverything()}
	if news.GetError() != "" {
		control.core.PeerFailed(peer, now)
		return
	}
	control.core.PeerAnswered(peer, asOf, now)
}

// renewTable builds the table that packets are decided by.
func (control *control) renewTable(now time.Time) {
	control.rebuild = false
	control.nextTurn = time.Time{}
	if control.known.Revision() == 0 {
		// A part of the store is no ground to refuse flows on.
		return
	}
	control.rememberPools(now)
	table := tokenroute.NewTable(control.known, tokenroute.Options{
		Weigh:      control.weigher(now),
		Former:     control.formerPools(now),
		AdmitAll:   now.Sub(control.firstAt) < control.flowLife(),
		LapseGrace: control.lapseGrace(),
		Now:        now,
	})
	if table == nil {
		return
	}
	control.scheduleTurn(now)
	previous := control.balancer.table.Swap(table)
	if previous == nil || previous.Version != table.Version {
		control.balancer.logger.Info("Control: configuration in force.", "version", table.Version,
			"revision", table.Revision, "routes", table.Routes())
	}
}

func (control *control) lapseGrace() time.Duration {
	drain := control.balancer.settings.Load().GetDrainMilliseconds()
	return time.Duration(drain/lapseShare) * time.Millisecond
}

func (control *control) flowLife() time.Duration {
	return seconds(control.balancer.settings.Load().GetFlowSeconds())
}

// seconds turns a number of seconds into a duration.
func seconds(number float64) time.Duration {
	return time.Duration(number * float64(time.Second))
}

// scheduleTurn sets when the table changes without news: new flows return to
// their zone, or vanished back ends lose their grace.
func (control *control) scheduleTurn(now time.Time) {
	if spreadEnd := control.firstAt.Add(spreadTime); now.Before(spreadEnd) {
		control.nextTurn = spreadEnd
	}
	for _, backend := range control.known.Backends() {
		end := backend.VanishedAt.Add(control.lapseGrace())
		if !backend.Gone || !now.Before(end) {
			continue
		}
		if control.nextTurn.IsZero() || end.Before(control.nextTurn) {
			control.nextTurn = end
		}
	}
}

// rememberPools notes the pools of each address, whose open flows stay on them
// when a later configuration names others.
func (control *control) rememberPools(now time.Time) {
	if control.known.Routes() != nil && control.firstAt.IsZero() {
		control.firstAt = now
	}
	for _, route := range control.known.Routes().GetRoutes() {
		address := tokenroute.AddressOf(route)
		pools := control.former[address]
		if pools == nil {
			pools = make(map[string]time.Time)
			control.former[address] = pools
		}
		for _, share := range route.GetPools() {
			pools[share.GetPool()] = now
		}
	}
}

func (control *control) formerPools(now time.Time) map[flow.Address]map[string]bool {
	found := make(map[flow.Address]map[string]bool, len(control.former))
	for address, pools := range control.former {
		kept := make(map[string]bool, len(pools))
		for pool, lastAt := range pools {
			if now.Sub(lastAt) > control.flowLife() {
				delete(pools, pool)
				continue
			}
			kept[pool] = true
		}
		found[address] = kept
	}
	return found
}
