package balancer

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
)

// updateHealth evaluates the health of back ends from the findings of all balancers, and reports
// whether the table should be rebuilt.
func (c *control) updateHealth(now time.Time) bool {
	before, merged := c.weightInputs.unhealthy, c.findings.all(now)
	c.weightInputs.limits.update(c.demand.aggregate.Load(), now)
	changed := c.weightInputs.evaluateHealth(merged, c.core.OrderSize())
	for backend, health := range c.weightInputs.unhealthy {
		if before[backend].Healthy() {
			c.logHealthChange("Control: back end counts as unwell.", backend, health, merged[backend])
		}
	}
	for backend := range before {
		if c.weightInputs.unhealthy[backend].Healthy() {
			c.logHealthChange("Control: back end counts as healthy again.", backend, observe.Health{}, merged[backend])
		}
	}
	return changed
}

// logHealthChange logs a change of a back end's health with the evidence for it.
func (c *control) logHealthChange(message string, backend incarnation.ID, health observe.Health, finding observe.Finding) {
	name, pool := "", ""
	if table := c.balancer.table.Load(); table != nil {
		if entry := table.Backend(backend); entry != nil {
			name, pool = entry.ID, entry.Pool
		}
	}
	c.balancer.logger.Info(message, "backend", name, "pool", pool, "failing", rounded(health.Failing), "slow", rounded(health.Slow),
		"failing_part", rounded(finding.Failing.Fraction), "failing_evidence", rounded(finding.Failing.Evidence),
		"slow_part", rounded(finding.Slow.Fraction), "slow_evidence", rounded(finding.Slow.Evidence))
}
