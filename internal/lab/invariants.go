package lab

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/internal/router"
)

// watermark holds the newest versions that a node has reached.
type watermark struct {
	document, configuration, activeRevision uint64
}

// CheckInvariants returns an error for the first invariant that is violated now.
// Broken flows are counted in the Result instead, since some faults make them
// unavoidable.
func (sim *Simulation) CheckInvariants() error {
	if sim.Result.WrongService > 0 {
		return errors.Newf("%d packets reached a back end of another service", sim.Result.WrongService)
	}
	if sim.Result.RefusedAfterAccept > 0 {
		return errors.Newf("%d flows were refused although a back end held them", sim.Result.RefusedAfterAccept)
	}
	if err := sim.checkMonotonic(); err != nil {
		return err
	}
	return sim.checkLevels()
}

// checkMonotonic checks that no node returns to an older document, configuration
// or active revision.
func (sim *Simulation) checkMonotonic() error {
	if sim.watermarks == nil {
		sim.watermarks = make(map[string]watermark)
	}
	for _, node := range sim.nodes {
		if !node.running() {
			continue
		}
		now := watermark{
			document:       node.core.Document().GetVersion(),
			configuration:  node.core.Configuration().GetRevision(),
			activeRevision: node.activeRevision(),
		}
		last := sim.watermarks[node.id]
		if now.document < last.document || now.configuration < last.configuration || now.activeRevision < last.activeRevision {
			return errors.Newf("node %s went back from %+v to %+v", node.id, last, now)
		}
		sim.watermarks[node.id] = now
	}
	return nil
}

// level numbers the states that a node passes through in order. The flipped
// phase and the settled state after it are the same level, since a node decides
// alike in both.
func (node *node) level() uint64 {
	view := node.router.View()
	return 3*view.Settled.Number + uint64(view.Phase)
}

// checkLevels checks that any two nodes that trust their views are at most one
// level apart; package core explains why that is sufficient.
func (sim *Simulation) checkLevels() error {
	var lowest, highest *node
	for _, node := range sim.nodes {
		if node.dead || node.router.View() == nil || !node.router.HasContact(node.now()) {
			continue
		}
		if lowest == nil || node.level() < lowest.level() {
			lowest = node
		}
		if highest == nil || node.level() > highest.level() {
			highest = node
		}
	}
	if lowest != nil && highest.level()-lowest.level() > 1 {
		return errors.Newf("levels apart at %s: %s and %s", sim.Clock.Now(), describe(lowest), describe(highest))
	}
	return nil
}

func describe(node *node) string {
	view := node.router.View()
	pending := uint64(0)
	if view.Pending != nil {
		pending = view.Pending.Number
	}
	return fmt.Sprintf("%s (document %d, settled %d, pending %d, %s, paused %t, contact %s)", node.id,
		node.core.Document().GetVersion(), view.Settled.Number, pending, router.Phase(view.Phase), node.paused, node.core.Contact())
}
