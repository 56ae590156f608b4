package e2e

import (
	"time"
)

// oldestReady returns the back end of a pool that has been ready for the longest time, or ""
// if at most two are ready. The IDs count up in hexadecimal, so a lower one is older.
func (soak *soak) oldestReady(pool string) string {
	oldest, count := "", 0
	for _, id := range soak.readyBackends(pool) {
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

// readyBackends returns the back ends of a pool that accept new flows.
func (soak *soak) readyBackends(pool string) []string {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	var found []string
	for id, backend := range soak.backends {
		if backend.Pool == pool && backend.state == "ready" && !backend.withoutEntry {
			found = append(found, id)
		}
	}
	return found
}

// readyInZone returns the back ends of a pool in a zone that accept new flows.
func (soak *soak) readyInZone(pool, zone string) []string {
	var found []string
	for _, id := range soak.readyBackends(pool) {
		if soak.backendZone(id) == zone {
			found = append(found, id)
		}
	}
	return found
}

func (soak *soak) backendZone(id string) string {
	soak.mutex.Lock()
	defer soak.mutex.Unlock()
	return soak.backends[id].zone
}

// leave drains a back end or removes its entry without notice, and starts a replacement.
func (soak *soak) leave(how string) {
	id := soak.oldestReady("lending")
	if id == "" {
		soak.markSkipped()
		return
	}
	soak.addBackend("lending")
	if how == "draining" {
		soak.setState(id, "draining")
	} else {
		soak.removeEntry(id)
	}
	soak.recordTime(soak.history.leaving, id)
	soak.activeFaults.Go(func() {
		time.Sleep(drainBound + settleTime)
		soak.terminateBackend(id)
	})
}

// cutTime is how long a back end without an entry is cut off.
const cutTime = 2 * time.Second

// vanishAndCut removes the entry of a back end, which serves on, and cuts it off after a
// pause. It answers again after cutTime and stops once its flows have been checked for
// settleTime without the cut.
func (soak *soak) vanishAndCut(pause time.Duration) {
	id := soak.oldestReady("lending")
	if id == "" {
		soak.markSkipped()
		return
	}
	soak.addBackend("lending")
	soak.removeEntry(id)
	soak.recordTime(soak.history.leaving, id)
	soak.mutex.Lock()
	backend := soak.backends[id]
	soak.mutex.Unlock()
	soak.activeFaults.Go(func() {
		time.Sleep(pause)
		from := time.Now()
		backend.SetUnreachable(true)
		time.Sleep(cutTime)
		backend.SetUnreachable(false)
		soak.recordCut("lending/"+id, span{from: from, until: time.Now()})
		time.Sleep(2 * settleTime)
		soak.terminateBackend(id)
	})
}

// recordCut records that a back end received nothing for a time.
func (soak *soak) recordCut(server string, cut span) {
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	soak.history.cuts[server] = append(soak.history.cuts[server], cut)
}

// crash stops back ends at once and starts replacements. Their entries are removed a little later.
func (soak *soak) crash(ids ...string) {
	for _, id := range ids {
		if id == "" {
			soak.markSkipped()
			return
		}
		soak.addBackend("lending")
		soak.historyMutex.Lock()
		soak.history.crashed["lending/"+id] = true
		soak.historyMutex.Unlock()
		soak.terminateBackend(id)
	}
}

// terminateBackend stops a back end and removes its entry after three times entryInterval.
func (soak *soak) terminateBackend(id string) {
	soak.recordTime(soak.history.dead, id)
	soak.mutex.Lock()
	backend := soak.backends[id]
	backend.withoutEntry = true
	soak.mutex.Unlock()
	backend.Stop()
	soak.activeFaults.Go(func() {
		time.Sleep(3 * entryInterval)
		soak.store.Remove("servers/" + id)
	})
}

func (soak *soak) recordTime(times map[string]time.Time, id string) {
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	times["lending/"+id] = time.Now()
}
