package core

import (
	"sort"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// Flows is the flow table of the node as seen by the Core.
type Flows interface {
	// Visit calls visit for each entry of a shard and removes the entries for
	// which it returns false.
	Visit(shard int, visit func(flow.Key, flowtable.Entry) bool)
	// Get returns the entry of a flow and whether it exists.
	Get(key flow.Key, hash uint64) (flowtable.Entry, bool)
}

// Output lists the actions that a Core requests from the embedding program.
type Output struct {
	// Messages are to be sent to the peers they name. A message may be lost.
	Messages []*apiv1.Envelope
	// View is to be published to the traffic goroutines; it is nil when
	// unchanged. When all of them use it, ViewInForce must be called with
	// ViewVersion.
	View        *router.View
	ViewVersion uint64
	// ContactLeaseEnd and ServeIsolated are the arguments for
	// Router.SetContact.
	ContactLeaseEnd uint32
	ServeIsolated   bool
	// Resolutions are the results of completed lookups.
	Resolutions []Resolution
	// RefreshGroupLiveness requests a change of the group liveness key in the
	// store.
	RefreshGroupLiveness bool
	// Write is to be attempted at the store; it is nil when there is nothing to
	// write.
	Write *DocumentWrite
}

// DocumentWrite is a compare-and-swap of the group's document: it succeeds only
// if the stored document has the version Document.Version - 1.
type DocumentWrite struct {
	Document *apiv1.EpochDocument
}

// Resolution is the result of the lookup of one flow.
type Resolution struct {
	Key flow.Key
	// Backend is rule.NoBackend when the keepers could not be queried in time.
	Backend uint32
	// Recorded is false when the result follows the rule because no keeper is
	// alive.
	Recorded bool
}

// Core is the control state machine of one node. It performs no I/O, starts no
// goroutine and must not be used concurrently.
type Core struct {
	config Config
	self   *apiv1.Member
	flows  Flows
	now    uint32
	out    Output

	document      *apiv1.EpochDocument
	configuration *apiv1.Configuration
	// storeUnreachable is set while this node's calls to the store fail.
	storeUnreachable bool
	// acceptedAt is when the document was accepted.
	acceptedAt uint32
	settled    *rule.Set
	pending    *rule.Set
	phase      router.Phase
	completed  router.Phase
	phaseTask  phaseTask
	// rejoining is set while this node is cut off or fenced, until it has
	// listed its flows; rejoinUntil limits the time for recording them.
	rejoining   bool
	rejoinUntil uint32
	// peerRejoiningSince is when a live peer began to rejoin; 0 means that none
	// is rejoining.
	peerRejoiningSince uint32
	// fenceVersion is the document version whose fencing a majority must know
	// before a fenced member is no longer waited for.
	fenceVersion uint64
	// deferredDocument is a document that fences a member whose lease, as far
	// as this node has confirmed it, has not expired yet.
	deferredDocument *apiv1.EpochDocument

	view        *router.View
	viewVersion uint64
	viewInForce uint64
	viewChanged bool
	// settledFilters and pendingFilters are the filters of displaced flows, by
	// epoch.
	settledFilters     *filterSet
	pendingFilters     *filterSet
	filtersRequestedAt uint32
	settledKeepers     *router.Keepers
	pendingKeepers     *router.Keepers

	peers                map[string]*peer
	lastHeartbeat        uint32
	stateRequestedAt     uint32
	lastProgressSent     *apiv1.Progress
	isolatedSince        uint32
	liveMembersChangedAt uint32
	lastLiveMembers      []string

	marks           map[uint32]*markState
	desired         []*apiv1.ServiceRule
	desiredRevision uint64
	// desiredCleared is the incarnation of the last cleared mark, by back end.
	desiredCleared map[uint32]uint64
	hasDesired     bool
	publish        publishState

	records         map[flow.Key]*record
	fingerprints    map[fingerprint]int
	replications    map[uint64]*replicationPart
	lookups         map[flow.Key]*lookup
	lookupBatches   map[uint64]*lookupBatch
	offers          map[uint64]*offer
	offerQueue      []*offer
	budgetTokens    float64
	budgetUpdatedAt uint32
	// ownFlowsRecordedEpoch is the number of the epoch for which recordOwnFlows
	// has run.
	ownFlowsRecordedEpoch uint64
	expiry                expiryState
	recovery              recoveryState
	purge                 purgeState
	// hints are the records that the keepers pushed when this node joined.
	hints          map[flow.Key]uint32
	hintsUntil     uint32
	hintsRequested map[string]bool
	hintQueue      []hintPush
	lastID         uint64
	loopback       []*apiv1.Envelope
}

// New returns the Core of a node. The incarnation of the member must be higher
// than that of any earlier run under the same ID.
func New(config Config, self *apiv1.Member, flows Flows) (*Core, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Core{
		config:         config,
		self:           proto.CloneOf(self),
		flows:          flows,
		peers:          make(map[string]*peer),
		marks:          make(map[uint32]*markState),
		records:        make(map[flow.Key]*record),
		fingerprints:   make(map[fingerprint]int),
		replications:   make(map[uint64]*replicationPart),
		lookups:        make(map[flow.Key]*lookup),
		hints:          make(map[flow.Key]uint32),
		hintsRequested: make(map[string]bool),
		lookupBatches:  make(map[uint64]*lookupBatch),
		offers:         make(map[uint64]*offer),
		lastID:         self.GetIncarnation() << 20,
	}, nil
}

// Tick advances the time and runs periodic work. It should be called every 20
// to 100 milliseconds.
func (core *Core) Tick(now uint32) {
	core.advanceTime(now)
	core.tickMembership()
	core.tickDeferredDocument()
	core.tickRejoiningPeers()
	core.tickMarks()
	core.tickLookups()
	core.tickReplications()
	core.tickPurge()
	core.tickPhaseTask()
	core.tickOffers()
	core.tickHints()
	core.tickFilters()
	core.tickExpiry()
	core.tickPhase()
	core.tickPublish()
	core.tickRecovery()
}

// Step processes a message from a peer. Messages of an incarnation other than
// the newest known one are ignored.
func (core *Core) Step(now uint32, envelope *apiv1.Envelope) {
	core.advanceTime(now)
	if envelope.GetTo() != core.self.GetId() || !core.checkSender(envelope) {
		return
	}
	from := envelope.GetFrom()
	switch body := envelope.GetBody().(type) {
	case *apiv1.Envelope_Heartbeat:
		core.handleHeartbeat(from, body.Heartbeat)
	case *apiv1.Envelope_HeartbeatReply:
		core.handleHeartbeatReply(from, body.HeartbeatReply)
	case *apiv1.Envelope_StateRequest:
		core.handleStateRequest(from, body.StateRequest)
	case *apiv1.Envelope_State:
		core.handleState(body.State)
	case *apiv1.Envelope_BindRequest:
		core.handleBindRequest(from, body.BindRequest)
	case *apiv1.Envelope_BindReply:
		core.handleBindReply(from, body.BindReply)
	case *apiv1.Envelope_RecordDigest:
		core.handleRecordDigest(from, body.RecordDigest)
	case *apiv1.Envelope_RecordMismatch:
		core.handleRecordMismatch(from, body.RecordMismatch)
	case *apiv1.Envelope_RecordOffer:
		core.handleRecordOffer(from, body.RecordOffer)
	case *apiv1.Envelope_RecordWanted:
		core.handleRecordWanted(from, body.RecordWanted)
	case *apiv1.Envelope_RecordBatch:
		core.handleRecordBatch(from, body.RecordBatch)
	case *apiv1.Envelope_RecordAck:
		core.handleRecordAck(from, body.RecordAck)
	case *apiv1.Envelope_RecordHints:
		core.handleRecordHints(body.RecordHints)
	case *apiv1.Envelope_FilterPart:
		core.handleFilterPart(from, body.FilterPart)
	case *apiv1.Envelope_FilterRequest:
		core.handleFilterRequest(from, body.FilterRequest)
	case *apiv1.Envelope_AliveQuery:
		core.handleAliveQuery(from, body.AliveQuery)
	case *apiv1.Envelope_AliveReply:
		core.handleAliveReply(from, body.AliveReply)
	}
	core.tickPhase()
}

// Ready returns the pending output and clears it.
func (core *Core) Ready() Output {
	core.flushLookups()
	for len(core.loopback) > 0 {
		queue := core.loopback
		core.loopback = nil
		for _, envelope := range queue {
			core.handleLoopback(envelope)
		}
		core.flushLookups()
	}
	core.broadcastProgressIfChanged()
	core.publishView()
	out := core.out
	core.out = Output{}
	return out
}

// handleLoopback processes a message that the core sent to itself.
func (core *Core) handleLoopback(envelope *apiv1.Envelope) {
	switch body := envelope.GetBody().(type) {
	case *apiv1.Envelope_BindRequest:
		core.handleBindRequest(core.self.GetId(), body.BindRequest)
	case *apiv1.Envelope_BindReply:
		core.handleBindReply(core.self.GetId(), body.BindReply)
	}
}

// ViewInForce reports to the core that every traffic goroutine uses the view of
// this version or a later one. The task of a phase starts only then, because by
// that time every flow opened under an older view is in the table.
func (core *Core) ViewInForce(version uint64) {
	core.viewInForce = max(core.viewInForce, version)
}

func (core *Core) advanceTime(now uint32) {
	core.now = max(core.now, now)
}

func (core *Core) newID() uint64 {
	core.lastID++
	return core.lastID
}

// send queues a message. The caller sets the body; send sets the sender, the
// recipient and the incarnation.
func (core *Core) send(to string, envelope *apiv1.Envelope) {
	envelope.From = core.self.GetId()
	envelope.To = to
	envelope.Incarnation = core.self.GetIncarnation()
	if to == core.self.GetId() {
		core.loopback = append(core.loopback, envelope)
		return
	}
	core.out.Messages = append(core.out.Messages, envelope)
}

// publishView adds a new view to the output when any part of it has changed.
func (core *Core) publishView() {
	if core.settled == nil {
		return
	}
	core.out.ContactLeaseEnd = core.contactLeaseEnd()
	core.out.ServeIsolated = core.config.ServeIsolated && core.isIsolated() && !core.hasNewerPeer()
	if !core.viewChanged && core.view != nil {
		return
	}
	view := &router.View{
		Settled:          core.settled,
		Pending:          core.pending,
		Phase:            core.phase,
		DropUnknownFlows: core.dropsUnknownFlows(),
		ActiveMarks:      core.activeMarks(),
		KnownMarks:       core.knownMarks(),
		Leaving:          core.leavingBackends(),
		Keepers:          core.settledKeepers,
		Filters:          core.viewFilters(),
	}
	core.view = view.Compile()
	core.viewVersion++
	core.viewChanged = false
	core.out.View = core.view
	core.out.ViewVersion = core.viewVersion
}

func sortedKeys[Value any](values map[string]Value) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
