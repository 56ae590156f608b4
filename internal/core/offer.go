package core

import (
	"encoding/binary"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// offer is a list of flows that a keeper is asked to record. It goes in three
// messages: the fingerprints, the ones the keeper lacks, and their records. A
// flow that many nodes hold is thus sent whole only once.
type offer struct {
	id     uint64
	keeper string
	flows  []heldFlow
	// sentAt is when the present message was sent; 0 is not yet.
	sentAt uint32
	wanted []heldFlow
}

// offerRetry is after how many milliseconds an unanswered offer is sent again.
const offerRetry = 1000

// offerOverhead approximates the bytes of an envelope around an offer.
const offerOverhead = 40

// offerFlows lists flows for the keepers of the target epoch and starts to
// send them, as fast as the budget allows. What this node keeps itself is
// recorded at once.
func (core *Core) offerFlows(flows []heldFlow) {
	byKeeper := make(map[string][]heldFlow)
	for _, held := range flows {
		for _, keeper := range keepersFor(core.pendingKeeper, held.key) {
			if keeper == core.self.GetId() {
				core.recordHeld(held)
				continue
			}
			byKeeper[keeper] = append(byKeeper[keeper], held)
		}
	}
	for _, keeper := range sortedKeys(byKeeper) {
		core.queueOffers(keeper, byKeeper[keeper])
	}
}

func (core *Core) recordHeld(held heldFlow) {
	if core.records[held.key] == nil {
		core.setRecord(held.key, held.backend, false)
	}
}

func (core *Core) queueOffers(keeper string, flows []heldFlow) {
	for len(flows) > 0 {
		count := min(core.config.OfferSize, len(flows))
		queued := &offer{id: core.identifier(), keeper: keeper, flows: flows[:count]}
		core.offers[queued.id] = queued
		core.offerQueue = append(core.offerQueue, queued)
		flows = flows[count:]
	}
}

// tickOffers sends queued offers within the byte budget and repeats those that
// were not answered. An offer to a keeper that is fenced meanwhile is dropped.
func (core *Core) tickOffers() {
	rate := float64(core.config.RecordBytesPerSecond)
	core.offerTokens = min(core.offerTokens+rate*float64(core.now-core.offerAt)/1000, rate)
	core.offerAt = core.now
	members := core.members()
	for id, waiting := range core.offers {
		if members[waiting.keeper] == nil {
			delete(core.offers, id)
		}
	}
	for len(core.offerQueue) > 0 && core.offerTokens > 0 {
		next := core.offerQueue[0]
		core.offerQueue = core.offerQueue[1:]
		if core.offers[next.id] != nil {
			core.sendOffer(next)
		}
	}
	for _, waiting := range core.offers {
		if waiting.sentAt != 0 && core.now-waiting.sentAt >= offerRetry {
			waiting.sentAt = 0
			core.offerQueue = append(core.offerQueue, waiting)
		}
	}
}

func (core *Core) spend(bytes int) {
	core.offerTokens -= float64(bytes + offerOverhead)
}

func (core *Core) sendOffer(next *offer) {
	next.sentAt = max(core.now, 1)
	if next.wanted != nil {
		core.sendBatch(next)
		return
	}
	prints := make([]byte, 0, len(next.flows)*fingerprintSize)
	for _, held := range next.flows {
		prints = appendFingerprint(prints, fingerprintOf(held.key))
	}
	core.spend(len(prints))
	message := &apiv1.RecordOffer{
		Offer:        next.id,
		EpochNumber:  core.document.GetPending().GetNumber(),
		Fingerprints: prints,
	}
	core.send(next.keeper, &apiv1.Envelope{Body: &apiv1.Envelope_RecordOffer{RecordOffer: message}})
}

func (core *Core) sendBatch(next *offer) {
	batch := &apiv1.RecordBatch{Offer: next.id, EpochNumber: core.document.GetPending().GetNumber()}
	for _, held := range next.wanted {
		bytes := held.key.Bytes()
		batch.Keys = append(batch.Keys, bytes[:]...)
		batch.Backends = append(batch.Backends, held.backend)
	}
	core.spend(len(batch.Keys) + 2*len(batch.Backends))
	core.send(next.keeper, &apiv1.Envelope{Body: &apiv1.Envelope_RecordBatch{RecordBatch: batch}})
}

func (core *Core) stepRecordOffer(from string, message *apiv1.RecordOffer) {
	count := len(message.GetFingerprints()) / fingerprintSize
	wanted := &apiv1.RecordWanted{Offer: message.GetOffer(), Bitmap: make([]byte, (count+7)/8)}
	for index := range count {
		print := readFingerprint(message.GetFingerprints()[index*fingerprintSize:])
		if core.fingerprints[print] == 0 {
			wanted.Bitmap[index/8] |= 1 << (index % 8)
		}
	}
	core.spend(len(wanted.Bitmap))
	core.send(from, &apiv1.Envelope{Body: &apiv1.Envelope_RecordWanted{RecordWanted: wanted}})
}

func (core *Core) stepRecordWanted(from string, message *apiv1.RecordWanted) {
	waiting := core.offers[message.GetOffer()]
	if waiting == nil || waiting.keeper != from || waiting.wanted != nil {
		return
	}
	wanted := make([]heldFlow, 0)
	for index, held := range waiting.flows {
		if index/8 < len(message.GetBitmap()) && message.GetBitmap()[index/8]&(1<<(index%8)) != 0 {
			wanted = append(wanted, held)
		}
	}
	if len(wanted) == 0 {
		delete(core.offers, waiting.id)
		return
	}
	waiting.wanted = wanted
	waiting.sentAt = 0
	core.offerQueue = append([]*offer{waiting}, core.offerQueue...)
	core.tickOffers()
}

func (core *Core) stepRecordBatch(from string, batch *apiv1.RecordBatch) {
	keys := batch.GetKeys()
	if len(keys) != len(batch.GetBackends())*flow.BinarySize {
		return
	}
	for index, backend := range batch.GetBackends() {
		key, err := flow.FromBytes(keys[index*flow.BinarySize : (index+1)*flow.BinarySize])
		if err != nil {
			return
		}
		core.recordHeld(heldFlow{key: key, backend: backend})
	}
	core.send(from, &apiv1.Envelope{Body: &apiv1.Envelope_RecordAck{RecordAck: &apiv1.RecordAck{Offer: batch.GetOffer()}}})
}

func (core *Core) stepRecordAck(from string, ack *apiv1.RecordAck) {
	if waiting := core.offers[ack.GetOffer()]; waiting != nil && waiting.keeper == from {
		delete(core.offers, ack.GetOffer())
	}
}

func appendFingerprint(bytes []byte, print fingerprint) []byte {
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(print))
	return append(bytes, buffer[:fingerprintSize]...)
}

func readFingerprint(bytes []byte) fingerprint {
	var buffer [8]byte
	copy(buffer[:fingerprintSize], bytes)
	return fingerprint(binary.LittleEndian.Uint64(buffer[:]))
}
