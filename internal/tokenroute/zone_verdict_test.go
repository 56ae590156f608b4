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

// holdOfZone is from the second repetition to the resets, in milliseconds.
const holdOfZone = int(zoneSilentFor/time.Millisecond) - 600

func newZoneFlows(off mechanism.Set) *zoneFlows {
	return newZoneFlowsBefore(twoLargeZones(), off)
}

func newZoneFlowsBefore(table *Table, off mechanism.Set) *zoneFlows {
	made := &zoneFlows{flows: NewFlows(off).InZone("maadi"), table: table}
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
	for earlier := now - 500; earlier <= now; earlier += 10 {
		z.flows.Settle(at(earlier))
	}
	var clients []byte
	for _, each := range z.flows.TakeAbandoned() {
		clients = append(clients, each.Key.Source[3])
	}
	slices.Sort(clients)
	return clients
}

// unanswered lets requests of clients in giza stay unanswered through two repetitions,
// while back ends of maadi answer and balancers of nasr see the same.
func (z *zoneFlows) unanswered(clients ...byte) {
	z.unansweredHere(1000, clients...)
	for _, client := range clients {
		z.seenIn("nasr", client, 1000)
	}
}

// seenIn lets a balancer of a zone tell of a request to the back end of a client.
func (z *zoneFlows) seenIn(zone string, client byte, sentAt int) {
	z.flows.Hear(speak(evidence.Backend(client), evidence.Client(client)+100, zone, sentAt), z.table, at(sentAt+650))
}

func (z *zoneFlows) unansweredHere(now int, clients ...byte) {
	z.asks(now, clients...)
	z.othersAnswer(now+50, 1, 2, 3, 4, 5, 6)
	z.asks(now+200, clients...)
	z.asks(now+600, clients...)
}

// told lets balancers of a zone tell of requests to back ends of giza.
func (z *zoneFlows) told(zone string, count int) {
	for number := range evidence.Backend(count) {
		z.flows.Hear(speak(101+number, evidence.Client(201+number), zone, 1000), z.table, at(1650))
	}
}

// Eight back ends of a zone leave requests unanswered, and nothing newer is known of any
// other one: their flows are reset, and new flows avoid all of the zone. One that nobody
// has asked may live, so its flows stay until it leaves something unanswered itself, once,
// where one alone would need two clients.
func TestZoneThatAnswersNothingIsJudgedAsAWhole(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	z.unanswered(silentClients...)
	require.True(t, z.flows.Holds())
	require.Empty(t, z.reset(1601), "somebody may answer yet")
	require.Empty(t, z.reset(1600+holdOfZone-10), "each may be slow")
	require.True(t, z.flows.Holds())
	require.Equal(t, silentClients, z.reset(1600+holdOfZone), "109 and 110 were asked nothing")
	dead := z.flows.TakeDeadZones()
	require.Len(t, dead, 1)
	require.Equal(t, DeadZone{Zone: "giza", Pool: "lending", Backends: zoneWitnesses, SilentSince: at(1000)}, dead[0])
	require.False(t, z.flows.Holds())
	later := 1700 + holdOfZone
	require.Equal(t, Refuse, z.flows.Decide(z.table, request(121, 101, 1), at(later)).Verdict, "at once, not after 0.6 s")
	require.Equal(t, Forward, z.flows.Decide(z.table, request(1, 1, 6000), at(later)).Verdict)
	for port := range 50 {
		chosen := z.flows.Decide(z.table, first(port+1), at(later)).Backend
		require.Equal(t, "maadi", chosen.Zone, "new flows avoid all of the zone")
	}
	z.unansweredHere(later, 109, 110)
	z.seenIn("nasr", 109, later)
	require.Empty(t, z.reset(later+600+holdOfZone-10))
	require.Equal(t, []byte{109}, z.reset(later+600+holdOfZone), "one request, not two")
	require.Equal(t, Forward, z.flows.Decide(z.table, request(110, 110, 1), at(later+600+holdOfZone)).Verdict, "nobody else saw it")
}

// besideGiza puts balancers into two zones other than giza.
func besideGiza(place int) string { return []string{"maadi", "nasr"}[place%2] }

// A verdict that has ended without anybody looking is made again only after witnesses
// have waited for an answer again.
func TestEndedZoneVerdictWaitsAgain(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	z.unanswered(silentClients...)
	require.NotEmpty(t, z.reset(1600+holdOfZone))
	z.flows.TakeDeadZones()
	ended := 2000 + int(verdictTime/time.Millisecond)
	for client := range byte(8) {
		z.asks(ended-1000, 101+client)
		z.asks(ended-800, 101+client)
	}
	z.othersAnswer(ended-900, 1, 2, 3, 4, 5, 6)
	for number := range evidence.Backend(zoneConfirms) {
		z.flows.Hear(speak(101+number, evidence.Client(211+number), "nasr", ended-1000), z.table, at(ended-1))
	}
	for number := range evidence.Backend(8) {
		z.flows.Hear(speak(101+number, evidence.Client(221+number), "maadi", ended-1000), z.table, at(ended+50))
	}
	require.Empty(t, z.flows.TakeDeadZones(), "held first")
	require.True(t, z.flows.Holds())
	z.flows.Settle(at(ended + 50 + int(zoneHold/time.Millisecond)))
	require.Len(t, z.flows.TakeDeadZones(), 1)
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
	require.Equal(t, Refuse, z.flows.Decide(z.table, request(121, 101, 1), at(2150)).Verdict)
	z.flows.Decide(z.table, acknowledgement(119, 119), at(2160))
	require.Equal(t, Forward, z.flows.Decide(z.table, request(122, 102, 1), at(2170)).Verdict)
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
		z.told("dokki", zoneWitnesses)
		for number := range evidence.Backend(zoneWitnesses) {
			z.flows.Hear(speak(101+number, evidence.Client(201+number), teller, 1000), z.table, at(1650))
		}
		reset := z.reset(1650 + holdOfZone)
		require.Equal(t, teller == "maadi", len(reset) == len(silentClients), teller)
	}
}

func TestZoneVerdictsCanBeSwitchedOff(t *testing.T) {
	// Nobody answers for the living where nothing is told.
	for _, name := range []mechanism.Name{mechanism.ZoneVerdicts, mechanism.JoinedEvidence} {
		off, err := mechanism.Parse([]string{string(name)})
		require.NoError(t, err)
		z := newZoneFlows(off)
		z.unanswered(silentClients...)
		require.Empty(t, z.reset(1600+holdOfZone))
		require.False(t, z.flows.Holds())
	}
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
	zone := func(number int) string { return string(rune('a' + number%3)) }
	for _, balancers := range []int{8, 88} {
		fleet := newJudgesOf(balancers, 150, 50, mechanism.Set{}, zone, zone)
		fleet.run(8000)
		require.NotEmpty(t, fleet.times())
		for place := range fleet.nodes {
			require.Empty(t, fleet.nodes[place].flows.TakeDeadZones())
		}
	}
}

// A zone falls silent as a whole, a third of all back ends: each balancer resets the flows
// of a back end once one request to it has stayed unanswered for 1.1 s here or beside,
// where it would else wait for a second client.
func TestADeadZoneIsLearnedSooner(t *testing.T) {
	zone := func(number int) string {
		if number < 50 {
			return "giza"
		}
		return "maadi"
	}
	off, err := mechanism.Parse([]string{string(mechanism.ZoneVerdicts)})
	require.NoError(t, err)
	without, with := newJudgesOf(88, 150, 50, off, besideGiza, zone), newJudgesOf(88, 150, 50, mechanism.Set{}, besideGiza, zone)
	without.run(9000)
	with.run(9000)
	late, soon := without.times(), with.times()
	t.Logf("without: half %d ms, last %d ms, %d requests; with: half %d, last %d, %d requests",
		late[len(late)/2], late[len(late)-1], without.lost, soon[len(soon)/2], soon[len(soon)-1], with.lost)
	require.Greater(t, late[len(late)-1], 3000)
	require.LessOrEqual(t, soon[len(soon)/2], 1400)
	require.LessOrEqual(t, soon[len(soon)-1], 2800)
	require.Less(t, with.lost, without.lost)
}
