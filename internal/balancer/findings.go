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
	// findingsTTL is how long the findings of another balancer count. Followers call again within
	// replication.FollowWait.
	findingsTTL = 2*replication.FollowWait + time.Second
	// maxFindings bounds the findings in one message.
	maxFindings = 32
)

// findingsReport holds the findings of another balancer, by back end.
type findingsReport struct {
	at       time.Time
	findings map[incarnation.ID]observe.Finding
}

func (r findingsReport) fresh(now time.Time) bool { return now.Sub(r.at) < findingsTTL }

// findings merges what this balancer finds about back ends with the findings of others. A single
// balancer sees few responses of each back end, or none. Findings are passed up the tree of
// followers, with each balancer adding its own to those of its followers, and the merged findings
// of all are passed back down.
type findings struct {
	local     map[incarnation.ID]observe.Finding
	followers map[string]findingsReport
	// parent holds the merged findings of all balancers as reported by the parent. They include
	// those of this balancer.
	parent findingsReport
}

// updateFollower stores the findings of a follower, which include those of its own followers.
func (f *findings) updateFollower(address string, encoded []*apiv1.BackendFinding, now time.Time) {
	if address == "" {
		return
	}
	if f.followers == nil {
		f.followers = make(map[string]findingsReport)
	}
	for follower, report := range f.followers {
		if !report.fresh(now) {
			delete(f.followers, follower)
		}
	}
	f.followers[address] = findingsReport{at: now, findings: decodeFindings(encoded)}
}

// updateParent stores the merged findings of all balancers.
func (f *findings) updateParent(encoded []*apiv1.BackendFinding, now time.Time) {
	f.parent = findingsReport{at: now, findings: decodeFindings(encoded)}
}

// subtree returns the merged findings of this balancer and its followers.
func (f *findings) subtree(now time.Time) map[incarnation.ID]observe.Finding {
	joined := make(map[incarnation.ID]observe.Finding, len(f.local))
	for backend, finding := range f.local {
		joined[backend] = finding
	}
	for _, report := range f.followers {
		if !report.fresh(now) {
			continue
		}
		for backend, finding := range report.findings {
			joined[backend] = joined[backend].Plus(finding)
		}
	}
	return joined
}

// all returns the merged findings of all balancers, as far as this balancer has received them.
func (f *findings) all(now time.Time) map[incarnation.ID]observe.Finding {
	joined := f.subtree(now)
	if f.parent.fresh(now) {
		for backend, finding := range f.parent.findings {
			joined[backend] = joined[backend].Stronger(finding)
		}
	}
	return joined
}

// encodeFindings encodes the findings for a message, limited to those with the most evidence.
func encodeFindings(findings map[incarnation.ID]observe.Finding) []*apiv1.BackendFinding {
	encoded := make([]*apiv1.BackendFinding, 0, len(findings))
	for backend, finding := range findings {
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
	decoded := make(map[incarnation.ID]observe.Finding, len(encoded))
	for _, finding := range encoded {
		backend := incarnation.ID{Number: finding.GetNumber(), Start: incarnation.Start(finding.GetStartedMilliseconds())}
		decoded[backend] = observe.Finding{
			Failing: observe.Excess{Fraction: float64(finding.GetFailing()), Evidence: float64(finding.GetFailingEvidence())},
			Slow:    observe.Excess{Fraction: float64(finding.GetSlow()), Evidence: float64(finding.GetSlowEvidence())},
		}
	}
	return decoded
}
