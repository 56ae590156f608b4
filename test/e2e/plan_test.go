package e2e

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

const (
	// longDowntime is how long a lost balancer stays down.
	longDowntime = 14 * time.Second
	// A soak runs in cycles of cycleTime. Each begins with faults of all kinds for
	// faultPhaseTime; then comes planned work only, for long enough that time bounds can
	// be checked.
	cycleTime      = 22 * time.Second
	faultPhaseTime = 6 * time.Second
)

// event is one fault or one piece of planned work.
type event struct {
	at   time.Duration
	step string
	// balancer is the index of the affected balancer, or of one in the affected zone.
	balancer int
	duration time.Duration
	// skipped is set if the event was not carried out, for instance because another step had
	// reserved its balancer.
	skipped bool
}

// plan lists the events of a soak, ordered by time.
type plan []event

// makePlan generates the plan for a seed.
func makePlan(seed int, duration time.Duration) plan {
	random := rand.New(rand.NewPCG(uint64(seed), 2))
	var events plan
	for at := time.Duration(0); ; {
		at += time.Duration(200+random.IntN(1200)) * time.Millisecond
		if at > duration {
			return events
		}
		steps := plannedSteps
		if at%cycleTime < faultPhaseTime {
			steps = append(append([]string(nil), faultSteps...), plannedSteps...)
		}
		next := event{
			at:       at,
			step:     steps[random.IntN(len(steps))],
			balancer: random.IntN(soakBalancers),
			duration: time.Duration(300+random.IntN(2500)) * time.Millisecond,
		}
		events = append(events, next)
		if blockingSteps[next.step] {
			at += next.duration
		}
	}
}

const (
	// Store restores come in series for faultPhaseTime. Then comes only planned work, for
	// restoreQuietTime, in which time bounds are checked.
	restoreQuietTime = 9 * time.Second
)

// restoreSteps are faults and planned work that overlap a restore of the store. Callers may
// notice planned work during that time.
var restoreSteps = []string{"kill", "kill-zone", "kill-all", "pause-zone", "store-compacts", "store-refuses-some", "store-link-silent",
	"peer-link-silent", "crash", "stop", "leave", "vanish", "move", "settings"}

// quietSteps are planned work that doesn't exhaust the back ends' capacity, so that a refused
// or delayed request can't be the effect of a burst.
var quietSteps = []string{"stop", "leave", "vanish", "move", "settings"}

// makeRestorePlan generates the plan for a seed in which the store is restored from backups
// repeatedly, while balancers and back ends start and stop.
func makeRestorePlan(seed int, duration time.Duration) plan {
	random := rand.New(rand.NewPCG(uint64(seed), 3))
	var events plan
	add := func(at time.Duration, steps ...string) time.Duration {
		next := event{at: at, step: steps[random.IntN(len(steps))], balancer: random.IntN(soakBalancers),
			duration: time.Duration(300+random.IntN(2000)) * time.Millisecond}
		events = append(events, next)
		return next.duration
	}
	pause := func() time.Duration { return time.Duration(150+random.IntN(800)) * time.Millisecond }
	for at := pause(); at < duration; {
		for faultsEnd := at + faultPhaseTime; at < faultsEnd; at += pause() {
			outage := add(at, "store-drill")
			add(at+outage/3, restoreSteps...)
			add(at+outage/2, restoreSteps...)
			at += outage
		}
		for quietEnd := at + restoreQuietTime; at < quietEnd; at += 2 * pause() {
			add(at, quietSteps...)
		}
	}
	return events
}

// String returns the plan in the format that parsePlan reads, one event per line. Skipped
// events are marked.
func (plan plan) String() string {
	var text strings.Builder
	for _, next := range plan {
		fmt.Fprint(&text, next.at, " ", next.step, " ", next.balancer, " ", next.duration)
		if next.skipped {
			fmt.Fprint(&text, " # skipped")
		}
		fmt.Fprintln(&text)
	}
	return text.String()
}

// parsePlan parses a plan. Lines that start with # are ignored.
func parsePlan(text string) (plan, error) {
	var read plan
	for _, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		var next event
		var at, duration string
		if _, err := fmt.Sscan(line, &at, &next.step, &next.balancer, &duration); err != nil {
			return nil, errors.Wrapf(err, "plan: %q", line)
		}
		var atError, durationError error
		next.at, atError = time.ParseDuration(at)
		next.duration, durationError = time.ParseDuration(duration)
		if err := errors.CombineErrors(atError, durationError); err != nil {
			return nil, errors.Wrapf(err, "plan: %q", line)
		}
		if next.balancer < 0 || next.balancer >= soakBalancers || soakSteps[next.step] == nil {
			return nil, errors.Newf("plan: %q: unknown balancer or step", line)
		}
		read = append(read, next)
	}
	return read, nil
}

// A seed always gives the same plan, the plan is unchanged after writing and parsing, and it
// contains every kind of step. Malformed plans are rejected.
func TestPlan(t *testing.T) {
	t.Parallel()
	generated := makePlan(7, 60*time.Minute)
	require.Equal(t, generated, makePlan(7, 60*time.Minute))
	read, err := parsePlan("# a remark\n" + generated.String())
	require.NoError(t, err)
	require.Equal(t, generated, read)
	steps := make(map[string]bool)
	refusals := makeRefusalPlan(7, 10*time.Minute)
	require.Equal(t, refusals, makeRefusalPlan(7, 10*time.Minute))
	reusedPorts := makeReusedPortsPlan(7, 10*time.Minute)
	require.Equal(t, reusedPorts, makeReusedPortsPlan(7, 10*time.Minute))
	for _, next := range slices.Concat(generated, refusals, reusedPorts) {
		steps[next.step] = true
	}
	require.Len(t, steps, len(soakSteps))
	restores := makeRestorePlan(7, 10*time.Minute)
	require.Equal(t, restores, makeRestorePlan(7, 10*time.Minute))
	require.True(t, slices.IsSortedFunc(restores, func(a, b event) int { return cmp.Compare(a.at, b.at) }))
	for _, malformed := range []string{"1s kill", "1s nothing 0 1s", "1s kill 5 1s", "1 kill 0 1s"} {
		_, err := parsePlan(malformed)
		require.Error(t, err, malformed)
	}
}
