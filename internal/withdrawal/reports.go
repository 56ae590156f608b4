package withdrawal

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportLifetime is how long a report stays valid unless it is renewed. Followers
	// call twice a second, and each balancer renews its own report with each call.
	reportLifetime = 3 * time.Second
	// maxReports bounds the reports in one message, to about 2 KB.
	maxReports = 64
)

// Report states that a balancer is struggling.
type Report struct {
	Name      string
	Withdrawn bool
	// At is when the balancer made the report.
	At time.Time
}

// ReportSet holds the reports of struggling balancers by name, so that no balancer counts
// twice however its report arrives. The latest report of a balancer replaces earlier ones,
// and each expires.
type ReportSet struct {
	reports map[string]Report
}

// Add adds a report. A report that is not newer than the known one is ignored.
func (s *ReportSet) Add(report Report) {
	if known, found := s.reports[report.Name]; found && !report.At.After(known.At) {
		return
	}
	if s.reports == nil {
		s.reports = make(map[string]Report)
	}
	s.reports[report.Name] = report
}

// Remove removes the report of a balancer that says itself that it carries its share.
func (s *ReportSet) Remove(name string) { delete(s.reports, name) }

// Current returns the valid reports, the latest first.
func (s *ReportSet) Current(now time.Time) []Report {
	var current []Report
	for name, report := range s.reports {
		if now.Sub(report.At) > reportLifetime {
			delete(s.reports, name)
			continue
		}
		current = append(current, report)
	}
	slices.SortFunc(current, func(a, b Report) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Name, b.Name))
	})
	return current[:min(len(current), maxReports)]
}

// Complete reports whether the set may hold all struggling balancers. Where so many
// struggle that messages omit some, the set is not a basis for decisions.
func (s *ReportSet) Complete() bool { return len(s.reports) < maxReports }
