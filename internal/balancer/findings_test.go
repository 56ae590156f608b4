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

// One balancer sees too few answers to be sure; a tree of them is.
func TestFindingsOfAllBalancersAddUp(t *testing.T) {
	now := time.Now()
	var root, middle, leaf findings
	root.local, middle.local, leaf.local = failingFinding(5), failingFinding(4), failingFinding(4)
	middle.updateFollower("leaf", encodeFindings(leaf.subtree(now)), now)
	root.updateFollower("middle", encodeFindings(middle.subtree(now)), now)
	require.InDelta(t, 13, root.all(now)[backendSeven].Failing.Evidence, 1e-6)
	middle.updateParent(encodeFindings(root.all(now)), now)
	leaf.updateParent(encodeFindings(middle.all(now)), now)
	require.InDelta(t, 13, leaf.all(now)[backendSeven].Failing.Evidence, 1e-6, "no answer counts twice")
	require.InDelta(t, 8, middle.subtree(now)[backendSeven].Failing.Evidence, 1e-6, "what came from above is not told above")
	root.updateFollower("middle", encodeFindings(middle.subtree(now)), now.Add(time.Second))
	require.InDelta(t, 13, root.all(now.Add(time.Second))[backendSeven].Failing.Evidence, 1e-6)
	late := now.Add(2 * findingsTTL)
	require.InDelta(t, 5, root.all(late)[backendSeven].Failing.Evidence, 1e-6, "who is not heard any more does not count")
	require.InDelta(t, 4, leaf.all(late)[backendSeven].Failing.Evidence, 1e-6)
}

func TestFindingsPerMessageAreBounded(t *testing.T) {
	found := make(map[incarnation.ID]observe.Finding)
	for number := range uint64(1000) {
		found[incarnation.ID{Number: number}] = observe.Finding{Slow: observe.Excess{Fraction: 0.5, Evidence: float64(number)}}
	}
	encoded := encodeFindings(found)
	require.Len(t, encoded, maxFindings)
	require.InDelta(t, 999, encoded[0].GetSlowEvidence(), 1e-6, "those with the most evidence")
}

// A back end that fails gets few new flows, and its share again once the evidence
// has faded.
func TestFailingBackendLosesItsShare(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	entry := directory.BackendEntry{PoolBackend: &apiv1.PoolBackend{Id: "i-7", Number: 7, Pool: "lending", Zone: "maadi"}}
	require.False(t, control.observed.evaluateHealth(failingFinding(14), 1))
	require.Equal(t, uint32(rule.MaximumWeight), control.weightFunc(nil, now)(entry))
	require.False(t, control.observed.evaluateHealth(failingFinding(16), 20), "for twenty observers it is too little")
	require.True(t, control.observed.evaluateHealth(failingFinding(16), 1))
	require.LessOrEqual(t, control.weightFunc(nil, now)(entry), uint32(rule.MaximumWeight/20))
	require.False(t, control.observed.evaluateHealth(failingFinding(9), 1), "nothing changes while it still counts as failing")
	require.True(t, control.observed.evaluateHealth(nil, 1))
	require.Equal(t, uint32(rule.MaximumWeight), control.weightFunc(nil, now)(entry))
}

// A policy has the last word on what is observed.
func TestPoliciesSeeObservedHealth(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	entry := directory.BackendEntry{PoolBackend: &apiv1.PoolBackend{Id: "i-7", Number: 7, Pool: "lending", Zone: "maadi"}}
	control.replica.Apply(policyBatch(1, "lending", "failing > 0.3 ? 0.25 : 1.0 - slow - 0.0 * use"), now)
	require.True(t, control.observed.evaluateHealth(failingFinding(16), 1))
	require.Equal(t, uint32(rule.MaximumWeight/4), control.weightFunc(nil, now)(entry))
	require.False(t, control.observed.evaluateHealth(failingFinding(16), 1), "the table was made with it")
}

// A call that tells, asks or fetches brings no findings, and ends none.
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
	well := &followCall{caller: caller, receivedAt: now, deadline: now.Add(time.Second), reply: make(chan *apiv1.FollowReply, 1)}
	control.enqueueFollow(well)
	require.Empty(t, control.findings.all(now), "a follower that finds nothing any more says so")
}

// Balancers of another zone hardly see the same back ends. Their findings would
// cost bytes between zones, and each would raise the evidence that is asked for.
func TestFindingsStayWithinFollowOrder(t *testing.T) {
	control := newTestControl()
	now := time.Now()
	var known []*apiv1.Balancer
	for place := range 40 {
		known = append(known, &apiv1.Balancer{Name: fmt.Sprintf("edge-%d", place+1), PeerAddress: fmt.Sprintf("10.0.0.%d:1", place+1),
			Zone: []string{"maadi", "giza"}[place%2]})
	}
	control.core.SetBalancers(known, now)
	control.findings.local = failingFinding(9)
	follow := func(address string) *apiv1.FollowRequest {
		return control.requestTo(replication.Peer{Address: address, Purpose: replication.PurposeFollow}, 0, now)
	}
	require.Equal(t, 20, control.core.OrderSize())
	require.True(t, follow("10.0.0.3:1").GetTakesFindings())
	require.Len(t, follow("10.0.0.3:1").GetFindings(), 1)
	require.False(t, follow("10.0.0.2:1").GetTakesFindings())
	require.Empty(t, follow("10.0.0.2:1").GetFindings())
	for _, takes := range []bool{true, false} {
		asking := &followCall{wantsFindings: takes, receivedAt: now, deadline: now, reply: make(chan *apiv1.FollowReply, 1)}
		control.enqueueFollow(asking)
		control.answerWaiting(now)
		require.Equal(t, takes, len((<-asking.reply).GetFindings()) > 0)
	}
}
