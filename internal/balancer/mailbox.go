package balancer

import (
	"sync"
	"sync/atomic"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
)

// mailboxLimit bounds the observations that wait for the receiving goroutine.
const mailboxLimit = 1024

// mailbox passes observations between the control and the traffic goroutine, neither of
// which waits for the other. Its zero value is empty.
type mailbox struct {
	// nonEmpty spares the traffic goroutine from taking the lock for each packet.
	nonEmpty     atomic.Bool
	mutex        sync.Mutex
	observations []evidence.Observation
	// lost counts the observations that did not fit.
	lost atomic.Uint64
}

// put adds as many of the observations as fit.
func (m *mailbox) put(observations []evidence.Observation) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	fit := min(len(observations), mailboxLimit-len(m.observations))
	m.observations = append(m.observations, observations[:fit]...)
	m.lost.Add(uint64(len(observations) - fit))
	m.nonEmpty.Store(len(m.observations) > 0)
}

// take empties the mailbox and returns what it held.
func (m *mailbox) take() []evidence.Observation {
	if !m.nonEmpty.Load() {
		return nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	removed := m.observations
	m.observations = nil
	m.nonEmpty.Store(false)
	return removed
}
