package replication

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/directory"
)

// The list of balancers is kept in the store, so that a balancer that knows nobody can
// find the others. Balancers do not write their own entries: one that is not listed
// sends its entry to the balancer that it follows, which forwards it up the tree, and
// the reader writes many entries with one call. Entries have no leases, so that none
// disappears during an outage. If a parent has received nothing from a balancer for a
// long time, the balancer is reported up the tree as silent, and the reader removes its
// entry, provided that it is still the one that the reader knows. A live balancer whose
// entry was removed sends it again.

const (
	// WriteLimit is the number of entries that one call to the store may write.
	WriteLimit = 32
	// RemoveLimit is the number of entries that one call may remove: each counts twice,
	// once with the expected revision.
	RemoveLimit = WriteLimit / 2
	// forwardTTL is how long a received entry is forwarded. Its balancer sends it with
	// each call.
	forwardTTL = 5 * time.Second
	// unlistedLimit bounds the entries that a balancer keeps to forward.
	unlistedLimit = 512
	// forwardLimit bounds the entries in one call.
	forwardLimit = 128
	// writeDelay is how long entries are collected before they are written.
	writeDelay = 200 * time.Millisecond
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = time.Second
	// removalTimeout is the time without activity after which the entry of a balancer
	// of the same zone is removed. A restart takes a few seconds; followers of a dead
	// parent lose a call to it every PeerRetryDelay.
	removalTimeout = 20 * time.Second
	// otherZoneRemovalTimeout is the same for a balancer of another zone. It may be
	// partitioned only from this one, and if it is dead, its own zone detects that
	// sooner.
	otherZoneRemovalTimeout = 10 * time.Minute
	// ownWriteDelay is the time after which a balancer that is still not listed writes
	// its entry itself. The actual delay is random, up to twice as long.
	ownWriteDelay = 5 * time.Second
)

// Write is a write to the store: entries of balancers to put, names to remove, lists of
// the first balancers of large zones, or a policy that the store has lost.
type Write struct {
	Put       []*apiv1.Balancer
	Remove    []string
	ZoneLeads []*apiv1.ZoneLeads
	Policy    *directory.LostPolicy
}

func (w Write) empty() bool {
	return len(w.Put) == 0 && len(w.Remove) == 0 && len(w.ZoneLeads) == 0 && w.Policy == nil
}

// members holds the balancers that the directory lists, and the pending changes to that
// list.
type members struct {
	listed map[string]*apiv1.Balancer
	// unlisted are the received entries that the directory does not list, by name.
	unlisted map[string]unlistedEntry
	// silentReports are the balancers that followers have reported as silent, with the
	// time of the report.
	silentReports map[string]time.Time
	// followerSince is when each follower became a follower of this balancer.
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

// update replaces the balancers that the directory lists, and the followers of this
// one.
func (m *members) update(known, followers []*apiv1.Balancer, now time.Time) {
	m.listed = make(map[string]*apiv1.Balancer, len(known))
	for _, b := range known {
		m.listed[b.GetName()] = b
	}
	maps.DeleteFunc(m.unlisted, func(_ string, each unlistedEntry) bool { return m.isListed(each.entry) })
	maps.DeleteFunc(m.silentReports, func(name string, _ time.Time) bool { return m.listed[name] == nil })
	since := make(map[string]time.Time, len(followers))
	for _, b := range followers {
		if at, found := m.followerSince[b.GetName()]; found {
			since[b.GetName()] = at
			continue
		}
		since[b.GetName()] = now
	}
	m.followerSince = since
}

// isListed reports whether the directory has exactly this entry.
func (m *members) isListed(entry *apiv1.Balancer) bool {
	return proto.Equal(m.listed[entry.GetName()], entry)
}

// UnlistedEntries returns the entries to send to the balancer that is called: this
// balancer's own while it is not listed, and those received from others.
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

// AddUnlistedEntries adds entries that another balancer has sent.
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

// SilentBalancers returns the names of balancers from which this one, or a follower of
// it, should receive calls and has not for a long time.
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

// monitored returns the balancers that this one reports if they are silent: its
// followers, and also those before it in its order if none of them can be followed.
func (c *Core) monitored() []*apiv1.Balancer {
	before := c.tree.ownZone()[:c.tree.position]
	useful := func(b *apiv1.Balancer) bool { return !c.isUnusable(b) }
	if slices.ContainsFunc(before, useful) {
		return c.tree.followers
	}
	return slices.Concat(c.tree.followers, before)
}

// isSilent reports whether a balancer has been inactive for too long.
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
	peerContact := c.contacts[b.GetPeerAddress()]
	return peerContact == nil || now.Sub(peerContact.activeAt) > limit
}

// HandleSilentReport records the names that a follower has reported as silent.
func (c *Core) HandleSilentReport(names []string, now time.Time) {
	for _, name := range names {
		b := c.members.listed[name]
		if b == nil || name == c.config.Self.GetName() {
			continue
		}
		if peerContact := c.contacts[b.GetPeerAddress()]; peerContact != nil && now.Sub(peerContact.activeAt) <= removalTimeout {
			continue
		}
		c.members.silentReports[name] = now
	}
}

// NextWrite returns what to write to the store now. The write counts as in progress
// until WriteEnded.
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

// ownWrite returns a write of this balancer's own entry if nobody has written it for a
// long time.
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

// StoreRestored handles the restoration of the store from a backup; listed are the
// balancers that the restored store lists. Everything that was written since the backup
// is lost, whether or not the write was seen to take effect, and is written again.
func (c *Core) StoreRestored(listed []*apiv1.Balancer, now time.Time) {
	c.members.zoneLeads.written = nil
	c.SetBalancers(listed, now)
}

// SetLostPolicies replaces the policies that the store has lost. The balancer that
// reads the store writes them again, in random order: one whose write fails must not
// block the others.
func (c *Core) SetLostPolicies(lost []directory.LostPolicy) { c.members.lostPolicies = lost }

// WriteEnded handles the end of a write. What was written appears in the directory soon
// afterwards; until then it is not written again.
func (c *Core) WriteEnded(write Write, failed bool, now time.Time) {
	m := &c.members
	m.writing = false
	m.ownWriteAt = time.Time{}
	for _, name := range write.Remove {
		// Whether the balancer was removed or has just written its entry again, its
		// timeout starts anew.
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
