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

func (w unansweredRequest) remote() bool { return !w.receivedAt.IsZero() }

// failed are the back ends that are judged dead.
func (l *FailureDetector) failed(now time.Time) []incarnation.ID {
	var found []incarnation.ID
	for id, judged := range l.health {
		if now.Before(judged.failedUntil) {
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
func (j *backendHealth) localClients() int {
	count := 0
	for _, each := range j.unanswered {
		if !each.remote() {
			count++
		}
	}
	return count
}

// lostCopies is how many copies of requests that passed here stayed unanswered.
func (j *backendHealth) lostCopies() int {
	sum := 0
	for _, each := range j.unanswered {
		sum += each.copies
	}
	return sum
}

// failure tells what speaks against the back end.
func (j *backendHealth) failure(backend *Backend) BackendFailure {
	made := BackendFailure{Backend: backend}
	for _, each := range j.unanswered {
		if each.remote() {
			made.Remote++
		} else {
			made.Local++
		}
		if made.SilentSince.IsZero() || each.sentAt.Before(made.SilentSince) {
			made.SilentSince = each.sentAt
		}
	}
	return made
}

// lastEventAt is when anything was last learned of the back end.
func (j *backendHealth) lastEventAt() time.Time {
	latest := j.activeAt
	for _, at := range []time.Time{j.promptSentAt, j.retransmittedAt} {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// expire drops the judgements that have nothing left to say.
func (l *FailureDetector) expire(now time.Time) {
	for id, judged := range l.health {
		l.expireUnanswered(judged, now)
		if len(judged.unanswered) == 0 && now.Sub(judged.lastEventAt()) > generationTime {
			delete(l.health, id)
		}
	}
}

// unansweredTTL is how long an unanswered request speaks against a back end.
const unansweredTTL = time.Minute

func (l *FailureDetector) expireUnanswered(judged *backendHealth, now time.Time) {
	for client, each := range judged.unanswered {
		if now.Sub(each.sentAt) > unansweredTTL || each.remote() && now.Sub(each.receivedAt) > remoteTTL {
			delete(judged.unanswered, client)
		}
	}
}

// othersResponsive tells whether the other back ends have answered since a time,
// so that it is not this balancer whose packets get lost.
func (l *FailureDetector) othersResponsive(accused *backendHealth, since time.Time) bool {
	prompt, troubled := 0, 0
	for _, judged := range l.health {
		switch {
		case judged == accused:
		case judged.retransmittedAt.After(since):
			troubled++
		case judged.promptSentAt.After(since):
			prompt++
		}
	}
	return prompt > 0 && prompt >= minPromptRatio*troubled
}
