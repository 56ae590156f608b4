package tokenroute

import (
	"time"

	"github.com/indigobarrow/indigobarrow/internal/incarnation"
)

// backendHealth is what speaks for and against a back end.
type backendHealth struct {
	// activeAt is the latest time at which the back end is known to have sent
	// something.
	activeAt time.Time
	// promptSentAt is when the latest request was sent that was answered without a
	// repetition, and retransmittedAt when a request was last repeated.
	promptSentAt, retransmittedAt time.Time
	// unanswered are the clients whose requests stayed unanswered.
	unanswered map[clientAddress]unansweredRequest
	// failedUntil is when the verdict ends unless there is another witness.
	failedUntil time.Time
}

// unansweredRequest is a client whose request stayed unanswered.
type unansweredRequest struct {
	// sentAt is when the request was first sent.
	sentAt time.Time
	// othersAnswered is set when other back ends had answered meanwhile, so that it was not
	// the balancer's own link. What another balancer tells is so.
	othersAnswered bool
	// receivedAt is when another balancer first told of the witness; zero for those
	// that passed here.
	receivedAt time.Time
	// copies are how many of the request were lost that passed here.
	copies int
}

func (r unansweredRequest) remote() bool { return !r.receivedAt.IsZero() }

// failed are the back ends that are judged dead.
func (d *FailureDetector) failed(now time.Time) []incarnation.ID {
	var found []incarnation.ID
	for id, health := range d.health {
		if now.Before(health.failedUntil) {
			found = append(found, id)
		}
	}
	return found
}

// BackendFailure says why it was judged dead, for the log.
type BackendFailure struct {
	Backend *Backend
	// Local and Told are how many clients' requests stayed unanswered here and at other
	// balancers.
	Local, Remote int
	// SilentSince is when the first of these requests was sent.
	SilentSince time.Time
}

// localClients is how many clients speak against the back end whose requests passed here.
func (h *backendHealth) localClients() int {
	count := 0
	for _, each := range h.unanswered {
		if !each.remote() {
			count++
		}
	}
	return count
}

// lostCopies is how many copies of requests that passed here stayed unanswered.
func (h *backendHealth) lostCopies() int {
	sum := 0
	for _, each := range h.unanswered {
		sum += each.copies
	}
	return sum
}

// failure tells what speaks against the back end.
func (h *backendHealth) failure(backend *Backend) BackendFailure {
	failure := BackendFailure{Backend: backend}
	for _, each := range h.unanswered {
		if each.remote() {
			failure.Remote++
		} else {
			failure.Local++
		}
		if failure.SilentSince.IsZero() || each.sentAt.Before(failure.SilentSince) {
			failure.SilentSince = each.sentAt
		}
	}
	return failure
}

// lastEventAt is when anything was last learned of the back end.
func (h *backendHealth) lastEventAt() time.Time {
	latest := h.activeAt
	for _, at := range []time.Time{h.promptSentAt, h.retransmittedAt} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// expire drops the judgements that have nothing left to say.
func (d *FailureDetector) expire(now time.Time) {
	for id, health := range d.health {
		d.expireUnanswered(health, now)
		if len(health.unanswered) == 0 && now.Sub(health.lastEventAt()) > generationTime {
			delete(d.health, id)
		}
	}
}

// unansweredTTL is how long an unanswered request speaks against a back end.
const unansweredTTL = time.Minute

func (d *FailureDetector) expireUnanswered(health *backendHealth, now time.Time) {
	for client, each := range health.unanswered {
		if now.Sub(each.sentAt) > unansweredTTL || each.remote() && now.Sub(each.receivedAt) > remoteTTL {
			delete(health.unanswered, client)
		}
	}
}

// othersResponsive tells whether the other back ends have answered since a time,
// so that it is not this balancer whose packets get lost.
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
