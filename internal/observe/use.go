package observe

import "time"

// Use follows how many requests wait for an answer, and gives the mean over
// time. The zero value waits for none.
type Use struct {
	waiting int
	// area is the sum of waiting requests times time, in request-seconds, since
	// began; it reaches up to movedAt.
	area           float64
	began, movedAt time.Time
}

// Add changes the number of requests that wait.
func (u *Use) Add(change int, now time.Time) {
	u.move(now)
	u.waiting += change
}

// Mean returns the mean number of requests that waited since the last call, or
// since the first request, and begins anew.
func (u *Use) Mean(now time.Time) float64 {
	u.move(now)
	length := now.Sub(u.began).Seconds()
	mean := float64(u.waiting)
	if length > 0 {
		mean = u.area / length
	}
	u.area, u.began = 0, now
	return mean
}

func (u *Use) move(now time.Time) {
	if u.movedAt.IsZero() {
		u.began, u.movedAt = now, now
	}
	if now.After(u.movedAt) {
		u.area += float64(u.waiting) * now.Sub(u.movedAt).Seconds()
		u.movedAt = now
	}
}
