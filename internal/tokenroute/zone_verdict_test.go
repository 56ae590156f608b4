package tokenroute

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// zoneFlows are flows of clients 1 to 10 with back ends 1 to 10 in maadi, the balancer's
// zone, and of clients 101 to 110 with back ends 101 to 110 in giza.
type zoneFlows struct {
	flows *Flows
	table *Table
}

// silentClients are those of as many back ends as make a zone silent.
var silentClients = []byte{101, 102, 103, 104, 105, 106, 107, 108}

const holdOfZone = int(zoneHold / time.Millisecond)

func newZoneFlows(off mechanism.Set) *zoneFlows {
	made := &zoneFlows{flows: NewFlows(off).InZone("maadi"), table: twoLargeZones()}
	for number := range byte(10) {
		answered(made.flows, made.table, number+1, Token(number+1), 0)
		answered(made.flows, made.table, number+101, Token(number)+101, 0)
	}
	return made
}

// asks lets clients send their request, or repeat it.
func (z *zoneFlows) asks(now int, clients ...byte) {
	for _, client := range clients {
		z.flows.Decide(z.table, request(client, Token(client), 5000), at(now))
	}
}

// othersAnswer lets back ends of maadi answer requests sent at a time.
func (z *zoneFlows) othersAnswer(now int, clients ...byte) {
	for _, client := range clients {
		answered(z.flows, z.table, client, Token(client), now)
	}
}

// reset settles and returns which clients' flows are reset, in order.
func (z *zoneFlows) reset(now int) []byte {
	z.flows.Settle(at(now))
	var clients []byte
	for _, each := range z.flows.TakeAbandoned() {
		clients = append(clients, each.Key.Source[3])
	}
	slices.Sort(clients)
	return clients
}

// unanswered lets requests of clients in giza stay unanswered through two repetitions,
// while back ends of maadi answer.
func (z *zoneFlows) unanswered(clients ...byte) {
	z.asks(1000, clients...)
	z.othersAnswer(1050, 1, 2, 3, 4, 5, 6)
	z.asks(1200, clients...)
	z.asks(1600, clients...)
}

// Eight back ends of a zone leave requests unanswered, and nothing newer is known of any
// other one: the flows of all of them are reset, and the next ones too. Each of them alone
// would lose a request first.
func TestZoneThatAnswersNothingIsJudgedAsAWhole(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	z.unanswered(silentClients...)
	require.True(t, z.flows.Holds())
	require.Empty(t, z.reset(1601), "somebody may answer yet")
	require.Equal(t, []byte{101, 102, 103, 104, 105, 106, 107, 108, 109, 110}, z.reset(1600+holdOfZone))
	dead := z.flows.TakeDeadZones()
	require.Len(t, dead, 1)
	require.Equal(t, DeadZone{Zone: "giza", Backends: zoneWitnesses, Flows: 10, SilentSince: at(1000)}, dead[0])
	require.False(t, z.flows.Holds())
	require.Equal(t, Refuse, z.flows.Decide(z.table, request(120, 120, 1), at(1700+holdOfZone)).Verdict, "at once, not after 0.6 s")
	require.Equal(t, Forward, z.flows.Decide(z.table, request(1, 1, 6000), at(1700+holdOfZone)).Verdict)
}

func TestSomeSilentBackendsAreNotAZone(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	z.unanswered(silentClients[1:]...)
	require.Empty(t, z.reset(1600+holdOfZone))
	require.False(t, z.flows.Holds())
}

// Whatever any back end of the zone sends since speaks for all of them.
func TestOneThatLivesSpeaksForItsZone(t *testing.T) {
	for _, livesAt := range []int{1001, 1500, 1600 + holdOfZone - 10} {
		z := newZoneFlows(mechanism.Set{})
		z.asks(1000, silentClients...)
		z.othersAnswer(1050, 1, 2, 3, 4, 5, 6)
		z.asks(1200, silentClients...)
		if livesAt < 1600 {
			z.flows.Decide(z.table, acknowledgement(110, 110), at(livesAt))
		}
		z.asks(1600, silentClients...)
		if livesAt > 1600 {
			z.flows.Hear(evidence.SignOfLife{Backend: 110, At: at(livesAt)}, z.table, at(livesAt+5))
		}
		require.Empty(t, z.reset(1600+holdOfZone), livesAt)
		require.Empty(t, z.flows.TakeDeadZones())
	}
}

// A verdict on a zone ends with the first sign of life of any of it.
func TestZoneThatReturnsIsServedAtOnce(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	z.unanswered(silentClients...)
	require.NotEmpty(t, z.reset(1600+holdOfZone))
	require.Equal(t, Refuse, z.flows.Decide(z.table, request(120, 120, 1), at(2000)).Verdict)
	z.flows.Decide(z.table, acknowledgement(119, 119), at(2050))
	require.Equal(t, Forward, z.flows.Decide(z.table, request(118, 118, 1), at(2060)).Verdict)
}

// A balancer whose own link is full loses what it sends to all zones.
func TestFullLinkIsNoVerdictOnAZone(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	for _, now := range []int{1000, 1200, 1600} {
		z.asks(now, append(silentClients, 1, 2, 3, 4)...)
		if now == 1000 {
			z.othersAnswer(1050, 5, 6, 7)
		}
	}
	require.Empty(t, z.reset(1600+holdOfZone))
	require.False(t, z.flows.Holds())
}

// A third of all back ends that die across the zones leave the others of their zones to
// speak for these.
func TestDeadBackendsOfAllZonesAreNoDeadZone(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	z.asks(1000, silentClients...)
	z.othersAnswer(1050, 1, 2, 3, 4, 5, 6, 110)
	z.asks(1200, silentClients...)
	z.asks(1600, silentClients...)
	z.reset(1600 + holdOfZone)
	require.Empty(t, z.flows.TakeDeadZones())
	require.Equal(t, Forward, z.flows.Decide(z.table, request(120, 120, 1), at(2000)).Verdict)
}

// A zone that is cut off accuses all others, to itself only: what its balancers tell
// counts for nobody who reaches the accused by another way.
func TestCutZoneAccusesTheOthersToItselfOnly(t *testing.T) {
	for _, teller := range []string{"nasr", "maadi"} {
		z := newZoneFlows(mechanism.Set{})
		for number := range evidence.Backend(zoneWitnesses) {
			z.flows.Hear(speak(101+number, evidence.Client(201+number), teller, 1000), z.table, at(1650))
		}
		reset := z.reset(1650 + holdOfZone)
		require.Equal(t, teller == "maadi", len(reset) == 10, teller)
	}
}

func TestZoneVerdictsCanBeSwitchedOff(t *testing.T) {
	off, err := mechanism.Parse([]string{string(mechanism.ZoneVerdicts)})
	require.NoError(t, err)
	z := newZoneFlows(off)
	z.unanswered(silentClients...)
	require.Empty(t, z.reset(1600+holdOfZone))
	require.False(t, z.flows.Holds())
}

// What passes here tells the others that a zone lives of which they see only the dead:
// each sees some flows of it. Without that, balancers reset living flows where a third of
// all back ends had died (129 of them on a day of regwerk-bay-grown).
func TestWhoSeesAZoneLiveTellsTheOthers(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	z.flows.Decide(z.table, acknowledgement(110, 110), at(1100))
	z.flows.TakeStatements()
	for number := range evidence.Backend(zoneWitnesses) {
		z.flows.Hear(speak(101+number, evidence.Client(201+number), "maadi", 1000), z.table, at(1650))
	}
	require.Equal(t, []evidence.Statement{evidence.SignOfLife{Backend: 110, At: at(1100)}}, z.flows.TakeStatements())
	z.flows.Hear(speak(109, 209, "maadi", 1010), z.table, at(1660))
	require.Empty(t, z.flows.TakeStatements(), "told once")
	require.Empty(t, z.reset(1660+holdOfZone))
}

// A third of the back ends of all zones falls silent at once, seen by many balancers
// that each see some of their flows: only flows of the dead are reset, which judges
// checks. One in three balancers would else judge a zone dead.
func TestAThirdSilentInAllZonesResetsNoLivingFlow(t *testing.T) {
	for _, balancers := range []int{8, 88} {
		fleet := newJudgesOf(balancers, 150, 50, mechanism.Set{}, func(number int) string { return string(rune('a' + number%3)) })
		fleet.run(8000)
		require.NotEmpty(t, fleet.times())
		for place := range fleet.nodes {
			require.Empty(t, fleet.nodes[place].flows.TakeDeadZones())
		}
	}
}

// A zone falls silent as a whole, a third of all back ends: all balancers know
// within 1.2 s, of which 0.6 are two repetitions and 0.3 the wait for an answer.
func TestADeadZoneIsLearnedAtOnce(t *testing.T) {
	zone := func(number int) string {
		if number < 50 {
			return "giza"
		}
		return "maadi"
	}
	off, err := mechanism.Parse([]string{string(mechanism.ZoneVerdicts)})
	require.NoError(t, err)
	without, with := newJudgesOf(88, 150, 50, off, zone), newJudgesOf(88, 150, 50, mechanism.Set{}, zone)
	without.run(9000)
	with.run(9000)
	late, soon := without.times(), with.times()
	t.Logf("without: half %d ms, last %d ms, %d requests; with: half %d, last %d, %d requests",
		late[len(late)/2], late[len(late)-1], without.lost, soon[len(soon)/2], soon[len(soon)-1], with.lost)
	require.Greater(t, late[len(late)-1], 1500)
	require.LessOrEqual(t, soon[len(soon)-1], 1200)
	require.Less(t, with.lost, without.lost)
}
