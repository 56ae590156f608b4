package core

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// lookup is a query by the traffic goroutines for the back end of one flow. It
// runs in steps: while an epoch is pending, the keepers of the settled epoch
// are queried first, and then the flow is bound at the keepers of the pending
// epoch.
type lookup struct {
	key      flow.Key
	proposal uint32
	bind     bool
	isSYN    bool
	steps    []lookupStep
	deadline uint32
	// inFlight is set while a request for the current step is unanswered.
	inFlight bool
}

// lookupStep names the two keepers to query in one step.
type lookupStep struct {
	first, second string
	bind          bool
	// attempts counts the requests sent in this step.
	attempts int
}

// lookupBatch lists the flows of one request to a keeper.
type lookupBatch struct {
	keys     []flow.Key
	deadline uint32
}

// Lookup starts a lookup for the traffic goroutines: it finds the back end that
// a flow is bound to. With bind set, the flow is bound to the proposal if no
// record exists; otherwise the proposal is only returned as the result in that
// case. A lookup of a flow that already has one in progress is merged into it.
// isSYN reports that the packet in question is a SYN. The result appears in
// Output.Resolutions.
func (core *Core) Lookup(now uint32, key flow.Key, proposal uint32, bind, isSYN bool) {
	core.advanceTime(now)
	if existing := core.lookups[key]; existing != nil {
		existing.bind = existing.bind || bind
		return
	}
	if backend, found := core.lookupHint(key, isSYN); found {
		core.out.Resolutions = append(core.out.Resolutions, Resolution{Key: key, Backend: backend, Recorded: true})
		return
	}
	if len(core.lookups) >= core.config.MaximumLookups || core.settledKeepers == nil {
		core.out.Resolutions = append(core.out.Resolutions, Resolution{Key: key})
		return
	}
	core.lookups[key] = &lookup{
		key:      key,
		proposal: proposal,
		bind:     bind,
		isSYN:    isSYN,
		steps:    core.lookupSteps(key, bind),
		deadline: core.now + milliseconds(core.config.LookupDeadline),
	}
}

// lookupSteps returns the steps of a lookup: a single one when the settled and
// the pending epoch assign the flow to the same keepers.
func (core *Core) lookupSteps(key flow.Key, bind bool) []lookupStep {
	settledFirst, settledSecond := core.settledKeepers.Pick(key.Hash())
	pendingFirst, pendingSecond := core.pendingKeepers.Pick(key.Hash())
	last := lookupStep{first: pendingFirst, second: pendingSecond, bind: bind}
	if settledFirst == pendingFirst && settledSecond == pendingSecond {
		return []lookupStep{last}
	}
	return []lookupStep{{first: settledFirst, second: settledSecond}, last}
}

// flushLookups sends the lookups that are not in flight, in one message per
// keeper.
func (core *Core) flushLookups() {
	batches := make(map[string][]*lookup)
	for _, l := range core.lookups {
		if l.inFlight {
			continue
		}
		if keeper := core.nextKeeper(l); keeper != "" {
			l.inFlight = true
			batches[keeper] = append(batches[keeper], l)
		}
	}
	for _, keeper := range sortedKeys(batches) {
		core.sendLookups(keeper, batches[keeper])
	}
}

// nextKeeper selects the keeper to query in the current step, alternating
// between the first and the second one. It skips a step whose keepers are both
// dead; after the last step the lookup resolves to its proposal, which follows
// the rule.
func (core *Core) nextKeeper(l *lookup) string {
	for len(l.steps) > 0 {
		step := &l.steps[0]
		order := []string{step.first, step.second}
		if step.attempts%2 == 1 {
			order = []string{step.second, step.first}
		}
		for _, keeper := range order {
			if keeper != "" && core.isAlive(keeper) {
				step.attempts++
				return keeper
			}
		}
		l.steps = l.steps[1:]
	}
	core.completeLookup(l, l.proposal, false)
	return ""
}

func (core *Core) sendLookups(keeper string, lookups []*lookup) {
	request := &apiv1.BindRequest{Request: core.newID()}
	batch := &lookupBatch{deadline: core.now + milliseconds(core.config.LookupTimeout)}
	request.Opens = newBitmap(len(lookups))
	for index, l := range lookups {
		if l.isSYN {
			setBit(request.Opens, index)
		}
		proposal := uint32(rule.NoBackend)
		if l.steps[0].bind {
			proposal = l.proposal
		}
		request.Keys = appendKey(request.Keys, l.key)
		request.Proposals = append(request.Proposals, proposal)
		batch.keys = append(batch.keys, l.key)
	}
	core.lookupBatches[request.GetRequest()] = batch
	core.send(keeper, &apiv1.Envelope{Body: &apiv1.Envelope_BindRequest{BindRequest: request}})
}

func (core *Core) handleBindReply(_ string, reply *apiv1.BindReply) {
	if reply.GetReplicated() {
		core.handleReplicationReply(reply)
		return
	}
	batch := core.lookupBatches[reply.GetRequest()]
	if batch == nil || len(batch.keys) != len(reply.GetBackends()) {
		return
	}
	delete(core.lookupBatches, reply.GetRequest())
	for index, key := range batch.keys {
		if l := core.lookups[key]; l != nil {
			core.handleLookupResult(l, reply.GetBackends()[index])
		}
	}
}

// handleLookupResult processes a keeper's result for one flow. If the keeper
// has no record, the lookup continues with its next step, or resolves to the
// proposal after the last one.
func (core *Core) handleLookupResult(l *lookup, backend uint32) {
	l.inFlight = false
	if backend != rule.NoBackend {
		core.completeLookup(l, backend, true)
		return
	}
	l.steps = l.steps[1:]
	if len(l.steps) == 0 {
		core.completeLookup(l, l.proposal, true)
	}
}

func (core *Core) completeLookup(l *lookup, backend uint32, recorded bool) {
	delete(core.lookups, l.key)
	core.out.Resolutions = append(core.out.Resolutions,
		Resolution{Key: l.key, Backend: backend, Recorded: recorded})
}

// tickLookups retries unanswered lookups at the other keeper and gives up those
// past their deadline.
func (core *Core) tickLookups() {
	for id, batch := range core.lookupBatches {
		if core.now < batch.deadline {
			continue
		}
		delete(core.lookupBatches, id)
		for _, key := range batch.keys {
			if l := core.lookups[key]; l != nil {
				l.inFlight = false
			}
		}
	}
	for _, l := range core.lookups {
		if core.now >= l.deadline {
			core.completeLookup(l, rule.NoBackend, false)
		}
	}
}
