package metadata

import (
	"maps"
	"net/http"
	"strconv"
)

// eraHeader is the header that tells the store's era, in all answers.
const eraHeader = "Store-Era"

// Backup is what the store held at a moment.
type Backup struct {
	revision uint64
	items    map[string]Item
}

// Backup takes a copy of what the store holds.
func (server *Server) Backup() Backup {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return Backup{revision: server.revision, items: maps.Clone(server.items)}
}

// Restore puts the store back to a copy. What was written since is gone, and so are the
// leases; revisions go back and are given out again, in another era.
func (server *Server) Restore(copied Backup) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.era.Add(1)
	server.revision, server.items = copied.revision, maps.Clone(copied.items)
	server.compactRevision, server.history = copied.revision, nil
	clear(server.leaseDeadlines)
	clear(server.leaseTTLs)
	server.notifyWatchers()
}

// Era returns the store's era.
func (server *Server) Era() uint64 { return server.era.Load() }

// eraWriter tells the era in each answer, as of when the answer leaves if the handler
// has not set it.
type eraWriter struct {
	http.ResponseWriter
	server *Server
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	if w.Header().Get(eraHeader) == "" {
		w.Header().Set(eraHeader, strconv.FormatUint(w.server.Era(), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}
