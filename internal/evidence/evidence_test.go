package evidence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Now()

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func unanswered(backend uint64, client Client, zone string, sentAt int) UnansweredRequest {
	return UnansweredRequest{Backend: Backend{Number: backend}, Client: client, Zone: zone, SentAt: at(sentAt)}
}

func TestKnownObservationsAreNotPassedOn(t *testing.T) {
	var buffer Buffer
	require.True(t, buffer.Add(unanswered(1, 1, "maadi", 0), "", at(600)))
	require.False(t, buffer.Add(unanswered(1, 1, "maadi", -5), "peer", at(650)), "the same one came back, a little older")
	require.True(t, buffer.Add(unanswered(1, 2, "maadi", 10), "peer", at(650)), "another client")
	require.True(t, buffer.Add(unanswered(2, 1, "maadi", 0), "peer", at(650)), "another back end")
	require.True(t, buffer.Add(unanswered(1, 1, "maadi", 400), "", at(1000)), "a later request")
	require.True(t, buffer.Add(Activity{Backend: Backend{Number: 1}, At: at(20)}, "peer", at(1000)))
	require.False(t, buffer.Add(Activity{Backend: Backend{Number: 1}, At: at(70)}, "", at(1000)), "hardly newer")
	require.True(t, buffer.Add(Activity{Backend: Backend{Number: 1}, At: at(500)}, "", at(1000)))
}

func TestObservationsAreNotReturnedToTheirReporter(t *testing.T) {
	var buffer Buffer
	buffer.Add(unanswered(1, 1, "maadi", 0), "", at(0))
	buffer.Add(unanswered(1, 2, "maadi", 0), "one", at(0))
	buffer.Add(unanswered(1, 3, "maadi", 0), "two", at(0))
	require.Len(t, buffer.Since(0, "one", at(1)), 2)
	require.Len(t, buffer.Since(1, "two", at(1)), 1)
	require.Len(t, buffer.Since(0, "", at(1)), 3)
	require.Empty(t, buffer.Since(buffer.LastSequence(), "one", at(1)))
	require.Empty(t, buffer.Since(0, "one", at(int(retention/time.Millisecond))), "too old")
}

// However many clients have unanswered requests at a back end, few are passed on for each
// zone. As long as there are new ones, some are, so that the detected failure lasts.
func TestFewUnansweredRequestsArePassedOn(t *testing.T) {
	var buffer Buffer
	passed := 0
	for now := 0; now < 5000; now += 10 {
		if buffer.Add(unanswered(1, Client(now), "maadi", now-600), "peer", at(now)) {
			passed++
		}
	}
	require.Equal(t, 5*requestsPerZone, passed)
	require.True(t, buffer.Add(unanswered(1, 1, "giza", 4900), "peer", at(5000)), "another zone is counted separately")
}

func TestNumberOfObservationsIsBounded(t *testing.T) {
	var buffer Buffer
	passed := 0
	for backend := range uint64(10_000) {
		if buffer.Add(unanswered(backend, 1, "maadi", 0), "peer", at(int(backend)/10)) {
			passed++
		}
	}
	require.Equal(t, requestBudget, passed)
	require.Equal(t, uint64(10_000-requestBudget), buffer.Dropped.Load())
	require.LessOrEqual(t, len(buffer.entries), 2*requestBudget+1)
}

// Activity has a budget of its own: a balancer that misses it would take a live back end for
// failed.
func TestActivityHasABudgetOfItsOwn(t *testing.T) {
	var buffer Buffer
	for backend := range uint64(2 * requestBudget) {
		buffer.Add(unanswered(backend, 1, "maadi", 0), "peer", at(0))
	}
	passed := 0
	for backend := range uint64(2 * activityBudget) {
		if buffer.Add(Activity{Backend: Backend{Number: backend}, At: at(0)}, "peer", at(0)) {
			passed++
		}
	}
	require.Equal(t, activityBudget, passed)
	require.True(t, buffer.Add(Activity{Backend: Backend{Number: 1}, At: at(1000)}, "peer", at(1000)), "a second later")
}

// Whatever the clocks show and however late an answer is, the time of an unanswered request on
// the remote clock is never later than the exact one, and that of activity never earlier.
func TestTimesAreTranslatedInFavourOfTheBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The remote clock shows the local time less its start.
		remoteStart := at(rapid.IntRange(-100_000, 0).Draw(t, "start of the remote clock"))
		sent := rapid.IntRange(0, 1000).Draw(t, "sent")
		left := sent + rapid.IntRange(0, 2000).Draw(t, "delay of the request and wait")
		received := left + rapid.IntRange(0, 5000).Draw(t, "delay of the answer")
		leftAfter := sent + rapid.IntRange(0, left-sent).Draw(t, "part of the wait that is known")
		clock := NewRemoteClock(1, at(left).Sub(remoteStart), at(leftAfter), at(received))
		when := rapid.IntRange(-2000, 10_000).Draw(t, "statement")
		exact := at(when).Sub(remoteStart)
		require.LessOrEqual(t, clock.Translate(unanswered(1, 1, "", when)), exact)
		require.GreaterOrEqual(t, clock.Translate(Activity{At: at(when)}), exact)
	})
}
