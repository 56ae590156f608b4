package e2e

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/metadata"
)

const (
	// refusalsNetworks is the number of loopback networks for soaks of refusals; the seed
	// selects one.
	refusalsFirstNetwork = restartsFirstNetwork + restartsNetworks
	refusalsNetworks     = 17
	// refusalsDefaultSeconds is enough for the series to overlap several times.
	refusalsDefaultSeconds = 40
	// refusalsLeastBalancers is more than the balancers that are expected to read the store.
	refusalsLeastBalancers = 12
	// One in killedDivisor of the other balancers is killed in a series.
	killedDivisor = 2
)

// refusalSteps make the store turn away all balancers but one, and killOthersStep kills some of
// them. releaseSteps are planned work that goes on meanwhile.
var (
	refusalSteps   = []string{"store-refuses-others", "store-throttles-others", "store-silent-to-others"}
	killOthersStep = "kill-others"
	releaseSteps   = []string{"leave", "leave", "vanish", "vanish-cut", "move"}
)

func init() {
	soakSteps["store-refuses-others"] = refuseOthersStep(metadata.Faults{Unavailable: true})
	soakSteps["store-throttles-others"] = refuseOthersStep(metadata.Faults{Throttled: true})
	soakSteps["store-silent-to-others"] = refuseOthersStep(metadata.Faults{Unresponsive: true})
	soakSteps[killOthersStep] = func(soak *soak, next event) {
		for _, balancer := range othersThan(next.balancer) {
			if (balancer+next.balancer)%killedDivisor == 0 {
				soak.kill([]int{balancer}, next.duration)
			}
		}
	}
}

// refusals counts the series in which the store turns each balancer away. The zero value has
// none.
type refusals struct {
	mutex sync.Mutex
	count map[int]int
}

// add changes the number of series for a balancer, and returns the new number.
func (refusals *refusals) add(balancer, change int) int {
	refusals.mutex.Lock()
	defer refusals.mutex.Unlock()
	if refusals.count == nil {
		refusals.count = make(map[int]int)
	}
	refusals.count[balancer] += change
	return refusals.count[balancer]
}

// refuseOthersStep applies faults to the store calls of all balancers but one.
func refuseOthersStep(faults metadata.Faults) func(*soak, event) {
	return func(soak *soak, next event) {
		others := othersThan(next.balancer)
		for _, balancer := range others {
			soak.refusals.add(balancer, 1)
			soak.store.SetCallerFaults(soak.storeCaller(balancer), faults)
		}
		soak.recordDisturbance(others, next.duration, func() {
			for _, balancer := range others {
				if soak.refusals.add(balancer, -1) == 0 {
					soak.store.SetCallerFaults(soak.storeCaller(balancer), metadata.Faults{})
				}
			}
		})
	}
}

// othersThan returns the indexes of all balancers but one.
func othersThan(served int) []int {
	var others []int
	for _, balancer := range allBalancers() {
		if balancer != served {
			others = append(others, balancer)
		}
	}
	return others
}

// makeRefusalPlan generates the plan for a seed in which the store serves one balancer only,
// some of the others are killed, and back ends are released and routes moved meanwhile. Two of
// three series keep the balancer that is served, and each may begin before the one before has
// ended.
func makeRefusalPlan(seed int, duration time.Duration) plan {
	random := rand.New(rand.NewPCG(uint64(seed), 5))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	var events plan
	served := random.IntN(soakBalancers)
	for at := between(200*time.Millisecond, time.Second); at < duration; {
		if random.IntN(3) == 0 {
			served = random.IntN(soakBalancers)
		}
		events = append(events, event{at: at, step: refusalSteps[random.IntN(len(refusalSteps))], balancer: served,
			duration: between(7*time.Second, refusalTime)})
		at += between(0, 300*time.Millisecond)
		events = append(events, event{at: at, step: killOthersStep, balancer: served, duration: between(2*time.Second, 8*time.Second)})
		for next := at + between(6*time.Second, 12*time.Second); at < next; {
			at += between(200*time.Millisecond, 700*time.Millisecond)
			events = append(events, event{at: at, step: releaseSteps[random.IntN(len(releaseSteps))], balancer: served,
				duration: between(300*time.Millisecond, time.Second)})
		}
	}
	return events
}

// TestSoakOfRefusals guards against new flows to leaving back ends, and by configurations of the
// past, through a balancer that the store serves while it turns all others away and some of them
// are dead. It also guards against resets of open flows of back ends without an entry that were
// cut off and answer again.
func TestSoakOfRefusals(t *testing.T) {
	fewer := soakBalancers
	soakBalancers = max(soakBalancers, refusalsLeastBalancers)
	t.Cleanup(func() { soakBalancers = fewer })
	seed := soakNumber(soakSeedVariable, soakDefaultSeed)
	duration := time.Duration(soakNumber(soakSecondsVariable, refusalsDefaultSeconds)) * time.Second
	soak := newSoak(t, refusalsFirstNetwork+seed%refusalsNetworks, makeRefusalPlan(seed, duration))
	soak.reservations.limit = soakBalancers
	soak.keepingCallers = keepingCallers
	runSoak(t, soak, seed)
}
