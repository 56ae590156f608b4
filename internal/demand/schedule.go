package demand

import "time"

const (
	// reportInterval is the longest time between two reports.
	reportInterval = time.Second
	// gatherTime is how long a balancer waits for the reports of further followers, which
	// all call again at once when their calls have been answered. separateInterval is the
	// least time between two reports in separate calls; others go with calls that are made
	// anyway.
	gatherTime       = 50 * time.Millisecond
	separateInterval = 300 * time.Millisecond
	// retryDelay is the delay after a report that failed.
	retryDelay = 500 * time.Millisecond
)

// ReportSchedule decides when a report is sent up the tree in a separate call. Other reports
// go with calls that are made anyway. So a load reaches the root of the tree over all levels
// within a second of its measurement, at the cost of one more message of each balancer that
// has followers.
type ReportSchedule struct {
	// reportedAt is when the last report was sent, and separateAt when the last one was
	// sent in a separate call.
	reportedAt, separateAt time.Time
	// gatheredAt is when the wait for reports of followers that were not passed on ends.
	// The zero time means that there are none.
	gatheredAt time.Time
}

// FollowerReported records that a follower has reported.
func (s *ReportSchedule) FollowerReported(now time.Time) {
	if s.gatheredAt.IsZero() {
		s.gatheredAt = now.Add(gatherTime)
	}
}

// Due reports whether a report should be sent now.
func (s *ReportSchedule) Due(now time.Time) bool {
	gathered := !s.gatheredAt.IsZero() && !now.Before(s.gatheredAt) && now.Sub(s.separateAt) >= separateInterval
	return gathered || now.Sub(s.reportedAt) >= reportInterval
}

// Reported records that a report was sent, in a separate call or with another one.
func (s *ReportSchedule) Reported(separate bool, now time.Time) {
	s.reportedAt, s.gatheredAt = now, time.Time{}
	if separate {
		s.separateAt = now
	}
}

// Failed records that a separate call failed.
func (s *ReportSchedule) Failed(now time.Time) {
	s.reportedAt = now.Add(retryDelay - reportInterval)
}
