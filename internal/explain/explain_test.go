package explain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

func testViewDetails(t testing.TB) *ViewDetails {
	service := &apiv1.ServiceRule{Name: "lending", Address: "10.200.0.1", Port: 80, Candidates: []*apiv1.Candidate{
		{Backend: 1, Weight: 100}, {Backend: 2, Weight: 100}, {Backend: 3, Weight: 0}}}
	set, err := rule.NewSet(&apiv1.Epoch{Number: 4, ConfigurationRevision: 9, Services: []*apiv1.ServiceRule{service}})
	require.NoError(t, err)
	view := &router.View{Settled: set, KnownMarks: map[uint32]bool{2: true}, ActiveMarks: map[uint32]bool{2: true}}
	return &ViewDetails{Version: 1, View: view.Compile(), Backends: map[uint32]string{1: "lending-1", 2: "lending-2", 3: "lending-3"},
		Policies: map[string]string{"lending": "gentle"}, Reasons: map[uint32]string{2: "drained by an operator"}}
}

func TestExplain(t *testing.T) {
	memory := New(1024, time.Unix(1000, 0))
	memory.AddView(testViewDetails(t))
	key, err := flow.Parse("10.64.0.5:40000-10.200.0.1:80")
	require.NoError(t, err)
	memory.Decided(1500, key, router.PathKeeper, 1)
	require.Equal(t, []string{key.String()}, memory.RecentFlows(5))
	explanation := memory.Explain("maadi-1", key)
	require.Len(t, explanation.GetDecisions(), 1)
	decision := explanation.GetDecisions()[0]
	require.Equal(t, "lending-1", decision.GetBackend())
	require.Equal(t, "gentle", decision.GetPolicy())
	require.Equal(t, uint64(4), decision.GetSettledNumber())
	require.Equal(t, uint64(9), decision.GetConfigurationRevision())
	require.Equal(t, int64(1001500), decision.GetUnixMilliseconds())
	verdicts := make(map[string]string)
	for _, candidate := range decision.GetCandidates() {
		verdicts[candidate.GetBackend()] = candidate.GetVerdict()
	}
	require.Equal(t, "chosen", verdicts["lending-1"])
	require.Equal(t, "leaving: drained by an operator", verdicts["lending-2"])
	require.Contains(t, verdicts["lending-3"], "takes no new flows")
}

func TestExplainReportsAgedOutDecisions(t *testing.T) {
	memory := New(16, time.Unix(1000, 0))
	memory.AddView(testViewDetails(t))
	key, err := flow.Parse("10.64.0.5:40000-10.200.0.1:80")
	require.NoError(t, err)
	require.Contains(t, memory.Explain("n", key).GetNote(), "decided nothing")
	for port := range 512 {
		other := key
		other.SourcePort = uint16(port)
		memory.Decided(10, other, router.PathSettled, 1)
	}
	require.Contains(t, memory.Explain("n", key).GetNote(), "have aged out")
}

func BenchmarkDecided(b *testing.B) {
	memory := New(65536, time.Now())
	memory.AddView(testViewDetails(b))
	key := flow.Key{}
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		key.SourcePort = uint16(number)
		memory.Decided(1, key, router.PathSettled, 1)
	}
}
