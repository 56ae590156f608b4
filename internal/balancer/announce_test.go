package balancer

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
)

// leaseStore counts the calls about leases and fails as it is told.
type leaseStore struct {
	Store
	lease                     uint64
	renewals, leases, entries int
	failure                   error
}

func (s *leaseStore) Renew(_ context.Context, lease uint64) error {
	s.renewals++
	if s.failure == nil && lease != s.lease {
		return ErrLeaseOver
	}
	return s.failure
}

func (s *leaseStore) Lease(context.Context, time.Duration) (uint64, error) {
	s.leases++
	s.lease++
	return s.lease, s.failure
}

func (s *leaseStore) Announce(context.Context, *apiv1.Balancer, uint64) error {
	s.entries++
	return s.failure
}

// A balancer that starts again within its lease goes on with it. On
// warraq-nile-grown 127 starts cost 254 calls for leases and entries.
func TestBalancerThatStartsAgainGoesOnWithItsLease(t *testing.T) {
	made, store := newTestControl().balancer, &leaseStore{lease: 41}
	made.outside.Store = store
	known := made.entry()
	known.Lease = 41
	made.noteAnnounced([]*apiv1.Balancer{{Name: "another"}, known})
	lease, err := made.renew(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(41), lease)
	require.Equal(t, []int{1, 0, 0}, []int{store.renewals, store.leases, store.entries})
}

func TestEntryThatIsNoLongerTrueIsWrittenAnew(t *testing.T) {
	made, store := newTestControl().balancer, &leaseStore{lease: 41}
	made.outside.Store = store
	known := made.entry()
	known.Lease, known.PeerAddress = 41, "10.0.0.9:1"
	made.noteAnnounced([]*apiv1.Balancer{known})
	lease, err := made.renew(t.Context(), 0)
	require.NoError(t, err)
	require.Equal(t, uint64(42), lease)
	require.Equal(t, 1, store.entries)
}

func TestOnlyTheStoreEndsALease(t *testing.T) {
	made, store := newTestControl().balancer, &leaseStore{lease: 41, failure: errors.New("status 503")}
	made.outside.Store = store
	lease, err := made.renew(t.Context(), 41)
	require.Error(t, err)
	require.Equal(t, uint64(41), lease, "a call that failed ends nothing")
	store.failure = nil
	lease, err = made.renew(t.Context(), 40)
	require.ErrorIs(t, err, ErrLeaseOver)
	require.Zero(t, lease)
	lease, err = made.renew(t.Context(), lease)
	require.NoError(t, err)
	require.Equal(t, uint64(42), lease)
	require.Equal(t, 1, store.entries)
}
