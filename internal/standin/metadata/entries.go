package metadata

// BackendEntry is the entry that a back end writes about itself into the store.
type BackendEntry struct {
	Pool    string `json:"backend_pool"`
	Address string `json:"addr"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	// Slots is the number of requests that the back end runs concurrently.
	Slots int    `json:"capacity"`
	State string `json:"state"`
	// WarmupMilliseconds is the remaining warm-up time, in which the back end is slow.
	WarmupMilliseconds int `json:"warmup_left_ms"`
	// Sequence increases with each write of the entry.
	Sequence int `json:"seq"`
	// StartedMilliseconds is the back end's start time as Unix time in milliseconds.
	StartedMilliseconds int64 `json:"born,omitempty"`
}

// These are the values of BackendEntry.State.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// BackendKey returns the key of a back end's entry.
func BackendKey(id string) string { return "servers/" + id }
