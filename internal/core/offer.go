package core

import (
	"bytes"
	"encoding/binary"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// offer is a list of flows that a keeper is asked to record. The keeper sees
// the same traffic and knows most of them, so the two nodes first compare
// digests of buckets. The flows of buckets that differ are offered by their
// fingerprints, and only those that the keeper lacks are sent in full.
type offer struct {
	id      uint64
	purpose offerPurpose
	keeper  string
	flows   []assignedFlow
	// stage is the message to be sent next, or the one that was sent and has
	// not been answered.
	stage offerStage
	// sentAt is when that message was sent; 0 means that it has not been sent.
	sentAt uint32
}

// offerPurpose is the operation that waits for an offer to be answered.
type offerPurpose uint8

const (
	// purposePhase is the task of a phase.
	purposePhase offerPurpose = iota
	// purposeMark is a leaving mark.
	purposeMark
	// purposeRejoin is an offer by a rejoining node; no operation waits for it.
	purposeRejoin
)

// offerStage is the kind of message in the exchange of an offer.
type offerStage uint8

const (
	stageDigest offerStage = iota
	stageFingerprints
	stageRecords
)

const (
	// digestSize is the length of a bucket's digest in bytes.
	digestSize = 4
	// flowsPerBucket balances the bytes of the digests against those of the
	// fingerprints in buckets that differ.
	flowsPerBucket = 6
	// minDigestFlows is the number of flows below which digests cost more than
	// they save.
	minDigestFlows = 16
)

// offerRetryInterval is the time, in milliseconds, after which an unanswered
// offer is sent again.
const offerRetryInterval = 300

// maxBurstSeconds limits the unused byte budget that accumulates, in seconds of
// the rate.
const maxBurstSeconds = 0.5

// maxDebtSeconds limits the overdraft of the byte budget, in seconds of the
// rate.
const maxDebtSeconds = 1.0

// offerOverhead is the approximate size, in bytes, of the envelope around an
// offer.
const offerOverhead = 40

// offerFlows offers flows to the keepers of the target epoch, at the rate that
// the byte budget allows. Flows whose keeper is this node are recorded at once.
func (core *Core) offerFlows(purpose offerPurpose, flows []assignedFlow) {
	byKeeper := make(map[string][]assignedFlow)
	for _, assigned := range flows {
		for _, keeper := range keepersFor(core.pendingKeepers, assigned.key) {
			if keeper == core.self.GetId() {
				core.recordFlow(assigned)
				continue
			}
			byKeeper[keeper] = append(byKeeper[keeper], assigned)
		}
	}
	for _, keeper := range sortedKeys(byKeeper) {
		if len(byKeeper[keeper]) < minDigestFlows || purpose == purposeMark {
			core.queueOffers(purpose, keeper, byKeeper[keeper])
			continue
		}
		core.queueOffer(&offer{purpose: purpose, keeper: keeper, flows: byKeeper[keeper], stage: stageDigest})
	}
}

// hasOutstandingOffers reports whether an offer for a purpose is unanswered.
func (core *Core) hasOutstandingOffers(purpose offerPurpose) bool {
	for _, pending := range core.offers {
		if pending.purpose == purpose {
			return true
		}
	}
	return false
}

// dropOffers discards the offers for a purpose.
func (core *Core) dropOffers(purpose offerPurpose) {
	for id, pending := range core.offers {
		if pending.purpose == purpose {
			delete(core.offers, id)
		}
	}
}

func (core *Core) recordFlow(assigned assignedFlow) {
	if core.records[assigned.key] == nil && len(core.records) < core.config.MaximumRecords {
		core.setRecord(assigned.key, assigned.backend, false)
	}
}

func (core *Core) queueOffers(purpose offerPurpose, keeper string, flows []assignedFlow) {
	for len(flows) > 0 {
		count := min(core.config.OfferSize, len(flows))
		core.queueOffer(&offer{purpose: purpose, keeper: keeper, flows: flows[:count], stage: stageFingerprints})
		flows = flows[count:]
	}
}

func (core *Core) queueOffer(pending *offer) {
	pending.id = core.newID()
	core.offers[pending.id] = pending
	core.offerQueue = append(core.offerQueue, pending)
}

// tickOffers sends queued offers within the byte budget and retries unanswered
// ones. It drops offers to a keeper that has been fenced in the meantime.
func (core *Core) tickOffers() {
	rate := float64(core.config.RecordBytesPerSecond)
	core.budgetTokens = min(core.budgetTokens+rate*float64(core.now-core.budgetUpdatedAt)/1000, rate*maxBurstSeconds)
	core.budgetUpdatedAt = core.now
	members := core.members()
	for id, pending := range core.offers {
		if members[pending.keeper] == nil {
			delete(core.offers, id)
		}
	}
	core.sendQueuedOffers()
	for _, pending := range core.offers {
		if pending.sentAt != 0 && core.now-pending.sentAt >= offerRetryInterval {
			pending.sentAt = 0
			core.offerQueue = append(core.offerQueue, pending)
		}
	}
}

// sendQueuedOffers sends the offers that the budget allows. Offers of newly
// opened flows are sent at once: they are few, and until they are answered new
// flows still follow the old rule.
func (core *Core) sendQueuedOffers() {
	queue := core.offerQueue
	core.offerQueue = nil
	for _, pending := range queue {
		switch {
		case core.offers[pending.id] == nil:
		case core.budgetTokens > 0 || core.isUrgent(pending):
			core.sendOffer(pending)
		default:
			core.offerQueue = append(core.offerQueue, pending)
		}
	}
}

// isUrgent reports whether an offer is sent regardless of the budget.
func (core *Core) isUrgent(pending *offer) bool {
	return pending.purpose == purposeMark || pending.purpose == purposePhase && core.phase == router.PhaseLearned
}

// spendBudget charges sent bytes to the budget. The debt is limited, so that a
// large filter does not delay the offers after it for long.
func (core *Core) spendBudget(bytes int) {
	debt := -maxDebtSeconds * float64(core.config.RecordBytesPerSecond)
	core.budgetTokens = max(debt, core.budgetTokens-float64(bytes+offerOverhead))
}

func (core *Core) sendOffer(pending *offer) {
	pending.sentAt = max(core.now, 1)
	switch pending.stage {
	case stageDigest:
		core.sendDigest(pending)
	case stageFingerprints:
		core.sendFingerprints(pending)
	case stageRecords:
		core.sendBatch(pending)
	}
}

func bucketCount(flows int) int { return max(1, flows/flowsPerBucket) }

// addToDigest adds a fingerprint to the digest of its bucket.
func addToDigest(digests []byte, fp fingerprint) {
	bucket := int(fp % fingerprint(len(digests)/digestSize))
	slot := digests[bucket*digestSize : (bucket+1)*digestSize]
	mixed := uint32(uint64(fp) * 0x9e3779b97f4a7c15 >> 32)
	binary.LittleEndian.PutUint32(slot, binary.LittleEndian.Uint32(slot)^mixed)
}

func (core *Core) sendDigest(pending *offer) {
	digests := make([]byte, bucketCount(len(pending.flows))*digestSize)
	for _, assigned := range pending.flows {
		addToDigest(digests, fingerprintOf(assigned.key))
	}
	core.spendBudget(len(digests))
	message := &apiv1.RecordDigest{Offer: pending.id, EpochNumber: core.targetEpochNumber(), Digests: digests}
	core.send(pending.keeper, &apiv1.Envelope{Body: &apiv1.Envelope_RecordDigest{RecordDigest: message}})
}

// targetEpochNumber returns the number of the epoch from whose rule the offered
// flows differ.
func (core *Core) targetEpochNumber() uint64 {
	if core.pending != nil {
		return core.pending.Number
	}
	return core.settled.Number
}

// handleRecordDigest compares the digests of an offer with this node's own
// records of flows that are displaced from the same epoch. A node at another
// epoch does not reply; the offer is sent again.
func (core *Core) handleRecordDigest(from string, message *apiv1.RecordDigest) {
	count := len(message.GetDigests()) / digestSize
	if core.settled == nil || message.GetEpochNumber() != core.targetEpochNumber() || count == 0 {
		return
	}
	core.recordOwnFlows()
	digests := make([]byte, count*digestSize)
	for key, record := range core.records {
		first, second := core.pendingKeepers.Pick(key.Hash())
		if (first == core.self.GetId() || second == core.self.GetId()) && core.isDisplaced(key, record.backend) {
			addToDigest(digests, fingerprintOf(key))
		}
	}
	mismatch := &apiv1.RecordMismatch{Offer: message.GetOffer(), Bitmap: newBitmap(count)}
	for bucket := range count {
		offset := bucket * digestSize
		if !bytes.Equal(digests[offset:offset+digestSize], message.GetDigests()[offset:offset+digestSize]) {
			setBit(mismatch.Bitmap, bucket)
		}
	}
	core.spendBudget(len(mismatch.Bitmap))
	core.send(from, &apiv1.Envelope{Body: &apiv1.Envelope_RecordMismatch{RecordMismatch: mismatch}})
}

// recordOwnFlows records the displaced flows in the flow table of this node for
// which the node is a keeper, so that its digests can match. It does so once
// per epoch.
func (core *Core) recordOwnFlows() {
	if core.ownFlowsRecordedEpoch == core.targetEpochNumber() {
		return
	}
	core.ownFlowsRecordedEpoch = core.targetEpochNumber()
	for _, assigned := range core.displacedFlows() {
		for _, keeper := range keepersFor(core.pendingKeepers, assigned.key) {
			if keeper == core.self.GetId() {
				core.recordFlow(assigned)
			}
		}
	}
}

// handleRecordMismatch offers the flows of the buckets that differ.
func (core *Core) handleRecordMismatch(from string, message *apiv1.RecordMismatch) {
	pending := core.offers[message.GetOffer()]
	if pending == nil || pending.keeper != from || pending.stage != stageDigest {
		return
	}
	delete(core.offers, pending.id)
	count := fingerprint(bucketCount(len(pending.flows)))
	var differing []assignedFlow
	for _, assigned := range pending.flows {
		if hasBit(message.GetBitmap(), int(fingerprintOf(assigned.key)%count)) {
			differing = append(differing, assigned)
		}
	}
	core.queueOffers(pending.purpose, from, differing)
	core.tickOffers()
}

func (core *Core) sendFingerprints(pending *offer) {
	fingerprints := make([]byte, 0, len(pending.flows)*fingerprintSize)
	for _, assigned := range pending.flows {
		fingerprints = appendFingerprint(fingerprints, fingerprintOf(assigned.key))
	}
	core.spendBudget(len(fingerprints))
	message := &apiv1.RecordOffer{Offer: pending.id, Fingerprints: fingerprints}
	core.send(pending.keeper, &apiv1.Envelope{Body: &apiv1.Envelope_RecordOffer{RecordOffer: message}})
}

func (core *Core) sendBatch(pending *offer) {
	batch := &apiv1.RecordBatch{Offer: pending.id}
	for _, assigned := range pending.flows {
		batch.Keys = appendKey(batch.Keys, assigned.key)
		batch.Backends = append(batch.Backends, assigned.backend)
	}
	core.spendBudget(len(batch.Keys) + 2*len(batch.Backends))
	core.send(pending.keeper, &apiv1.Envelope{Body: &apiv1.Envelope_RecordBatch{RecordBatch: batch}})
}

func (core *Core) handleRecordOffer(from string, message *apiv1.RecordOffer) {
	count := len(message.GetFingerprints()) / fingerprintSize
	wanted := &apiv1.RecordWanted{Offer: message.GetOffer(), Bitmap: newBitmap(count)}
	for index := range count {
		fp := parseFingerprint(message.GetFingerprints()[index*fingerprintSize:])
		if core.fingerprints[fp] == 0 {
			setBit(wanted.Bitmap, index)
		}
	}
	core.spendBudget(len(wanted.Bitmap))
	core.send(from, &apiv1.Envelope{Body: &apiv1.Envelope_RecordWanted{RecordWanted: wanted}})
}

func (core *Core) handleRecordWanted(from string, message *apiv1.RecordWanted) {
	pending := core.offers[message.GetOffer()]
	if pending == nil || pending.keeper != from || pending.stage != stageFingerprints {
		return
	}
	var wanted []assignedFlow
	for index, assigned := range pending.flows {
		if hasBit(message.GetBitmap(), index) {
			wanted = append(wanted, assigned)
		}
	}
	if len(wanted) == 0 {
		delete(core.offers, pending.id)
		return
	}
	pending.flows = wanted
	pending.stage = stageRecords
	pending.sentAt = 0
	core.offerQueue = append([]*offer{pending}, core.offerQueue...)
	core.tickOffers()
}

func (core *Core) handleRecordBatch(from string, batch *apiv1.RecordBatch) {
	keys, err := parseKeys(batch.GetKeys())
	if err != nil || len(keys) != len(batch.GetBackends()) {
		return
	}
	for index, key := range keys {
		core.recordFlow(assignedFlow{key: key, backend: batch.GetBackends()[index]})
	}
	core.send(from, &apiv1.Envelope{Body: &apiv1.Envelope_RecordAck{RecordAck: &apiv1.RecordAck{Offer: batch.GetOffer()}}})
}

func (core *Core) handleRecordAck(from string, ack *apiv1.RecordAck) {
	if pending := core.offers[ack.GetOffer()]; pending != nil && pending.keeper == from {
		delete(core.offers, ack.GetOffer())
	}
}

func appendFingerprint(fingerprints []byte, fp fingerprint) []byte {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(fp))
	return append(fingerprints, buffer[:fingerprintSize]...)
}

func parseFingerprint(fingerprints []byte) fingerprint {
	var buffer [8]byte
	copy(buffer[:fingerprintSize], fingerprints)
	return fingerprint(binary.LittleEndian.Uint64(buffer[:]))
}

func newBitmap(count int) []byte { return make([]byte, (count+7)/8) }

func setBit(bitmap []byte, index int) { bitmap[index/8] |= 1 << (index % 8) }

// hasBit reports whether a bit is set; bits past the end are 0.
func hasBit(bitmap []byte, index int) bool {
	return index/8 < len(bitmap) && bitmap[index/8]&(1<<(index%8)) != 0
}
