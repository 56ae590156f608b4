package e2e

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// TestDrainKillStart is the main path: a drain, a killed node and a new one
// while callers of every zone hold connections open.
func TestDrainKillStart(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 1)
	cluster.startCallers(12, 60)
	time.Sleep(3 * time.Second)
	cluster.drain("lending", "lending-2", true)
	t.Logf("drain in force after %s", cluster.waitInForce(10*time.Second))
	drained := time.Now().UnixMilli()
	time.Sleep(2 * time.Second)
	cluster.kill(cluster.nodeIDs[1])
	cluster.startNode("nasr")
	time.Sleep(6 * time.Second)
	total := cluster.finishCallers()
	cluster.verify(total)
	require.Less(t, cluster.backend(2, 2).LastOpened, drained+3000, "the drained back end got a new flow")
}

// TestPlannedStops replaces every node, one by one, while flows stay open.
func TestPlannedStops(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 2)
	cluster.startCallers(10, 1000)
	time.Sleep(3 * time.Second)
	for _, id := range append([]string(nil), cluster.nodeIDs[:3]...) {
		cluster.startNode(id[:len(id)-2])
		time.Sleep(2 * time.Second)
		cluster.removeNode(id)
		cluster.setFabric()
		cluster.signal(id, syscall.SIGTERM)
		ended := make(chan error, 1)
		go func() { ended <- cluster.nodes[id].command.Wait() }()
		select {
		case err := <-ended:
			require.NoError(t, err, "node %s", id)
		case <-time.After(30 * time.Second):
			require.Fail(t, "the planned stop did not end", "node %s", id)
		}
	}
	time.Sleep(2 * time.Second)
	cluster.verify(cluster.finishCallers())
}

// TestBackendPlannedStop drains a back end, waits until its flows have ended,
// and ends its process.
func TestBackendPlannedStop(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 7)
	cluster.startCallers(12, 20)
	time.Sleep(3 * time.Second)
	cluster.drain("lending", "lending-3", true)
	cluster.waitInForce(10 * time.Second)
	require.Eventually(t, func() bool { return cluster.backend(2, 3).OpenConnections == 0 }, 30*time.Second, 100*time.Millisecond)
	require.Positive(t, cluster.backend(2, 3).OpenedConnections, "the back end must have had flows")
	cluster.stopBackend("lending-3", 2, 3)
	time.Sleep(3 * time.Second)
	cluster.verify(cluster.finishCallers())
}

// TestPauseDuringDrain stops a node's processor past its contact lease while a
// back end leaves, and lets it go on.
func TestPauseDuringDrain(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 3)
	cluster.startCallers(10, 60)
	time.Sleep(3 * time.Second)
	paused := cluster.nodeIDs[3]
	cluster.signal(paused, syscall.SIGSTOP)
	cluster.drain("lending", "lending-1", true)
	time.Sleep(6 * time.Second)
	cluster.signal(paused, syscall.SIGCONT)
	time.Sleep(4 * time.Second)
	total := cluster.finishCallers()
	cluster.verify(total)
}

// TestStoreOutage lets a back end leave and a node be replaced while the store
// is down.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 4)
	cluster.startCallers(10, 60)
	time.Sleep(3 * time.Second)
	cluster.storeFaults(map[string]any{"outage": true})
	answer := cluster.drain("lending", "lending-0", true)
	require.True(t, answer.GetMarkedOnly())
	drained := time.Now().UnixMilli()
	time.Sleep(2 * time.Second)
	cluster.startNode("giza")
	time.Sleep(3 * time.Second)
	cluster.kill(cluster.nodeIDs[2])
	time.Sleep(4 * time.Second)
	require.Less(t, cluster.backend(2, 0).LastOpened, drained+3000, "the leaving back end got a new flow")
	cluster.storeFaults(map[string]any{"outage": false})
	require.Eventually(t, func() bool { return cluster.status().GetStoreReachable() }, 15*time.Second, 100*time.Millisecond)
	require.False(t, cluster.drain("lending", "lending-0", true).GetMarkedOnly())
	cluster.waitInForce(20 * time.Second)
	cluster.verify(cluster.finishCallers())
}

// TestRacingOperators lets two operators change one policy through two nodes
// while half of the store's answers are lost: every accepted change is in the
// audit, once, and stays in force.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	cluster := newCluster(t, 5)
	cluster.startCallers(6, 60)
	cluster.storeFaults(map[string]any{"lost_answers": 0.5})
	var group sync.WaitGroup
	var mutex sync.Mutex
	accepted := make(map[string]uint64)
	for operator := range 2 {
		group.Add(1)
		go func() {
			defer group.Done()
			for turn := range 8 {
				operation := fmt.Sprintf("operator-%d-turn-%d", operator, turn)
				policy := &apiv1.Policy{Name: "shared", Weight: fmt.Sprintf("0.%d5", operator+turn%2)}
				request := &apiv1.ChangeRequest{OperationId: operation, Change: &apiv1.ChangeRequest_PutPolicy{PutPolicy: policy}}
				for range 10 {
					answer, err := cluster.client().Change(context.Background(), request)
					if err == nil {
						mutex.Lock()
						accepted[operation] = answer.GetRevision()
						mutex.Unlock()
						break
					}
				}
			}
		}()
	}
	group.Wait()
	cluster.storeFaults(map[string]any{})
	require.Len(t, accepted, 16, "every operator's change must be accepted in the end")
	var configuration *apiv1.Configuration
	require.Eventually(t, func() bool {
		var err error
		configuration, err = cluster.client().Configuration(context.Background())
		return err == nil && configuration.GetRevision() >= 18
	}, 15*time.Second, 100*time.Millisecond)
	times := make(map[string]int)
	revisions := make(map[uint64]bool)
	for _, change := range configuration.GetChanges() {
		times[change.GetOperationId()]++
		require.False(t, revisions[change.GetRevision()], "two changes share revision %d", change.GetRevision())
		revisions[change.GetRevision()] = true
	}
	for operation, revision := range accepted {
		require.Equal(t, 1, times[operation], "operation %s", operation)
		require.True(t, revisions[revision])
	}
	cluster.waitInForce(20 * time.Second)
	cluster.verify(cluster.finishCallers())
}
