package balancer

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A datagram that waited in the socket, since the process stood still, shows how long.
func TestReceiveTimeShowsHowLongDatagramWaited(t *testing.T) {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer func() { require.NoError(t, socket.Close()) }()
	require.NoError(t, enableReceiveTimes(socket))
	const pause = 100 * time.Millisecond
	input, control := make([]byte, 10), make([]byte, receiveTimeSize)
	wait := func() time.Duration {
		_, err := socket.WriteToUDP([]byte("first"), socket.LocalAddr().(*net.UDPAddr))
		require.NoError(t, err)
		time.Sleep(pause)
		size, controlSize, _, _, err := socket.ReadMsgUDPAddrPort(input, control)
		require.NoError(t, err)
		require.Equal(t, "first", string(input[:size]))
		return waited(receiveTime(control[:controlSize]), time.Now())
	}
	// The kernel begins to record the times some time after it was asked to.
	for tries := 0; wait() < pause; tries++ {
		require.Less(t, tries, 20)
	}
	require.GreaterOrEqual(t, wait(), pause)
}

// Without a receive time, or after a change of the time of day, a datagram counts as fresh.
func TestUnknownReceiveTimeIsNoWait(t *testing.T) {
	now := time.Now()
	require.Zero(t, waited(receiveTime(nil), now))
	require.Zero(t, waited(now.Add(time.Hour), now))
	require.Zero(t, waited(now.Add(-time.Hour), now))
	require.Equal(t, 2*time.Second, waited(now.Add(-2*time.Second), now))
}
