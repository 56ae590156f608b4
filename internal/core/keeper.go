package core

import (
	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/flowtable"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// record is the entry of a keeper for one flow.
type record struct {
	backend   uint32
	lastSeen  uint32
	createdAt uint32
	// tentative is set until the other keeper has confirmed the record.
	tentative bool
}

// fingerprint is the 5-byte hash that represents a flow in offers. Among a
// million kept flows, the probability that an unknown flow is mistaken for a
// known one is one in a million.
type fingerprint uint64

const fingerprintSize = 5

func fingerprintOf(key flow.Key) fingerprint {
	bytes := key.Bytes()
	digest := xxhash.NewWithSeed(fingerprintSeed)
	_, _ = digest.Write(bytes[:])
	return fingerprint(digest.Sum64() >> (64 - 8*fingerprintSize))
}

// fingerprintSeed makes fingerprints independent of the hash that selects
// keepers and back ends.
const fingerprintSeed = 0x6b65657065727331

// replication is a bind request that waits for confirmation by the other
// keepers of its flows.
type replication struct {
	from    string
	request uint64
	keys    []flow.Key
	// reused are the keys whose previous record was dropped because the ports
	// were reused.
	reused map[flow.Key]bool
	// waitingFor counts the keepers that have not confirmed yet.
	waitingFor int
}

// replicationPart is the set of records that one other keeper must confirm.
type replicationPart struct {
	parent  *replication
	other   string
	newKeys []flow.Key
	// replied is set once the reply to the requester no longer waits for this
	// confirmation. Without the confirmation, the records are then sent again
	// until the other keeper has them.
	replied  bool
	deadline uint32
	// retryDelay is the current retry delay, in milliseconds.
	retryDelay uint32
}

// Unconfirmed records are sent to the other keeper again: first after
// replicationRetryDelay milliseconds, then after twice the previous delay each
// time, up to replicationRetryDelayMaximum.
const (
	replicationRetryDelay        = 150
	replicationRetryDelayMaximum = 2400
)

// setRecord stores the record of a flow.
func (core *Core) setRecord(key flow.Key, backend uint32, tentative bool) {
	if core.records[key] == nil {
		core.fingerprints[fingerprintOf(key)]++
	}
	createdAt := core.now
	if old := core.records[key]; old != nil && old.backend == backend {
		createdAt = old.createdAt
	}
	core.records[key] = &record{backend: backend, lastSeen: core.now, createdAt: createdAt, tentative: tentative}
	core.markFiltersDirty(key)
}

func (core *Core) dropRecord(key flow.Key) {
	if core.records[key] == nil {
		return
	}
	delete(core.records, key)
	fp := fingerprintOf(key)
	core.fingerprints[fp]--
	if core.fingerprints[fp] == 0 {
		delete(core.fingerprints, fp)
	}
}

// dropRedundantRecords drops the records that the settled rule makes redundant.
// It keeps all of them while an epoch is pending.
func (core *Core) dropRedundantRecords() {
	if core.pending != nil {
		return
	}
	for key, record := range core.records {
		if !core.isDisplaced(key, record.backend) {
			core.dropRecord(key)
		}
	}
}

// handleBindRequest replies with the recorded back end of each flow, and
// creates a record from the proposal where there is none. The other keeper
// confirms a new record before the reply is sent, so that two requesters that
// reach different keepers get the same result.
func (core *Core) handleBindRequest(from string, request *apiv1.BindRequest) {
	created := make(map[string][]flow.Key)
	reused := make(map[flow.Key]bool)
	keys, err := parseKeys(request.GetKeys())
	if err != nil || len(keys) != len(request.GetProposals()) {
		return
	}
	for index, key := range keys {
		if hasBit(request.GetOpens(), index) && core.dropReusedRecord(key) {
			reused[key] = true
		}
		if core.bindFlow(key, request.GetProposals()[index], request.GetReplicated(), from) {
			other := core.otherKeeper(key)
			created[other] = append(created[other], key)
		}
	}
	pending := &replication{from: from, request: request.GetRequest(), keys: keys, reused: reused}
	for _, other := range sortedKeys(created) {
		core.replicate(pending, other, created[other])
	}
	if pending.waitingFor == 0 {
		core.replyToBind(from, request.GetRequest(), keys, request.GetReplicated())
	}
}

// portReuseTime is the time, in milliseconds, after which a SYN can no longer
// be a retransmission of the SYN of a recorded flow, because the client has
// given up by then. A later SYN opens a new flow on the same ports.
const portReuseTime = 64_000

// dropReusedRecord drops the record of a flow whose ports have been reused, if
// its back end takes no new flows. It reports whether it did.
func (core *Core) dropReusedRecord(key flow.Key) bool {
	record := core.records[key]
	if record == nil || core.view == nil || !core.view.Leaving[record.backend] || core.now-record.createdAt <= portReuseTime {
		return false
	}
	core.dropRecord(key)
	return true
}

// bindFlow binds one flow and reports whether the other keeper must confirm its
// record. A tentative record of the second keeper is replaced by the one that
// the first keeper replicates.
func (core *Core) bindFlow(key flow.Key, proposal uint32, replicated bool, from string) bool {
	record := core.records[key]
	if record == nil {
		if entry, found := core.flows.Get(key, key.Hash()); found && proposal != rule.NoBackend && !core.mayBeReused(entry) {
			proposal = entry.Backend
		}
	}
	firstKeeper, _ := core.pendingKeepers.Pick(key.Hash())
	superseded := record != nil && record.tentative && replicated && from == firstKeeper && proposal != rule.NoBackend
	if record != nil && !superseded {
		return record.tentative && !replicated
	}
	full := len(core.records) >= core.config.MaximumRecords
	if proposal == rule.NoBackend || full || core.isDisabled(GuardBind) {
		return false
	}
	core.setRecord(key, proposal, !replicated)
	return !replicated
}

func (core *Core) otherKeeper(key flow.Key) string {
	first, second := core.pendingKeepers.Pick(key.Hash())
	if first == core.self.GetId() {
		return second
	}
	return first
}

func (core *Core) confirmRecords(keys []flow.Key) {
	for _, key := range keys {
		if record := core.records[key]; record != nil {
			record.tentative = false
		}
	}
}

// mayBeReused reports whether an entry of the flow table of this node may
// belong to an earlier flow on the same ports, at a back end that takes no new
// flows.
func (core *Core) mayBeReused(entry flowtable.Entry) bool {
	return core.view != nil && core.view.Leaving[entry.Backend] && core.now-min(core.now, entry.LastSeen) > portReuseTime
}

// replyToBind replies with the recorded back ends. Where there is no record, it
// uses the entry of the flow table of this node, which is equivalent.
func (core *Core) replyToBind(to string, request uint64, keys []flow.Key, replicated bool) {
	reply := &apiv1.BindReply{Request: request, Replicated: replicated}
	for _, key := range keys {
		backend := uint32(rule.NoBackend)
		if record := core.records[key]; record != nil {
			record.lastSeen = core.now
			backend = record.backend
		} else if entry, found := core.flows.Get(key, key.Hash()); found && !core.mayBeReused(entry) {
			backend = entry.Backend
		}
		reply.Backends = append(reply.Backends, backend)
	}
	core.send(to, &apiv1.Envelope{Body: &apiv1.Envelope_BindReply{BindReply: reply}})
}

// replicate sends new records to their other keeper. It does not wait for a
// keeper that is not alive.
func (core *Core) replicate(parent *replication, other string, newKeys []flow.Key) {
	if other == "" || other == core.self.GetId() || !core.isAlive(other) || core.isDisabled(GuardReplicate) {
		core.confirmRecords(newKeys)
		return
	}
	id := core.newID()
	part := &replicationPart{parent: parent, other: other, newKeys: newKeys}
	part.deadline = core.now + milliseconds(core.config.LookupTimeout)/2
	core.replications[id] = part
	parent.waitingFor++
	core.sendReplicationPart(id, part)
}

func (core *Core) sendReplicationPart(id uint64, part *replicationPart) {
	request := &apiv1.BindRequest{Request: id, Replicated: true, Opens: newBitmap(len(part.newKeys))}
	for _, key := range part.newKeys {
		if record := core.records[key]; record != nil {
			if part.parent.reused[key] {
				setBit(request.Opens, len(request.GetProposals()))
			}
			request.Keys = appendKey(request.Keys, key)
			request.Proposals = append(request.Proposals, record.backend)
		}
	}
	core.send(part.other, &apiv1.Envelope{Body: &apiv1.Envelope_BindRequest{BindRequest: request}})
}

// handleReplicationReply adopts the records that the other keeper already had.
func (core *Core) handleReplicationReply(reply *apiv1.BindReply) {
	part := core.replications[reply.GetRequest()]
	if part == nil {
		return
	}
	delete(core.replications, reply.GetRequest())
	if part.replied {
		return
	}
	for index, key := range part.newKeys {
		if index < len(reply.GetBackends()) && reply.GetBackends()[index] != rule.NoBackend {
			core.setRecord(key, reply.GetBackends()[index], false)
		}
	}
	core.completeReplicationPart(part)
}

// completeReplicationPart confirms the records of a part and sends the reply to
// the bind request if it was the last part.
func (core *Core) completeReplicationPart(part *replicationPart) {
	part.replied = true
	core.confirmRecords(part.newKeys)
	part.parent.waitingFor--
	if part.parent.waitingFor == 0 {
		core.replyToBind(part.parent.from, part.parent.request, part.parent.keys, false)
	}
}

// tickReplications replies without the confirmation of the other keeper when it
// is late, and keeps sending the records until that keeper confirms them or is
// dead.
func (core *Core) tickReplications() {
	for id, part := range core.replications {
		if core.now < part.deadline {
			continue
		}
		if !part.replied {
			core.completeReplicationPart(part)
		}
		if !core.isAlive(part.other) {
			delete(core.replications, id)
			continue
		}
		part.retryDelay = min(max(2*part.retryDelay, replicationRetryDelay), replicationRetryDelayMaximum)
		part.deadline = core.now + part.retryDelay
		core.sendReplicationPart(id, part)
	}
}

func appendKey(bytes []byte, key flow.Key) []byte {
	encoded := key.Bytes()
	return append(bytes, encoded[:]...)
}

// parseKeys decodes keys of 13 bytes each.
func parseKeys(bytes []byte) ([]flow.Key, error) {
	keys := make([]flow.Key, 0, len(bytes)/flow.BinarySize)
	for len(bytes) > 0 {
		key, err := flow.FromBytes(bytes[:min(len(bytes), flow.BinarySize)])
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
		bytes = bytes[flow.BinarySize:]
	}
	return keys, nil
}

// RecordCount returns the number of records that this node keeps.
func (core *Core) RecordCount() int { return len(core.records) }

// keepersFor returns the IDs of the keepers of a flow, which may include this
// node.
func keepersFor(keepers *router.Keepers, key flow.Key) []string {
	first, second := keepers.Pick(key.Hash())
	var ids []string
	for _, id := range []string{first, second} {
		if id != "" {
			ids = append(ids, id)
		}
	}
	return ids
}
