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
	// watchersPerGroup is the number of nodes of a group that watch the store. The
	// others receive updates from them, and read the store only at intervals of
	// nonWatcherReadInterval or when they have no contact.
	watchersPerGroup       = 3
	nonWatcherReadInterval = 5 * time.Minute
	rankCheckInterval      = time.Second
	retryMinimum           = 300 * time.Millisecond
	retryMaximum           = 5 * time.Second
	machinesPollInterval   = 2 * time.Second
	livenessPollInterval   = 5 * time.Second
)

// DocumentKey returns the store key of a group's epoch document.
func DocumentKey(group string) string { return "indigobarrow." + group + ".document" }

// ConfigurationKey returns the store key of a group's configuration.
func ConfigurationKey(group string) string { return "indigobarrow." + group + ".configuration" }

func (node *Node) watchDocument(ctx context.Context) error {
	key := DocumentKey(node.settings.GetGroup())
	return node.watch(ctx, key, events.KindDocument, func() proto.Message { return &apiv1.EpochDocument{} })
}

func (node *Node) watchConfiguration(ctx context.Context) error {
	key := ConfigurationKey(node.settings.GetGroup())
	return node.watch(ctx, key, events.KindConfiguration, func() proto.Message { return &apiv1.Configuration{} })
}

// watch follows one key of the store and publishes its values as events until the
// context is canceled.
func (node *Node) watch(ctx context.Context, key string, kind events.Kind, empty func() proto.Message) error {
	var version uint64
	backoff := retryMinimum
	for ctx.Err() == nil {
		value, err := node.nextValue(ctx, key, version)
		switch {
		case errors.Is(err, store.ErrNotFound):
			node.setStoreReachable(true)
			backoff = retryMinimum
			sleep(ctx, retryMinimum)
			continue
		case err != nil:
			node.setStoreReachable(false)
			node.logger.Warn("Store: reading a key failed.", "part", "store", "error", err)
			sleep(ctx, jitter(backoff))
			backoff = min(2*backoff, retryMaximum)
			continue
		}
		node.setStoreReachable(true)
		backoff = retryMinimum
		if value.Version <= version {
			continue
		}
		version = value.Version
		body := empty()
		if err := proto.Unmarshal(value.Data, body); err != nil {
			node.logger.Error("Store: value not decoded.", "part", "store", "key", key, "error", err)
			continue
		}
		if err := node.bus.Publish(events.Event{Kind: kind, Body: body}); err != nil {
			return err
		}
	}
	return nil
}

// setStoreReachable records whether the last call to the store succeeded.
func (node *Node) setStoreReachable(reachable bool) {
	node.storeReachable.Store(reachable)
	node.storeFailing.Store(!reachable)
}

// nextValue reads the key at once if version is 0. Otherwise watchers wait for a
// newer version, and the other nodes read after a long interval, or earlier if
// they become watchers or lose contact.
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

// GroupLivenessKey returns the store key that a live group changes periodically.
func GroupLivenessKey(group string) string { return "indigobarrow." + group + ".alive" }

// refreshGroupLiveness writes the group liveness key, which increases its version.
// Errors are ignored.
func (node *Node) refreshGroupLiveness(ctx context.Context) {
	key := GroupLivenessKey(node.settings.GetGroup())
	value, err := node.store.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	_ = node.store.CompareAndSwap(ctx, key, value.Version, []byte(node.self.GetId()))
}

// watchGroupLiveness polls the group liveness key while the node has no contact
// with its group, and publishes an event for each new version.
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
			if err := node.bus.Publish(events.Event{Kind: events.KindGroupLiveness}); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeDocument attempts a compare-and-swap and then reads the stored document
// back, which also determines the outcome of a write that got no response.
func (node *Node) writeDocument(ctx context.Context, document *apiv1.EpochDocument) {
	key := DocumentKey(node.settings.GetGroup())
	data, err := proto.Marshal(document)
	if err == nil {
		err = node.store.CompareAndSwap(ctx, key, document.GetVersion()-1, data)
	}
	if err != nil {
		node.logger.Info("Store: document not written.", "part", "store", "version", document.GetVersion(), "error", err)
	}
	if value, readErr := node.store.Get(ctx, key); readErr == nil {
		stored := &apiv1.EpochDocument{}
		if proto.Unmarshal(value.Data, stored) == nil {
			_ = node.bus.Publish(events.Event{Kind: events.KindDocument, Body: stored})
		}
	} else if err == nil {
		_ = node.bus.Publish(events.Event{Kind: events.KindDocument, Body: document})
	}
	_ = node.bus.Publish(events.Event{Kind: events.KindWritten, Succeeded: err == nil})
}

// Machine is one entry of the machine list of the platform.
type Machine struct {
	ID          string `json:"id"`
	Zone        string `json:"zone"`
	PeerAddress string `json:"peer_address"`
	State       string `json:"state"`
	Group       string `json:"group"`
}

// pollMachines polls the machine list of the platform and publishes the members of
// the group. The list lags, so it is only a hint.
func (node *Node) pollMachines(ctx context.Context) error {
	if node.settings.GetMachinesAddress() == "" {
		return nil
	}
	for ctx.Err() == nil {
		machines, err := readMachines(ctx, node.settings.GetMachinesAddress())
		if err != nil {
			node.logger.Debug("Machines: list not read.", "part", "machines", "error", err)
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

// readMachines reads the machine list from an address.
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

// sleep waits for a duration or until the context is done.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// jitter returns a random duration between 75 and 125 percent of the given one.
func jitter(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (0.75 + rand.Float64()/2))
}
