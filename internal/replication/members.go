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
	// showFor is how long an entry that was shown is passed on; its balancer
	// shows it with each call.
	showFor = 5 * time.Second
	// showLimit bounds the entries that a balancer keeps to pass on.
	showLimit = 512
	// passLimit bounds those in one call.
	passLimit = 128
	// gatherEntries is how long entries gather before they are written.
	gatherEntries = 200 * time.Millisecond
	// writePause is the pause after a failed write.
	writePause = time.Second
	// silentAfter is the silence after which the entry of a balancer is removed
	// that stands in the same zone. A restart takes a few seconds; followers of a
	// dead parent lose a call to it every PeerRetryDelay.
	silentAfter = 20 * time.Second
	// silentElsewhere is the same for a balancer of another zone. It may be cut
	// off from this one only, and its own zone misses it sooner if it is dead.
	silentElsewhere = 10 * time.Minute
	// writeOwnAfter is when a balancer that is still not listed writes its entry
	// itself, or up to twice as late.
	writeOwnAfter = 5 * time.Second
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
	// shown are entries that are not listed, by name.
	shown map[string]shownEntry
	// silent are the balancers that followers have reported, and when.
	silent map[string]time.Time
	// belowSince is since when each of the balancers below is there.
	belowSince map[string]time.Time
	// ownAt is when this balancer writes its own entry.
	ownAt   time.Time
	nextAt  time.Time
	writing bool
	leads   leads
	// lost are the policies that the store has lost.
	lost []directory.LostPolicy
}

type shownEntry struct {
	entry *apiv1.Balancer
	at    time.Time
}

func newMembers() members {
	return members{
		shown:      make(map[string]shownEntry),
		silent:     make(map[string]time.Time),
		belowSince: make(map[string]time.Time),
	}
}

// list takes the balancers that the directory lists, and those below this one.
func (m *members) list(known, below []*apiv1.Balancer, now time.Time) {
	m.listed = make(map[string]*apiv1.Balancer, len(known))
	for _, b := range known {
		m.listed[b.GetName()] = b
	}
	maps.DeleteFunc(m.shown, func(_ string, each shownEntry) bool { return m.lists(each.entry) })
	maps.DeleteFunc(m.silent, func(name string, _ time.Time) bool { return m.listed[name] == nil })
	since := make(map[string]time.Time, len(below))
	for _, b := range below {
		if at, found := m.belowSince[b.GetName()]; found {
			since[b.GetName()] = at
			continue
		}
		since[b.GetName()] = now
	}
	m.belowSince = since
}

// lists tells whether the directory has exactly this entry.
func (m *members) lists(entry *apiv1.Balancer) bool {
	return proto.Equal(m.listed[entry.GetName()], entry)
}

// UnlistedEntries are the entries to show to the balancer that is called: this one's own,
// while it is not listed, and those that others have shown here.
func (c *Core) UnlistedEntries(now time.Time) []*apiv1.Balancer {
	var entries []*apiv1.Balancer
	if !c.members.lists(c.config.Self) {
		entries = append(entries, c.config.Self)
	}
	for name, each := range c.members.shown {
		if now.Sub(each.at) > showFor {
			delete(c.members.shown, name)
			continue
		}
		if len(entries) < passLimit {
			entries = append(entries, each.entry)
		}
	}
	return entries
}

// AddUnlistedEntries takes entries that another balancer has shown.
func (c *Core) AddUnlistedEntries(entries []*apiv1.Balancer, now time.Time) {
	for _, entry := range entries {
		if entry.GetName() == c.config.Self.GetName() || c.members.lists(entry) {
			continue
		}
		if _, found := c.members.shown[entry.GetName()]; !found && len(c.members.shown) >= showLimit {
			continue
		}
		c.members.shown[entry.GetName()] = shownEntry{entry: entry, at: now}
	}
}

// SilentBalancers are the names of balancers that this one, or one behind it, should hear
// and has not heard for long.
func (c *Core) SilentBalancers(now time.Time) []string {
	var names []string
	for _, b := range c.watched() {
		if c.silentSince(b, now) {
			names = append(names, b.GetName())
		}
	}
	for name, at := range c.members.silent {
		if now.Sub(at) > showFor {
			delete(c.members.silent, name)
			continue
		}
		if len(names) < passLimit && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

// watched are the balancers that this one misses when it does not hear them:
// those below it, and if none before it in its order can be followed, those.
func (c *Core) watched() []*apiv1.Balancer {
	before := c.tree.own()[:c.tree.place]
	useful := func(b *apiv1.Balancer) bool { return !c.useless(b) }
	if slices.ContainsFunc(before, useful) {
		return c.tree.below
	}
	return slices.Concat(c.tree.below, before)
}

// silentSince tells whether a balancer was not heard for too long.
func (c *Core) silentSince(b *apiv1.Balancer, now time.Time) bool {
	limit := silentAfter
	if b.GetZone() != c.config.Self.GetZone() {
		limit = silentElsewhere
	}
	if !c.knows() || c.knownAt.IsZero() || now.Sub(c.knownAt) <= limit {
		return false
	}
	since, found := c.members.belowSince[b.GetName()]
	if found && now.Sub(since) <= limit {
		return false
	}
	known := c.contacts[b.GetPeerAddress()]
	return known == nil || now.Sub(known.heardAt) > limit
}

// HandleSilentReport takes the names that a follower has reported.
func (c *Core) HandleSilentReport(names []string, now time.Time) {
	for _, name := range names {
		b := c.members.listed[name]
		if b == nil || name == c.config.Self.GetName() {
			continue
		}
		if known := c.contacts[b.GetPeerAddress()]; known != nil && now.Sub(known.heardAt) <= silentAfter {
			continue
		}
		c.members.silent[name] = now
	}
}

// NextWrite returns what to write to the store now. It counts as under way until
// WriteEnded.
func (c *Core) NextWrite(now time.Time) (Write, bool) {
	m := &c.members
	if m.writing || now.Before(m.nextAt) || !c.knows() || c.Stale(now) {
		return Write{}, false
	}
	if !c.ReadsStore() {
		return c.ownWrite(now)
	}
	write := Write{Put: c.UnlistedEntries(now)}
	if len(write.Put) > WriteLimit {
		write.Put = write.Put[:WriteLimit]
	}
	if write.empty() && len(m.lost) > 0 {
		write.Policy = &m.lost[c.chance.IntN(len(m.lost))]
	}
	if write.empty() {
		write.Remove = c.SilentBalancers(now)
		write.Remove = write.Remove[:min(len(write.Remove), RemoveLimit)]
	}
	if write.empty() {
		write.ZoneLeads = c.leadsToWrite(now)
	}
	if write.empty() {
		m.nextAt = now.Add(gatherEntries)
		return Write{}, false
	}
	m.writing = true
	return write, true
}

// ownWrite writes the entry of a balancer that nobody has written for long.
func (c *Core) ownWrite(now time.Time) (Write, bool) {
	m := &c.members
	if m.lists(c.config.Self) {
		m.ownAt = time.Time{}
		return Write{}, false
	}
	if m.ownAt.IsZero() {
		m.ownAt = now.Add(writeOwnAfter + time.Duration(c.chance.Int64N(int64(writeOwnAfter))))
	}
	if now.Before(m.ownAt) {
		return Write{}, false
	}
	m.writing = true
	return Write{Put: []*apiv1.Balancer{c.config.Self}}, true
}

// StoreRestored takes that the store came back from a copy, with the balancers that it lists
// now. What was written to it since is lost, whether the write was seen to take effect or not,
// and is written again.
func (c *Core) StoreRestored(known []*apiv1.Balancer, now time.Time) {
	c.members.leads.written = nil
	c.SetBalancers(known, now)
}

// SetLostPolicies takes the policies that the store has lost. Who reads the store writes them again, in
// no order: one whose write fails must not hold up the others.
func (c *Core) SetLostPolicies(lost []directory.LostPolicy) { c.members.lost = lost }

// WriteEnded takes the end of a write. What was written shows in the directory
// soon after; until then it is not written again.
func (c *Core) WriteEnded(write Write, failed bool, now time.Time) {
	m := &c.members
	m.writing = false
	m.ownAt = time.Time{}
	for _, name := range write.Remove {
		// Whether it was removed or has just written anew: it has its time again.
		delete(m.silent, name)
		m.belowSince[name] = now
	}
	if len(write.ZoneLeads) > 0 {
		c.leadsWritten(write.ZoneLeads, failed, now)
	}
	if failed {
		m.nextAt = now.Add(writePause)
		return
	}
	m.nextAt = now.Add(gatherEntries)
	for _, entry := range write.Put {
		m.listed[entry.GetName()] = entry
		delete(m.shown, entry.GetName())
	}
}
