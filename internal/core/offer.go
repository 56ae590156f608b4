package core

import (
	"bytes"
	"encoding/binary"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/router"
)

// offer is a list of flows that a keeper is asked to record. Most of them are
// known to the keeper, which sees the same traffic, so the two first compare
// digests of buckets; the flows of differing buckets are offered by their
// fingerprints, and only those that the keeper lacks are sent whole.
type offer struct {
	id      uint64
	purpose offerPurpose
	keeper  string
	flows   []assignedFlow
	// stage is what is sent next, or was sent and is not answered.
	stage offerStage
	// sentAt is when it was sent; 0 is not yet.
	sentAt uint32
}

// offerPurpose is what waits for an offer to be answered.
type offerPurpose uint8

const (
	// purposePhase: the duty of a phase.
	purposePhase offerPurpose = iota
	// purposeMark: a leaving mark.
	purposeMark
	// purposeRejoin: nothing waits.
	purposeRejoin
)

type offerStage uint8

const (
	stageDigest offerStage = iota
	stageFingerprints
	stageRecords
)

const (
	// digestSize is the length of a bucket's digest in bytes.
	digestSize = 4
	// flowsPerBucket weighs the digests' bytes against the fingerprints of
	// differing buckets.
	flowsPerBucket = 6
	// minDigestFlows is the number of flows below which digests do not pay.
	minDigestFlows = 16
)

// offerRetryInterval is after how many milliseconds an unanswered offer is sent again.
const offerRetryInterval = 300

// maxBurstSeconds is how many seconds of the budget may be saved up.
const maxBurstSeconds = 0.5

// maxDebtSeconds is how many seconds of the budget may be owed.
const maxDebtSeconds = 1.0

// offerOverhead approximates the bytes of an envelope around an offer.
const offerOverhead = 40

// offerFlows lists flows for the keepers of the target epoch and starts to
// send them, as fast as the budget allows. What this node keeps itself is
// recorded at once.
func (core *Core) offerFlows(purpose offerPurpose, flows []assignedFlow) {
	byKeeper := make(map[string][]assignedFlow)
	for _, assigned := range flows {
		for _, keeper := range keepersFor(core.pendingKeeper, assigned.key) {
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

// hasOutstandingOffers reports whether an offer of a purpose is unanswered.
func (core *Core) hasOutstandingOffers(purpose offerPurpose) bool {
	for _, pending := range core.offers {
		if pending.purpose == purpose {
			return true
		}
	}
	return false
}

// dropOffers forgets the offers of a purpose.
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

// tickOffers sends queued offers within the byte budget and repeats those that
// were not answered. An offer to a keeper that is fenced meanwhile is dropped.
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

// sendQueuedOffers sends what the budget allows. Offers of newly opened flows go at
// once: they are few, and until they are answered new flows still follow the
// old rule.
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

func (core *Core) isUrgent(pending *offer) bool {
	return pending.purpose == purposeMark || pending.purpose == purposePhase && core.phase == router.PhaseLearned
}

// spendBudget charges the budget for bytes that are sent, up to a bounded debt: a
// large filter must not hold up the offers after it for long.
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

// addToDigest puts a fingerprint into its bucket's digest.
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

// targetEpochNumber is the epoch from which the offered flows are displaced.
func (core *Core) targetEpochNumber() uint64 {
	if core.pending != nil {
		return core.pending.Number
	}
	return core.settled.Number
}

// handleRecordDigest compares a digest with this node's own records of flows that
// are displaced from the same epoch. A node at another epoch does not answer;
// the offer comes again.
func (core *Core) handleRecordDigest(from string, message *apiv1.RecordDigest) {
	count := len(message.GetDigests()) / digestSize
	if core.settled == nil || message.GetEpochNumber() != core.targetEpochNumber() || count == 0 {
		return
	}
	core.recordOwnFlows()
	digests := make([]byte, count*digestSize)
	for key, record := range core.records {
		first, second := core.pendingKeeper.Pick(key.Hash())
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

// recordOwnFlows records the displaced flows of this node's table that it
// keeps, so that its digests can match. It does so once an epoch.
func (core *Core) recordOwnFlows() {
	if core.ownFlowsRecordedEpoch == core.targetEpochNumber() {
		return
	}
	core.ownFlowsRecordedEpoch = core.targetEpochNumber()
	for _, assigned := range core.displacedFlows() {
		for _, keeper := range keepersFor(core.pendingKeeper, assigned.key) {
			if keeper == core.self.GetId() {
				core.recordFlow(assigned)
			}
		}
	}
}

// handleRecordMismatch offers the flows of the differing buckets.
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

// hasBit reports a bit; bits past the end are 0.
func hasBit(bitmap []byte, index int) bool {
	return index/8 < len(bitmap) && bitmap[index/8]&(1<<(index%8)) != 0
}
