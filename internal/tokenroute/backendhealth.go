package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// backendHealth holds the evidence for and against a back end being alive.
type backendHealth struct {
	// activeAt is the latest time at which the back end is known to have sent something.
	activeAt time.Time
	// promptSentAt is when the latest request that was answered without a retransmission was sent.
	// retransmittedAt is when a request was last retransmitted.
	promptSentAt, retransmittedAt time.Time
	// unanswered holds the clients whose requests were not answered.
	unanswered map[clientAddress]unansweredRequest
	// failedUntil is when the failure expires unless another unanswered request is recorded.
	failedUntil time.Time
}

// unansweredRequest is a request of one client that was not answered.
type unansweredRequest struct {
	// sentAt is when the request was first sent.
	sentAt time.Time
	// othersAnswered is set if other back ends answered in the meantime, so that the balancer's own
	// link is not the cause. It is always set on requests that another balancer reports.
	othersAnswered bool
	// receivedAt is when another balancer first reported the request. It is zero for requests that
	// this balancer forwarded itself.
	receivedAt time.Time
	// retransmissions is the number of retransmissions of the request that passed this balancer.
	retransmissions int
}

func (r unansweredRequest) remote() bool { return !r.receivedAt.IsZero() }

// failed returns the back ends that are currently detected as failed.
func (d *FailureDetector) failed(now time.Time) []incarnation.ID {
	var found []incarnation.ID
	for id, health := range d.health {
		if now.Before(health.failedUntil) {
			found = append(found, id)
		}
	}
	return found
}

// BackendFailure describes for the log why a back end was detected as failed.
type BackendFailure struct {
	Backend *Backend
	// Local and Remote are the numbers of clients with unanswered requests seen by this balancer
	// and by other balancers.
	Local, Remote int
	// SilentSince is when the first of these requests was sent.
	SilentSince time.Time
}

// localClients returns the number of clients whose unanswered requests passed this balancer.
func (h *backendHealth) localClients() int {
	count := 0
	for _, each := range h.unanswered {
		if !each.remote() {
			count++
		}
	}
	return count
}

// lostRetransmissions returns the total number of retransmissions of unanswered requests that passed this
// balancer.
func (h *backendHealth) lostRetransmissions() int {
	sum := 0
	for _, each := range h.unanswered {
		sum += each.retransmissions
	}
	return sum
}

// failure summarizes the evidence against the back end.
func (h *backendHealth) failure(backend *Backend) BackendFailure {
	summary := BackendFailure{Backend: backend}
	for _, each := range h.unanswered {
		if each.remote() {
			summary.Remote++
		} else {
			summary.Local++
		}
		if summary.SilentSince.IsZero() || each.sentAt.Before(summary.SilentSince) {
			summary.SilentSince = each.sentAt
		}
	}
	return summary
}

// lastEventAt returns the time of the latest evidence for or against the back end.
func (h *backendHealth) lastEventAt() time.Time {
	lastEventAt := h.activeAt
	for _, at := range []time.Time{h.promptSentAt, h.retransmittedAt} {
		if at.After(lastEventAt) {
			lastEventAt = at
		}
	}
	return lastEventAt
}

// expire drops the health records that hold no more evidence.
func (d *FailureDetector) expire(now time.Time) {
	for id, health := range d.health {
		d.expireUnanswered(health, now)
		if len(health.unanswered) == 0 && now.Sub(health.lastEventAt()) > generationTime {
			delete(d.health, id)
		}
	}
}

// unansweredTTL is how long an unanswered request counts against a back end.
const unansweredTTL = time.Minute

func (d *FailureDetector) expireUnanswered(health *backendHealth, now time.Time) {
	for client, each := range health.unanswered {
		if now.Sub(each.sentAt) > unansweredTTL || each.remote() && now.Sub(each.sentAt) > remoteTTL {
			delete(health.unanswered, client)
		}
	}
}

// othersResponsive reports whether enough of the other back ends have answered promptly since the
// given time (minPromptRatio) to rule out that this balancer loses the packets itself.
func (d *FailureDetector) othersResponsive(suspect *backendHealth, since time.Time) bool {
	prompt, retransmitted := 0, 0
	for _, health := range d.health {
		switch {
		case health == suspect:
		case health.retransmittedAt.After(since):
			retransmitted++
		case health.promptSentAt.After(since):
			prompt++
		}
	}
	return prompt > 0 && prompt >= minPromptRatio*retransmitted
}
