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
	// longDowntime is how long a lost balancer stays away.
	longDowntime = 14 * time.Second
	// A soak goes through cycles: faults of all kinds, then planned work only,
	// long enough to judge it by its bounds in time.
	cycleTime      = 22 * time.Second
	faultPhaseTime = 6 * time.Second
)

// event is one fault or piece of planned work.
type event struct {
	at   time.Duration
	step string
	// balancer is the balancer that it strikes, or the first of them.
	balancer int
	duration time.Duration
	// skipped is set when it was not done, since another step held its balancer.
	skipped bool
}

// plan is what happens in a soak, in the order of time.
type plan []event

// makePlan makes the plan of a seed.
func makePlan(seed int, length time.Duration) plan {
	chance := rand.New(rand.NewPCG(uint64(seed), 2))
	var made plan
	for at := time.Duration(0); ; {
		at += time.Duration(200+chance.IntN(1200)) * time.Millisecond
		if at > length {
			return made
		}
		steps := plannedSteps
		if at%cycleTime < faultPhaseTime {
			steps = append(append([]string(nil), faultSteps...), plannedSteps...)
		}
		next := event{
			at:       at,
			step:     steps[chance.IntN(len(steps))],
			balancer: chance.IntN(soakBalancers),
			duration: time.Duration(300+chance.IntN(2500)) * time.Millisecond,
		}
		made = append(made, next)
		if blockingSteps[next.step] {
			at += next.duration
		}
	}
}

const (
	// Drills come in series for faultPhaseTime, then planned work only for restoreQuietTime, in which
	// bounds in time are judged.
	restoreQuietTime = 9 * time.Second
)

// restoreSteps overlap a drill: faults, and planned work, which meanwhile may be noticed.
var restoreSteps = []string{"kill", "kill-zone", "kill-all", "pause-zone", "store-compacts", "store-refuses-some", "store-link-silent",
	"peer-link-silent", "crash", "stop", "leave", "vanish", "move", "settings"}

// quietSteps are planned work that leaves the back ends room: what is refused or held up by it
// is no burst's.
var quietSteps = []string{"stop", "leave", "vanish", "move", "settings"}

// makeRestorePlan makes the plan of a seed in which the store comes back from copies again and
// again, while balancers and back ends come and go.
func makeRestorePlan(seed int, length time.Duration) plan {
	chance := rand.New(rand.NewPCG(uint64(seed), 3))
	var made plan
	add := func(at time.Duration, steps ...string) time.Duration {
		next := event{at: at, step: steps[chance.IntN(len(steps))], balancer: chance.IntN(soakBalancers),
			duration: time.Duration(300+chance.IntN(2000)) * time.Millisecond}
		made = append(made, next)
		return next.duration
	}
	pause := func() time.Duration { return time.Duration(150+chance.IntN(800)) * time.Millisecond }
	for at := pause(); at < length; {
		for storm := at + faultPhaseTime; at < storm; at += pause() {
			away := add(at, "store-drill")
			add(at+away/3, restoreSteps...)
			add(at+away/2, restoreSteps...)
			at += away
		}
		for calm := at + restoreQuietTime; at < calm; at += 2 * pause() {
			add(at, quietSteps...)
		}
	}
	return made
}

// String writes a plan, one event a line, as parsePlan reads it; what was skipped is
// marked.
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

// parsePlan reads a plan. Lines that start with # are passed over.
func parsePlan(text string) (plan, error) {
	var read plan
	for _, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		var next event
		var at, length string
		if _, err := fmt.Sscan(line, &at, &next.step, &next.balancer, &length); err != nil {
			return nil, errors.Wrapf(err, "plan: %q", line)
		}
		var first, second error
		next.at, first = time.ParseDuration(at)
		next.duration, second = time.ParseDuration(length)
		if err := errors.CombineErrors(first, second); err != nil {
			return nil, errors.Wrapf(err, "plan: %q", line)
		}
		if next.balancer < 0 || next.balancer >= soakBalancers || soakSteps[next.step] == nil {
			return nil, errors.Newf("plan: %q: no such balancer or step", line)
		}
		read = append(read, next)
	}
	return read, nil
}

// A seed makes the same plan each time, which is read as it was written, and all
// kinds of events come.
func TestPlan(t *testing.T) {
	t.Parallel()
	made := makePlan(7, 60*time.Minute)
	require.Equal(t, made, makePlan(7, 60*time.Minute))
	read, err := parsePlan("# a remark\n" + made.String())
	require.NoError(t, err)
	require.Equal(t, made, read)
	seen := make(map[string]bool)
	for _, next := range made {
		seen[next.step] = true
	}
	require.Len(t, seen, len(soakSteps))
	drills := makeRestorePlan(7, 10*time.Minute)
	require.Equal(t, drills, makeRestorePlan(7, 10*time.Minute))
	require.True(t, slices.IsSortedFunc(drills, func(a, b event) int { return cmp.Compare(a.at, b.at) }))
	for _, faulty := range []string{"1s kill", "1s nothing 0 1s", "1s kill 5 1s", "1 kill 0 1s"} {
		_, err := parsePlan(faulty)
		require.Error(t, err, faulty)
	}
}
