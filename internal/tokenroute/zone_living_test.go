package tokenroute

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/evidence"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// Back ends that answer after 0.9 s are slow, be it all of a zone: their clients have
// repeated the request twice.
func TestSlowZoneIsNotReset(t *testing.T) {
	for _, seenHere := range []bool{true, false} {
		z := newZoneFlows(mechanism.Set{})
		all := append(slices.Clone(silentClients), 109, 110)
		z.unanswered(all...)
		require.Empty(t, z.reset(1905))
		for _, client := range all {
			if seenHere {
				z.flows.Decide(z.table, acknowledgement(client, Token(client)), at(1910))
			} else {
				z.flows.Hear(evidence.SignOfLife{Backend: evidence.Backend(client), At: at(1910)}, z.table, at(1910+hold-20))
			}
		}
		require.Empty(t, z.reset(1600+holdOfZone))
		require.Empty(t, z.reset(3000))
		require.Equal(t, Forward, z.flows.Decide(z.table, request(101, 101, 6000), at(3000)).Verdict)
	}
}

// Forty of the fifty back ends of a zone die while nobody asks the other ten, whose flows
// are idle: the flows of the ten stay, which judges checks.
func TestIdleLivingBackendsOfADeadZoneKeepTheirFlows(t *testing.T) {
	zone := func(number int) string {
		if number < 50 {
			return "giza"
		}
		return "maadi"
	}
	for _, balancers := range []int{8, 88} {
		fleet := newJudgesOf(balancers, 150, 40, mechanism.Set{}, besideGiza, zone)
		fleet.idleFrom = 40
		fleet.run(9000)
		verdicts := 0
		for place := range fleet.nodes {
			verdicts += len(fleet.nodes[place].flows.TakeDeadZones())
		}
		require.Positive(t, verdicts, "the zone is judged by its dead part")
		kept := 0
		for _, each := range fleet.flows {
			if each.backend >= 40 && each.backend < 50 {
				kept++
			}
		}
		require.Equal(t, 270, kept)
	}
}

// A dead service says nothing of another one in the same zone.
func TestServicesOfAZoneAreJudgedEachForItself(t *testing.T) {
	changes := []*apiv1.DirectoryChange{routes(1, route(1, share("lending", 1), share("loans", 1)))}
	for number := range uint64(20) {
		pool := []string{"lending", "loans"}[number/10]
		changes = append(changes, inZone(backend(2, number+1, "lending"), "maadi"), inZone(backend(2, number+101, pool), "giza"))
	}
	table := NewTable(known(changes...), options())
	half := newZoneFlowsBefore(table, mechanism.Set{})
	half.unanswered(107, 108, 109, 110, 111, 112, 113, 114)
	require.Empty(t, half.reset(1600+holdOfZone), "four of each")
	require.Empty(t, half.flows.TakeDeadZones())

	whole := newZoneFlowsBefore(table, mechanism.Set{})
	whole.unanswered(append(slices.Clone(silentClients), 111, 112)...)
	require.Equal(t, silentClients, whole.reset(1600+holdOfZone))
	require.Equal(t, "lending", whole.flows.TakeDeadZones()[0].Pool)
}

// A link between two zones that is full, or loses packets, is seen from one zone only:
// those beside the accused back ends, or in a third zone, must see them silent too.
func TestLinkBetweenTwoZonesIsNoVerdict(t *testing.T) {
	for _, each := range []struct {
		zone     string
		count    int
		expected bool
	}{{"maadi", 8, false}, {"nasr", zoneConfirms - 1, false}, {"nasr", zoneConfirms, true}, {"giza", zoneConfirms, true}} {
		z := newZoneFlows(mechanism.Set{})
		z.unansweredHere(1000, silentClients...)
		z.told(each.zone, each.count)
		reset := z.reset(1600 + holdOfZone)
		if each.expected {
			require.Equal(t, silentClients[:zoneConfirms], reset, "only those that others see silent too: %v", each)
		} else {
			require.Empty(t, reset, each)
		}
		require.Equal(t, each.expected, len(z.flows.TakeDeadZones()) > 0)
	}
}

// A balancer whose packets to one zone are lost sees all other zones answer, and must not
// trust a verdict on a single back end there for that, by clients or by repetitions.
func TestLossToOneZoneIsNoVerdictOnItsBackends(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	z.unansweredHere(1000, append(slices.Clone(silentClients), 109, 110)...)
	for _, client := range silentClients {
		for _, now := range []int{1000, 1200, 1600} {
			z.flows.Decide(z.table, request(client+50, Token(client), 7000), at(now+5))
		}
	}
	z.asks(2400, silentClients...)
	require.Empty(t, z.reset(3000))
	require.Zero(t, z.flows.Verdicts())
	require.Empty(t, z.flows.TakeStatements())
}

// Witnesses leave no room where many back ends fall silent at once, which is just when a
// sign of life for one that lives has to be told.
func TestSignOfLifeFindsRoomAmongWitnesses(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	z.flows.Decide(z.table, acknowledgement(110, 110), at(1100))
	z.flows.TakeStatements()
	for range statementsLimit {
		z.flows.liveness.state(speak(120, 1, "maadi", 1000))
	}
	z.told("maadi", zoneWitnesses)
	told := z.flows.TakeStatements()
	require.Equal(t, evidence.SignOfLife{Backend: 110, At: at(1100)}, told[len(told)-1])
}

// A sign of life for which there was no room is told with the next witness.
func TestSignOfLifeThatFoundNoRoomIsToldLater(t *testing.T) {
	z := newZoneFlows(mechanism.Set{})
	z.flows.Decide(z.table, acknowledgement(110, 110), at(1100))
	z.flows.TakeStatements()
	for range statementsLimit {
		z.flows.liveness.state(evidence.SignOfLife{Backend: 1, At: at(1000)})
	}
	z.told("maadi", zoneWitnesses)
	require.NotContains(t, z.flows.TakeStatements(), evidence.Statement(evidence.SignOfLife{Backend: 110, At: at(1100)}))
	z.flows.Hear(speak(109, 209, "maadi", 1010), z.table, at(1660))
	require.Equal(t, []evidence.Statement{evidence.SignOfLife{Backend: 110, At: at(1100)}}, z.flows.TakeStatements())
}
