package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// cluster is three cores whose messages are handed over by hand.
type cluster struct {
	t      testing.TB
	now    uint32
	cores  map[string]*Core
	tables map[string]*flowtable.Table
	// document is the store.
	document *apiv1.EpochDocument
	// isolated nodes neither send nor receive.
	isolated map[string]bool
}

func testServices(leaving uint32) []*apiv1.ServiceRule {
	made := &apiv1.ServiceRule{Name: "lending", Address: "10.200.0.1", Port: 80, Salt: 1}
	for backend := uint32(1); backend <= 4; backend++ {
		made.Candidates = append(made.Candidates, &apiv1.Candidate{Backend: backend, Weight: 100, Leaving: backend == leaving})
	}
	return []*apiv1.ServiceRule{made}
}

func newCluster(t testing.TB) *cluster {
	made := &cluster{t: t, now: 1, cores: make(map[string]*Core), tables: make(map[string]*flowtable.Table), isolated: make(map[string]bool)}
	for _, id := range []string{"a", "b", "c"} {
		made.add(id, 1)
	}
	made.setDesired(1, 0)
	made.run(5 * time.Second)
	require.NotNil(t, made.cores["a"].Document())
	return made
}

func (mesh *cluster) add(id string, incarnation uint64) {
	table := flowtable.New(1 << 12)
	member := &apiv1.Member{Id: id, Zone: "zone-" + id, PeerAddress: id, Incarnation: incarnation}
	core, err := New(DefaultConfig(), member, table)
	require.NoError(mesh.t, err)
	mesh.cores[id], mesh.tables[id] = core, table
	for other := range mesh.cores {
		core.AddPeer(&apiv1.Member{Id: other, PeerAddress: other})
	}
}

// setDesired sets the desired rules of all nodes.
func (mesh *cluster) setDesired(revision uint64, leaving uint32) {
	for _, core := range mesh.cores {
		core.ObserveConfiguration(mesh.now, &apiv1.Configuration{Revision: revision})
		core.SetDesired(mesh.now, revision, testServices(leaving), nil)
	}
}

func (mesh *cluster) run(length time.Duration) {
	for end := mesh.now + milliseconds(length); mesh.now < end; mesh.now += 20 {
		for _, id := range sortedKeys(mesh.cores) {
			mesh.cores[id].Tick(mesh.now)
			mesh.deliver(id)
		}
	}
}

// deliver carries out what a core wants done, until nothing is left.
func (mesh *cluster) deliver(id string) []Resolution {
	var resolutions []Resolution
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		core := mesh.cores[queue[0]]
		out := core.Ready()
		core.ViewInForce(out.ViewVersion)
		resolutions = append(resolutions, out.Resolutions...)
		if out.Write != nil {
			mesh.write(core, out.Write.Document)
		}
		for _, message := range out.Messages {
			to := mesh.cores[message.GetTo()]
			if to == nil || mesh.isolated[message.GetTo()] || mesh.isolated[message.GetFrom()] {
				continue
			}
			to.Step(mesh.now, proto.CloneOf(message))
			queue = append(queue, message.GetTo())
		}
	}
	return resolutions
}

func (mesh *cluster) write(core *Core, document *apiv1.EpochDocument) {
	held := document.GetVersion() == mesh.document.GetVersion()+1
	if held {
		mesh.document = document
	}
	core.WriteDone(mesh.now, held)
	core.ObserveDocument(mesh.now, mesh.document)
}

func testKey(number int) flow.Key {
	return flow.Key{Source: [4]byte{10, 64, byte(number >> 8), byte(number)}, SourcePort: 1000,
		Destination: [4]byte{10, 200, 0, 1}, DestinationPort: 80, Protocol: 6}
}

func TestOneDocumentForAll(t *testing.T) {
	mesh := newCluster(t)
	for _, core := range mesh.cores {
		require.True(t, proto.Equal(mesh.document, core.Document()))
		require.Equal(t, "fresh", core.Contact())
		require.Len(t, core.Document().GetSettled().GetMembers(), 3)
	}
}

func TestChangePassesAllPhases(t *testing.T) {
	mesh := newCluster(t)
	mesh.setDesired(2, 3)
	seen := make(map[router.Phase]bool)
	for range 300 {
		mesh.run(20 * time.Millisecond)
		seen[mesh.cores["a"].Phase()] = true
	}
	require.Len(t, seen, 4)
	require.Equal(t, uint64(2), mesh.document.GetSettled().GetConfigurationRevision())
	require.Nil(t, mesh.document.GetPending())
}

// TestFirstWriterWins: whatever the order of questions and proposals, all askers
// of a flow get the same back end.
func TestFirstWriterWins(t *testing.T) {
	mesh := newCluster(t)
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		asked := testKey(number)
		answers := make(map[uint32]bool)
		for range rapid.IntRange(2, 5).Draw(t, "questions") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")
			proposal := uint32(rapid.IntRange(1, 4).Draw(t, "proposal"))
			mesh.cores[id].Lookup(mesh.now, asked, proposal, true, false)
			for _, resolution := range mesh.deliver(id) {
				require.Equal(t, asked, resolution.Key)
				answers[resolution.Backend] = true
			}
		}
		require.Len(t, answers, 1)
	})
}

func TestQuestionsHaveABound(t *testing.T) {
	mesh := newCluster(t)
	for id := range mesh.cores {
		mesh.isolated[id] = true
	}
	core := mesh.cores["a"]
	for number := range core.config.MaximumLookups + 1 {
		core.Lookup(mesh.now, testKey(number), 1, true, false)
	}
	unanswered := 0
	for _, resolution := range core.Ready().Resolutions {
		if resolution.Backend == rule.NoBackend {
			unanswered++
		}
	}
	require.Equal(t, 1, unanswered, "the question above the bound is given up at once")
}

func TestUnansweredQuestionsAreGivenUp(t *testing.T) {
	mesh := newCluster(t)
	mesh.isolated["b"], mesh.isolated["c"] = true, true
	core := mesh.cores["a"]
	number := 0
	for first, second := core.settledKeeper.Pick(testKey(number).Hash()); first == "a" || second == "a"; {
		number++
		first, second = core.settledKeeper.Pick(testKey(number).Hash())
	}
	core.Lookup(mesh.now, testKey(number), 1, true, false)
	core.Ready()
	core.Tick(mesh.now + milliseconds(core.config.LookupDeadline))
	require.Equal(t, []Resolution{{Key: testKey(number)}}, core.Ready().Resolutions)
}

func TestNoNodeGoesBack(t *testing.T) {
	mesh := newCluster(t)
	old := proto.CloneOf(mesh.document)
	mesh.setDesired(2, 3)
	mesh.run(8 * time.Second)
	core := mesh.cores["b"]
	version := core.Document().GetVersion()
	require.Greater(t, version, old.GetVersion())
	core.ObserveDocument(mesh.now, old)
	require.Equal(t, version, core.Document().GetVersion())
	require.False(t, core.ObserveConfiguration(mesh.now, &apiv1.Configuration{Revision: 1}))
}

func TestMarksMergeMonotonously(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		core, err := New(DefaultConfig(), &apiv1.Member{Id: "a", Incarnation: 1}, flowtable.New(1))
		require.NoError(t, err)
		highest := make(map[uint32]uint64)
		for range rapid.IntRange(1, 12).Draw(t, "marks") {
			mark := &apiv1.LeavingMark{Backend: uint32(rapid.IntRange(1, 3).Draw(t, "backend")), Incarnation: uint64(rapid.IntRange(1, 4).Draw(t, "incarnation"))}
			core.mergeMarks([]*apiv1.LeavingMark{mark})
			highest[mark.GetBackend()] = max(highest[mark.GetBackend()], mark.GetIncarnation())
		}
		for _, mark := range core.LeavingMarks() {
			require.Equal(t, highest[mark.GetBackend()], mark.GetIncarnation())
		}
		require.Len(t, core.LeavingMarks(), len(highest))
	})
}

func TestDeadMemberIsFenced(t *testing.T) {
	mesh := newCluster(t)
	mesh.isolated["c"] = true
	mesh.setDesired(2, 3)
	mesh.run(15 * time.Second)
	require.Equal(t, uint64(2), mesh.document.GetSettled().GetConfigurationRevision())
	require.Len(t, mesh.document.GetSettled().GetMembers(), 2)
	require.Equal(t, "isolated", mesh.cores["c"].Contact())
	mesh.isolated["c"] = false
	mesh.run(10 * time.Second)
	require.Len(t, mesh.document.GetSettled().GetMembers(), 3)
	require.Equal(t, "fresh", mesh.cores["c"].Contact())
}

func TestRestartedNodeWaitsForItsPeers(t *testing.T) {
	mesh := newCluster(t)
	mesh.add("c", 2)
	require.Equal(t, "no_state", mesh.cores["c"].Contact())
	mesh.run(10 * time.Second)
	require.Equal(t, "fresh", mesh.cores["c"].Contact())
	for _, member := range mesh.document.GetSettled().GetMembers() {
		if member.GetId() == "c" {
			require.Equal(t, uint64(2), member.GetIncarnation())
		}
	}
}

func TestBadMessagesAreIgnored(t *testing.T) {
	mesh := newCluster(t)
	core := mesh.cores["a"]
	bodies := []*apiv1.Envelope{
		{Body: &apiv1.Envelope_BindRequest{BindRequest: &apiv1.BindRequest{Keys: []byte{1, 2}, Proposals: []uint32{1}}}},
		{Body: &apiv1.Envelope_BindReply{BindReply: &apiv1.BindReply{Request: 99, Backends: []uint32{1}}}},
		{Body: &apiv1.Envelope_RecordBatch{RecordBatch: &apiv1.RecordBatch{Keys: make([]byte, 20), Backends: []uint32{1}}}},
		{Body: &apiv1.Envelope_RecordWanted{RecordWanted: &apiv1.RecordWanted{Offer: 9, Bitmap: []byte{255}}}},
		{Body: &apiv1.Envelope_FilterPart{FilterPart: &apiv1.FilterPart{EpochNumber: 1, Keeper: "b", Size: 1 << 30, Hashes: 3, Bits: []byte{1}}}},
		{Body: &apiv1.Envelope_RecordDigest{RecordDigest: &apiv1.RecordDigest{EpochNumber: 1, Digests: []byte{1, 2}}}},
		{Body: &apiv1.Envelope_AliveQuery{AliveQuery: &apiv1.AliveQuery{Keys: []byte{1}}}},
		{Body: &apiv1.Envelope_State{State: &apiv1.State{Document: &apiv1.EpochDocument{Version: 1000}}}},
		{Body: &apiv1.Envelope_HeartbeatReply{HeartbeatReply: &apiv1.HeartbeatReply{Sequence: 1 << 60}}},
		{},
	}
	for place, envelope := range bodies {
		t.Run(fmt.Sprint(place), func(t *testing.T) {
			envelope.From, envelope.To, envelope.Incarnation = "b", "a", 1
			require.NotPanics(t, func() { core.Step(mesh.now, envelope); mesh.deliver("a") })
			require.Equal(t, mesh.document.GetVersion(), core.Document().GetVersion())
		})
	}
}

func TestConfigValidate(t *testing.T) {
	require.NoError(t, DefaultConfig().Validate())
	require.NoError(t, DefaultConfigRegions().Validate())
	config := DefaultConfig()
	config.FencingTime = config.HeartbeatInterval
	require.ErrorContains(t, config.Validate(), "set it to three heartbeat intervals")
}

// TestReusedPorts: a SYN on the ports of a flow that ended long ago does not go
// to its back end when that one leaves; the SYN of the flow itself does.
func TestReusedPorts(t *testing.T) {
	mesh := newCluster(t)
	asked := testKey(1)
	ask := func(proposal uint32) uint32 {
		mesh.cores["a"].Lookup(mesh.now, asked, proposal, true, true)
		resolutions := mesh.deliver("a")
		require.Len(t, resolutions, 1)
		return resolutions[0].Backend
	}
	require.Equal(t, uint32(3), ask(3))
	mesh.setDesired(2, 3)
	mesh.run(5 * time.Second)
	require.Equal(t, uint32(3), ask(1), "a SYN that comes again")
	mesh.run(70 * time.Second)
	require.Equal(t, uint32(1), ask(1), "a new flow")
}

func TestRecordsHaveABound(t *testing.T) {
	mesh := newCluster(t)
	for _, core := range mesh.cores {
		core.config.MaximumRecords = 3
	}
	for number := range 20 {
		mesh.cores["a"].Lookup(mesh.now, testKey(number), 1, true, true)
		resolutions := mesh.deliver("a")
		require.Len(t, resolutions, 1)
		require.Equal(t, uint32(1), resolutions[0].Backend, "at the bound the proposal is the answer")
	}
	for _, core := range mesh.cores {
		require.LessOrEqual(t, core.RecordCount(), 3)
	}
}

// TestHintsSpareQuestions: a node that joins gets the keepers' records and
// answers from them without a message; a SYN is still asked about.
func TestHintsSpareQuestions(t *testing.T) {
	mesh := newCluster(t)
	for number := range 40 {
		mesh.cores["a"].Lookup(mesh.now, testKey(number), 1, true, true)
		mesh.deliver("a")
	}
	mesh.add("d", 1)
	joined := mesh.cores["d"]
	joined.ObserveConfiguration(mesh.now, &apiv1.Configuration{Revision: 1})
	joined.SetDesired(mesh.now, 1, testServices(0), nil)
	mesh.run(1500 * time.Millisecond)
	require.Len(t, joined.hints, 40)
	joined.Lookup(mesh.now, testKey(7), 2, false, false)
	out := joined.Ready()
	require.Equal(t, []Resolution{{Key: testKey(7), Backend: 1, Recorded: true}}, out.Resolutions)
	joined.Lookup(mesh.now, testKey(8), 2, true, true)
	require.Empty(t, joined.Ready().Resolutions)
	mesh.now += hintLifetime + 1000
	joined.Lookup(mesh.now, testKey(9), 2, false, false)
	require.Empty(t, joined.hints, "hints end")
}
