package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/revision"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// rebuildTable builds the table by which packets are routed.
func (c *control) rebuildTable(now time.Time) {
	c.rebuildNeeded = false
	c.nextTableChange = time.Time{}
	if _, hasData := c.core.Age(now); !hasData {
		// Neither a part of the store nor a stale snapshot is sufficient reason to refuse
		// flows.
		return
	}
	c.recordPools(now)
	evacuated := c.evacuatedZones()
	weights := c.newWeights(evacuated, now)
	table := tokenroute.NewTable(c.replica, tokenroute.Options{
		WeightOf:         weights.backendWeight,
		WeightOfPoolZone: weights.uniformWeight,
		Evacuated:        evacuated,
		WarmupOf:         c.newWarmupState(now).warmupFunc(),
		FormerPools:      c.formerPools(now),
		ZoneByWeight:     weights.zoneChosenByWeights,
		AdmitAllPools:    now.Sub(c.firstRoutesAt) < c.flowRetention(),
		StoreRecovery:    c.storeRecovery(),
		EmptyPoolGrace:   c.emptyPoolGrace(now),
		Previous:         c.balancer.table.Load(),
		Now:              now,
	})
	if table == nil {
		return
	}
	c.scheduleTableChange(now)
	c.admission.updateRoutes(c.replica.Routes())
	previous := c.balancer.table.Swap(table)
	if previous == nil || previous.Version != table.Version {
		c.balancer.logger.Info("Control: configuration in force.", "version", table.Version,
			"revision", revision.Format(table.Revision), "routes", table.RouteCount())
	}
	if c.balancer.traffic != nil && (previous == nil || table.RestartedBackends() > 0) {
		c.balancer.traffic.tableChanged()
	}
	if previous == nil {
		previous = &tokenroute.Table{}
	}
	c.logEvacuations(previous.Evacuated, table.Evacuated)
}

// emptyPoolGrace returns how long a back end that vanished may still take new flows if its
// pool has no other, counted from when the removal of its entry was learned. It is shorter
// after news that came late, since an entry may have been removed at any time since the
// confirmation before that.
func (c *control) emptyPoolGrace(now time.Time) time.Duration {
	grace := c.longestEmptyPoolGrace()
	if now.Sub(c.lateNews.receivedAt) < grace {
		return max(0, grace-c.lateNews.delay)
	}
	return grace
}

func (c *control) longestEmptyPoolGrace() time.Duration {
	drain := c.balancer.settings.Load().GetDrainMilliseconds()
	return time.Duration(drain/emptyPoolGraceDivisor) * time.Millisecond
}

// lateNews records when news last arrived after the data had become stale, and how much
// older than that the data was.
type lateNews struct {
	receivedAt time.Time
	delay      time.Duration
}

// recordNews records that news arrived when the data had an age. The longest delay counts
// for as long as it shortens a grace period.
func (c *control) recordNews(age time.Duration, now time.Time) {
	delay := age - timingOf(c.balancer.settings.Load()).StaleAge
	if delay <= 0 {
		return
	}
	if now.Sub(c.lateNews.receivedAt) < c.longestEmptyPoolGrace() {
		delay = max(delay, c.lateNews.delay)
	}
	c.lateNews = lateNews{receivedAt: now, delay: delay}
}

// minExpiryHeartbeats is the smallest number of heartbeats after which the entry of a back
// end that cannot reach the store expires: an entry expires after three heartbeats without
// a write, and the last write may have come one heartbeat before the gap began.
const minExpiryHeartbeats = 2

// storeRecovery returns the period in which entries that expired during the last gap in the
// store's confirmations may come back. If the gap was shorter than the time entries take
// to expire, entries that vanished were removed on purpose, and the period is empty. If
// the gap was shorter than the time allowed for a leaving back end, entries may have been
// removed while this balancer still counted as in touch with the store, so the period ends
// with that time and they take no new flows beyond it. The store may have served this
// balancer since its last call that failed, and may have begun to do so long after entries
// were removed, so the period does not exceed the time allowed for a leaving back end from
// then on either.
func (c *control) storeRecovery() tokenroute.StoreRecovery {
	gap, loaded := c.core.LastGap(), c.balancer.settings.Load()
	if gap.Length() < minExpiryHeartbeats*milliseconds(loaded.GetHeartbeatMilliseconds()) || c.balancer.disabled.Has(mechanism.LapseGrace) {
		return tokenroute.StoreRecovery{}
	}
	storeRecovery := tokenroute.StoreRecovery{Since: gap.Until, Until: gap.Until.Add(milliseconds(loaded.GetLapseMilliseconds()))}
	drain := time.Duration(loaded.GetDrainMilliseconds() * float64(time.Millisecond))
	if drained := gap.From.Add(drain); drained.After(storeRecovery.Since) && drained.Before(storeRecovery.Until) {
		storeRecovery.Until = drained
	}
	if drained := gap.LastFailure.Add(drain); !gap.LastFailure.IsZero() && drained.Before(storeRecovery.Until) {
		storeRecovery.Until = drained
	}
	return storeRecovery
}

func milliseconds(number uint32) time.Duration { return time.Duration(number) * time.Millisecond }

func (c *control) flowRetention() time.Duration {
	return seconds(c.balancer.settings.Load().GetFlowSeconds())
}

// seconds converts a number of seconds to a duration.
func seconds(number float64) time.Duration {
	return time.Duration(number * float64(time.Second))
}

// scheduleTableChange sets when the table changes next without news: when new flows return
// to their zone, when the time for expired entries to come back is over, or when the grace
// period of a vanished pool is over.
func (c *control) scheduleTableChange(now time.Time) {
	c.nextTableChange = time.Time{}
	c.changeTableAt(c.firstRoutesAt.Add(startupSpreadTime), now)
	c.changeTableAt(c.storeRecovery().Until, now)
	for _, group := range c.replica.BackendGroups() {
		if group.TombstoneCount > 0 {
			c.scheduleVanished(group, now)
		}
	}
}

// scheduleVanished schedules a table change for the end of the grace period of each
// vanished back end of a group.
func (c *control) scheduleVanished(group *directory.BackendGroup, now time.Time) {
	for _, backend := range group.Entries {
		if backend.Gone {
			c.changeTableAt(backend.RemovalSeenAt.Add(c.emptyPoolGrace(now)), now)
		}
	}
}

// changeTableAt moves the next table change forward to a time that is still in the future.
func (c *control) changeTableAt(at, now time.Time) {
	if now.Before(at) && (c.nextTableChange.IsZero() || at.Before(c.nextTableChange)) {
		c.nextTableChange = at
	}
}

// recordPools records the pools of each address. Open flows stay on these pools when a
// later configuration names others.
func (c *control) recordPools(now time.Time) {
	if c.replica.Routes() != nil && c.firstRoutesAt.IsZero() {
		c.firstRoutesAt = now
	}
	for _, route := range c.replica.Routes().GetRoutes() {
		address := tokenroute.AddressOf(route)
		pools := c.poolLastUse[address]
		if pools == nil {
			pools = make(map[string]time.Time)
			c.poolLastUse[address] = pools
		}
		for _, share := range route.GetPools() {
			pools[share.GetPool()] = now
		}
	}
}

func (c *control) formerPools(now time.Time) map[flow.Address]map[string]bool {
	recent := make(map[flow.Address]map[string]bool, len(c.poolLastUse))
	for address, pools := range c.poolLastUse {
		kept := make(map[string]bool, len(pools))
		for pool, lastAt := range pools {
			if now.Sub(lastAt) > c.flowRetention() {
				delete(pools, pool)
				continue
			}
			kept[pool] = true
		}
		recent[address] = kept
	}
	return recent
}
