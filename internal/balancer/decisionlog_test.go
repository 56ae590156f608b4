package balancer

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// Lines used to be dropped beyond one limit per second whatever they described: in 16781
// lines of a day, none explained a request that a balancer had refused.
func TestPassingRequestsDoNotDisplaceOtherLines(t *testing.T) {
	var written bytes.Buffer
	log := decisionLog{logger: slog.New(slog.NewTextHandler(&written, nil))}
	now := time.Now().Truncate(time.Second)
	backend := &tokenroute.Backend{ID: "i-1"}
	passes := tokenroute.Decision{Verdict: tokenroute.Forward, Reason: tokenroute.ReasonToken, Backend: backend}
	for number := range 1000 {
		log.record(tokenroute.Packet{Length: 100}, fmt.Appendf(nil, "request-%d", number), passes, nil, now)
	}
	log.record(tokenroute.Packet{First: true}, nil, tokenroute.Decision{Verdict: tokenroute.Forward, Backend: backend}, nil, now)
	log.record(tokenroute.Packet{}, nil, tokenroute.Decision{Verdict: tokenroute.Refuse, Reason: tokenroute.ReasonNoRoute}, nil, now)
	require.Contains(t, written.String(), "flow sent to a back end")
	require.Contains(t, written.String(), "flow refused")
	require.Equal(t, lineLimits[linePassing]+lineLimits[lineSampled], strings.Count(written.String(), "request passes"))
	log.record(tokenroute.Packet{First: true}, nil, passes, nil, now.Add(time.Second))
	require.Regexp(t, "lines left out.*failures=0 openings=0 sampled=[0-9]+ passing=9", written.String())
}

func TestSampleIsTheSameOnEveryBalancer(t *testing.T) {
	count := 0
	for number := range 16_000 {
		if sampled(fmt.Appendf(nil, "request-%d", number)) {
			count++
		}
	}
	require.InDelta(t, 1000, count, 150)
	require.Equal(t, sampled([]byte("a3")), sampled([]byte("a3")))
}

// The line of a flow that was refused for lack of capacity states the pressure that caused
// the refusal, and many such lines do not displace the line of another failure.
func TestCapacityRefusalsAreLoggedWithTheirCause(t *testing.T) {
	var written bytes.Buffer
	log := decisionLog{logger: slog.New(slog.NewTextHandler(&written, nil))}
	now := time.Now().Truncate(time.Second)
	refusal := &admission.Refusal{Pool: "lending", Priority: 2, Fraction: 0.75,
		Pressure: admission.Pressure{RequestsPerSlot: 4.256, SeenAt: now.Add(-1500 * time.Millisecond)}}
	refused := tokenroute.Decision{Verdict: tokenroute.Refuse, Reason: tokenroute.ReasonNoCapacity, Refusal: refusal}
	for range 1000 {
		log.record(tokenroute.Packet{First: true}, nil, refused, nil, now)
	}
	log.record(tokenroute.Packet{}, nil, tokenroute.Decision{Verdict: tokenroute.Refuse, Reason: tokenroute.ReasonNoRoute}, nil, now)
	require.Contains(t, written.String(), "reason=no_room token=0 pool=lending urgency=2 refused_part=0.75 pressure=4.26 pressure_age=1.5s")
	require.Contains(t, written.String(), "reason=no_route")
	require.Equal(t, lineLimits[lineNoCapacity], strings.Count(written.String(), "reason=no_room"))
}

// Flows that use the same addresses and ports one after the other can be told apart in the log by
// the numbers of their packets, and an overruled token is named.
func TestLinesTellFlowsWithTheSameKeyApart(t *testing.T) {
	var written bytes.Buffer
	log := decisionLog{logger: slog.New(slog.NewTextHandler(&written, nil))}
	now := time.Now()
	backend := &tokenroute.Backend{ID: "i-1"}
	log.record(tokenroute.Packet{First: true, Sequence: 70}, nil, tokenroute.Decision{Reason: tokenroute.ReasonNewFlow, Backend: backend}, nil, now)
	log.record(tokenroute.Packet{Sequence: 71, Acknowledged: 500, Token: 9}, nil,
		tokenroute.Decision{Reason: tokenroute.ReasonOpenedElsewhere, Backend: backend}, nil, now)
	require.Regexp(t, "reason=new_flow .*sequence=70\n", written.String())
	require.Regexp(t, "reason=kept .*sequence=71 acknowledged=500 token=9\n", written.String())
}
