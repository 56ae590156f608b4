package balancer

import (
	"sync"
	"sync/atomic"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
)

// mailboxLimit bounds the statements that wait for the other goroutine.
const mailboxLimit = 1024

// mailbox carries statements between the control and the traffic goroutine, neither of
// which waits for the other. Its zero value is empty.
type mailbox struct {
	// nonEmpty saves the traffic goroutine the lock at each packet.
	nonEmpty     atomic.Bool
	mutex        sync.Mutex
	observations []evidence.Observation
	// lost counts the statements for which there was no room.
	lost atomic.Uint64
}

// put adds statements as far as there is room.
func (m *mailbox) put(statements []evidence.Observation) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	room := min(len(statements), mailboxLimit-len(m.observations))
	m.observations = append(m.observations, statements[:room]...)
	m.lost.Add(uint64(len(statements) - room))
	m.nonEmpty.Store(len(m.observations) > 0)
}

// take empties the mailbox.
func (m *mailbox) take() []evidence.Observation {
	if !m.nonEmpty.Load() {
		return nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	taken := m.observations
	m.observations = nil
	m.nonEmpty.Store(false)
	return taken
}
