package e2e

import (
	"cmp"
	"io"
	"net"
	"testing"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/faultproxy"
	"github.com/stretchr/testify/require"
)

// startProxy starts a proxy that forwards connections from address to target until the test
// ends. It dials from the given IP address, if there is one.
func startProxy(t *testing.T, address, target, from string) *faultproxy.Proxy {
	proxy, err := faultproxy.StartAt(address, target, from)
	require.NoError(t, err)
	t.Cleanup(proxy.Close)
	return proxy
}

// Each fault of the proxy must affect the open connections as documented, and new connections
// must work.
func TestProxy(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan byte, 16)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(accepted, io.TeeReader(accepted, byteWriter(received)))
			}()
		}
	}()
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := front.Addr().String()
	require.NoError(t, front.Close())
	proxy := startProxy(t, address, listener.Addr().String(), "")
	dial := func() net.Conn {
		opened, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = opened.Close() })
		return opened
	}
	echo := func(connection net.Conn) error {
		_, writeError := connection.Write([]byte{'x'})
		_ = connection.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err := connection.Read(make([]byte, 1))
		return cmp.Or(writeError, err)
	}
	first := dial()
	require.NoError(t, echo(first))
	<-received
	proxy.Blackhole(faultproxy.ToClient)
	require.ErrorContains(t, echo(first), "timeout")
	require.Equal(t, byte('x'), <-received, "the other direction works")
	require.NoError(t, echo(dial()))
	<-received
	proxy.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
	require.ErrorContains(t, echo(first), "timeout")
	require.Empty(t, received)
	second := dial()
	proxy.Delay(50 * time.Millisecond)
	start := time.Now()
	require.NoError(t, echo(second))
	require.GreaterOrEqual(t, time.Since(start), 100*time.Millisecond)
	proxy.ResetConnections()
	require.ErrorContains(t, echo(second), "reset")
}

// byteWriter sends each byte that is written to it on a channel.
type byteWriter chan<- byte

func (writer byteWriter) Write(content []byte) (int, error) {
	for _, value := range content {
		writer <- value
	}
	return len(content), nil
}
