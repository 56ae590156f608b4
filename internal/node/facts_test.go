package node

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

func reportServer(t testing.TB) string {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		_, _ = writer.Write([]byte(`{"healthy": true, "load": 0.4, "state": "live"}`))
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestReadReport(t *testing.T) {
	report, err := readReport(context.Background(), reportServer(t))
	require.NoError(t, err)
	require.Equal(t, Report{Healthy: true, Load: 0.4, State: "live"}, report)
	_, err = readReport(context.Background(), "127.0.0.1:1")
	require.ErrorContains(t, err, "report 127.0.0.1:1")
}

// TestReportsAreSpaced keeps the deciding node at 20 reports a second.
func TestReportsAreSpaced(t *testing.T) {
	known := newFacts()
	require.Equal(t, minimumPollInterval, known.pollInterval())
	service := &apiv1.Service{Backends: make([]*apiv1.Backend, 140)}
	known.setConfiguration(&apiv1.Configuration{Services: []*apiv1.Service{service}})
	require.Equal(t, 7*time.Second, known.pollInterval())
}

func TestFactsOfSilentBackend(t *testing.T) {
	known := newFacts()
	backend := &apiv1.Backend{Id: 1, Name: "lending-0"}
	require.Equal(t, "unknown", known.policyFacts(backend, 0.5, minimumPollInterval).MachineState)
	known.recordReport(1, Report{Healthy: true, Load: 7, State: "live"}, nil)
	facts := known.policyFacts(backend, 0.5, minimumPollInterval)
	require.True(t, facts.Healthy)
	require.Equal(t, 1.0, facts.Load, "a load above 1 counts as 1")
	known.reports[1].lastGood = time.Now().Add(-time.Minute)
	known.recordReport(1, Report{}, errors.New("no answer"))
	require.False(t, known.policyFacts(backend, 0.5, minimumPollInterval).Healthy)
}

// BenchmarkReadReport includes the answering server, so it is an upper bound.
func BenchmarkReadReport(b *testing.B) {
	address := reportServer(b)
	for b.Loop() {
		if _, err := readReport(context.Background(), address); err != nil {
			b.Fatal(err)
		}
	}
}
