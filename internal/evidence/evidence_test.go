package evidence

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Now()

func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func witness(backend uint64, client Client, zone string, sentAt int) UnansweredRequest {
	return UnansweredRequest{Backend: Backend{Number: backend}, Client: client, Zone: zone, SentAt: at(sentAt)}
}

func TestWhatIsKnownIsNotPassedOn(t *testing.T) {
	var board Buffer
	require.True(t, board.Add(witness(1, 1, "maadi", 0), "", at(600)))
	require.False(t, board.Add(witness(1, 1, "maadi", -5), "peer", at(650)), "it came back, a little older")
	require.True(t, board.Add(witness(1, 2, "maadi", 10), "peer", at(650)), "another client")
	require.True(t, board.Add(witness(2, 1, "maadi", 0), "peer", at(650)), "another back end")
	require.True(t, board.Add(witness(1, 1, "maadi", 400), "", at(1000)), "a later request")
	require.True(t, board.Add(Activity{Backend: Backend{Number: 1}, At: at(20)}, "peer", at(1000)))
	require.False(t, board.Add(Activity{Backend: Backend{Number: 1}, At: at(70)}, "", at(1000)), "hardly newer")
	require.True(t, board.Add(Activity{Backend: Backend{Number: 1}, At: at(500)}, "", at(1000)))
}

func TestNobodyIsToldWhatItTold(t *testing.T) {
	var board Buffer
	board.Add(witness(1, 1, "maadi", 0), "", at(0))
	board.Add(witness(1, 2, "maadi", 0), "one", at(0))
	board.Add(witness(1, 3, "maadi", 0), "two", at(0))
	require.Len(t, board.Since(0, "one", at(1)), 2)
	require.Len(t, board.Since(1, "two", at(1)), 1)
	require.Len(t, board.Since(0, "", at(1)), 3)
	require.Empty(t, board.Since(board.LastSequence(), "one", at(1)))
	require.Empty(t, board.Since(0, "one", at(int(retention/time.Millisecond))), "too old")
}

// However many clients speak against a back end, few are passed on for each zone; as
// long as they go on, some are, so that the verdict lasts.
func TestFewWitnessesArePassedOn(t *testing.T) {
	var board Buffer
	passed := 0
	for now := 0; now < 5000; now += 10 {
		if board.Add(witness(1, Client(now), "maadi", now-600), "peer", at(now)) {
			passed++
		}
	}
	require.Equal(t, 5*requestsPerZone, passed)
	require.True(t, board.Add(witness(1, 1, "giza", 4900), "peer", at(5000)), "another zone has its own")
}

func TestStatementsAreBounded(t *testing.T) {
	var board Buffer
	passed := 0
	for backend := range uint64(10_000) {
		if board.Add(witness(backend, 1, "maadi", 0), "peer", at(int(backend)/10)) {
			passed++
		}
	}
	require.Equal(t, requestBudget, passed)
	require.Equal(t, uint64(10_000-requestBudget), board.Dropped.Load())
	require.LessOrEqual(t, len(board.entries), 2*requestBudget+1)
}

// Signs of life have room of their own: who misses one would judge a back end that lives.
func TestSignsOfLifeHaveRoomOfTheirOwn(t *testing.T) {
	var board Buffer
	for backend := range uint64(2 * requestBudget) {
		board.Add(witness(backend, 1, "maadi", 0), "peer", at(0))
	}
	passed := 0
	for backend := range uint64(2 * activityBudget) {
		if board.Add(Activity{Backend: Backend{Number: backend}, At: at(0)}, "peer", at(0)) {
			passed++
		}
	}
	require.Equal(t, activityBudget, passed)
	require.True(t, board.Add(Activity{Backend: Backend{Number: 1}, At: at(1000)}, "peer", at(1000)), "a second later")
}

// Whatever the clocks show and however late an answer is, a witness is never younger in
// the other's clock than it is, and a sign of life never older.
func TestTimesAreTranslatedInFavourOfTheBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The other's clock shows the time here less its start.
		theirStart := at(rapid.IntRange(-100_000, 0).Draw(t, "their start"))
		sent := rapid.IntRange(0, 1000).Draw(t, "sent")
		left := sent + rapid.IntRange(0, 2000).Draw(t, "way there and wait")
		received := left + rapid.IntRange(0, 5000).Draw(t, "way back")
		leftAfter := sent + rapid.IntRange(0, left-sent).Draw(t, "known to have waited")
		clock := NewRemoteClock(1, at(left).Sub(theirStart), at(leftAfter), at(received))
		when := rapid.IntRange(-2000, 10_000).Draw(t, "statement")
		exact := at(when).Sub(theirStart)
		require.LessOrEqual(t, clock.Translate(witness(1, 1, "", when)), exact)
		require.GreaterOrEqual(t, clock.Translate(Activity{At: at(when)}), exact)
	})
}
