package demand

import "time"

const (
	// reportPause is the longest time between two reports.
	reportPause = time.Second
	// gatherTime lets the reports of followers gather, which call again all at once when
	// they have been answered, and sumPause bounds how often sums are told besides the
	// calls that are made anyway.
	gatherTime = 50 * time.Millisecond
	sumPause   = 300 * time.Millisecond
	// failedPause is the pause after a report that failed.
	failedPause = 500 * time.Millisecond
)

// Pace tells when a report goes up in a call of its own. The others go with the calls
// that are made anyway. So a part reaches the reader over all levels in the second in
// which it was seen, for one message more of each balancer that has followers.
type Pace struct {
	// told is when a report was told last, and summedAt when in a call of its own.
	told, summedAt time.Time
	// sumAt is when the reports of followers that were not passed on have gathered; zero
	// is none.
	sumAt time.Time
}

// Taken takes that a follower has reported.
func (p *Pace) Taken(now time.Time) {
	if p.sumAt.IsZero() {
		p.sumAt = now.Add(gatherTime)
	}
}

// Due tells whether a report should be told now.
func (p *Pace) Due(now time.Time) bool {
	summed := !p.sumAt.IsZero() && !now.Before(p.sumAt) && now.Sub(p.summedAt) >= sumPause
	return summed || now.Sub(p.told) >= reportPause
}

// Told takes that a report was told, in a call of its own or with another.
func (p *Pace) Told(alone bool, now time.Time) {
	p.told, p.sumAt = now, time.Time{}
	if alone {
		p.summedAt = now
	}
}

// Failed takes that a call of its own failed.
func (p *Pace) Failed(now time.Time) {
	p.told = now.Add(failedPause - reportPause)
}
