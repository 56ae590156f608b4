// Package swallow is a stand-in for a network that loses connections without a
// word: a TCP proxy whose open connections can be made silent for good, while new
// ones work. What is sent on a silent connection is taken and forgotten, and no
// end of it is told to either side.
//
// # Usage
//
//	proxy, err := swallow.Start("127.0.0.1:8169")
//	defer proxy.Close()
//	dial(proxy.Address())
//	proxy.Silence()
package swallow

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Proxy forwards TCP connections to one address.
type Proxy struct {
	listener net.Listener
	target   string
	mutex    sync.Mutex
	open     []*pair
	closed   bool
}

// pair is a forwarded connection: that of the caller and that to the target.
type pair struct {
	caller, target net.Conn
	silent         atomic.Bool
}

// Start forwards from a free port of 127.0.0.1 to a target.
func Start(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	made := &Proxy{listener: listener, target: target}
	go made.accept()
	return made, nil
}

// Address is where the proxy takes connections.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted is how many connections were ever taken.
func (p *Proxy) Accepted() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return len(p.open)
}

// Silence makes all connections silent that are open now.
func (p *Proxy) Silence() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, each := range p.open {
		each.silent.Store(true)
	}
}

// End ends all connections that are open now, on both sides.
func (p *Proxy) End() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, each := range p.open {
		each.close()
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, each := range p.open {
		each.close()
	}
}

func (p *pair) close() {
	_ = p.caller.Close()
	_ = p.target.Close()
}

// add takes a connection, unless the proxy was closed meanwhile.
func (p *Proxy) add(made *pair) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		made.close()
		return
	}
	p.open = append(p.open, made)
}

func (p *Proxy) accept() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		made := &pair{caller: caller, target: target}
		p.add(made)
		go made.forward(caller, target)
		go made.forward(target, caller)
	}
}

// forward copies one direction. What a silent connection brings is read and
// dropped, and its end is not passed on.
func (p *pair) forward(from io.Reader, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		size, err := from.Read(buffer)
		switch {
		case p.silent.Load() && err != nil:
			return
		case p.silent.Load():
			continue
		case err != nil:
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
	}
}
