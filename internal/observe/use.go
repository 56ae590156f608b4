package observe

import "time"

// InFlightAverage follows how many requests wait for an answer, and gives the mean over
// time. The zero value waits for none.
type InFlightAverage struct {
	inFlight int
	// area is the sum of waiting requests times time, in request-seconds, since
	// began; it reaches up to advancedAt.
	area                  float64
	startedAt, advancedAt time.Time
}

// Add changes the number of requests that wait.
func (u *InFlightAverage) Add(change int, now time.Time) {
	u.advance(now)
	u.inFlight += change
}

// Mean returns the mean number of requests that waited since the last call, or
// since the first request, and begins anew.
func (u *InFlightAverage) Mean(now time.Time) float64 {
	u.advance(now)
	length := now.Sub(u.startedAt).Seconds()
	mean := float64(u.inFlight)
	if length > 0 {
		mean = u.area / length
	}
	u.area, u.startedAt = 0, now
	return mean
}

func (u *InFlightAverage) advance(now time.Time) {
	if u.advancedAt.IsZero() {
		u.startedAt, u.advancedAt = now, now
	}
	if now.After(u.advancedAt) {
		u.area += float64(u.inFlight) * now.Sub(u.advancedAt).Seconds()
		u.advancedAt = now
	}
}
