package e2e

import (
	"time"
)

// oldest returns the back end of a pool that has been ready for longest, if
// there are more than two.
func (soak *soak) oldest(pool string) string {
	oldest, count := "", 0
	for _, id := range soak.ready(pool) {
		count++
		if oldest == "" || len(id) < len(oldest) || len(id) == len(oldest) && id < oldest {
			oldest = id
		}
	}
	if count <= 2 {
		return ""
	}
	return oldest
}

// ready are the back ends of a pool that take flows.
func (soak *soak) ready(pool string) []string {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	var found []string
	for id, backend := range soak.backends {
		if backend.Pool == pool && backend.state == "ready" && !backend.silent {
			found = append(found, id)
		}
	}
	return found
}

// ofZone are the back ends of a pool in a zone that take flows.
func (soak *soak) ofZone(pool, zone string) []string {
	var found []string
	for _, id := range soak.ready(pool) {
		if soak.zoneOfBackend(id) == zone {
			found = append(found, id)
		}
	}
	return found
}

func (soak *soak) zoneOfBackend(id string) string {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	return soak.backends[id].zone
}

// leave lets a back end leave with or without a notice; another takes its part.
func (soak *soak) leave(how string) {
	id := soak.oldest("lending")
	if id == "" {
		soak.skip()
		return
	}
	soak.newBackend("lending")
	if how == "draining" {
		soak.setState(id, "draining")
	} else {
		soak.removeEntry(id)
	}
	soak.mark(soak.history.leaving, id)
	soak.faults.Go(func() {
		time.Sleep(drainBound + calmTime)
		soak.endBackend(id)
	})
}

// crash ends back ends at once; their entries go a little later.
func (soak *soak) crash(ids ...string) {
	for _, id := range ids {
		if id == "" {
			soak.skip()
			return
		}
		soak.newBackend("lending")
		soak.record.Lock()
		soak.history.crashed["lending/"+id] = true
		soak.record.Unlock()
		soak.endBackend(id)
	}
}

func (soak *soak) endBackend(id string) {
	soak.mark(soak.history.dead, id)
	soak.mutex.Lock()
	ended := soak.backends[id]
	ended.silent = true
	soak.mutex.Unlock()
	ended.Stop()
	soak.faults.Go(func() {
		time.Sleep(3 * beatPause)
		soak.store.Remove("servers/" + id)
	})
}

func (soak *soak) mark(marks map[string]time.Time, id string) {
	soak.record.Lock()
	defer soak.record.Unlock()
	marks["lending/"+id] = time.Now()
}
