package core

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// ask is one question of the traffic goroutines under way. It goes through
// steps: while an epoch is pending, the keepers of the settled epoch are
// looked up first, then the flow is bound at the keepers of the pending one.
type ask struct {
	key      flow.Key
	proposal uint32
	bind     bool
	opens    bool
	steps    []askStep
	deadline uint32
	// waiting is set while a request for the present step is unanswered.
	waiting bool
}

// askStep is one pair of keepers to ask.
type askStep struct {
	first, second string
	bind          bool
	// tries counts the requests sent in this step.
	tries int
}

// askRequest is a batch of questions sent to one keeper.
type askRequest struct {
	keys     []flow.Key
	deadline uint32
}

// Ask hands in a question of the traffic goroutines: which back end holds the
// flow? With bind, the proposal is bound when no record exists; without it,
// the proposal is only the answer for that case. A question about a flow that
// is being asked about already is folded into it. Opens says that it is about a
// SYN.
func (core *Core) Ask(now uint32, key flow.Key, proposal uint32, bind, opens bool) {
	core.advanceTime(now)
	if known := core.asks[key]; known != nil {
		known.bind = known.bind || bind
		return
	}
	if backend, found := core.hint(key, opens); found {
		core.out.Resolutions = append(core.out.Resolutions, Resolution{Key: key, Backend: backend, Recorded: true})
		return
	}
	if len(core.asks) >= core.config.MaximumAsks || core.settledKeeper == nil {
		core.out.Resolutions = append(core.out.Resolutions, Resolution{Key: key})
		return
	}
	core.asks[key] = &ask{
		key:      key,
		proposal: proposal,
		bind:     bind,
		opens:    opens,
		steps:    core.askSteps(key, bind),
		deadline: core.now + milliseconds(core.config.AskDeadline),
	}
}

func (core *Core) askSteps(key flow.Key, bind bool) []askStep {
	oldFirst, oldSecond := core.settledKeeper.Pick(key.Hash())
	newFirst, newSecond := core.pendingKeeper.Pick(key.Hash())
	last := askStep{first: newFirst, second: newSecond, bind: bind}
	if oldFirst == newFirst && oldSecond == newSecond {
		return []askStep{last}
	}
	return []askStep{{first: oldFirst, second: oldSecond}, last}
}

// flushAsks sends the questions that wait to be sent, one message a keeper.
func (core *Core) flushAsks() {
	batches := make(map[string][]*ask)
	for _, question := range core.asks {
		if question.waiting {
			continue
		}
		if keeper := core.nextKeeper(question); keeper != "" {
			question.waiting = true
			batches[keeper] = append(batches[keeper], question)
		}
	}
	for _, keeper := range sortedKeys(batches) {
		core.sendAsks(keeper, batches[keeper])
	}
}

// nextKeeper chooses whom to ask in the present step: the first keeper, then
// the second one, in turn. A step whose keepers are both dead is passed over;
// after the last step the question is resolved by the rule.
func (core *Core) nextKeeper(question *ask) string {
	for len(question.steps) > 0 {
		step := &question.steps[0]
		order := []string{step.first, step.second}
		if step.tries%2 == 1 {
			order = []string{step.second, step.first}
		}
		for _, keeper := range order {
			if keeper != "" && core.alive(keeper) {
				step.tries++
				return keeper
			}
		}
		question.steps = question.steps[1:]
	}
	core.resolve(question, question.proposal, false)
	return ""
}

func (core *Core) sendAsks(keeper string, questions []*ask) {
	request := &apiv1.BindRequest{Request: core.identifier()}
	sent := &askRequest{deadline: core.now + milliseconds(core.config.AskTimeout)}
	request.Opens = newBitmap(len(questions))
	for index, question := range questions {
		if question.opens {
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
	core.askRequests[request.GetRequest()] = sent
	core.send(keeper, &apiv1.Envelope{Body: &apiv1.Envelope_BindRequest{BindRequest: request}})
}

func (core *Core) stepBindReply(_ string, reply *apiv1.BindReply) {
	if reply.GetReplicated() {
		core.stepReplicated(reply)
		return
	}
	sent := core.askRequests[reply.GetRequest()]
	if sent == nil || len(sent.keys) != len(reply.GetBackends()) {
		return
	}
	delete(core.askRequests, reply.GetRequest())
	for index, key := range sent.keys {
		if question := core.asks[key]; question != nil {
			core.answerAsk(question, reply.GetBackends()[index])
		}
	}
}

// answerAsk takes a keeper's answer. No record leads to the next step, and
// after the last one to the proposal.
func (core *Core) answerAsk(question *ask, backend uint32) {
	question.waiting = false
	if backend != rule.NoBackend {
		core.resolve(question, backend, true)
		return
	}
	question.steps = question.steps[1:]
	if len(question.steps) == 0 {
		core.resolve(question, question.proposal, true)
	}
}

func (core *Core) resolve(question *ask, backend uint32, recorded bool) {
	delete(core.asks, question.key)
	core.out.Resolutions = append(core.out.Resolutions,
		Resolution{Key: question.key, Backend: backend, Recorded: recorded})
}

// tickAsks retries unanswered questions at the other keeper and gives up those
// past their deadline.
func (core *Core) tickAsks() {
	for id, sent := range core.askRequests {
		if core.now < sent.deadline {
			continue
		}
		delete(core.askRequests, id)
		for _, key := range sent.keys {
			if question := core.asks[key]; question != nil {
				question.waiting = false
			}
		}
	}
	for _, question := range core.asks {
		if core.now >= question.deadline {
			core.resolve(question, rule.NoBackend, false)
		}
	}
}
