package flowtrace

import (
	"slices"

	"github.com/indigobarrow/indigobarrow/internal/flow"
)

// tracedFlow is a flow with its lines in the order of time.
type tracedFlow struct {
	numbers flow.Numbers
	lines   []Line
}

// matches reports whether a request ID, the flow's name or its client selects the flow.
func (f *tracedFlow) matches(query string) bool {
	return slices.ContainsFunc(f.lines, func(line Line) bool {
		return line.Request == query || line.Flow == query || line.client() == query
	})
}

// splitFlows returns the flows of the lines. Those that used the same addresses and ports have the
// same name, and are told apart by the numbers of their packets. A line without numbers belongs to
// the latest flow of its name.
func splitFlows(lines []Line) []*tracedFlow {
	sorted := slices.DeleteFunc(slices.Clone(lines), func(line Line) bool { return line.Flow == "" })
	byTime(sorted)
	var flows []*tracedFlow
	byName := make(map[string][]*tracedFlow)
	for _, line := range sorted {
		found := flowOf(line, byName[line.Flow])
		if found == nil {
			found = &tracedFlow{}
			flows = append(flows, found)
			byName[line.Flow] = append(byName[line.Flow], found)
		}
		found.lines = append(found.lines, line)
		if line.HasNumbers {
			found.numbers.Add(line.Numbers)
		}
	}
	return flows
}

// flowOf returns the flow that a line belongs to, the latest one if there are several, or nil.
func flowOf(line Line, sameName []*tracedFlow) *tracedFlow {
	for _, each := range slices.Backward(sameName) {
		if !line.HasNumbers || each.numbers.Contains(line.Numbers) {
			return each
		}
	}
	return nil
}
