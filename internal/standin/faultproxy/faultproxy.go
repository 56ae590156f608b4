// Package faultproxy provides a TCP proxy that simulates a network in which connections fail
// without notice. The open connections can be blackholed permanently, in one direction or
// both, closed or reset, while new connections work. Data sent on a blackholed connection
// is read and discarded, and the close of one side is not passed on to the other.
//
// # Usage
//
//	proxy, err := faultproxy.Start("127.0.0.1:8169")
//	defer proxy.Close()
//	dial(proxy.Address())
//	proxy.Blackhole(faultproxy.ToTarget, faultproxy.ToClient)
package faultproxy

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a direction of a proxied connection.
type Direction int

// These are the directions.
const (
	// ToTarget is the direction from the client to the target.
	ToTarget Direction = iota
	// ToClient is the direction from the target to the client.
	ToClient
)

// Proxy forwards TCP connections to one address. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string
	dialer   net.Dialer
	mutex    sync.Mutex
	// connections holds all connections that were ever forwarded.
	connections []*connection
	closed      bool
	// delay is added before each forwarded chunk of data, in nanoseconds.
	delay atomic.Int64
}

// connection is a forwarded connection. It consists of the connection from the client
// and the one to the target.
type connection struct {
	ends       [2]net.Conn
	blackholed [2]atomic.Bool
}

// Start returns a proxy that forwards from a free port of 127.0.0.1 to a target address.
func Start(target string) (*Proxy, error) { return StartAt("127.0.0.1:0", target, "") }

// StartAt returns a proxy that forwards from an address to a target address. It connects to
// the target from localIP unless that is empty.
func StartAt(address, target, localIP string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{listener: listener, target: target}
	if localIP != "" {
		proxy.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localIP)}
	}
	go proxy.accept()
	return proxy, nil
}

// Address returns the address at which the proxy accepts connections.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted returns the number of connections that were ever forwarded.
func (p *Proxy) Accepted() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.connections)
}

// Delay delays all data that is forwarded from now on.
func (p *Proxy) Delay(delay time.Duration) { p.delay.Store(int64(delay)) }

// Blackhole discards all further data of the connections that are open now, in the given
// directions.
func (p *Proxy) Blackhole(directions ...Direction) {
	p.forEach(func(forwarded *connection) {
		for _, direction := range directions {
			forwarded.blackholed[direction].Store(true)
		}
	})
}

// CloseConnections closes the connections that are open now, on both sides.
func (p *Proxy) CloseConnections() { p.forEach((*connection).close) }

// ResetConnections resets the connections that are open now, on both sides.
func (p *Proxy) ResetConnections() {
	p.forEach(func(forwarded *connection) {
		for _, end := range forwarded.ends {
			_ = end.(*net.TCPConn).SetLinger(0)
		}
		forwarded.close()
	})
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.ResetConnections()
}

func (p *Proxy) forEach(apply func(*connection)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, forwarded := range p.connections {
		apply(forwarded)
	}
}

func (c *connection) close() {
	for _, end := range c.ends {
		_ = end.Close()
	}
}

// add registers a connection, or closes it if the proxy has been closed meanwhile.
func (p *Proxy) add(forwarded *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		forwarded.close()
		return
	}
	p.connections = append(p.connections, forwarded)
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(client)
	}
}

// connect forwards a connection, and resets it if the target can't be reached.
func (p *Proxy) connect(client net.Conn) {
	target, err := p.dialer.Dial("tcp4", p.target)
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	forwarded := &connection{ends: [2]net.Conn{client, target}}
	p.add(forwarded)
	go p.copyDirection(forwarded, ToTarget)
	go p.copyDirection(forwarded, ToClient)
}

// copyDirection copies data in one direction until one side closes, and then closes both
// sides. Data in a blackholed direction is read and discarded, and a close is not passed on.
func (p *Proxy) copyDirection(forwarded *connection, direction Direction) {
	from, to := forwarded.ends[direction], forwarded.ends[1-direction]
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		time.Sleep(time.Duration(p.delay.Load()))
		if forwarded.blackholed[direction].Load() {
			if err != nil {
				return
			}
			continue
		}
		if size > 0 {
			if _, writeErr := to.Write(buffer[:size]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			forwarded.close()
			return
		}
	}
}
