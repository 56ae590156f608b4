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

// operation is one operation of a history: a change with an ID, or a read if the ID is empty.
type operation struct{ id string }

// historyState holds the revision of the configuration and those of the accepted operations.
type historyState struct {
	revision uint64
	accepted string
}

// model is the sequential specification: a change creates the next revision once, its
// repetitions return that same revision, and a read returns the newest revision.
var model = porcupine.Model{
	Init: func() any { return historyState{} },
	Step: func(state, input, output any) (bool, any) {
		current, id, revision := state.(historyState), input.(operation).id, output.(uint64)
		if id == "" {
			return revision == current.revision, current
		}
		mark := fmt.Sprintf("|%s=%d|", id, revision)
		if strings.Contains(current.accepted, "|"+id+"=") {
			return strings.Contains(current.accepted, mark), current
		}
		return revision == current.revision+1, historyState{revision: revision, accepted: current.accepted + mark}
	},
}

// noCompareStore writes without comparing, to prove that the check detects it. Before it
// writes, it waits for the other operators to write, which on a busy machine would
// otherwise happen by chance only.
type noCompareStore struct{ Store }

// concurrentWriteDelay is long compared with a call over loopback.
const concurrentWriteDelay = 5 * time.Millisecond

func (s noCompareStore) CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) error {
	time.Sleep(concurrentWriteDelay)
	value, _ := s.Get(ctx, key)
	return s.Store.CompareAndSwap(ctx, key, value.Version, data)
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
			for round := range 5 {
				id := fmt.Sprintf("operator-%d-%d", operator, round)
				policy := &apiv1.Policy{Name: "shared", Weight: fmt.Sprintf("0.%d", round+1)}
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

// TestChangesAreLinearizable checks the history of three concurrent operators with about a
// third of the answers lost.
func TestChangesAreLinearizable(t *testing.T) {
	operations := runHistory(t, func(client Store) Store { return client })
	require.Len(t, operations, 30)
	require.True(t, porcupine.CheckOperations(model, operations))
}

// TestWritesWithoutCompareAreNotLinearizable proves that the check detects a store that
// writes without comparing.
func TestWritesWithoutCompareAreNotLinearizable(t *testing.T) {
	for range 10 {
		if !porcupine.CheckOperations(model, runHistory(t, func(client Store) Store { return noCompareStore{client} })) {
			return
		}
	}
	require.Fail(t, "ten histories of a store that does not compare were accepted as linearizable")
}
