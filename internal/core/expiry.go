package core

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// expiryState is the state of the query about records that have not been used
// for a long time.
type expiryState struct {
	scannedAt uint32
	query     uint64
	keys      []flow.Key
	deadline  uint32
	responded map[string]bool
}

const (
	// expiryInterval is the time, in milliseconds, between two scans of a
	// keeper for records of flows that may have ended.
	expiryInterval = 10_000
	// expiryTimeout is how long, in milliseconds, a keeper waits for the
	// replies to a query.
	expiryTimeout = 5_000
	// expiryBatch limits the number of flows in one query.
	expiryBatch = 256
)

// tickExpiry queries the other nodes about unused records. A record is dropped
// only when every participant has replied that it has not seen the flow,
// because a node that cannot reply may hold it.
func (core *Core) tickExpiry() {
	if core.expiry.query != 0 {
		if core.now >= core.expiry.deadline {
			core.expiry.query = 0
		}
		return
	}
	if core.now-core.expiry.scannedAt < expiryInterval || core.settled == nil {
		return
	}
	core.expiry.scannedAt = core.now
	keys := core.idleRecords()
	if len(keys) == 0 {
		return
	}
	core.expiry = expiryState{
		scannedAt: core.now,
		query:     core.newID(),
		keys:      keys,
		deadline:  core.now + expiryTimeout,
		responded: make(map[string]bool),
	}
	query := &apiv1.AliveQuery{Query: core.expiry.query}
	for _, key := range keys {
		query.Keys = appendKey(query.Keys, key)
	}
	core.spendBudget(len(query.Keys))
	for _, id := range sortedKeys(core.participants()) {
		core.send(id, &apiv1.Envelope{Body: &apiv1.Envelope_AliveQuery{AliveQuery: query}})
	}
}

func (core *Core) idleRecords() []flow.Key {
	var keys []flow.Key
	for key, record := range core.records {
		if entry, found := core.flows.Get(key, key.Hash()); found {
			record.lastSeen = max(record.lastSeen, entry.LastSeen)
		}
		if core.now-record.lastSeen > milliseconds(core.config.RecordIdleTime) && len(keys) < expiryBatch {
			keys = append(keys, key)
		}
	}
	return keys
}

func (core *Core) handleAliveQuery(from string, query *apiv1.AliveQuery) {
	keys, err := parseKeys(query.GetKeys())
	if err != nil {
		return
	}
	reply := &apiv1.AliveReply{Query: query.GetQuery(), Bitmap: newBitmap(len(keys))}
	for index, key := range keys {
		entry, found := core.flows.Get(key, key.Hash())
		if found && core.now-entry.LastSeen <= milliseconds(core.config.RecordIdleTime) {
			setBit(reply.Bitmap, index)
		}
	}
	core.send(from, &apiv1.Envelope{Body: &apiv1.Envelope_AliveReply{AliveReply: reply}})
}

func (core *Core) handleAliveReply(from string, reply *apiv1.AliveReply) {
	if core.expiry.query == 0 || reply.GetQuery() != core.expiry.query {
		return
	}
	for index, key := range core.expiry.keys {
		if record := core.records[key]; record != nil && hasBit(reply.GetBitmap(), index) {
			record.lastSeen = core.now
		}
	}
	core.expiry.responded[from] = true
	for id := range core.participants() {
		if !core.expiry.responded[id] {
			return
		}
	}
	core.dropIdleRecords()
}

func (core *Core) dropIdleRecords() {
	for _, key := range core.expiry.keys {
		record := core.records[key]
		if record != nil && core.now-record.lastSeen > milliseconds(core.config.RecordIdleTime) {
			core.dropRecord(key)
		}
	}
	core.expiry.query = 0
}
