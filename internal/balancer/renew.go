package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/directory"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
	"github.com/indigobarrow/indigobarrow/internal/revision"
	"github.com/indigobarrow/indigobarrow/internal/tokenroute"
)

// renewTable builds the table that packets are decided by.
func (c *control) renewTable(now time.Time) {
	c.rebuild = false
	c.nextTurn = time.Time{}
	if _, knows := c.core.Age(now); !knows {
		// A part of the store, or an old copy, is no ground to refuse flows on.
		return
	}
	c.rememberPools(now)
	evacuated := c.evacuatedZones()
	weights := c.newWeights(evacuated, now)
	table := tokenroute.NewTable(c.known, tokenroute.Options{
		Weigh:      weights.weight,
		WeighPlace: weights.uniformWeight,
		Evacuated:  evacuated,
		Warm:       c.newWarmupState(now).warmupFunc(),
		Former:     c.formerPools(now),
		ByZone:     weights.zoneChosenByWeights,
		AdmitAll:   now.Sub(c.firstAt) < c.flowLife(),
		Lapse:      c.lapse(),
		EmptyGrace: c.emptyGrace(),
		Previous:   c.balancer.table.Load(),
		Now:        now,
	})
	if table == nil {
		return
	}
	c.scheduleTurn(now)
	c.gate.updateRoutes(c.known.Routes())
	previous := c.balancer.table.Swap(table)
	if previous == nil || previous.Version != table.Version {
		c.balancer.logger.Info("Control: configuration in force.", "version", table.Version,
			"revision", revision.Text(table.Revision), "routes", table.Routes())
	}
	if c.balancer.traffic != nil && (previous == nil || table.Restarts() > 0) {
		c.balancer.traffic.newTable()
	}
	if previous == nil {
		previous = &tokenroute.Table{}
	}
	c.logEvacuations(previous.Evacuated, table.Evacuated)
}

func (c *control) emptyGrace() time.Duration {
	drain := c.balancer.settings.Load().GetDrainMilliseconds()
	return time.Duration(drain/emptyShare) * time.Millisecond
}

// lapseHeartbeats is the least number of heartbeats after which the entry of a back
// end that can't reach the store lapses: three without a write, the last of which may
// have come one heartbeat before the gap.
const lapseHeartbeats = 2

// lapse is the time in which entries that lapsed in the last gap in what the store
// confirmed may come back. In a gap shorter than entries take to lapse, those that
// vanished were removed. After a gap shorter than a leaving back end has, entries may
// have been removed while this balancer counted as in touch with the store, so that
// they take no new flows beyond the time of a leaving back end.
func (c *control) lapse() tokenroute.Lapse {
	gap, loaded := c.core.LastGap(), c.balancer.settings.Load()
	if gap.Length() < lapseHeartbeats*milliseconds(loaded.GetHeartbeatMilliseconds()) || c.balancer.off.Has(mechanism.LapseGrace) {
		return tokenroute.Lapse{}
	}
	lapse := tokenroute.Lapse{Since: gap.Until, Until: gap.Until.Add(milliseconds(loaded.GetLapseMilliseconds()))}
	drained := gap.From.Add(time.Duration(loaded.GetDrainMilliseconds() * float64(time.Millisecond)))
	if drained.After(lapse.Since) && drained.Before(lapse.Until) {
		lapse.Until = drained
	}
	return lapse
}

func milliseconds(number uint32) time.Duration { return time.Duration(number) * time.Millisecond }

func (c *control) flowLife() time.Duration {
	return seconds(c.balancer.settings.Load().GetFlowSeconds())
}

// seconds turns a number of seconds into a duration.
func seconds(number float64) time.Duration {
	return time.Duration(number * float64(time.Second))
}

// scheduleTurn sets when the table changes without news: new flows return to
// their zone, lapsed entries have had their time, or a vanished pool has.
func (c *control) scheduleTurn(now time.Time) {
	c.nextTurn = time.Time{}
	c.turnAt(c.firstAt.Add(startupSpreadTime), now)
	c.turnAt(c.lapse().Until, now)
	for _, group := range c.known.Groups() {
		if group.Gone > 0 {
			c.turnForVanished(group, now)
		}
	}
}

// turnForVanished sets when back ends of a group that vanished have had their time.
func (c *control) turnForVanished(group *directory.Group, now time.Time) {
	for _, backend := range group.Entries {
		if backend.Gone {
			c.turnAt(backend.VanishedAt.Add(c.emptyGrace()), now)
		}
	}
}

// turnAt brings the next turn forward to a time that is still to come.
func (c *control) turnAt(at, now time.Time) {
	if now.Before(at) && (c.nextTurn.IsZero() || at.Before(c.nextTurn)) {
		c.nextTurn = at
	}
}

// rememberPools notes the pools of each address, whose open flows stay on them
// when a later configuration names others.
func (c *control) rememberPools(now time.Time) {
	if c.known.Routes() != nil && c.firstAt.IsZero() {
		c.firstAt = now
	}
	for _, route := range c.known.Routes().GetRoutes() {
		address := tokenroute.AddressOf(route)
		pools := c.former[address]
		if pools == nil {
			pools = make(map[string]time.Time)
			c.former[address] = pools
		}
		for _, share := range route.GetPools() {
			pools[share.GetPool()] = now
		}
	}
}

func (c *control) formerPools(now time.Time) map[flow.Address]map[string]bool {
	found := make(map[flow.Address]map[string]bool, len(c.former))
	for address, pools := range c.former {
		kept := make(map[string]bool, len(pools))
		for pool, lastAt := range pools {
			if now.Sub(lastAt) > c.flowLife() {
				delete(pools, pool)
				continue
			}
			kept[pool] = true
		}
		found[address] = kept
	}
	return found
}
