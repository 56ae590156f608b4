package e2e

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	// restartsNetworks are the loopback networks that soaks of restarts run in, by their seeds:
	// those that are left above the others.
	restartsFirstNetwork = restoreFirstNetwork + soakNetworks
	restartsNetworks     = 35
	// restartsDefaultSeconds is a cycle and its calm part once more.
	restartsDefaultSeconds = 24
	// restartsDownDivisor is one part in so many of the balancers that may be away at once.
	restartsDownDivisor = 3
)

// restartSteps are planned work that comes in series, each step before the one before has ended.
var restartSteps = []string{"stop", "stop", "stop", "settings", "settings-faulty", "leave", "vanish", "move", "burst"}

// restartFaults strike amid the series at the beginning of a cycle.
var restartFaults = []string{"kill", "pause", "store-refuses-some", "store-busy", "peer-link-silent", "store-link-silent", "crash"}

// makeRestartPlan makes the plan of a seed in which balancers are stopped, changed and killed in
// series that overlap, in and after bursts.
func makeRestartPlan(seed int, length time.Duration) plan {
	chance := rand.New(rand.NewPCG(uint64(seed), 4))
	var made plan
	for at := time.Duration(0); at < length; at += time.Duration(100+chance.IntN(500)) * time.Millisecond {
		steps := restartSteps
		if at%cycleTime < faultPhaseTime {
			steps = slices.Concat(restartFaults, restartSteps)
		}
		made = append(made, event{at: at, step: steps[chance.IntN(len(steps))], balancer: chance.IntN(soakBalancers),
			duration: time.Duration(300+chance.IntN(1500)) * time.Millisecond})
	}
	return made
}

// TestSoakOfRestarts guards against requests that are shed, refused or held up while balancers
// stop, start and take settings in series that overlap, in and after bursts.
func TestSoakOfRestarts(t *testing.T) {
	seed := soakNumber(soakSeedVariable, soakDefaultSeed)
	length := time.Duration(soakNumber(soakSecondsVariable, restartsDefaultSeconds)) * time.Second
	soak := newSoak(t, restartsFirstNetwork+seed%restartsNetworks, makeRestartPlan(seed, length))
	soak.reservations.limit = max(1, soakBalancers/restartsDownDivisor)
	runSoak(t, soak, seed)
}
