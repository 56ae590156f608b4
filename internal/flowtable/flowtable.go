// Package flowtable stores the flows that one node has seen, with the back end
// of each.
//
// The table is more than a cache: an entry fixes the back end of a flow for as
// long as the node sees its packets, and the entries that differ from the agreed
// rule are the ones that the node records at the keepers. The table is sharded
// by flow hash, each shard with its own lock. Entries hold no pointers, so that
// the garbage collector does not scan them.
package flowtable

import (
	"sync"

	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// ShardCount is the number of independently locked shards.
const ShardCount = 256

// Entry is the state of one flow. Times are in milliseconds since the node
// started.
type Entry struct {
	Backend uint32
	// Opened is the time at which this node first saw the flow.
	Opened uint32
	// LastSeen is the time at which this node last saw a packet of the flow.
	LastSeen uint32
	Flags    Flags
}

// Flags are properties of an entry.
type Flags uint8

const (
	// FlagOpenedHere is set when this node saw the SYN.
	FlagOpenedHere Flags = 1 << iota
	// FlagClosed is set when a FIN or RST was seen.
	FlagClosed
	// FlagEstablished is set when a packet other than a SYN was seen.
	FlagEstablished
)

type shard struct {
	mutex   sync.Mutex
	entries map[flow.Key]Entry
}

// Table maps flows to entries. It is safe for concurrent use.
type Table struct {
	shards        [ShardCount]shard
	shardCapacity int
}

// New returns a table that holds about capacity flows.
func New(capacity int) *Table {
	table := &Table{shardCapacity: max(1, (capacity+ShardCount-1)/ShardCount)}
	for index := range table.shards {
		table.shards[index].entries = make(map[flow.Key]Entry)
	}
	return table
}

func (table *Table) shard(hash uint64) *shard {
	return &table.shards[hash>>56]
}

// Touch returns the entry of a flow, if there is one, after setting its
// LastSeen to now and adding flags to it. It does not allocate.
func (table *Table) Touch(key flow.Key, hash uint64, now uint32, flags Flags) (Entry, bool) {
	s := table.shard(hash)
	s.mutex.Lock()
	entry, found := s.entries[key]
	if found && (entry.LastSeen != now || entry.Flags|flags != entry.Flags) {
		entry.LastSeen = now
		entry.Flags |= flags
		s.entries[key] = entry
	}
	s.mutex.Unlock()
	return entry, found
}

// Get returns the entry of a flow and whether there is one. It does not change
// the entry.
func (table *Table) Get(key flow.Key, hash uint64) (Entry, bool) {
	s := table.shard(hash)
	s.mutex.Lock()
	entry, found := s.entries[key]
	s.mutex.Unlock()
	return entry, found
}

// Put sets the entry of a flow. It returns false and stores nothing when the
// flow is new and its shard is full.
func (table *Table) Put(key flow.Key, hash uint64, entry Entry) bool {
	s := table.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.entries) >= table.shardCapacity {
		if _, found := s.entries[key]; !found {
			return false
		}
	}
	s.entries[key] = entry
	return true
}

// Delete removes the entry of a flow.
func (table *Table) Delete(key flow.Key, hash uint64) {
	s := table.shard(hash)
	s.mutex.Lock()
	delete(s.entries, key)
	s.mutex.Unlock()
}

// Full reports whether the shard for a flow hash is filled to at least the given
// percentage of its capacity.
func (table *Table) Full(hash uint64, percent int) bool {
	s := table.shard(hash)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.entries)*100 >= table.shardCapacity*percent
}

// Visit calls visit for each entry of one shard. The shard is locked meanwhile,
// so visit must not call methods of the table. An entry for which visit returns
// false is removed.
func (table *Table) Visit(index int, visit func(flow.Key, Entry) bool) {
	s := &table.shards[index]
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, entry := range s.entries {
		if !visit(key, entry) {
			delete(s.entries, key)
		}
	}
}

// Expire removes the entries last seen before idleBefore, and the closed entries
// last seen before closedBefore. It returns the number of entries removed.
func (table *Table) Expire(idleBefore, closedBefore uint32) int {
	removed := 0
	for index := range table.shards {
		table.Visit(index, func(_ flow.Key, entry Entry) bool {
			expired := entry.LastSeen < idleBefore ||
				entry.Flags&FlagClosed != 0 && entry.LastSeen < closedBefore
			if expired {
				removed++
			}
			return !expired
		})
	}
	return removed
}

// Len returns the number of entries in the table.
func (table *Table) Len() int {
	total := 0
	for index := range table.shards {
		s := &table.shards[index]
		s.mutex.Lock()
		total += len(s.entries)
		s.mutex.Unlock()
	}
	return total
}
