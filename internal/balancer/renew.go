package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/revision"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// rebuildTable builds the table that packets are decided by.
func (c *control) rebuildTable(now time.Time) {
	c.rebuildNeeded = false
	c.nextTableChange = time.Time{}
	if _, knows := c.core.Age(now); !knows {
		// A part of the store, or an old copy, is no ground to refuse flows on.
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
		EmptyPoolGrace:   c.emptyPoolGrace(),
		Previous:         c.balancer.table.Load(),
		Now:              now,
	})
	if table == nil {
		return
	}
	c.scheduleTableChange(now)
	c.gate.updateRoutes(c.replica.Routes())
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

func (c *control) emptyPoolGrace() time.Duration {
	drain := c.balancer.settings.Load().GetDrainMilliseconds()
	return time.Duration(drain/emptyPoolGraceDivisor) * time.Millisecond
}

// minExpiryHeartbeats is the least number of heartbeats after which the entry of a back
// end that can't reach the store lapses: three without a write, the last of which may
// have come one heartbeat before the gap.
const minExpiryHeartbeats = 2

// storeRecovery is the time in which entries that lapsed in the last gap in what the store
// confirmed may come back. In a gap shorter than entries take to lapse, those that
// vanished were removed. After a gap shorter than a leaving back end has, entries may
// have been removed while this balancer counted as in touch with the store, so that
// they take no new flows beyond the time of a leaving back end.
func (c *control) storeRecovery() tokenroute.StoreRecovery {
	gap, loaded := c.core.LastGap(), c.balancer.settings.Load()
	if gap.Length() < minExpiryHeartbeats*milliseconds(loaded.GetHeartbeatMilliseconds()) || c.balancer.disabled.Has(mechanism.LapseGrace) {
		return tokenroute.StoreRecovery{}
	}
	lapse := tokenroute.StoreRecovery{Since: gap.Until, Until: gap.Until.Add(milliseconds(loaded.GetLapseMilliseconds()))}
	drained := gap.From.Add(time.Duration(loaded.GetDrainMilliseconds() * float64(time.Millisecond)))
	if drained.After(lapse.Since) && drained.Before(lapse.Until) {
		lapse.Until = drained
	}
	return lapse
}

func milliseconds(number uint32) time.Duration { return time.Duration(number) * time.Millisecond }

func (c *control) flowRetention() time.Duration {
	return seconds(c.balancer.settings.Load().GetFlowSeconds())
}

// seconds turns a number of seconds into a duration.
func seconds(number float64) time.Duration {
	return time.Duration(number * float64(time.Second))
}

// scheduleTableChange sets when the table changes without news: new flows return to
// their zone, lapsed entries have had their time, or a vanished pool has.
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

// scheduleVanished sets when back ends of a group that vanished have had their time.
func (c *control) scheduleVanished(group *directory.BackendGroup, now time.Time) {
	for _, backend := range group.Entries {
		if backend.Gone {
			c.changeTableAt(backend.RemovalSeenAt.Add(c.emptyPoolGrace()), now)
		}
	}
}

// changeTableAt brings the next turn forward to a time that is still to come.
func (c *control) changeTableAt(at, now time.Time) {
	if now.Before(at) && (c.nextTableChange.IsZero() || at.Before(c.nextTableChange)) {
		c.nextTableChange = at
	}
}

// recordPools notes the pools of each address, whose open flows stay on them
// when a later configuration names others.
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
	found := make(map[flow.Address]map[string]bool, len(c.poolLastUse))
	for address, pools := range c.poolLastUse {
		kept := make(map[string]bool, len(pools))
		for pool, lastAt := range pools {
			if now.Sub(lastAt) > c.flowRetention() {
				delete(pools, pool)
				continue
			}
			kept[pool] = true
		}
		found[address] = kept
	}
	return found
}
