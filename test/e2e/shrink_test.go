package e2e

import (
	"os"
	"os/exec"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

const (
	// soakShrinkVariable is a file with a plan that fails; the smallest one found
	// that fails too takes its place.
	soakShrinkVariable = "INDIGOBARROW_SOAK_SHRINK"
	// shrinkTries bounds the plans that are played, of a minute or so each.
	shrinkTries = 30
)

// shrink leaves out parts of a plan, first halves, then ever smaller ones, as long as
// what is left fails.
func shrink(begun plan, tries int, fails func(plan) bool) plan {
	for size := (len(begun) + 1) / 2; size > 0; size /= 2 {
		for place := 0; place < len(begun); {
			if tries == 0 {
				return begun
			}
			tries--
			smaller := slices.Delete(slices.Clone(begun), place, min(place+size, len(begun)))
			if fails(smaller) {
				begun = smaller
			} else {
				place += size
			}
		}
	}
	return begun
}

// TestSoakShrink makes a failing plan smaller, by playing smaller ones in processes
// of their own.
func TestSoakShrink(t *testing.T) {
	path := os.Getenv(soakShrinkVariable)
	if path == "" {
		t.Skip("set " + soakShrinkVariable + " to a plan that fails")
	}
	content, err := os.ReadFile(path)
	require.NoError(t, err)
	begun, err := parsePlan(string(content))
	require.NoError(t, err)
	trial := path + ".trial"
	found := shrink(begun, shrinkTries, func(smaller plan) bool {
		require.NoError(t, os.WriteFile(trial, []byte(smaller.String()), 0o600))
		command := exec.Command(os.Args[0], "-test.run", "^TestSoak$")
		command.Env = append(os.Environ(), soakPlanVariable+"="+trial)
		failed := command.Run() != nil
		t.Logf("%d of %d events: failed is %t", len(smaller), len(begun), failed)
		return failed
	})
	require.NoError(t, os.WriteFile(path, []byte(found.String()), 0o600))
	require.NoError(t, os.Remove(trial))
	t.Logf("%d of %d events are left:\n%s", len(found), len(begun), found)
}

// Of ten events two are needed; the others are left out, within the tries.
func TestShrink(t *testing.T) {
	t.Parallel()
	var begun plan
	for place := range 10 {
		begun = append(begun, event{step: "kill", balancer: place})
	}
	needs := func(smaller plan) bool {
		return slices.Contains(smaller, begun[2]) && slices.Contains(smaller, begun[7])
	}
	require.Equal(t, plan{begun[2], begun[7]}, shrink(begun, 30, needs))
	require.True(t, needs(shrink(begun, 5, needs)), "too few tries")
}
