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

// cluster runs three cores with a simulated clock and delivers their messages
// synchronously.
type cluster struct {
	t     testing.TB
	now   uint32
	cores map[string]*Core
	table map[string]*flowtable.Table
	// document is the content of the store.
	document *apiv1.EpochDocument
	// isolated nodes neither send nor receive messages.
	isolated map[string]bool
}

// testServices returns one service with four back ends, one of which may be
// leaving.
func testServices(leaving uint32) []*apiv1.ServiceRule {
	service := &apiv1.ServiceRule{Name: "lending", Address: "10.200.0.1", Port: 80, Salt: 1}
	for backend := uint32(1); backend <= 4; backend++ {
		service.Candidates = append(service.Candidates, &apiv1.Candidate{Backend: backend, Weight: 100, Leaving: backend == leaving})
	}
	return []*apiv1.ServiceRule{service}
}

func newCluster(t testing.TB) *cluster {
	c := &cluster{t: t, now: 1, cores: make(map[string]*Core), table: make(map[string]*flowtable.Table), isolated: make(map[string]bool)}
	for _, id := range []string{"a", "b", "c"} {
		c.add(id, 1)
	}
	c.setDesired(1, 0)
	c.run(5 * time.Second)
	require.NotNil(t, c.cores["a"].Document())
	return c
}

func (cluster *cluster) add(id string, incarnation uint64) {
	table := flowtable.New(1 << 12)
	member := &apiv1.Member{Id: id, Zone: "zone-" + id, PeerAddress: id, Incarnation: incarnation}
	core, err := New(DefaultConfig(), member, table)
	require.NoError(cluster.t, err)
	cluster.cores[id], cluster.table[id] = core, table
	for other := range cluster.cores {
		core.AddPeer(&apiv1.Member{Id: other, PeerAddress: other})
	}
}

// setDesired sets the desired rules of all nodes.
func (cluster *cluster) setDesired(revision uint64, leaving uint32) {
	for _, core := range cluster.cores {
		core.ObserveConfiguration(cluster.now, &apiv1.Configuration{Revision: revision})
		core.SetDesired(cluster.now, revision, testServices(leaving), nil)
	}
}

// run advances the clock in steps of 20 milliseconds.
func (cluster *cluster) run(length time.Duration) {
	for end := cluster.now + milliseconds(length); cluster.now < end; cluster.now += 20 {
		for _, id := range sortedKeys(cluster.cores) {
			cluster.cores[id].Tick(cluster.now)
			cluster.deliver(id)
		}
	}
}

// deliver performs the output of a core and of every core that receives a
// message in turn, and returns the results of lookups.
func (cluster *cluster) deliver(id string) []Resolution {
	var resolutions []Resolution
	for queue := []string{id}; len(queue) > 0; queue = queue[1:] {
		core := cluster.cores[queue[0]]
		out := core.Ready()
		core.ViewInForce(out.ViewVersion)
		resolutions = append(resolutions, out.Resolutions...)
		if out.Write != nil {
			cluster.write(core, out.Write.Document)
		}
		for _, message := range out.Messages {
			to := cluster.cores[message.GetTo()]
			if to == nil || cluster.isolated[message.GetTo()] || cluster.isolated[message.GetFrom()] {
				continue
			}
			to.Step(cluster.now, proto.CloneOf(message))
			queue = append(queue, message.GetTo())
		}
	}
	return resolutions
}

// write simulates the compare-and-swap of the document in the store.
func (cluster *cluster) write(core *Core, document *apiv1.EpochDocument) {
	stored := document.GetVersion() == cluster.document.GetVersion()+1
	if stored {
		cluster.document = document
	}
	core.WriteDone(cluster.now, stored)
	core.ObserveDocument(cluster.now, cluster.document)
}

func testKey(number int) flow.Key {
	return flow.Key{Source: [4]byte{10, 64, byte(number >> 8), byte(number)}, SourcePort: 1000,
		Destination: [4]byte{10, 200, 0, 1}, DestinationPort: 80, Protocol: 6}
}

func TestNodesAgreeOnDocument(t *testing.T) {
	cluster := newCluster(t)
	for _, core := range cluster.cores {
		require.True(t, proto.Equal(cluster.document, core.Document()))
		require.Equal(t, "fresh", core.Contact())
		require.Len(t, core.Document().GetSettled().GetMembers(), 3)
	}
}

func TestChangePassesAllPhases(t *testing.T) {
	cluster := newCluster(t)
	cluster.setDesired(2, 3)
	seen := make(map[router.Phase]bool)
	for range 300 {
		cluster.run(20 * time.Millisecond)
		seen[cluster.cores["a"].Phase()] = true
	}
	require.Len(t, seen, 4)
	require.Equal(t, uint64(2), cluster.document.GetSettled().GetConfigurationRevision())
	require.Nil(t, cluster.document.GetPending())
}

// TestFirstWriterWins checks that all nodes that look up a flow get the same
// back end, whatever the order of lookups and proposals.
func TestFirstWriterWins(t *testing.T) {
	cluster := newCluster(t)
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		number++
		flowKey := testKey(number)
		answers := make(map[uint32]bool)
		for range rapid.IntRange(2, 5).Draw(t, "questions") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")
			proposal := uint32(rapid.IntRange(1, 4).Draw(t, "proposal"))
			cluster.cores[id].Lookup(cluster.now, flowKey, proposal, true, false)
			for _, resolution := range cluster.deliver(id) {
				require.Equal(t, flowKey, resolution.Key)
				answers[resolution.Backend] = true
			}
		}
		require.Len(t, answers, 1)
	})
}

func TestLookupsAreLimited(t *testing.T) {
	cluster := newCluster(t)
	for id := range cluster.cores {
		cluster.isolated[id] = true
	}
	core := cluster.cores["a"]
	for number := range core.config.MaximumLookups + 1 {
		core.Lookup(cluster.now, testKey(number), 1, true, false)
	}
	unanswered := 0
	for _, resolution := range core.Ready().Resolutions {
		if resolution.Backend == rule.NoBackend {
			unanswered++
		}
	}
	require.Equal(t, 1, unanswered, "the lookup above the limit is given up at once")
}

func TestUnansweredLookupsTimeOut(t *testing.T) {
	cluster := newCluster(t)
	cluster.isolated["b"], cluster.isolated["c"] = true, true
	core := cluster.cores["a"]
	number := 0
	for first, second := core.settledKeepers.Pick(testKey(number).Hash()); first == "a" || second == "a"; {
		number++
		first, second = core.settledKeepers.Pick(testKey(number).Hash())
	}
	core.Lookup(cluster.now, testKey(number), 1, true, false)
	core.Ready()
	core.Tick(cluster.now + milliseconds(core.config.LookupDeadline))
	require.Equal(t, []Resolution{{Key: testKey(number)}}, core.Ready().Resolutions)
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	cluster := newCluster(t)
	old := proto.CloneOf(cluster.document)
	cluster.setDesired(2, 3)
	cluster.run(8 * time.Second)
	core := cluster.cores["b"]
	version := core.Document().GetVersion()
	require.Greater(t, version, old.GetVersion())
	core.ObserveDocument(cluster.now, old)
	require.Equal(t, version, core.Document().GetVersion())
	require.False(t, core.ObserveConfiguration(cluster.now, &apiv1.Configuration{Revision: 1}))
}

func TestMarksMergeMonotonically(t *testing.T) {
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
	cluster := newCluster(t)
	cluster.isolated["c"] = true
	cluster.setDesired(2, 3)
	cluster.run(15 * time.Second)
	require.Equal(t, uint64(2), cluster.document.GetSettled().GetConfigurationRevision())
	require.Len(t, cluster.document.GetSettled().GetMembers(), 2)
	require.Equal(t, "isolated", cluster.cores["c"].Contact())
	cluster.isolated["c"] = false
	cluster.run(10 * time.Second)
	require.Len(t, cluster.document.GetSettled().GetMembers(), 3)
	require.Equal(t, "fresh", cluster.cores["c"].Contact())
}

func TestRestartedNodeWaitsForItsPeers(t *testing.T) {
	cluster := newCluster(t)
	cluster.add("c", 2)
	require.Equal(t, "no_state", cluster.cores["c"].Contact())
	cluster.run(10 * time.Second)
	require.Equal(t, "fresh", cluster.cores["c"].Contact())
	for _, member := range cluster.document.GetSettled().GetMembers() {
		if member.GetId() == "c" {
			require.Equal(t, uint64(2), member.GetIncarnation())
		}
	}
}

func TestBadMessagesAreIgnored(t *testing.T) {
	cluster := newCluster(t)
	core := cluster.cores["a"]
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
	for index, envelope := range bodies {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			envelope.From, envelope.To, envelope.Incarnation = "b", "a", 1
			require.NotPanics(t, func() { core.Step(cluster.now, envelope); cluster.deliver("a") })
			require.Equal(t, cluster.document.GetVersion(), core.Document().GetVersion())
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

// TestReusedPorts checks that a SYN on the ports of a flow that ended long ago
// is not sent to the back end of that flow when the back end is leaving, while
// a retransmitted SYN of the flow itself is.
func TestReusedPorts(t *testing.T) {
	cluster := newCluster(t)
	flowKey := testKey(1)
	lookUp := func(proposal uint32) uint32 {
		cluster.cores["a"].Lookup(cluster.now, flowKey, proposal, true, true)
		resolutions := cluster.deliver("a")
		require.Len(t, resolutions, 1)
		return resolutions[0].Backend
	}
	require.Equal(t, uint32(3), lookUp(3))
	cluster.setDesired(2, 3)
	cluster.run(5 * time.Second)
	require.Equal(t, uint32(3), lookUp(1), "a retransmitted SYN")
	cluster.run(70 * time.Second)
	require.Equal(t, uint32(1), lookUp(1), "a new flow")
}

func TestRecordsAreLimited(t *testing.T) {
	cluster := newCluster(t)
	for _, core := range cluster.cores {
		core.config.MaximumRecords = 3
	}
	for number := range 20 {
		cluster.cores["a"].Lookup(cluster.now, testKey(number), 1, true, true)
		resolutions := cluster.deliver("a")
		require.Len(t, resolutions, 1)
		require.Equal(t, uint32(1), resolutions[0].Backend, "at the limit the result is the proposal")
	}
	for _, core := range cluster.cores {
		require.LessOrEqual(t, core.RecordCount(), 3)
	}
}

// TestHintsAvoidLookupRequests checks that a joining node receives the records
// of the keepers and resolves lookups from them without a message, and that a
// SYN is still looked up at the keepers.
func TestHintsAvoidLookupRequests(t *testing.T) {
	cluster := newCluster(t)
	for number := range 40 {
		cluster.cores["a"].Lookup(cluster.now, testKey(number), 1, true, true)
		cluster.deliver("a")
	}
	cluster.add("d", 1)
	joined := cluster.cores["d"]
	joined.ObserveConfiguration(cluster.now, &apiv1.Configuration{Revision: 1})
	joined.SetDesired(cluster.now, 1, testServices(0), nil)
	cluster.run(1500 * time.Millisecond)
	require.Len(t, joined.hints, 40)
	joined.Lookup(cluster.now, testKey(7), 2, false, false)
	out := joined.Ready()
	require.Equal(t, []Resolution{{Key: testKey(7), Backend: 1, Recorded: true}}, out.Resolutions)
	joined.Lookup(cluster.now, testKey(8), 2, true, true)
	require.Empty(t, joined.Ready().Resolutions)
	cluster.now += hintLifetime + 1000
	joined.Lookup(cluster.now, testKey(9), 2, false, false)
	require.Empty(t, joined.hints, "hints expire")
}
