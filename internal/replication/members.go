package replication

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
)

// Which balancers there are stands in the store, so that one that knows nobody
// finds them. They do not write it themselves: whoever is not listed shows its
// entry to the balancer that it follows, which passes it up the tree, and the
// reader writes many entries with one call. No lease holds them, so that none
// vanishes in an outage. A balancer that its parent has not heard for long is
// passed up as silent, and the reader removes its entry, if it is still the one
// that the reader knows. Who was removed and lives shows itself again.

const (
	// WriteLimit is how many entries one call to the store may write.
	WriteLimit = 32
	// RemoveLimit is the same for entries that are removed: each counts twice,
	// once with the revision that is expected.
	RemoveLimit = WriteLimit / 2
	// forwardTTL is how long an entry that was shown is passed on; its balancer
	// shows it with each call.
	forwardTTL = 5 * time.Second
	// unlistedLimit bounds the entries that a balancer keeps to pass on.
	unlistedLimit = 512
	// forwardLimit bounds those in one call.
	forwardLimit = 128
	// writeDelay is how long entries gather before they are written.
	writeDelay = 200 * time.Millisecond
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = time.Second
	// removalTimeout is the silence after which the entry of a balancer is removed
	// that stands in the same zone. A restart takes a few seconds; followers of a
	// dead parent lose a call to it every PeerRetryDelay.
	removalTimeout = 20 * time.Second
	// otherZoneRemovalTimeout is the same for a balancer of another zone. It may be cut
	// off from this one only, and its own zone misses it sooner if it is dead.
	otherZoneRemovalTimeout = 10 * time.Minute
	// ownWriteDelay is when a balancer that is still not listed writes its entry
	// itself, or up to twice as late.
	ownWriteDelay = 5 * time.Second
)

// Write is what to write to the store: entries of balancers to put, names to remove, the
// first of large zones, or a policy that the store has lost.
type Write struct {
	Put       []*apiv1.Balancer
	Remove    []string
	ZoneLeads []*apiv1.ZoneLeads
	Policy    *directory.LostPolicy
}

func (w Write) empty() bool {
	return len(w.Put) == 0 && len(w.Remove) == 0 && len(w.ZoneLeads) == 0 && w.Policy == nil
}

// members are the balancers that the directory lists, and what is to be changed
// about them.
type members struct {
	listed map[string]*apiv1.Balancer
	// unlisted are entries that are not listed, by name.
	unlisted map[string]unlistedEntry
	// silentReports are the balancers that followers have reported, and when.
	silentReports map[string]time.Time
	// followerSince is since when each of the balancers below is there.
	followerSince map[string]time.Time
	// ownWriteAt is when this balancer writes its own entry.
	ownWriteAt  time.Time
	nextWriteAt time.Time
	writing     bool
	zoneLeads   zoneLeadLists
	// lostPolicies are the policies that the store has lost.
	lostPolicies []directory.LostPolicy
}

type unlistedEntry struct {
	entry      *apiv1.Balancer
	receivedAt time.Time
}

func newMembers() members {
	return members{
		unlisted:      make(map[string]unlistedEntry),
		silentReports: make(map[string]time.Time),
		followerSince: make(map[string]time.Time),
	}
}

// update takes the balancers that the directory lists, and those below this one.
func (m *members) update(known, below []*apiv1.Balancer, now time.Time) {
	m.listed = make(map[string]*apiv1.Balancer, len(known))
	for _, b := range known {
		m.listed[b.GetName()] = b
	}
	maps.DeleteFunc(m.unlisted, func(_ string, each unlistedEntry) bool { return m.isListed(each.entry) })
	maps.DeleteFunc(m.silentReports, func(name string, _ time.Time) bool { return m.listed[name] == nil })
	since := make(map[string]time.Time, len(below))
	for _, b := range below {
		if at, found := m.followerSince[b.GetName()]; found {
			since[b.GetName()] = at
			continue
		}
		since[b.GetName()] = now
	}
	m.followerSince = since
}

// isListed tells whether the directory has exactly this entry.
func (m *members) isListed(entry *apiv1.Balancer) bool {
	return proto.Equal(m.listed[entry.GetName()], entry)
}

// UnlistedEntries are the entries to show to the balancer that is called: this one's own,
// while it is not listed, and those that others have shown here.
func (c *Core) UnlistedEntries(now time.Time) []*apiv1.Balancer {
	var entries []*apiv1.Balancer
	if !c.members.isListed(c.config.Self) {
		entries = append(entries, c.config.Self)
	}
	for name, each := range c.members.unlisted {
		if now.Sub(each.receivedAt) > forwardTTL {
			delete(c.members.unlisted, name)
			continue
		}
		if len(entries) < forwardLimit {
			entries = append(entries, each.entry)
		}
	}
	return entries
}

// AddUnlistedEntries takes entries that another balancer has shown.
func (c *Core) AddUnlistedEntries(entries []*apiv1.Balancer, now time.Time) {
	for _, entry := range entries {
		if entry.GetName() == c.config.Self.GetName() || c.members.isListed(entry) {
			continue
		}
		if _, found := c.members.unlisted[entry.GetName()]; !found && len(c.members.unlisted) >= unlistedLimit {
			continue
		}
		c.members.unlisted[entry.GetName()] = unlistedEntry{entry: entry, receivedAt: now}
	}
}

// SilentBalancers are the names of balancers that this one, or one behind it, should hear
// and has not heard for long.
func (c *Core) SilentBalancers(now time.Time) []string {
	var names []string
	for _, b := range c.monitored() {
		if c.isSilent(b, now) {
			names = append(names, b.GetName())
		}
	}
	for name, at := range c.members.silentReports {
		if now.Sub(at) > forwardTTL {
			delete(c.members.silentReports, name)
			continue
		}
		if len(names) < forwardLimit && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// monitored are the balancers that this one misses when it does not hear them:
// those below it, and if none before it in its order can be followed, those.
func (c *Core) monitored() []*apiv1.Balancer {
	before := c.tree.ownZone()[:c.tree.position]
	useful := func(b *apiv1.Balancer) bool { return !c.isUnusable(b) }
	if slices.ContainsFunc(before, useful) {
		return c.tree.followers
	}
	return slices.Concat(c.tree.followers, before)
}

// isSilent tells whether a balancer was not heard for too long.
func (c *Core) isSilent(b *apiv1.Balancer, now time.Time) bool {
	limit := removalTimeout
	if b.GetZone() != c.config.Self.GetZone() {
		limit = otherZoneRemovalTimeout
	}
	if !c.hasData() || c.dataSince.IsZero() || now.Sub(c.dataSince) <= limit {
		return false
	}
	since, found := c.members.followerSince[b.GetName()]
	if found && now.Sub(since) <= limit {
		return false
	}
	known := c.contacts[b.GetPeerAddress()]
	return known == nil || now.Sub(known.activeAt) > limit
}

// HandleSilentReport takes the names that a follower has reported.
func (c *Core) HandleSilentReport(names []string, now time.Time) {
	for _, name := range names {
		b := c.members.listed[name]
		if b == nil || name == c.config.Self.GetName() {
			continue
		}
		if known := c.contacts[b.GetPeerAddress()]; known != nil && now.Sub(known.activeAt) <= removalTimeout {
			continue
		}
		c.members.silentReports[name] = now
	}
}

// NextWrite returns what to write to the store now. It counts as under way until
// WriteEnded.
func (c *Core) NextWrite(now time.Time) (Write, bool) {
	m := &c.members
	if m.writing || now.Before(m.nextWriteAt) || !c.hasData() || c.Stale(now) {
		return Write{}, false
	}
	if !c.ReadsStore() {
		return c.ownWrite(now)
	}
	write := Write{Put: c.UnlistedEntries(now)}
	if len(write.Put) > WriteLimit {
		write.Put = write.Put[:WriteLimit]
	}
	if write.empty() && len(m.lostPolicies) > 0 {
		write.Policy = &m.lostPolicies[c.random.IntN(len(m.lostPolicies))]
	}
	if write.empty() {
		write.Remove = c.SilentBalancers(now)
		write.Remove = write.Remove[:min(len(write.Remove), RemoveLimit)]
	}
	if write.empty() {
		write.ZoneLeads = c.zoneLeadsToWrite(now)
	}
	if write.empty() {
		m.nextWriteAt = now.Add(writeDelay)
		return Write{}, false
	}
	m.writing = true
	return write, true
}

// ownWrite writes the entry of a balancer that nobody has written for long.
func (c *Core) ownWrite(now time.Time) (Write, bool) {
	m := &c.members
	if m.isListed(c.config.Self) {
		m.ownWriteAt = time.Time{}
		return Write{}, false
	}
	if m.ownWriteAt.IsZero() {
		m.ownWriteAt = now.Add(ownWriteDelay + time.Duration(c.random.Int64N(int64(ownWriteDelay))))
	}
	if now.Before(m.ownWriteAt) {
		return Write{}, false
	}
	m.writing = true
	return Write{Put: []*apiv1.Balancer{c.config.Self}}, true
}

// StoreRestored takes that the store came back from a copy, with the balancers that it lists
// now. What was written to it since is lost, whether the write was seen to take effect or not,
// and is written again.
func (c *Core) StoreRestored(known []*apiv1.Balancer, now time.Time) {
	c.members.zoneLeads.written = nil
	c.SetBalancers(known, now)
}

// SetLostPolicies takes the policies that the store has lost. Who reads the store writes them again, in
// no order: one whose write fails must not hold up the others.
func (c *Core) SetLostPolicies(lost []directory.LostPolicy) { c.members.lostPolicies = lost }

// WriteEnded takes the end of a write. What was written shows in the directory
// soon after; until then it is not written again.
func (c *Core) WriteEnded(write Write, failed bool, now time.Time) {
	m := &c.members
	m.writing = false
	m.ownWriteAt = time.Time{}
	for _, name := range write.Remove {
		// Whether it was removed or has just written anew: it has its time again.
		delete(m.silentReports, name)
		m.followerSince[name] = now
	}
	if len(write.ZoneLeads) > 0 {
		c.zoneLeadsWriteEnded(write.ZoneLeads, failed, now)
	}
	if failed {
		m.nextWriteAt = now.Add(writeRetryDelay)
		return
	}
	m.nextWriteAt = now.Add(writeDelay)
	for _, entry := range write.Put {
		m.listed[entry.GetName()] = entry
		delete(m.unlisted, entry.GetName())
	}
}
