package observe

import "time"

// InFlightAverage tracks how many requests wait for a response, and computes the
// mean over time. The zero value has no requests in flight.
type InFlightAverage struct {
	inFlight int
	// area is the time integral of inFlight, in request-seconds, from startedAt
	// to advancedAt.
	area                  float64
	startedAt, advancedAt time.Time
}

// Add changes the number of requests in flight.
func (a *InFlightAverage) Add(change int, now time.Time) {
	a.advance(now)
	a.inFlight += change
}

// Mean returns the mean number of requests in flight since the last call, or
// since the first request, and starts a new interval.
func (a *InFlightAverage) Mean(now time.Time) float64 {
	a.advance(now)
	length := now.Sub(a.startedAt).Seconds()
	mean := float64(a.inFlight)
	if length > 0 {
		mean = a.area / length
	}
	a.area, a.startedAt = 0, now
	return mean
}

func (a *InFlightAverage) advance(now time.Time) {
	if a.advancedAt.IsZero() {
		a.startedAt, a.advancedAt = now, now
	}
	if now.After(a.advancedAt) {
		a.area += float64(a.inFlight) * now.Sub(a.advancedAt).Seconds()
		a.advancedAt = now
	}
}
