package aside

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportLifetime is how long a statement holds that is not renewed. Followers call
	// twice a second, and each balancer renews its own with each call.
	reportLifetime = 3 * time.Second
	// maxReports bounds the statements in one message, to some 2 KB.
	maxReports = 64
)

// Report is that a balancer struggles.
type Report struct {
	Name      string
	Withdrawn bool
	// At is when it said so.
	At time.Time
}

// ReportSet is who struggles, by name, so that nobody counts twice whoever passes it on;
// the latest statement holds, and each fades.
type ReportSet struct {
	reports map[string]Report
}

// Add takes a statement. One that is older than what is known says nothing.
func (p *ReportSet) Add(statement Report) {
	if known, found := p.reports[statement.Name]; found && !statement.At.After(known.At) {
		return
	}
	if p.reports == nil {
		p.reports = make(map[string]Report)
	}
	p.reports[statement.Name] = statement
}

// Remove takes that a balancer carries its share, as it says itself.
func (p *ReportSet) Remove(name string) { delete(p.reports, name) }

// Current returns the statements that hold, the latest first.
func (p *ReportSet) Current(now time.Time) []Report {
	var found []Report
	for name, statement := range p.reports {
		if now.Sub(statement.At) > reportLifetime {
			delete(p.reports, name)
			continue
		}
		found = append(found, statement)
	}
	slices.SortFunc(found, func(a, b Report) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Name, b.Name))
	})
	return found[:min(len(found), maxReports)]
}

// Complete tells whether all that struggle may be known: where so many do that messages leave
// some out, what is known says too little to go by.
func (p *ReportSet) Complete() bool { return len(p.reports) < maxReports }
