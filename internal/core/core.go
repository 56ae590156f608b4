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

// Flows is the node's flow table as the core uses it.
type Flows interface {
	// Visit calls visit for each entry of a shard; false removes the entry.
	Visit(shard int, visit func(flow.Key, flowtable.Entry) bool)
	// Get returns the entry of a flow.
	Get(key flow.Key, hash uint64) (flowtable.Entry, bool)
}

// Output is what a Core wants done.
type Output struct {
	// Messages are to be sent to the peers they name; losing one is allowed.
	Messages []*apiv1.Envelope
	// View is to be published to the traffic goroutines; nil when unchanged.
	// When all of them use it, ViewInForce must be called with its version.
	View        *router.View
	ViewVersion uint64
	// ContactLeaseEnd and ServeIsolated are for Router.SetContact.
	ContactLeaseEnd uint32
	ServeIsolated   bool
	// Resolutions answer questions of the traffic goroutines.
	Resolutions []Resolution
	// RefreshGroupLiveness asks for the sign of life in the store to be changed.
	RefreshGroupLiveness bool
	// Write is to be tried at the store; nil when there is none.
	Write *DocumentWrite
}

// DocumentWrite is a compare-and-swap of the group's document: it holds only
// if the stored document has the version Document.Version - 1.
type DocumentWrite struct {
	Document *apiv1.EpochDocument
}

// Resolution answers one question about a flow.
type Resolution struct {
	Key flow.Key
	// Backend is rule.NoBackend when the keepers could not be asked in time.
	Backend uint32
	// Recorded is false when the answer follows the rule because no keeper is
	// alive.
	Recorded bool
}

// Core is the control state of one node.
type Core struct {
	config Config
	self   *apiv1.Member
	flows  Flows
	now    uint32
	out    Output

	document      *apiv1.EpochDocument
	configuration *apiv1.Configuration
	// acceptedAt is when the document was taken.
	acceptedAt uint32
	settled    *rule.Set
	pending    *rule.Set
	phase      router.Phase
	completed  router.Phase
	phaseTask  phaseTask
	// rejoining is set while this node is cut off or fenced, until it has
	// listed its flows; rejoinUntil bounds the time for recording them.
	rejoining   bool
	rejoinUntil uint32
	// peerRejoiningSince is when a live peer began to rejoin; 0 is not.
	peerRejoiningSince uint32
	// fenceVersion is the document version whose fencing must be known to a
	// majority before a fenced member is no longer waited for.
	fenceVersion uint64
	// deferredDocument is a document that fences a member whose lease, as far as this
	// node has confirmed it, has not run out yet.
	deferredDocument *apiv1.EpochDocument

	view        *router.View
	viewVersion uint64
	viewInForce uint64
	viewChanged bool
	// settledFilters and pendingFilters are the filters of displaced flows.
	settledFilters     *filterSet
	pendingFilters     *filterSet
	filtersRequestedAt uint32
	settledKeeper      *router.Keepers
	pendingKeeper      *router.Keepers

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
	// desiredCleared is the incarnation of the last cleared mark by back end.
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
	// ownFlowsRecordedEpoch is the epoch for which recordOwnFlows has run.
	ownFlowsRecordedEpoch uint64
	expiry                expiryState
	recovery              recoveryState
	purge                 purgeState
	// hints are records pushed by the keepers when this node joined.
	hints          map[flow.Key]uint32
	hintsUntil     uint32
	hintsRequested map[string]bool
	hintQueue      []hintPush
	lastID         uint64
	loopback       []*apiv1.Envelope
}

// New makes the core of a node. The member's incarnation must be higher than
// that of any earlier run under the same ID.
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

// Tick lets time pass. It should be called every 20 to 100 milliseconds.
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

// Step handles a message of a peer. Messages of other incarnations than the
// newest known one are ignored.
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

// Ready returns what is to be done and forgets it.
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

// handleLoopback handles a message of the core to itself.
func (core *Core) handleLoopback(envelope *apiv1.Envelope) {
	switch body := envelope.GetBody().(type) {
	case *apiv1.Envelope_BindRequest:
		core.handleBindRequest(core.self.GetId(), body.BindRequest)
	case *apiv1.Envelope_BindReply:
		core.handleBindReply(core.self.GetId(), body.BindReply)
	}
}

// ViewInForce tells the core that every traffic goroutine uses the view of
// this version or a later one. The duties of a phase start only then: a flow
// opened under an older view is in the table by that time.
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

// send queues a message; the caller fills the body.
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

// publishView puts a new view into the output when anything in it changed.
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
		Keepers:          core.settledKeeper,
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
