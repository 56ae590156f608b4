package core

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// lookup is one question of the traffic goroutines under way. It goes through
// steps: while an epoch is pending, the keepers of the settled epoch are
// looked up first, then the flow is bound at the keepers of the pending one.
type lookup struct {
	key      flow.Key
	proposal uint32
	bind     bool
	isSYN    bool
	steps    []lookupStep
	deadline uint32
	// inFlight is set while a request for the present step is unanswered.
	inFlight bool
}

// lookupStep is one pair of keepers to ask.
type lookupStep struct {
	first, second string
	bind          bool
	// attempts counts the requests sent in this step.
	attempts int
}

// lookupBatch is a batch of questions sent to one keeper.
type lookupBatch struct {
	keys     []flow.Key
	deadline uint32
}

// Lookup hands in a question of the traffic goroutines: which back end holds the
// flow? With bind, the proposal is bound when no record exists; without it,
// the proposal is only the answer for that case. A question about a flow that
// is being asked about already is folded into it. Opens says that it is about a
// SYN.
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
	if len(core.lookups) >= core.config.MaximumLookups || core.settledKeeper == nil {
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

func (core *Core) lookupSteps(key flow.Key, bind bool) []lookupStep {
	settledFirst, settledSecond := core.settledKeeper.Pick(key.Hash())
	pendingFirst, pendingSecond := core.pendingKeeper.Pick(key.Hash())
	last := lookupStep{first: pendingFirst, second: pendingSecond, bind: bind}
	if settledFirst == pendingFirst && settledSecond == pendingSecond {
		return []lookupStep{last}
	}
	return []lookupStep{{first: settledFirst, second: settledSecond}, last}
}

// flushLookups sends the questions that wait to be sent, one message a keeper.
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

// nextKeeper chooses whom to ask in the present step: the first keeper, then
// the second one, in turn. A step whose keepers are both dead is passed over;
// after the last step the question is resolved by the rule.
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

// handleLookupResult takes a keeper's answer. No record leads to the next step, and
// after the last one to the proposal.
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

// tickLookups retries unanswered questions at the other keeper and gives up those
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
