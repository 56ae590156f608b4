// Package events carries control events to the control goroutine of a node,
// over watermill's in-process publisher and subscriber. Per-packet work and
// questions about flows never pass here.
package events

import (
	"context"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// Kind says what an event is about.
type Kind string

const (
	// KindDocument: the group's document as it stands in the store.
	KindDocument Kind = "document"
	// KindConfiguration: the configuration as it stands in the store.
	KindConfiguration Kind = "configuration"
	// KindLeavingMark: a back end is to leave.
	KindLeavingMark Kind = "mark"
	// KindMember: another node of the group may exist.
	KindMember Kind = "machine"
	// KindRules: the rules that the policies ask for have changed.
	KindRules Kind = "rules"
	// KindWritten: a write of the document has ended.
	KindWritten Kind = "written"
	// KindAlive: the group's sign of life in the store has changed.
	KindAlive Kind = "alive"
	// KindDirectoryNews: the store or a peer answered a balancer, or failed to.
	KindDirectoryNews Kind = "news"
	// KindStop: this node is to stop as planned.
	KindStop Kind = "leave"
)

const (
	topic      = "control"
	kindKey    = "kind"
	bufferSize = 256
	resultKey  = "result"
)

// Event is one control event. Body depends on the kind and may be nil.
type Event struct {
	Kind      Kind
	Body      proto.Message
	Succeeded bool
}

// Bus carries events from many publishers to one subscriber.
type Bus struct {
	channel *gochannel.GoChannel
}

// NewBus makes a bus. Its buffer is bounded; a publisher waits when the
// control goroutine is that far behind.
func NewBus() *Bus {
	config := gochannel.Config{OutputChannelBuffer: bufferSize}
	return &Bus{channel: gochannel.NewGoChannel(config, watermill.NopLogger{})}
}

// Close ends the bus.
func (bus *Bus) Close() error { return bus.channel.Close() }

// Publish sends an event to the control goroutine.
func (bus *Bus) Publish(event Event) error {
	var payload []byte
	if event.Body != nil {
		encoded, err := proto.Marshal(event.Body)
		if err != nil {
			return errors.Wrapf(err, "event %s: encode", event.Kind)
		}
		payload = encoded
	}
	carried := message.NewMessage(watermill.NewShortUUID(), payload)
	carried.Metadata.Set(kindKey, string(event.Kind))
	if event.Succeeded {
		carried.Metadata.Set(resultKey, "true")
	}
	return errors.Wrapf(bus.channel.Publish(topic, carried), "event %s: publish", event.Kind)
}

// Subscribe returns the events' messages; each must be decoded with Decode.
func (bus *Bus) Subscribe(ctx context.Context) (<-chan *message.Message, error) {
	messages, err := bus.channel.Subscribe(ctx, topic)
	return messages, errors.Wrap(err, "events: subscribe")
}

// Decode reads an event and acknowledges its message.
func Decode(carried *message.Message) (Event, error) {
	defer carried.Ack()
	event := Event{
		Kind:      Kind(carried.Metadata.Get(kindKey)),
		Succeeded: carried.Metadata.Get(resultKey) != "",
	}
	event.Body = newBody(event.Kind)
	if event.Body == nil {
		return event, nil
	}
	err := proto.Unmarshal(carried.Payload, event.Body)
	return event, errors.Wrapf(err, "event %s: decode", event.Kind)
}

func newBody(kind Kind) proto.Message {
	switch kind {
	case KindDocument:
		return &apiv1.EpochDocument{}
	case KindConfiguration:
		return &apiv1.Configuration{}
	case KindLeavingMark:
		return &apiv1.LeavingMark{}
	case KindMember:
		return &apiv1.Member{}
	case KindRules:
		return &apiv1.Epoch{}
	case KindDirectoryNews:
		return &apiv1.DirectoryNews{}
	}
	return nil
}
