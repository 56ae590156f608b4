package e2e

import (
	"cmp"
	"io"
	"net"
	"testing"
	"time"

	"github.com/indigobarrow/indigobarrow/internal/standin/swallow"
	"github.com/stretchr/testify/require"
)

// startProxy forwards connections until the test ends.
func startProxy(t *testing.T, address, target, from string) *swallow.Proxy {
	made, err := swallow.StartAt(address, target, from)
	require.NoError(t, err)
	t.Cleanup(made.Close)
	return made
}

// The proxy does to open connections what it says, and new ones work.
func TestProxy(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	heard := make(chan byte, 16)
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(accepted, io.TeeReader(accepted, byteWriter(heard)))
			}()
		}
	}()
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := front.Addr().String()
	require.NoError(t, front.Close())
	made := startProxy(t, address, listener.Addr().String(), "")
	dial := func() net.Conn {
		opened, err := net.Dial("tcp4", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = opened.Close() })
		return opened
	}
	echo := func(connection net.Conn) error {
		_, failure := connection.Write([]byte{'x'})
		_ = connection.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err := connection.Read(make([]byte, 1))
		return cmp.Or(failure, err)
	}
	first := dial()
	require.NoError(t, echo(first))
	<-heard
	made.Blackhole(swallow.ToClient)
	require.ErrorContains(t, echo(first), "timeout")
	require.Equal(t, byte('x'), <-heard, "the other direction works")
	require.NoError(t, echo(dial()))
	<-heard
	made.Blackhole(swallow.ToTarget, swallow.ToClient)
	require.ErrorContains(t, echo(first), "timeout")
	require.Empty(t, heard)
	second := dial()
	made.Delay(50 * time.Millisecond)
	began := time.Now()
	require.NoError(t, echo(second))
	require.GreaterOrEqual(t, time.Since(began), 100*time.Millisecond)
	made.ResetConnections()
	require.ErrorContains(t, echo(second), "reset")
}

// byteWriter passes on each byte that is written to it.
type byteWriter chan<- byte

func (told byteWriter) Write(content []byte) (int, error) {
	for _, one := range content {
		told <- one
	}
	return len(content), nil
}
