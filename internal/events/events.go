// Package events carries control events to the control goroutine of a node, over
// watermill's in-process publish/subscribe channel. Per-packet work and queries about flows
// do not use it.
//
// # Usage
//
//	bus := events.NewBus()
//	messages, err := bus.Subscribe(ctx) // in the control goroutine
//	err = bus.Publish(events.Event{Kind: events.KindConfiguration, Body: configuration})
//	event, err := events.Decode(<-messages)
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

// Kind is the kind of an event.
type Kind string

const (
	// KindDocument carries the group's document as it is in the store.
	KindDocument Kind = "document"
	// KindConfiguration carries the configuration as it is in the store.
	KindConfiguration Kind = "configuration"
	// KindLeavingMark carries the mark of a back end that must leave.
	KindLeavingMark Kind = "mark"
	// KindMember reports another node of the group that may exist.
	KindMember Kind = "machine"
	// KindRules carries the rules that result from the policies after a change.
	KindRules Kind = "rules"
	// KindWritten reports that a write of the document has ended.
	KindWritten Kind = "written"
	// KindGroupLiveness reports that the group liveness key in the store has changed.
	KindGroupLiveness Kind = "alive"
	// KindDirectoryNews reports that the store or a peer answered a balancer, or failed to.
	KindDirectoryNews Kind = "news"
	// KindStop requests a planned stop of this node.
	KindStop Kind = "leave"
)

const (
	topic      = "control"
	kindKey    = "kind"
	bufferSize = 256
	resultKey  = "result"
)

// Event is one control event.
type Event struct {
	Kind Kind
	// Body depends on the kind and may be nil.
	Body proto.Message
	// Succeeded is the outcome of the write for KindWritten.
	Succeeded bool
}

// Bus transports events from many publishers to one subscriber.
type Bus struct {
	channel *gochannel.GoChannel
}

// NewBus returns a bus whose channel buffers up to bufferSize messages. Publish does not
// wait for the delivery of an event.
func NewBus() *Bus {
	config := gochannel.Config{OutputChannelBuffer: bufferSize}
	return &Bus{channel: gochannel.NewGoChannel(config, watermill.NopLogger{})}
}

// Close closes the bus and its subscriptions.
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
	msg := message.NewMessage(watermill.NewShortUUID(), payload)
	msg.Metadata.Set(kindKey, string(event.Kind))
	if event.Succeeded {
		msg.Metadata.Set(resultKey, "true")
	}
	return errors.Wrapf(bus.channel.Publish(topic, msg), "event %s: publish", event.Kind)
}

// Subscribe returns the messages that carry the events; each must be passed to Decode.
func (bus *Bus) Subscribe(ctx context.Context) (<-chan *message.Message, error) {
	messages, err := bus.channel.Subscribe(ctx, topic)
	return messages, errors.Wrap(err, "events: subscribe")
}

// Decode returns the event that a message carries, and acknowledges the message.
func Decode(msg *message.Message) (Event, error) {
	defer msg.Ack()
	event := Event{
		Kind:      Kind(msg.Metadata.Get(kindKey)),
		Succeeded: msg.Metadata.Get(resultKey) != "",
	}
	event.Body = newBody(event.Kind)
	if event.Body == nil {
		return event, nil
	}
	err := proto.Unmarshal(msg.Payload, event.Body)
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
