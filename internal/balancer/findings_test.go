package balancer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
	"github.com/indigobarrow/indigobarrow/internal/replication"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

var backendSeven = incarnation.ID{Number: 7}

func failingFinding(evidence float64) map[incarnation.ID]observe.Finding {
	return map[incarnation.ID]observe.Finding{{Number: 7}: {Failing: observe.Excess{Fraction: 0.5, Evidence: evidence}}}
}

// A single balancer sees too few responses to be sure; a tree of balancers together sees enough.
func TestFindingsOfAllBalancersAddUp(t *testing.T) {
	now := time.Now()
	var root, middle, leaf findings
	root.local, middle.local, leaf.local = failingFinding(5), failingFinding(4), failingFinding(4)
	middle.updateFollower("leaf", encodeFindings(leaf.subtree(now)), now)
	root.updateFollower("middle", encodeFindings(middle.subtree(now)), now)
	require.InDelta(t, 13, root.all(now)[backendSeven].Failing.Evidence, 1e-6)
	middle.updateParent(encodeFindings(root.all(now)), now)
	leaf.updateParent(encodeFindings(middle.all(now)), now)
	require.InDelta(t, 13, leaf.all(now)[backendSeven].Failing.Evidence, 1e-6, "no response counts twice")
	require.InDelta(t, 8, middle.subtree(now)[backendSeven].Failing.Evidence, 1e-6, "findings from the parent are not sent back to it")
	root.updateFollower("middle", encodeFindings(middle.subtree(now)), now.Add(time.Second))
	require.InDelta(t, 13, root.all(now.Add(time.Second))[backendSeven].Failing.Evidence, 1e-6)
	late := now.Add(2 * findingsTTL)
	require.InDelta(t, 5, root.all(late)[backendSeven].Failing.Evidence, 1e-6, "balancers that no longer report do not count")
	require.InDelta(t, 4, leaf.all(late)[backendSeven].Failing.Evidence, 1e-6)
}

func TestFindingsPerMessageAreBounded(t *testing.T) {
	findings := make(map[incarnation.ID]observe.Finding)
	for number := range uint64(1000) {
		findings[incarnation.ID{Number: number}] = observe.Finding{Slow: observe.Excess{Fraction: 0.5, Evidence: float64(number)}}
	}
	encoded := encodeFindings(findings)
	require.Len(t, encoded, maxFindings)
	require.InDelta(t, 999, encoded[0].GetSlowEvidence(), 1e-6, "findings with the most evidence come first")
}

// A failing back end gets few new flows, and its full share again once the evidence has decayed.
func TestFailingBackendLosesItsShare(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	entry := directory.BackendEntry{PoolBackend: &apiv1.PoolBackend{Id: "i-7", Number: 7, Pool: "lending", Zone: "maadi"}}
	require.False(t, control.weightInputs.evaluateHealth(failingFinding(14), 1))
	require.Equal(t, uint32(rule.MaximumWeight), control.weightFunc(nil, now)(entry))
	require.False(t, control.weightInputs.evaluateHealth(failingFinding(16), 20), "the evidence is too weak for twenty observers")
	require.True(t, control.weightInputs.evaluateHealth(failingFinding(16), 1))
	require.LessOrEqual(t, control.weightFunc(nil, now)(entry), uint32(rule.MaximumWeight/20))
	require.False(t, control.weightInputs.evaluateHealth(failingFinding(9), 1), "nothing changes while it still counts as failing")
	require.True(t, control.weightInputs.evaluateHealth(nil, 1))
	require.Equal(t, uint32(rule.MaximumWeight), control.weightFunc(nil, now)(entry))
}

// A policy takes precedence over the weights derived from health.
func TestPoliciesSeeObservedHealth(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	entry := directory.BackendEntry{PoolBackend: &apiv1.PoolBackend{Id: "i-7", Number: 7, Pool: "lending", Zone: "maadi"}}
	control.replica.Apply(policyBatch(1, "lending", "failing > 0.3 ? 0.25 : 1.0 - slow - 0.0 * use"), now)
	require.True(t, control.weightInputs.evaluateHealth(failingFinding(16), 1))
	require.Equal(t, uint32(rule.MaximumWeight/4), control.weightFunc(nil, now)(entry))
	require.False(t, control.weightInputs.evaluateHealth(failingFinding(16), 1), "the table was built with this health")
}

// Calls that report, query or fetch carry no findings, and do not remove earlier ones.
func TestOnlyFollowCallsUpdateFindings(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	caller := replication.Caller{Address: "10.0.0.2:8166"}
	follow := &followCall{caller: caller, findings: encodeFindings(failingFinding(9)), receivedAt: now, deadline: now.Add(time.Second),
		reply: make(chan *apiv1.FollowReply, 1)}
	control.enqueueFollow(follow)
	control.enqueueFollow(&followCall{caller: caller, receivedAt: now, deadline: now, reply: make(chan *apiv1.FollowReply, 1)})
	control.enqueueFollow(&followCall{caller: caller, receivedAt: now, deadline: now.Add(time.Second), revisionOnly: true,
		reply: make(chan *apiv1.FollowReply, 1)})
	require.InDelta(t, 9, control.findings.all(now)[backendSeven].Failing.Evidence, 1e-6)
	healthy := &followCall{caller: caller, receivedAt: now, deadline: now.Add(time.Second), reply: make(chan *apiv1.FollowReply, 1)}
	control.enqueueFollow(healthy)
	require.Empty(t, control.findings.all(now), "a follow call without findings removes the earlier ones")
}

// Balancers of different zones hardly see the same back ends. Their findings would cost bandwidth
// between zones, and each additional balancer would raise the evidence required.
func TestFindingsStayWithinFollowOrder(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	var balancers []*apiv1.Balancer
	for index := range 40 {
		balancers = append(balancers, &apiv1.Balancer{Name: fmt.Sprintf("edge-%d", index+1), PeerAddress: fmt.Sprintf("10.0.0.%d:1", index+1),
			Zone: []string{"maadi", "giza"}[index%2]})
	}
	control.core.SetBalancers(balancers, now)
	control.findings.local = failingFinding(9)
	followRequest := func(address string) *apiv1.FollowRequest {
		return control.requestTo(replication.Peer{Address: address, Purpose: replication.PurposeFollow}, 0, now)
	}
	require.Equal(t, 20, control.core.OrderSize())
	require.True(t, followRequest("10.0.0.3:1").GetTakesFindings())
	require.Len(t, followRequest("10.0.0.3:1").GetFindings(), 1)
	require.False(t, followRequest("10.0.0.2:1").GetTakesFindings())
	require.Empty(t, followRequest("10.0.0.2:1").GetFindings())
	for _, takes := range []bool{true, false} {
		call := &followCall{wantsFindings: takes, receivedAt: now, deadline: now, reply: make(chan *apiv1.FollowReply, 1)}
		control.enqueueFollow(call)
		control.answerWaiting(now)
		require.Equal(t, takes, len((<-call.reply).GetFindings()) > 0)
	}
}
