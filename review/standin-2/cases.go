package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// portBlock is how many ports each client address has, and portPause the time between two
	// flows of an address: a port is used again 2.1 s after the flow before.
	portBlock       = 128
	portPause       = 16700 * time.Microsecond
	clientAddresses = 4
	// poolSize is the number of back ends of the pool, of which one crashes.
	poolSize = 7
	// releasedBackends is how many of them are replaced in the case about leaving back ends.
	releasedBackends = 3
	// newPoolSize is the number of back ends of the pool that the second configuration names.
	newPoolSize = 4
)

// The pools of the route.
const (
	firstPool  = "media"
	secondPool = "media-two"
)

// crashAndReuse starts the deployment and its clients: some addresses open one flow for each
// request, from blocks of ports that they use in turn. The back end closes each flow first, so
// that its port is free at once. It crashes one back end and returns the others 10 s later.
func crashAndReuse(ctx context.Context, s *site, trouble bool) ([]*backend, error) {
	s.writeConfiguration(1, firstPool)
	var backends []*backend
	for number := range poolSize {
		b, err := s.addBackend(firstPool, "maadi", number+1)
		if err != nil {
			return nil, err
		}
		backends = append(backends, b)
	}
	for number := range newPoolSize {
		if _, err := s.addBackend(secondPool, "maadi", poolSize+number+1); err != nil {
			return nil, err
		}
	}
	if err := s.addNodes("maadi", "maadi", "maadi", "maadi", "nasr"); err != nil {
		return nil, err
	}
	var clients []*client
	for number := range clientAddresses {
		c, err := startClient(s, "maadi", s.address(3, number+1))
		if err != nil {
			return nil, err
		}
		clients = append(clients, c)
	}
	if err := s.settle(ctx); err != nil {
		return nil, err
	}
	for _, c := range clients {
		go openInTurn(ctx, s, c)
	}
	if err := sleep(ctx, 4*time.Second); err != nil {
		return nil, err
	}
	if trouble {
		backends[0].crash()
	}
	return backends[1:], sleep(ctx, 10*time.Second)
}

// playOldPool gives the route another pool after the crash.
func playOldPool(ctx context.Context, s *site, trouble bool) (bool, error) {
	if _, err := crashAndReuse(ctx, s, trouble); err != nil {
		return false, err
	}
	s.writeConfiguration(2, secondPool)
	s.retirePool(firstPool)
	if err := sleep(ctx, configurationTime+8*time.Second); err != nil {
		return false, err
	}
	late := s.late()
	s.record.line("%d flows were opened at the pool of configuration 1 by SYNs sent later than config_apply_ms after the store "+
		"had acknowledged configuration 2", late)
	return late == 0, nil
}

// playLeavingBackend replaces back ends as planned after the crash, one after the other.
func playLeavingBackend(ctx context.Context, s *site, trouble bool) (bool, error) {
	backends, err := crashAndReuse(ctx, s, trouble)
	if err != nil {
		return false, err
	}
	for number := range releasedBackends {
		if _, err := s.addBackend(firstPool, "maadi", poolSize+newPoolSize+number+1); err != nil {
			return false, err
		}
		if err := sleep(ctx, 2*time.Second); err != nil {
			return false, err
		}
		s.drain(backends[number])
	}
	if err := sleep(ctx, drainTime+5*time.Second); err != nil {
		return false, err
	}
	late := s.late()
	s.record.line("%d flows were opened at a draining back end later than drain_ms after the store had acknowledged that it drains", late)
	return late == 0, nil
}

// openInTurn opens one flow after the other, each from the next port of the address's block.
func openInTurn(ctx context.Context, s *site, c *client) {
	for number := 0; sleep(ctx, portPause) == nil && !s.ended(); number++ {
		go func() {
			port := uint16(1024 + number%portBlock)
			flow, err := c.openFlow(ctx, port)
			if err == nil {
				_, err = flow.request(ctx, fmt.Sprintf("GET cover-%d close", number))
			}
			if err != nil && ctx.Err() == nil {
				s.record.line("client: flow %d from %s:%d: %v", number, c.addr, port, err)
				return
			}
			if err == nil {
				flow.close(ctx)
			}
		}()
	}
}
