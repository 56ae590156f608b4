package metadata

// BackendEntry is what a back end writes of itself into the store.
type BackendEntry struct {
	Pool    string `json:"backend_pool"`
	Address string `json:"addr"`
	Zone    string `json:"zone"`
	Version string `json:"version"`
	// Slots are the requests that it works on at a time.
	Slots int    `json:"capacity"`
	State string `json:"state"`
	// WarmupMilliseconds is how much longer it is slow.
	WarmupMilliseconds int `json:"warmup_left_ms"`
	// Sequence rises with each writing.
	Sequence int `json:"seq"`
	// StartedMilliseconds is the Unix time of its start in milliseconds.
	StartedMilliseconds int64 `json:"born,omitempty"`
}

// The states of a back end.
const (
	StateReady    = "ready"
	StateDraining = "draining"
)

// BackendKey is the key of a back end's entry.
func BackendKey(id string) string { return "servers/" + id }
