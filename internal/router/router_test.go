package router

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bits-and-blooms/bloom/v3"
	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

var address = flow.Address{IP: [4]byte{10, 200, 0, 1}, Port: 80, Protocol: flow.ProtocolTCP}

func testSet(t testing.TB, number uint64, leaving uint32) *rule.Set {
	service := &apiv1.ServiceRule{Name: "lending", Address: "10.200.0.1", Port: 80, Salt: 7}
	for backend := uint32(1); backend <= 14; backend++ {
		service.Candidates = append(service.Candidates,
			&apiv1.Candidate{Backend: backend, Weight: 100, Leaving: backend == leaving})
	}
	set, err := rule.NewSet(&apiv1.Epoch{Number: number, Services: []*apiv1.ServiceRule{service}})
	require.NoError(t, err)
	return set
}

func testKey(number int) flow.Key {
	return flow.Key{Source: [4]byte{10, 64, byte(number >> 16), byte(number >> 8)}, SourcePort: 1024 + uint16(number),
		Destination: address.IP, DestinationPort: address.Port, Protocol: address.Protocol}
}

func testView(t testing.TB, pending *rule.Set, phase Phase) *View {
	members := map[string]string{}
	filters := map[string]*bloom.BloomFilter{}
	for number := range 6 {
		id := fmt.Sprintf("node-%d", number)
		members[id] = fmt.Sprintf("zone-%d", number%3)
		filters[id] = bloom.New(1024, 7)
	}
	view := &View{Settled: testSet(t, 1, 0), Pending: pending, Phase: phase, Keepers: NewKeepers(members), Filters: filters}
	return view.Compile()
}

func testRouter(t testing.TB, view *View) *Router {
	router := New(flowtable.New(1 << 18))
	router.SetView(view)
	router.SetContact(1000, false)
	return router
}

// findFlows returns a flow for which the two rules differ and one for which they
// agree.
func findFlows(view *View) (ambiguous, agreed flow.Key) {
	foundAmbiguous, foundAgreed := false, false
	for number := 0; !foundAmbiguous || !foundAgreed; number++ {
		key := testKey(number)
		if view.Ambiguous(key, key.Hash()) {
			ambiguous, foundAmbiguous = key, true
		} else {
			agreed, foundAgreed = key, true
		}
	}
	return ambiguous, agreed
}

func TestDecideByPhase(t *testing.T) {
	pending := testSet(t, 2, 3)
	view := testView(t, pending, PhaseLearned)
	ambiguous, agreed := findFlows(view)
	settled := view.Settled.Rule(address).Pick(ambiguous.Hash())
	next := pending.Rule(address).Pick(ambiguous.Hash())
	cases := []struct {
		name     string
		phase    Phase
		flags    PacketFlags
		proposal uint32
	}{
		{"learned, new flow", PhaseLearned, PacketOpens, settled},
		{"learned, open flow", PhaseLearned, 0, settled},
		{"active, new flow", PhaseActive, PacketOpens, next},
		{"active, open flow", PhaseActive, 0, settled},
		{"flipped, new flow", PhaseFlipped, PacketOpens, next},
		{"flipped, open flow", PhaseFlipped, 0, next},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			router := testRouter(t, testView(t, pending, test.phase))
			decision := router.Decide(10, ambiguous, ambiguous.Hash(), test.flags)
			require.Equal(t, Decision{Action: ActionLookup, Path: PathKeeper, Proposal: test.proposal, Bind: true,
				IsSYN: test.flags&PacketOpens != 0}, decision)
			require.Equal(t, ActionForward, router.Decide(10, agreed, agreed.Hash(), test.flags).Action)
		})
	}
}

func TestFilterMatchCausesLookup(t *testing.T) {
	view := testView(t, nil, PhaseNone)
	key := testKey(5)
	first, _ := view.Keepers.Pick(key.Hash())
	bytes := key.Bytes()
	view.Filters[first].Add(bytes[:])
	decision := testRouter(t, view).Decide(10, key, key.Hash(), 0)
	require.Equal(t, ActionLookup, decision.Action)
	require.False(t, decision.Bind)
	delete(view.Filters, first)
	require.Equal(t, ActionForward, testRouter(t, view).Decide(10, key, key.Hash(), 0).Action, "the filter of the second keeper is used")
	view.Filters = nil
	require.Equal(t, ActionLookup, testRouter(t, view).Decide(10, key, key.Hash(), 0).Action, "without a filter the node looks the flow up")
}

func TestWithoutContact(t *testing.T) {
	router := testRouter(t, testView(t, nil, PhaseNone))
	known, unknown := testKey(1), testKey(2)
	require.Equal(t, ActionForward, router.Decide(10, known, known.Hash(), PacketOpens).Action)
	require.Equal(t, ActionForward, router.Decide(2000, known, known.Hash(), 0).Action, "a known flow is still forwarded")
	require.Equal(t, PathDroppedNoContact, router.Decide(2000, known, known.Hash(), PacketOpens).Path, "a SYN may open a new flow on the same ports")
	require.Equal(t, PathDroppedNoContact, router.Decide(2000, unknown, unknown.Hash(), PacketOpens).Path)
	require.Equal(t, PathDroppedNoContact, router.Decide(2000, unknown, unknown.Hash(), 0).Path)
	router.SetContact(1000, true)
	require.Equal(t, ActionForward, router.Decide(2000, unknown, unknown.Hash(), 0).Action)
}

func TestRefusals(t *testing.T) {
	view := testView(t, nil, PhaseNone)
	router := testRouter(t, view)
	unknownService := testKey(1)
	unknownService.DestinationPort = 81
	require.Equal(t, PathRefusedNoService, router.Decide(10, unknownService, unknownService.Hash(), PacketOpens).Path)
	all := make(map[uint32]bool)
	for backend := uint32(1); backend <= 14; backend++ {
		all[backend] = true
	}
	view = testView(t, nil, PhaseNone)
	view.ActiveMarks, view.KnownMarks = all, all
	key := testKey(1)
	require.Equal(t, PathRefusedNoBackend, testRouter(t, view.Compile()).Decide(10, key, key.Hash(), PacketOpens).Path)
	full := New(flowtable.New(1))
	full.SetView(testView(t, nil, PhaseNone))
	full.SetContact(1000, false)
	for number := range 4096 {
		other := testKey(number)
		full.InsertFlow(10, other, other.Hash(), 1, 0)
	}
	unknown := testKey(9999)
	require.Equal(t, PathRefusedOverload, full.Decide(10, unknown, unknown.Hash(), PacketOpens).Path)
	require.Equal(t, ActionForward, full.Decide(10, unknown, unknown.Hash(), 0).Action, "open flows are forwarded when the table is full")
}

func TestLeavingMarkExcludesNewFlows(t *testing.T) {
	view := testView(t, nil, PhaseNone)
	view.ActiveMarks, view.KnownMarks = map[uint32]bool{3: true}, map[uint32]bool{3: true}
	router := testRouter(t, view.Compile())
	for number := range 2000 {
		key := testKey(number)
		decision := router.Decide(10, key, key.Hash(), PacketOpens)
		require.NotEqual(t, uint32(3), decision.Backend)
		require.NotEqual(t, uint32(3), decision.Proposal)
	}
}

// TestEntrySize checks that 400,000 flows take at most 64 MB.
func TestEntrySize(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	table := flowtable.New(400_000 * 11 / 10)
	for number := range 400_000 {
		key := testKey(number)
		key.Source[0] = byte(number >> 14)
		table.Put(key, key.Hash(), flowtable.Entry{Backend: 1})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	used := after.HeapAlloc - before.HeapAlloc
	t.Logf("%d flows in %.1f MB, %.0f bytes each", table.Len(), float64(used)/1e6, float64(used)/float64(table.Len()))
	require.Greater(t, table.Len(), 390_000)
	require.Less(t, used, uint64(64_000_000))
	runtime.KeepAlive(table)
}

func TestDecideDoesNotAllocate(t *testing.T) {
	router := testRouter(t, testView(t, testSet(t, 2, 3), PhaseActive))
	key := testKey(1)
	router.Decide(10, key, key.Hash(), PacketOpens)
	require.Zero(t, testing.AllocsPerRun(1000, func() { router.Decide(10, key, key.Hash(), 0) }))
}

func BenchmarkDecideLocal(b *testing.B) {
	router := testRouter(b, testView(b, nil, PhaseNone))
	keys := make([]flow.Key, 1<<16)
	hashes := make([]uint64, len(keys))
	for number := range keys {
		keys[number] = testKey(number)
		hashes[number] = keys[number].Hash()
		router.InsertFlow(10, keys[number], hashes[number], 1, 0)
	}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		index := number & (len(keys) - 1)
		router.Decide(11, keys[index], hashes[index], 0)
	}
}

// BenchmarkDecidePendingEpoch decides unknown flows while an epoch is pending; the
// table is full, so that no flow is added to it.
func BenchmarkDecidePendingEpoch(b *testing.B) {
	router := New(flowtable.New(0))
	router.SetView(testView(b, testSet(b, 2, 3), PhaseActive))
	router.SetContact(1000, false)
	for number := range 1 << 14 {
		key := testKey(number)
		key.Source[0] = 11
		router.InsertFlow(10, key, key.Hash(), 1, 0)
	}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		key := testKey(number & 0xffff)
		router.Decide(11, key, key.Hash(), 0)
	}
}
