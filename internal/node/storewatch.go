package node

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/events"
	"github.com/indigobarrow/indigobarrow/internal/store"
)

const (
	// watchersPerGroup nodes watch the store; the others hear the news from them
	// and read for themselves only now and then, or when out of contact.
	watchersPerGroup       = 3
	nonWatcherReadInterval = 5 * time.Minute
	rankCheckInterval      = time.Second
	retryMinimum           = 300 * time.Millisecond
	retryMaximum           = 5 * time.Second
	machinesPollInterval   = 2 * time.Second
	livenessPollInterval   = 5 * time.Second
)

// DocumentKey is the store's key of a group's document.
func DocumentKey(group string) string { return "indigobarrow." + group + ".document" }

// ConfigurationKey is the store's key of a group's configuration.
func ConfigurationKey(group string) string { return "indigobarrow." + group + ".configuration" }

func (node *Node) watchDocument(ctx context.Context) error {
	key := DocumentKey(node.settings.GetGroup())
	return node.watch(ctx, key, events.KindDocument, func() proto.Message { return &apiv1.EpochDocument{} })
}

func (node *Node) watchConfiguration(ctx context.Context) error {
	key := ConfigurationKey(node.settings.GetGroup())
	return node.watch(ctx, key, events.KindConfiguration, func() proto.Message { return &apiv1.Configuration{} })
}

// watch follows one key of the store and publishes its values as events.
func (node *Node) watch(ctx context.Context, key string, kind events.Kind, empty func() proto.Message) error {
	var version uint64
	backoff := retryMinimum
	for ctx.Err() == nil {
		value, err := node.nextValue(ctx, key, version)
		switch {
		case errors.Is(err, store.ErrNotFound):
			node.storeReachable.Store(true)
			backoff = retryMinimum
			sleep(ctx, retryMinimum)
			continue
		case err != nil:
			node.storeReachable.Store(false)
			node.logger.Warn("Store not read.", "part", "store", "error", err)
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, retryMaximum)
			continue
		}
		node.storeReachable.Store(true)
		backoff = retryMinimum
		if value.Version <= version {
			continue
		}
		version = value.Version
		body := empty()
		if err := proto.Unmarshal(value.Data, body); err != nil {
			node.logger.Error("Store value not understood.", "part", "store", "key", key, "error", err)
			continue
		}
		if err := node.bus.Publish(events.Event{Kind: kind, Body: body}); err != nil {
			return err
		}
	}
	return nil
}

// nextValue reads at once the first time. Later, watchers wait for a change and
// the others read at long intervals.
func (node *Node) nextValue(ctx context.Context, key string, version uint64) (store.Value, error) {
	if version == 0 {
		return node.store.Get(ctx, key)
	}
	if node.watchRank.Load() < watchersPerGroup {
		return node.store.Watch(ctx, key, version)
	}
	deadline := time.Now().Add(jitter(nonWatcherReadInterval))
	for time.Now().Before(deadline) && ctx.Err() == nil {
		sleep(ctx, rankCheckInterval)
		if node.watchRank.Load() < watchersPerGroup || !node.ready.Load() {
			break
		}
	}
	return node.store.Get(ctx, key)
}

// GroupLivenessKey is the store's key of a group's sign of life.
func GroupLivenessKey(group string) string { return "indigobarrow." + group + ".alive" }

// refreshGroupLiveness changes the group's sign of life.
func (node *Node) refreshGroupLiveness(ctx context.Context) {
	key := GroupLivenessKey(node.settings.GetGroup())
	value, err := node.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	_ = node.store.CompareAndSwap(ctx, key, value.Version, []byte(node.self.GetId()))
}

// watchGroupLiveness reads the sign of life while the node is out of contact.
func (node *Node) watchGroupLiveness(ctx context.Context) error {
	var seen uint64
	for ctx.Err() == nil {
		sleep(ctx, jitter(livenessPollInterval))
		if node.ready.Load() {
			continue
		}
		value, err := node.store.Get(ctx, GroupLivenessKey(node.settings.GetGroup()))
		if err == nil && value.Version != seen {
			seen = value.Version
			if err := node.bus.Publish(events.Event{Kind: events.KindAlive}); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeDocument tries a compare-and-swap and reads back what stands. A write
// whose fate is unknown is thereby found out.
func (node *Node) writeDocument(ctx context.Context, document *apiv1.EpochDocument) {
	key := DocumentKey(node.settings.GetGroup())
	data, err := proto.Marshal(document)
	if err == nil {
		err = node.store.CompareAndSwap(ctx, key, document.GetVersion()-1, data)
	}
	if err != nil {
		node.logger.Info("Document not written.", "part", "store", "version", document.GetVersion(), "error", err)
	}
	if value, readErr := node.store.Get(ctx, key); readErr == nil {
		stands := &apiv1.EpochDocument{}
		if proto.Unmarshal(value.Data, stands) == nil {
			_ = node.bus.Publish(events.Event{Kind: events.KindDocument, Body: stands})
		}
	} else if err == nil {
		_ = node.bus.Publish(events.Event{Kind: events.KindDocument, Body: document})
	}
	_ = node.bus.Publish(events.Event{Kind: events.KindWritten, Succeeded: err == nil})
}

// Machine is one entry of the platform's list of machines.
type Machine struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peer_address"`
	State       string `json:"state"`
	Group       string `json:"group"`
}

// pollMachines reads the platform's list. It lags, so it is only a hint.
func (node *Node) pollMachines(ctx context.Context) error {
	if node.settings.GetMachinesAddress() == "" {
		return nil
	}
	for ctx.Err() == nil {
		machines, err := readMachines(ctx, node.settings.GetMachinesAddress())
		if err != nil {
			node.logger.Debug("Machine list not read.", "part", "machines", "error", err)
		}
		for _, machine := range machines {
			if machine.Group != node.settings.GetGroup() || machine.PeerAddress == "" {
				continue
			}
			member := &apiv1.Member{Id: machine.ID, Zone: machine.Zone, PeerAddress: machine.PeerAddress}
			if err := node.bus.Publish(events.Event{Kind: events.KindMember, Body: member}); err != nil {
				return err
			}
		}
		sleep(ctx, jitter(machinesPollInterval))
	}
	return nil
}

func readMachines(ctx context.Context, address string) ([]Machine, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/machines", nil)
	if err != nil {
		return nil, errors.Wrapf(err, "machines %s", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "machines %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	var machines []Machine
	err = json.NewDecoder(response.Body).Decode(&machines)
	return machines, errors.Wrapf(err, "machines %s: decode", address)
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter spreads a duration over 75 to 125 percent.
func jitter(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (0.75 + rand.Float64()/2))
}
