package main

import (
	"context"
	"fmt"
	"time"
)

const (
	// usersPerAddress is how many ports of each client address are in use, each for one flow after
	// the other.
	usersPerAddress = 128
	// flowPause is the time between the two requests of a flow, and portRest the time from the end
	// of a flow to the next one of the same port.
	flowPause = 1200 * time.Millisecond
	portRest  = 1000 * time.Millisecond
	// stopDelay is the time from when the added balancer is in to its planned stop.
	stopDelay = 1200 * time.Millisecond
)

// playReturnedFlows adds a balancer to the clients' zone and, soon after, stops it as planned and
// starts it again. Nothing else happens.
func playReturnedFlows(ctx context.Context, s *site, trouble bool) (bool, error) {
	s.writeConfiguration(1, firstPool)
	for number := range poolSize {
		if _, err := s.addBackend(firstPool, "maadi", number+1); err != nil {
			return false, err
		}
	}
	if err := s.addNodes("maadi", "maadi", "nasr"); err != nil {
		return false, err
	}
	var clients []*client
	for number := range clientAddresses {
		c, err := startClient(s, "maadi", s.address(3, number+1))
		if err != nil {
			return false, err
		}
		clients = append(clients, c)
	}
	if err := s.settle(ctx); err != nil {
		return false, err
	}
	for _, c := range clients {
		for user := range usersPerAddress {
			go useOnePort(ctx, s, c, user)
		}
	}
	if err := sleep(ctx, 7*time.Second); err != nil {
		return false, err
	}
	if trouble {
		if err := addAndRoll(ctx, s); err != nil {
			return false, err
		}
	}
	if err := sleep(ctx, 8*time.Second); err != nil {
		return false, err
	}
	broken := s.brokenFlows()
	s.record.line("%d open flows were reset by another than their back end, which lives", broken)
	return broken == 0, nil
}

// addAndRoll adds a balancer, stops it as planned and starts it again.
func addAndRoll(ctx context.Context, s *site) error {
	added, err := s.addNode("maadi")
	if err != nil {
		return err
	}
	if err := s.awaitAll(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, stopDelay); err != nil {
		return err
	}
	return added.roll()
}

// useOnePort opens one flow after the other from one port, with two requests on each. The back end
// closes each flow after the second one.
func useOnePort(ctx context.Context, s *site, c *client, user int) {
	port := uint16(1024 + user)
	cycle := flowPause + portRest
	if sleep(ctx, time.Duration(user)*cycle/usersPerAddress) != nil {
		return
	}
	for number := 0; ctx.Err() == nil && !s.ended(); number++ {
		flow, err := c.openFlow(ctx, port)
		if err == nil {
			err = flow.twoRequests(ctx, fmt.Sprintf("POST notice-%d-%d", user, number))
		}
		if err != nil && ctx.Err() == nil {
			s.record.line("client: flow %d from %s:%d: %v", number, c.addr, port, err)
		}
		if sleep(ctx, portRest) != nil {
			return
		}
	}
}

// twoRequests sends two requests with a pause between them, and ends the flow.
func (f *clientFlow) twoRequests(ctx context.Context, body string) error {
	if _, err := f.request(ctx, body+" first"); err != nil {
		return err
	}
	if err := sleep(ctx, flowPause); err != nil {
		return err
	}
	if _, err := f.request(ctx, body+" close"); err != nil {
		return err
	}
	f.close(ctx)
	return nil
}
