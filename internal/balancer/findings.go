package balancer

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/incarnation"
	"github.com/indigobarrow/indigobarrow/internal/observe"
	"github.com/indigobarrow/indigobarrow/internal/replication"
)

const (
	// findingsTTL is for how long findings of another balancer count. Followers call
	// again within replication.FollowWait.
	findingsTTL = 2*replication.FollowWait + time.Second
	// maxFindings bounds the findings in one message.
	maxFindings = 32
)

// findingsReport is what another balancer has found, by back end.
type findingsReport struct {
	at       time.Time
	findings map[incarnation.ID]observe.Finding
}

func (r findingsReport) fresh(now time.Time) bool { return now.Sub(r.at) < findingsTTL }

// findings joins what this balancer finds of back ends with what others find.
// One balancer alone sees a few answers of each back end, or none. Findings go
// up the tree of followers, each balancer adding its own to those of its
// followers, and down again as those of all.
type findings struct {
	local     map[incarnation.ID]observe.Finding
	followers map[string]findingsReport
	// parent is what the balancer that this one follows says of all, this one
	// included.
	parent findingsReport
}

// updateFollower takes the findings of a follower and of those behind it.
func (f *findings) updateFollower(address string, found []*apiv1.BackendFinding, now time.Time) {
	if address == "" {
		return
	}
	if f.followers == nil {
		f.followers = make(map[string]findingsReport)
	}
	for known, each := range f.followers {
		if !each.fresh(now) {
			delete(f.followers, known)
		}
	}
	f.followers[address] = findingsReport{at: now, findings: decodeFindings(found)}
}

// updateParent takes the findings of all.
func (f *findings) updateParent(found []*apiv1.BackendFinding, now time.Time) {
	f.parent = findingsReport{at: now, findings: decodeFindings(found)}
}

// subtree are the findings of this balancer and of those that follow it.
func (f *findings) subtree(now time.Time) map[incarnation.ID]observe.Finding {
	joined := make(map[incarnation.ID]observe.Finding, len(f.local))
	for backend, finding := range f.local {
		joined[backend] = finding
	}
	for _, each := range f.followers {
		if !each.fresh(now) {
			continue
		}
		for backend, finding := range each.findings {
			joined[backend] = joined[backend].Plus(finding)
		}
	}
	return joined
}

// all are the findings of all balancers, as far as they are known here.
func (f *findings) all(now time.Time) map[incarnation.ID]observe.Finding {
	joined := f.subtree(now)
	if f.parent.fresh(now) {
		for backend, finding := range f.parent.findings {
			joined[backend] = joined[backend].Stronger(finding)
		}
	}
	return joined
}

// encodeFindings returns the findings with the most evidence for a message.
func encodeFindings(found map[incarnation.ID]observe.Finding) []*apiv1.BackendFinding {
	encoded := make([]*apiv1.BackendFinding, 0, len(found))
	for backend, finding := range found {
		encoded = append(encoded, &apiv1.BackendFinding{
			Number:          backend.Number,
			Failing:         float32(finding.Failing.Fraction),
			FailingEvidence: float32(finding.Failing.Evidence),
			Slow:            float32(finding.Slow.Fraction),
			SlowEvidence:    float32(finding.Slow.Evidence),

			StartedMilliseconds: uint64(backend.Start),
		})
	}
	slices.SortFunc(encoded, func(a, b *apiv1.BackendFinding) int {
		return cmp.Compare(b.GetFailingEvidence()+b.GetSlowEvidence(), a.GetFailingEvidence()+a.GetSlowEvidence())
	})
	return encoded[:min(len(encoded), maxFindings)]
}

func decodeFindings(encoded []*apiv1.BackendFinding) map[incarnation.ID]observe.Finding {
	found := make(map[incarnation.ID]observe.Finding, len(encoded))
	for _, each := range encoded {
		backend := incarnation.ID{Number: each.GetNumber(), Start: incarnation.Start(each.GetStartedMilliseconds())}
		found[backend] = observe.Finding{
			Failing: observe.Excess{Fraction: float64(each.GetFailing()), Evidence: float64(each.GetFailingEvidence())},
			Slow:    observe.Excess{Fraction: float64(each.GetSlow()), Evidence: float64(each.GetSlowEvidence())},
		}
	}
	return found
}
