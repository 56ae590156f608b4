// Package flowtable holds the flows that one node has seen.
//
// The table is a cache with a duty: an entry fixes the back end of a flow for
// as long as the node sees its packets, and the entries that differ from the
// agreed rule are what the node records at the keepers. Entries hold no
// pointers, so that the garbage collector does not scan them.
package flowtable

import (
	"sync"

	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// ShardCount is the number of independently locked parts.
const ShardCount = 256

// Entry is what a node knows of one flow. Times are milliseconds since the
// node's start.
type Entry struct {
	Backend uint32
	// Opened is when the flow was first seen here.
	Opened uint32
	// LastSeen is when its last packet was seen here.
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

// Table is safe for use by many goroutines.
type Table struct {
	shards        [ShardCount]shard
	shardCapacity int
}

// New makes a table that holds about capacity flows.
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

// Touch returns the entry of a flow and notes that it was seen at now; it adds
// flags to the entry. It does not allocate.
func (table *Table) Touch(key flow.Key, hash uint64, now uint32, flags Flags) (Entry, bool) {
	part := table.shard(hash)
	part.mutex.Lock()
	entry, found := part.entries[key]
	if found && (entry.LastSeen != now || entry.Flags|flags != entry.Flags) {
		entry.LastSeen = now
		entry.Flags |= flags
		part.entries[key] = entry
	}
	part.mutex.Unlock()
	return entry, found
}

// Get returns the entry of a flow.
func (table *Table) Get(key flow.Key, hash uint64) (Entry, bool) {
	part := table.shard(hash)
	part.mutex.Lock()
	entry, found := part.entries[key]
	part.mutex.Unlock()
	return entry, found
}

// Put sets the entry of a flow. It returns false and stores nothing when the
// flow is new and its part of the table is full.
func (table *Table) Put(key flow.Key, hash uint64, entry Entry) bool {
	part := table.shard(hash)
	part.mutex.Lock()
	defer part.mutex.Unlock()
	if len(part.entries) >= table.shardCapacity {
		if _, found := part.entries[key]; !found {
			return false
		}
	}
	part.entries[key] = entry
	return true
}

// Delete removes a flow.
func (table *Table) Delete(key flow.Key, hash uint64) {
	part := table.shard(hash)
	part.mutex.Lock()
	delete(part.entries, key)
	part.mutex.Unlock()
}

// Full reports whether the part that would hold a new flow is at or above the
// share (in percent) of its capacity.
func (table *Table) Full(hash uint64, percent int) bool {
	part := table.shard(hash)
	part.mutex.Lock()
	defer part.mutex.Unlock()
	return len(part.entries)*100 >= table.shardCapacity*percent
}

// Visit calls visit for each entry of one shard, with the shard locked; visit
// must not call the table. When it returns false, the entry is removed.
func (table *Table) Visit(index int, visit func(flow.Key, Entry) bool) {
	part := &table.shards[index]
	part.mutex.Lock()
	defer part.mutex.Unlock()
	for key, entry := range part.entries {
		if !visit(key, entry) {
			delete(part.entries, key)
		}
	}
}

// Expire removes entries that were closed before closedBefore or last seen
// before idleBefore, and returns how many.
func (table *Table) Expire(idleBefore, closedBefore uint32) int {
	removed := 0
	for index := range table.shards {
		table.Visit(index, func(_ flow.Key, entry Entry) bool {
			gone := entry.LastSeen < idleBefore ||
				entry.Flags&FlagClosed != 0 && entry.LastSeen < closedBefore
			if gone {
				removed++
			}
			return !gone
		})
	}
	return removed
}

// Len returns the number of entries.
func (table *Table) Len() int {
	total := 0
	for index := range table.shards {
		part := &table.shards[index]
		part.mutex.Lock()
		total += len(part.entries)
		part.mutex.Unlock()
	}
	return total
}
