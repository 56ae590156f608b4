package tokenroute

import "time"

// othersPrompt tells whether the other back ends have answered since a time,
// so that it is not this balancer whose packets get lost.
func (l *Liveness) othersPrompt(accused *judgement, since time.Time) bool {
	prompt, troubled := 0, 0
	for _, judged := range l.judged {
		switch {
		case judged == accused:
		case judged.troubledAt.After(since):
			troubled++
		case judged.promptAt.After(since):
			prompt++
		}
	}
	return prompt > 0 && prompt >= promptRatio*troubled
}

// promptOutside tells whether back ends outside a zone have answered since a time, so
// that it is not this balancer whose packets get lost, though the zone is silent as a
// whole. It says nothing of the way to the zone, and counts for no verdict on a single
// back end.
func (l *Liveness) promptOutside(zone string, since time.Time) bool {
	prompt, troubled := 0, 0
	for _, judged := range l.judged {
		switch {
		case judged.backend.Zone == zone:
		case judged.troubledAt.After(since):
			troubled++
		case judged.promptAt.After(since):
			prompt++
		}
	}
	return prompt >= zonePrompts && prompt >= promptRatio*troubled
}
