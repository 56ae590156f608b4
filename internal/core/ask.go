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
func (core *Core) Lookup(now uint32, key flow.Key, proposal uint32, bind, opens bool) {
	core.advanceTime(now)
	if known := core.lookups[key]; known != nil {
		known.bind = known.bind || bind
		return
	}
	if backend, found := core.hint(key, opens); found {
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
		isSYN:    opens,
		steps:    core.lookupSteps(key, bind),
		deadline: core.now + milliseconds(core.config.LookupDeadline),
	}
}

func (core *Core) lookupSteps(key flow.Key, bind bool) []lookupStep {
	oldFirst, oldSecond := core.settledKeeper.Pick(key.Hash())
	newFirst, newSecond := core.pendingKeeper.Pick(key.Hash())
	last := lookupStep{first: newFirst, second: newSecond, bind: bind}
	if oldFirst == newFirst && oldSecond == newSecond {
		return []lookupStep{last}
	}
	return []lookupStep{{first: oldFirst, second: oldSecond}, last}
}

// flushLookups sends the questions that wait to be sent, one message a keeper.
func (core *Core) flushLookups() {
	batches := make(map[string][]*lookup)
	for _, question := range core.lookups {
		if question.inFlight {
			continue
		}
		if keeper := core.nextKeeper(question); keeper != "" {
			question.inFlight = true
			batches[keeper] = append(batches[keeper], question)
		}
	}
	for _, keeper := range sortedKeys(batches) {
		core.sendLookups(keeper, batches[keeper])
	}
}

// nextKeeper chooses whom to ask in the present step: the first keeper, then
// the second one, in turn. A step whose keepers are both dead is passed over;
// after the last step the question is resolved by the rule.
func (core *Core) nextKeeper(question *lookup) string {
	for len(question.steps) > 0 {
		step := &question.steps[0]
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
		question.steps = question.steps[1:]
	}
	core.completeLookup(question, question.proposal, false)
	return ""
}

func (core *Core) sendLookups(keeper string, questions []*lookup) {
	request := &apiv1.BindRequest{Request: core.newID()}
	sent := &lookupBatch{deadline: core.now + milliseconds(core.config.LookupTimeout)}
	request.Opens = newBitmap(len(questions))
	for index, question := range questions {
		if question.isSYN {
			setBit(request.Opens, index)
		}
		proposal := uint32(rule.NoBackend)
		if question.steps[0].bind {
			proposal = question.proposal
		}
		request.Keys = appendKey(request.Keys, question.key)
		request.Proposals = append(request.Proposals, proposal)
		sent.keys = append(sent.keys, question.key)
	}
	core.lookupBatches[request.GetRequest()] = sent
	core.send(keeper, &apiv1.Envelope{Body: &apiv1.Envelope_BindRequest{BindRequest: request}})
}

func (core *Core) handleBindReply(_ string, reply *apiv1.BindReply) {
	if reply.GetReplicated() {
		core.handleReplicationReply(reply)
		return
	}
	sent := core.lookupBatches[reply.GetRequest()]
	if sent == nil || len(sent.keys) != len(reply.GetBackends()) {
		return
	}
	delete(core.lookupBatches, reply.GetRequest())
	for index, key := range sent.keys {
		if question := core.lookups[key]; question != nil {
			core.handleLookupResult(question, reply.GetBackends()[index])
		}
	}
}

// handleLookupResult takes a keeper's answer. No record leads to the next step, and
// after the last one to the proposal.
func (core *Core) handleLookupResult(question *lookup, backend uint32) {
	question.inFlight = false
	if backend != rule.NoBackend {
		core.completeLookup(question, backend, true)
		return
	}
	question.steps = question.steps[1:]
	if len(question.steps) == 0 {
		core.completeLookup(question, question.proposal, true)
	}
}

func (core *Core) completeLookup(question *lookup, backend uint32, recorded bool) {
	delete(core.lookups, question.key)
	core.out.Resolutions = append(core.out.Resolutions,
		Resolution{Key: question.key, Backend: backend, Recorded: recorded})
}

// tickLookups retries unanswered questions at the other keeper and gives up those
// past their deadline.
func (core *Core) tickLookups() {
	for id, sent := range core.lookupBatches {
		if core.now < sent.deadline {
			continue
		}
		delete(core.lookupBatches, id)
		for _, key := range sent.keys {
			if question := core.lookups[key]; question != nil {
				question.inFlight = false
			}
		}
	}
	for _, question := range core.lookups {
		if core.now >= question.deadline {
			core.completeLookup(question, rule.NoBackend, false)
		}
	}
}
