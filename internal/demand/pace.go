package demand

import "time"

const (
	// reportInterval is the longest time between two reports.
	reportInterval = time.Second
	// gatherTime lets the reports of followers gather, which call again all at once when
	// they have been answered, and separateInterval bounds how often sums are told besides the
	// calls that are made anyway.
	gatherTime       = 50 * time.Millisecond
	separateInterval = 300 * time.Millisecond
	// retryDelay is the pause after a report that failed.
	retryDelay = 500 * time.Millisecond
)

// ReportSchedule tells when a report goes up in a call of its own. The others go with the calls
// that are made anyway. So a part reaches the reader over all levels in the second in
// which it was seen, for one message more of each balancer that has followers.
type ReportSchedule struct {
	// reportedAt is when a report was told last, and separateAt when in a call of its own.
	reportedAt, separateAt time.Time
	// gatheredAt is when the reports of followers that were not passed on have gathered; zero
	// is none.
	gatheredAt time.Time
}

// FollowerReported takes that a follower has reported.
func (p *ReportSchedule) FollowerReported(now time.Time) {
	if p.gatheredAt.IsZero() {
		p.gatheredAt = now.Add(gatherTime)
	}
}

// Due tells whether a report should be told now.
func (p *ReportSchedule) Due(now time.Time) bool {
	summed := !p.gatheredAt.IsZero() && !now.Before(p.gatheredAt) && now.Sub(p.separateAt) >= separateInterval
	return summed || now.Sub(p.reportedAt) >= reportInterval
}

// Reported takes that a report was told, in a call of its own or with another.
func (p *ReportSchedule) Reported(alone bool, now time.Time) {
	p.reportedAt, p.gatheredAt = now, time.Time{}
	if alone {
		p.separateAt = now
	}
}

// Failed takes that a call of its own failed.
func (p *ReportSchedule) Failed(now time.Time) {
	p.reportedAt = now.Add(retryDelay - reportInterval)
}
