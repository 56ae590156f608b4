package core

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// A joining node sees all flows of its group for the first time within seconds
// and would otherwise look up each displaced one. Instead, the keepers push
// their records to it as hints. A record names the back end of the flow for the
// lifetime of the flow, so a hint gives the same result for an open flow as the
// keeper would. Hints expire after hintLifetime, well before the ports of an
// ended flow are reused.

const (
	// hintBatch is the number of records in one push.
	hintBatch = 100
	// hintLifetime is how long, in milliseconds after the last push, hints are
	// used.
	hintLifetime = 45_000
)

// handleHintRequest queues the records of this keeper for a joining node. Of
// the two keepers of a flow, only the first one sends its record.
func (core *Core) handleHintRequest(from string) {
	var flows []assignedFlow
	for key, record := range core.records {
		first, _ := core.settledKeepers.Pick(key.Hash())
		if first == core.self.GetId() && !record.tentative {
			flows = append(flows, assignedFlow{key: key, backend: record.backend})
		}
	}
	for len(flows) > 0 {
		count := min(hintBatch, len(flows))
		core.hintQueue = append(core.hintQueue, hintPush{to: from, flows: flows[:count]})
		flows = flows[count:]
	}
}

// hintPush is a queued message with records for a joining node.
type hintPush struct {
	to    string
	flows []assignedFlow
}

// tickHints sends queued pushes within the byte budget for records.
func (core *Core) tickHints() {
	for len(core.hintQueue) > 0 && core.budgetTokens > 0 {
		next := core.hintQueue[0]
		core.hintQueue = core.hintQueue[1:]
		push := &apiv1.RecordHints{}
		for _, assigned := range next.flows {
			push.Keys = appendKey(push.Keys, assigned.key)
			push.Backends = append(push.Backends, assigned.backend)
		}
		core.spendBudget(len(push.GetKeys()) + 2*len(push.GetBackends()))
		core.send(next.to, &apiv1.Envelope{Body: &apiv1.Envelope_RecordHints{RecordHints: push}})
	}
}

func (core *Core) handleRecordHints(push *apiv1.RecordHints) {
	keys, err := parseKeys(push.GetKeys())
	if err != nil || len(keys) != len(push.GetBackends()) {
		return
	}
	core.hintsUntil = core.now + hintLifetime
	for index, key := range keys {
		if len(core.hints) < core.config.MaximumRecords {
			core.hints[key] = push.GetBackends()[index]
		}
	}
}

// lookupHint looks up an open flow among the pushed records. It returns nothing
// for a SYN, because the ports may belong to a new flow.
func (core *Core) lookupHint(key flow.Key, isSYN bool) (uint32, bool) {
	if core.now > core.hintsUntil {
		clear(core.hints)
	}
	if isSYN {
		return rule.NoBackend, false
	}
	backend, found := core.hints[key]
	return backend, found
}
