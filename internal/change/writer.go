package change

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/store"
)

// Store is the platform's key-value service as a Writer uses it.
type Store interface {
	Get(ctx context.Context, key string) (store.Value, error)
	CompareAndSwap(ctx context.Context, key string, expected uint64, data []byte) error
}

// Writer carries changes into the store. A change is accepted exactly when its
// write held; a write whose fate is unknown is found out by looking for the
// operation in what stands.
type Writer struct {
	Store  Store
	Key    string
	Logger *slog.Logger
}

const (
	maxAttempts   = 5
	minRetryDelay = 50 * time.Millisecond
)

// ErrStoreRead marks errors of reads: nothing was changed.
var ErrStoreRead = errors.New("the store does not answer")

// Apply applies a change. It returns the answer and the configuration written,
// nil when the operation had been accepted before. Errors are a *Problem, or
// marked with ErrStoreRead.
func (writer *Writer) Apply(ctx context.Context, request *apiv1.ChangeRequest, made Environment) (*apiv1.ChangeAnswer, *apiv1.Configuration, error) {
	for attempt := range maxAttempts {
		current, err := writer.read(ctx)
		if err != nil {
			if attempt == 0 {
				return nil, nil, errors.Mark(err, ErrStoreRead)
			}
			break
		}
		if accepted := FindOperation(current, request.GetOperationId()); accepted != nil {
			return &apiv1.ChangeAnswer{Revision: accepted.GetRevision(), RepeatedOperation: true,
				Message: "this operation had been accepted before"}, nil, nil
		}
		next, problem := Apply(current, request, made)
		if problem != nil {
			return nil, nil, problem
		}
		data, err := proto.Marshal(next)
		if err != nil {
			return nil, nil, errors.Wrap(err, "configuration: encode")
		}
		err = writer.Store.CompareAndSwap(ctx, writer.Key, current.GetRevision(), data)
		if err == nil {
			return &apiv1.ChangeAnswer{Revision: next.GetRevision(), Message: "accepted"}, next, nil
		}
		writer.Logger.Warn("Configuration not written.", "error", err)
		time.Sleep(minRetryDelay + time.Duration(rand.Int64N(int64(minRetryDelay))))
	}
	return nil, nil, NewProblem(CodeUnknown, "operation_id", request.GetOperationId(),
		"the store did not confirm the change; it may have taken effect",
		"repeat it with the same operation ID: it is applied at most once")
}

func (writer *Writer) read(ctx context.Context) (*apiv1.Configuration, error) {
	value, err := writer.Store.Get(ctx, writer.Key)
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	configuration := &apiv1.Configuration{}
	return configuration, errors.Wrap(proto.Unmarshal(value.Data, configuration), "configuration: decode")
}
