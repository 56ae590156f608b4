package core

import (
	"encoding/binary"

	"github.com/bits-and-blooms/bloom/v3"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

const (
	// filterBitsPerFlow and filterHashes give a false positive rate of about 1
	// in 120.
	filterBitsPerFlow = 10
	filterHashes      = 7
	minimumFilterBits = 64
	// filterRetryInterval is the time, in milliseconds, after which a missing
	// filter is requested again.
	filterRetryInterval = 1000
	// filterRefreshInterval is the least time, in milliseconds, between two
	// transmissions of a changed filter.
	filterRefreshInterval = 3000
)

// filterSet holds the Bloom filters of the displaced flows of one epoch, by
// keeper.
type filterSet struct {
	epochNumber uint64
	parts       map[string]*bloom.BloomFilter
	// dirty is set when the filter of this node lacks a record; sentAt is when
	// that filter was last sent.
	dirty  bool
	sentAt uint32
}

func newFilterSet(epochNumber uint64) *filterSet {
	return &filterSet{epochNumber: epochNumber, parts: make(map[string]*bloom.BloomFilter), dirty: true}
}

// updateFilterSets adapts the filter sets to a new document. The filters
// collected for the pending epoch remain in use once it is settled.
func (core *Core) updateFilterSets() {
	settled := core.document.GetSettled().GetNumber()
	if core.settledFilters == nil || core.settledFilters.epochNumber != settled {
		core.settledFilters = newFilterSet(settled)
		if core.pendingFilters != nil && core.pendingFilters.epochNumber == settled {
			core.settledFilters = core.pendingFilters
		}
	}
	if core.pending == nil {
		core.pendingFilters = nil
	} else if core.pendingFilters == nil || core.pendingFilters.epochNumber != core.pending.Number {
		core.pendingFilters = newFilterSet(core.pending.Number)
	}
}

// markFiltersDirty marks the filters as lacking a record. A flow on which the
// rules differ is looked up in any case, so it does not count.
func (core *Core) markFiltersDirty(key flow.Key) {
	if core.view != nil && core.view.Ambiguous(key, key.Hash()) {
		return
	}
	for _, set := range []*filterSet{core.settledFilters, core.pendingFilters} {
		if set != nil {
			set.dirty = true
		}
	}
}

// viewFilters copies the filters of the settled epoch for a view.
func (core *Core) viewFilters() map[string]*bloom.BloomFilter {
	filters := make(map[string]*bloom.BloomFilter, len(core.settledFilters.parts))
	for keeper, filter := range core.settledFilters.parts {
		filters[keeper] = filter
	}
	return filters
}

// missingFilters lists the keepers of an epoch whose filter has not been
// received.
func (core *Core) missingFilters(set *filterSet, epoch *apiv1.Epoch) []string {
	var missing []string
	for _, member := range epoch.GetMembers() {
		if !core.isFenced(member) && set.parts[member.GetId()] == nil {
			missing = append(missing, member.GetId())
		}
	}
	return missing
}

// hasPendingFilters reports whether the filters of all keepers of the pending
// epoch have been received.
func (core *Core) hasPendingFilters() bool {
	return len(core.missingFilters(core.pendingFilters, core.document.GetPending())) == 0
}

// tickFilters builds and sends the filters of this node when they have changed,
// and requests missing ones.
func (core *Core) tickFilters() {
	if core.settled == nil {
		return
	}
	core.refreshFilter(core.settledFilters, core.document.GetSettled(), core.settled)
	if core.pending != nil && core.phase == router.PhaseFlipped {
		core.refreshFilter(core.pendingFilters, core.document.GetPending(), core.pending)
	}
	if core.now-core.filtersRequestedAt < filterRetryInterval {
		return
	}
	core.filtersRequestedAt = core.now
	core.requestFilters(core.settledFilters, core.document.GetSettled())
	if core.pending != nil && core.phase == router.PhaseFlipped {
		core.requestFilters(core.pendingFilters, core.document.GetPending())
	}
}

func (core *Core) requestFilters(set *filterSet, epoch *apiv1.Epoch) {
	for _, keeper := range core.missingFilters(set, epoch) {
		if keeper != core.self.GetId() {
			// A joining node requests the records of each keeper once.
			request := &apiv1.FilterRequest{EpochNumber: set.epochNumber, Hints: !core.isMember() && !core.hintsRequested[keeper]}
			core.hintsRequested[keeper] = true
			core.send(keeper, &apiv1.Envelope{Body: &apiv1.Envelope_FilterRequest{FilterRequest: request}})
		}
	}
}

func (core *Core) refreshFilter(set *filterSet, epoch *apiv1.Epoch, target *rule.Set) {
	own := set.parts[core.self.GetId()]
	if !set.dirty || !core.isMemberOf(epoch) || own != nil && core.now-set.sentAt < filterRefreshInterval {
		return
	}
	set.dirty = false
	set.sentAt = core.now
	set.parts[core.self.GetId()] = core.buildFilter(target)
	core.viewChanged = true
	for _, id := range sortedKeys(core.participants()) {
		core.sendFilter(id, set)
	}
}

func (core *Core) isMemberOf(epoch *apiv1.Epoch) bool {
	for _, member := range epoch.GetMembers() {
		if member.GetId() == core.self.GetId() {
			return member.GetIncarnation() == core.self.GetIncarnation() && !core.isFenced(member)
		}
	}
	return false
}

func (core *Core) buildFilter(target *rule.Set) *bloom.BloomFilter {
	var displaced []flow.Key
	for key, record := range core.records {
		if isDisplacedFrom(target, key, record.backend) && !core.isDisabled(GuardFilter) {
			displaced = append(displaced, key)
		}
	}
	size := max(minimumFilterBits, uint(len(displaced))*filterBitsPerFlow)
	filter := bloom.New(size, filterHashes)
	for _, key := range displaced {
		bytes := key.Bytes()
		filter.Add(bytes[:])
	}
	return filter
}

func (core *Core) sendFilter(to string, set *filterSet) {
	filter := set.parts[core.self.GetId()]
	if filter == nil {
		return
	}
	words := filter.BitSet().Words()
	bits := make([]byte, 8*len(words))
	for index, word := range words {
		binary.LittleEndian.PutUint64(bits[8*index:], word)
	}
	part := &apiv1.FilterPart{
		EpochNumber: set.epochNumber,
		Keeper:      core.self.GetId(),
		Hashes:      uint32(filter.K()),
		Size:        uint32(filter.Cap()),
		Bits:        bits,
	}
	core.spendBudget(len(bits))
	core.send(to, &apiv1.Envelope{Body: &apiv1.Envelope_FilterPart{FilterPart: part}})
}

// filterSetOf returns the filter set of an epoch number, or nil.
func (core *Core) filterSetOf(epochNumber uint64) *filterSet {
	for _, set := range []*filterSet{core.settledFilters, core.pendingFilters} {
		if set != nil && set.epochNumber == epochNumber {
			return set
		}
	}
	return nil
}

func (core *Core) handleFilterRequest(from string, request *apiv1.FilterRequest) {
	if set := core.filterSetOf(request.GetEpochNumber()); set != nil {
		core.sendFilter(from, set)
	}
	if request.GetHints() && core.settled != nil && request.GetEpochNumber() == core.settled.Number {
		core.handleHintRequest(from)
	}
}

func (core *Core) handleFilterPart(from string, part *apiv1.FilterPart) {
	set := core.filterSetOf(part.GetEpochNumber())
	size, words := uint(part.GetSize()), len(part.GetBits())/8
	if set == nil || part.GetKeeper() != from || size == 0 || part.GetHashes() == 0 || uint(words)*64 < size {
		return
	}
	data := make([]uint64, words)
	for index := range data {
		data[index] = binary.LittleEndian.Uint64(part.GetBits()[8*index:])
	}
	set.parts[from] = bloom.FromWithM(data, size, uint(part.GetHashes()))
	core.viewChanged = true
}
