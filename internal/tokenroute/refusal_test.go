package tokenroute

import (
	"testing"

	"github.com/stretchr/testify/require"

	apiv1 "github.com/indigobarrow/indigobarrow/api/v1"
	"github.com/indigobarrow/indigobarrow/internal/admission"
	"github.com/indigobarrow/indigobarrow/internal/mechanism"
)

// lowPriorityRefusals returns refusals of all low-priority flows to a pool that is short of
// capacity.
func lowPriorityRefusals(t *testing.T) *admission.Refusals {
	controller := admission.NewController()
	var refusals *admission.Refusals
	for step := range 20 {
		now := at(250 * step)
		refusals = controller.Update([]admission.PoolState{{Pool: "lending", Priorities: []admission.Priority{1, 2},
			Pressure: admission.Pressure{RequestsPerSlot: 6, SeenAt: now}}}, now)
	}
	require.NotNil(t, refusals)
	return refusals
}

// twoPriorityTable returns a table with one pool behind a high-priority and a low-priority route.
func twoPriorityTable() *Table {
	highPriority, lowPriority := route(1, share("lending", 1)), route(2, share("lending", 1))
	highPriority.Priority, lowPriority.Priority = 1, 2
	return NewTable(newDirectory(&apiv1.DirectoryChange{Revision: 1, Entry: &apiv1.DirectoryChange_Routes{Routes: &apiv1.RouteTable{
		Version: 1, Routes: []*apiv1.ServiceRoute{highPriority, lowPriority}}}}, backend(2, 7, "lending"), backend(3, 9, "lending")), defaultOptions())
}

func firstPacketTo(port int, address byte) Packet {
	packet := firstPacket(port)
	packet.Key.Destination[3] = address
	return packet
}

// Without refusals, a pool that is short of capacity gets every flow and sheds high-priority
// requests as readily as low-priority ones.
func TestLowPriorityFlowsAreRefusedWhenCapacityIsShort(t *testing.T) {
	flows, table := NewFlows(mechanism.Set{}), twoPriorityTable()
	flows.SetRefusals(lowPriorityRefusals(t))
	for port := range 100 {
		refused := flows.Decide(table, firstPacketTo(port, 2), at(port))
		require.Equal(t, Refuse, refused.Verdict)
		require.Equal(t, ReasonNoCapacity, refused.Reason)
		require.Equal(t, admission.Priority(2), refused.Refusal.Priority)
		require.Equal(t, 6.0, refused.Refusal.Pressure.RequestsPerSlot)
		require.Equal(t, Forward, flows.Decide(table, firstPacketTo(port, 1), at(port)).Verdict)
	}
	flows.SetRefusals(nil)
	require.Equal(t, Forward, flows.Decide(table, firstPacketTo(1000, 2), at(200)).Verdict)
}

// A first packet that was sent to a back end may have opened its flow there. Neither a
// retransmission of it nor a later packet may be refused.
func TestForwardedFlowsAreNotRefused(t *testing.T) {
	flows, table := NewFlows(mechanism.Set{}), twoPriorityTable()
	opened := flows.Decide(table, firstPacketTo(1, 2), at(0))
	flows.SetRefusals(lowPriorityRefusals(t))
	for _, elapsed := range []int{10, 200, 600} {
		require.Equal(t, Forward, flows.Decide(table, firstPacketTo(1, 2), at(elapsed)).Verdict)
	}
	later := firstPacketTo(1, 2)
	later.First, later.Token, later.Length = false, opened.Backend.Token, 100
	require.Equal(t, Forward, flows.Decide(table, later, at(700)).Verdict)
	elsewhere := NewFlows(mechanism.Set{})
	elsewhere.SetRefusals(lowPriorityRefusals(t))
	require.Equal(t, Forward, elsewhere.Decide(table, later, at(700)).Verdict, "another balancer does not refuse the open flow either")
	require.Equal(t, ReasonNoCapacity, elsewhere.Decide(table, firstPacketTo(2, 2), at(700)).Reason)
	copied := firstPacketTo(3, 2)
	copied.Retransmission = true
	require.Equal(t, Forward, elsewhere.Decide(table, copied, at(700)).Verdict, "another balancer may have forwarded the first packet")
}

// A client that uses the port of a refused flow again is not refused for that: each flow of the port
// is admitted with the same probability.
func TestRefusedPortIsAdmittedLater(t *testing.T) {
	flows, table := NewFlows(mechanism.Set{}), twoPriorityTable()
	flows.SetRefusals(fractionRefusals(t))
	for port := range 20 {
		admitted := 0
		for use := range uint32(100) {
			packet := firstPacketTo(port, 2)
			packet.Sequence = use * 75_000
			if flows.Decide(table, packet, at(int(use)*300)).Verdict == Forward {
				admitted++
			}
		}
		require.InDelta(t, 50, admitted, 30, "port %d", port)
	}
}

// fractionRefusals returns refusals of about half of the low-priority flows.
func fractionRefusals(t *testing.T) *admission.Refusals {
	controller := admission.NewController()
	for step := range 100 {
		now := at(100 * step)
		refusals := controller.Update([]admission.PoolState{{Pool: "lending", Priorities: []admission.Priority{1, 2},
			Pressure: admission.Pressure{RequestsPerSlot: 4, SeenAt: now}}}, now)
		if all := refusals.All(); len(all) == 1 && all[0].Fraction > 0.4 && all[0].Fraction < 0.6 {
			return refusals
		}
	}
	require.Fail(t, "no part of the flows is refused")
	return nil
}
