package metadata

import (
	"maps"
	"net/http"
	"strconv"
)

// eraHeader is the response header that carries the store's era. Every response
// has it.
const eraHeader = "Store-Era"

// Backup holds the store's keys and revision at one point in time.
type Backup struct {
	revision uint64
	items    map[string]Item
}

// Backup returns a copy of the store's current contents.
func (server *Server) Backup() Backup {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return Backup{revision: server.revision, items: maps.Clone(server.items)}
}

// Restore resets the store to a backup. Later writes and all leases are lost. The
// revision goes back too, so that revisions are assigned again, in a new era.
func (server *Server) Restore(backup Backup) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.era.Add(1)
	server.revision, server.items = backup.revision, maps.Clone(backup.items)
	server.compactRevision, server.history = backup.revision, nil
	clear(server.leaseDeadlines)
	clear(server.leaseTTLs)
	server.notifyWatchers()
}

// Era returns the store's era, which each restore from a backup increments.
func (server *Server) Era() uint64 { return server.era.Load() }

// eraWriter adds the era to each response. It is the era at the time when the
// response is written, unless the handler has set the header itself.
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
