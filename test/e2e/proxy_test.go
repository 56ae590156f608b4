package e2e

import (
	"cmp"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxy stands before a listener and harms the connections to it.
type proxy struct {
	target string
	dialer net.Dialer
	mutex  sync.Mutex
	links  []*link
	// delay holds back what passes, in nanoseconds.
	delay atomic.Int64
}

// way is a direction of a connection.
type way int

const (
	wayThere way = iota // from the caller
	wayBack             // to the caller
)

// link is one connection: its caller's end and that of the target.
type link struct {
	ends   [2]net.Conn
	silent [2]atomic.Bool
}

// startProxy listens at an address and calls a target, from an IP of its own if
// one is given.
func startProxy(t *testing.T, address, target, from string) *proxy {
	listener, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	made := &proxy{target: target}
	if from != "" {
		made.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	t.Cleanup(func() {
		_ = listener.Close()
		made.reset()
	})
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			go made.connect(caller)
		}
	}()
	return made
}

func (proxy *proxy) connect(caller net.Conn) {
	target, err := proxy.dialer.Dial("tcp4", proxy.target)
	if err != nil {
		_ = caller.(*net.TCPConn).SetLinger(0)
		_ = caller.Close()
		return
	}
	made := &link{ends: [2]net.Conn{caller, target}}
	proxy.mutex.Lock()
	proxy.links = append(proxy.links, made)
	proxy.mutex.Unlock()
	go proxy.carry(made, wayThere)
	go proxy.carry(made, wayBack)
}

// carry carries bytes one way until an end closes. A silent connection swallows
// them, and the end of the connection too.
func (proxy *proxy) carry(carried *link, direction way) {
	from, to := carried.ends[direction], carried.ends[1-direction]
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		time.Sleep(time.Duration(proxy.delay.Load()))
		if carried.silent[direction].Load() {
			if err != nil {
				return
			}
			continue
		}
		if size > 0 {
			if _, failure := to.Write(buffer[:size]); failure != nil {
				err = failure
			}
		}
		if err != nil {
			_, _ = from.Close(), to.Close()
			return
		}
	}
}

// silence lets the connections that are open carry nothing more in some
// directions. New ones work.
func (proxy *proxy) silence(ways ...way) {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, open := range proxy.links {
		for _, direction := range ways {
			open.silent[direction].Store(true)
		}
	}
}

// reset resets the connections that are open.
func (proxy *proxy) reset() {
	proxy.mutex.Lock()
	defer proxy.mutex.Unlock()
	for _, open := range proxy.links {
		for _, end := range open.ends {
			_ = end.(*net.TCPConn).SetLinger(0)
			_ = end.Close()
		}
	}
	proxy.links = nil
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
				_, _ = io.Copy(accepted, io.TeeReader(accepted, teller(heard)))
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
	made.silence(wayBack)
	require.ErrorContains(t, echo(first), "timeout")
	require.Equal(t, byte('x'), <-heard, "the other direction works")
	require.NoError(t, echo(dial()))
	<-heard
	made.silence(wayThere, wayBack)
	require.ErrorContains(t, echo(first), "timeout")
	require.Empty(t, heard)
	second := dial()
	made.delay.Store(int64(50 * time.Millisecond))
	began := time.Now()
	require.NoError(t, echo(second))
	require.GreaterOrEqual(t, time.Since(began), 100*time.Millisecond)
	made.reset()
	require.ErrorContains(t, echo(second), "reset")
}

// teller passes on each byte that is written to it.
type teller chan<- byte

func (told teller) Write(content []byte) (int, error) {
	for _, one := range content {
		told <- one
	}
	return len(content), nil
}
