package change

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	standin "github.com/indigobarrow/indigobarrow/internal/standin/store"
	"github.com/indigobarrow/indigobarrow/internal/store"
)

// operation is one step of a history: a change by ID, or a read for "".
type operation struct{ id string }

// historyState is the revision and the revision of each accepted operation.
type historyState struct {
	revision uint64
	accepted string
}

// model: a change adds the next revision once; a repeat finds its own; a read
// sees the newest revision.
var model = porcupine.Model{
	Init: func() any { return historyState{} },
	Step: func(state, input, output any) (bool, any) {
		held, id, revision := state.(historyState), input.(operation).id, output.(uint64)
		if id == "" {
			return revision == held.revision, held
		}
		mark := fmt.Sprintf("|%s=%d|", id, revision)
		if strings.Contains(held.accepted, "|"+id+"=") {
			return strings.Contains(held.accepted, mark), held
		}
		return revision == held.revision+1, historyState{revision: revision, accepted: held.accepted + mark}
	},
}

// noCompareStore drops the compare, for the red run. Before it writes, it lets the
// other operators write, which on a busy machine happens by chance only.
type noCompareStore struct{ Store }

// concurrentWriteDelay is long against a call on loopback.
const concurrentWriteDelay = 5 * time.Millisecond

func (lossy noCompareStore) CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) error {
	time.Sleep(concurrentWriteDelay)
	value, _ := lossy.Get(ctx, key)
	return lossy.Store.CompareAndSwap(ctx, key, value.Version, data)
}

func runHistory(t *testing.T, wrap func(Store) Store) []porcupine.Operation {
	server := standin.New(10_000)
	server.SetFaults(standin.Faults{LostResponses: 0.3})
	listener := httptest.NewServer(server.Handler())
	defer listener.Close()
	client := wrap(store.NewClient(listener.Listener.Addr().String()))
	var mutex sync.Mutex
	var operations []porcupine.Operation
	started := time.Now()
	record := func(operator int, id string, call time.Time, revision uint64) {
		mutex.Lock()
		defer mutex.Unlock()
		operations = append(operations, porcupine.Operation{ClientId: operator, Input: operation{id},
			Call: call.Sub(started).Nanoseconds(), Output: revision, Return: time.Since(started).Nanoseconds()})
	}
	var group sync.WaitGroup
	for operator := range 3 {
		group.Add(1)
		go func() {
			defer group.Done()
			writer := &Writer{Store: client, Key: "configuration", Logger: slog.New(slog.DiscardHandler)}
			for turn := range 5 {
				id := fmt.Sprintf("operator-%d-%d", operator, turn)
				policy := &apiv1.Policy{Name: "shared", Weight: fmt.Sprintf("0.%d", turn+1)}
				request := &apiv1.ChangeRequest{OperationId: id, Change: &apiv1.ChangeRequest_PutPolicy{PutPolicy: policy}}
				call := time.Now()
				for range 20 {
					answer, _, err := writer.Apply(context.Background(), request, Environment{Now: time.Now()})
					if err == nil {
						record(operator, id, call, answer.GetRevision())
						break
					}
				}
				call = time.Now()
				if configuration, err := writer.read(context.Background()); err == nil {
					record(operator, "", call, configuration.GetRevision())
				}
			}
		}()
	}
	group.Wait()
	return operations
}

// TestChangesAreLinearizable checks histories of three racing operators with a
// third of the answers lost.
func TestChangesAreLinearizable(t *testing.T) {
	operations := runHistory(t, func(client Store) Store { return client })
	require.Len(t, operations, 30)
	require.True(t, porcupine.CheckOperations(model, operations))
}

// TestWritesWithoutCompareAreNotLinearizable is the red run: the check must notice a
// store that does not compare.
func TestWritesWithoutCompareAreNotLinearizable(t *testing.T) {
	for range 10 {
		if !porcupine.CheckOperations(model, runHistory(t, func(client Store) Store { return noCompareStore{client} })) {
			return
		}
	}
	require.Fail(t, "ten histories without compare looked linearizable")
}
