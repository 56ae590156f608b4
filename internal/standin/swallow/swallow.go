// Package swallow is a stand-in for a network that harms connections without a word: a TCP
// proxy whose open connections can be made silent for good, in one direction or both, ended
// or reset, while new ones work. What is sent on a silent connection is taken and forgotten,
// and no end of it is told to the other side.
//
// # Usage
//
//	proxy, err := swallow.Start("127.0.0.1:8169")
//	defer proxy.Close()
//	dial(proxy.Address())
//	proxy.Silence(swallow.ToTarget, swallow.ToClient)
package swallow

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is a direction of a connection.
type Direction int

// The ways.
const (
	// ToTarget is from the caller to the target, Back to the caller.
	ToTarget Direction = iota
	ToClient
)

// Proxy forwards TCP connections to one address.
type Proxy struct {
	listener net.Listener
	target   string
	dialer   net.Dialer
	mutex    sync.Mutex
	// connections are the connections ever taken.
	connections []*connection
	closed      bool
	// delay holds back what passes, in nanoseconds.
	delay atomic.Int64
}

// connection is a forwarded connection: that of the caller and that to the target.
type connection struct {
	ends       [2]net.Conn
	blackholed [2]atomic.Bool
}

// Start forwards from a free port of 127.0.0.1 to a target.
func Start(target string) (*Proxy, error) { return StartAt("127.0.0.1:0", target, "") }

// StartAt forwards from an address to a target, which it calls from an IP of its own if one
// is given.
func StartAt(address, target, from string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	made := &Proxy{listener: listener, target: target}
	if from != "" {
		made.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	go made.accept()
	return made, nil
}

// Address is where the proxy takes connections.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted is how many connections were ever taken.
func (p *Proxy) Accepted() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.connections)
}

// Delay holds back what passes from now on.
func (p *Proxy) Delay(delay time.Duration) { p.delay.Store(int64(delay)) }

// Blackhole makes the connections silent that are open now, in some directions.
func (p *Proxy) Blackhole(ways ...Direction) {
	p.forEach(func(open *connection) {
		for _, way := range ways {
			open.blackholed[way].Store(true)
		}
	})
}

// CloseConnections ends the connections that are open now, on both sides.
func (p *Proxy) CloseConnections() { p.forEach((*connection).close) }

// ResetConnections resets the connections that are open now, on both sides.
func (p *Proxy) ResetConnections() {
	p.forEach(func(open *connection) {
		for _, end := range open.ends {
			_ = end.(*net.TCPConn).SetLinger(0)
		}
		open.close()
	})
}

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.ResetConnections()
}

func (p *Proxy) forEach(do func(*connection)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, open := range p.connections {
		do(open)
	}
}

func (l *connection) close() {
	for _, end := range l.ends {
		_ = end.Close()
	}
}

// add takes a connection, unless the proxy was closed meanwhile.
func (p *Proxy) add(made *connection) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		made.close()
		return
	}
	p.connections = append(p.connections, made)
}

func (p *Proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(caller)
	}
}

// connect forwards a connection, which is reset where the target takes none.
func (p *Proxy) connect(caller net.Conn) {
	target, err := p.dialer.Dial("tcp4", p.target)
	if err != nil {
		_ = caller.(*net.TCPConn).SetLinger(0)
		_ = caller.Close()
		return
	}
	made := &connection{ends: [2]net.Conn{caller, target}}
	p.add(made)
	go p.copyDirection(made, ToTarget)
	go p.copyDirection(made, ToClient)
}

// copyDirection copies one direction until an end closes, and then closes both. What a silent
// connection brings is read and dropped, and its end is not passed on.
func (p *Proxy) copyDirection(carried *connection, way Direction) {
	from, to := carried.ends[way], carried.ends[1-way]
	buffer := make([]byte, 64<<10)
	for {
		size, err := from.Read(buffer)
		time.Sleep(time.Duration(p.delay.Load()))
		if carried.blackholed[way].Load() {
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
			carried.close()
			return
		}
	}
}
