package lab

import (
	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/flow"
	"github.com/indigobarrow/indigobarrow/internal/router"
	"github.com/indigobarrow/indigobarrow/internal/rule"
)

// baseline routes packets with one of the algorithms that epochs are compared
// with. Each node applies a configuration as soon as it receives it.
type baseline struct {
	algorithm Algorithm
	node      *node
	rules     map[flow.Address]*rule.Rule
	table     map[flow.Key]uint32
}

func newBaseline(algorithm Algorithm, owner *node) *baseline {
	return &baseline{
		algorithm: algorithm,
		node:      owner,
		rules:     make(map[flow.Address]*rule.Rule),
		table:     make(map[flow.Key]uint32),
	}
}

func (baseline *baseline) setConfiguration(configuration *apiv1.Configuration) {
	epoch := &apiv1.Epoch{Number: 1, Services: desiredRules(configuration)}
	set, err := rule.NewSet(epoch)
	if err != nil {
		panic(err)
	}
	baseline.rules = set.Rules()
}

func (baseline *baseline) route(pkt packet) {
	serviceRule := baseline.rules[pkt.flow.key.Address()]
	if serviceRule == nil {
		baseline.node.sim.Result.Dropped++
		return
	}
	key := pkt.flow.key
	if backend, tracked := baseline.table[key]; tracked && baseline.algorithm == AlgorithmTable {
		baseline.node.forward(pkt, backend)
		return
	}
	backend := baseline.selectBackend(serviceRule, pkt.flow.hash)
	if baseline.algorithm == AlgorithmTable {
		baseline.table[key] = backend
	}
	if pkt.flags&router.PacketCloses != 0 {
		delete(baseline.table, key)
	}
	baseline.node.forward(pkt, backend)
}

func (baseline *baseline) selectBackend(serviceRule *rule.Rule, hash uint64) uint32 {
	if baseline.algorithm != AlgorithmModulo {
		return serviceRule.Pick(hash)
	}
	var usable []uint32
	for _, candidate := range serviceRule.Candidates() {
		if candidate.Weight > 0 {
			usable = append(usable, candidate.Backend)
		}
	}
	return usable[hash%uint64(len(usable))]
}
