package e2e

import (
	"os"
	"os/exec"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// soakShrinkVariable names a file with a plan that fails. It is replaced with the smallest
	// failing plan that is found.
	soakShrinkVariable = "INDIGOBARROW_SOAK_SHRINK"
	// shrinkTries limits the number of plans that are run. Each takes about a minute.
	shrinkTries = 30
)

// shrink removes parts of a failing plan, halves first and then ever smaller parts, and keeps
// each removal after which the rest still fails. It calls fails at most tries times.
func shrink(failing plan, tries int, fails func(plan) bool) plan {
	for size := (len(failing) + 1) / 2; size > 0; size /= 2 {
		for index := 0; index < len(failing); {
			if tries == 0 {
				return failing
			}
			tries--
			smaller := slices.Delete(slices.Clone(failing), index, min(index+size, len(failing)))
			if fails(smaller) {
				failing = smaller
			} else {
				index += size
			}
		}
	}
	return failing
}

// TestSoakShrink reduces a failing plan by running smaller ones, each in a process of its own.
func TestSoakShrink(t *testing.T) {
	path := os.Getenv(soakShrinkVariable)
	if path == "" {
		t.Skip("set " + soakShrinkVariable + " to a plan that fails")
	}
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	failing, err := parsePlan(string(content))
	require.NoError(t, err)
	trial := path + ".trial"
	found := shrink(failing, shrinkTries, func(smaller plan) bool {
		require.NoError(t, os.WriteFile(trial, []byte(smaller.String()), 0o600))
		command := exec.Command(os.Args[0], "-test.run", "^TestSoak$")
		command.Env = append(os.Environ(), soakPlanVariable+"="+trial)
		failed := command.Run() != nil
		t.Logf("%d of %d events: failed is %t", len(smaller), len(failing), failed)
		return failed
	})
	require.NoError(t, os.WriteFile(path, []byte(found.String()), 0o600))
	require.NoError(t, os.Remove(trial))
	t.Logf("%d of %d events are left:\n%s", len(found), len(failing), found)
}

// If two of ten events are needed for a failure, shrink removes all others within the limit
// of tries, and with fewer tries it returns a plan that still fails.
func TestShrink(t *testing.T) {
	t.Parallel()
	var all plan
	for balancer := range 10 {
		all = append(all, event{step: "kill", balancer: balancer})
	}
	needs := func(smaller plan) bool {
		return slices.Contains(smaller, all[2]) && slices.Contains(smaller, all[7])
	}
	require.Equal(t, plan{all[2], all[7]}, shrink(all, 30, needs))
	require.True(t, needs(shrink(all, 5, needs)), "too few tries")
}
