package balancer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

const (
	// leaseLength is how long the entry of a balancer outlives it.
	leaseLength = 20 * time.Second
	// renewInterval leaves room for two renewals that fail.
	renewInterval = leaseLength / 3
	// announceDelay lets a start go by before the entry is written.
	announceDelay = 300 * time.Millisecond
)

// announce keeps the entry of this balancer in the store, under a lease, so
// that the others find it. Failures cost nothing but that.
func (b *Balancer) announce(ctx context.Context) error {
	lease := uint64(0)
	pause := announceDelay
	for {
		pause += rand.N(pause / 2)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		pause = renewInterval
		if b.stopping.Load() {
			continue
		}
		var err error
		lease, err = b.renew(ctx, lease)
		if err != nil {
			b.logger.Debug("Announcement failed.", "error", err)
			pause = time.Second
		}
	}
}

// renew renews the lease, or takes one and writes the entry when there is none.
// It returns the lease in force, 0 for none. A call that fails ends no lease:
// only the store's word does.
func (b *Balancer) renew(ctx context.Context, lease uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	if lease == 0 {
		lease = b.formerLease()
	}
	if lease != 0 {
		err := b.outside.Store.Renew(ctx, lease)
		if errors.Is(err, ErrLeaseOver) {
			b.announced.Store(nil)
			return 0, err
		}
		return lease, err
	}
	lease, err := b.outside.Store.Lease(ctx, leaseLength)
	if err != nil {
		return 0, err
	}
	if err := b.outside.Store.Announce(ctx, b.entry(), lease); err != nil {
		return 0, err
	}
	return lease, nil
}

// formerLease is the lease of the entry that this balancer wrote before it
// started again, if the entry still tells what is true; otherwise 0.
func (b *Balancer) formerLease() uint64 {
	announced := b.announced.Load()
	if announced == nil {
		return 0
	}
	wanted := b.entry()
	wanted.Lease = announced.GetLease()
	if !proto.Equal(wanted, announced) {
		return 0
	}
	return announced.GetLease()
}

// noteAnnounced takes what the directory has of this balancer.
func (b *Balancer) noteAnnounced(known []*apiv1.Balancer) {
	for _, balancer := range known {
		if balancer.GetName() == b.settings.Load().GetName() {
			b.announced.Store(balancer)
			return
		}
	}
	b.announced.Store(nil)
}

// entry is how this balancer shows itself to the others.
func (b *Balancer) entry() *apiv1.Balancer {
	settings := b.settings.Load()
	return &apiv1.Balancer{
		Name:           settings.GetName(),
		Zone:           settings.GetZone(),
		PeerAddress:    settings.GetPeerAddress(),
		ProcessorCores: settings.GetProcessorCores(),
		LinkMegabits:   settings.GetLinkMegabits(),
	}
}
