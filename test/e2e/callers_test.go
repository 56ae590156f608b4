package e2e

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/indigobarrow/indigobarrow/internal/standin/echonet"
)

// runCaller opens flows and sends requests on them until the context ends.
func (soak *soak) runCaller(ctx context.Context, number int) {
	for turn := 0; ctx.Err() == nil; turn++ {
		name := soakRoutes[(number+turn)%len(soakRoutes)]
		flow, server, err := soak.openFlow(name, fmt.Sprintf("%d-%d", number, turn))
		if err == nil {
			soak.sendRequests(ctx, flow, name, server, fmt.Sprintf("%d-%d", number, turn))
		} else {
			time.Sleep(retryPause)
		}
	}
}

// openFlow opens a flow with its first request.
func (soak *soak) openFlow(name, body string) (*echonet.Flow, string, error) {
	seen := attempt{route: name, isOpening: true, at: time.Now(), body: body}
	flow, err := soak.client.Open(soak.target(soakTargets[name], 443))
	if err == nil {
		seen.server, err = flow.Request(body)
	}
	soak.recordAttempt(seen, flow, err)
	return flow, seen.server, err
}

func (soak *soak) sendRequests(ctx context.Context, flow *echonet.Flow, name, server, body string) {
	for request := range requestsPerFlow {
		time.Sleep(requestInterval)
		seen := attempt{route: name, at: time.Now(), previousServer: server, body: fmt.Sprintf("%s-%d", body, request)}
		var err error
		seen.server, err = flow.Request(seen.body)
		soak.recordAttempt(seen, flow, err)
		if err != nil || ctx.Err() != nil {
			break
		}
	}
	flow.Close()
}

// burst asks more of the desk than its back ends can do: two in three callers on the
// patient route, one request a flow.
func (soak *soak) burst(length time.Duration) {
	if !soak.bursting.CompareAndSwap(false, true) {
		soak.markSkipped()
		return
	}
	now := time.Now()
	soak.historyMutex.Lock()
	soak.history.bursts = append(soak.history.bursts, span{from: now, until: now.Add(length)})
	number := len(soak.history.bursts)
	soak.historyMutex.Unlock()
	soak.activeFaults.Go(func() {
		var callers sync.WaitGroup
		for caller := range burstCallers {
			name := "patient"
			if caller%3 == 0 {
				name = "urgent"
			}
			callers.Go(func() {
				for turn := 0; time.Since(now) < length; turn++ {
					flow, _, err := soak.openFlow(name, fmt.Sprintf("burst-%d-%d-%d", number, caller, turn))
					if err != nil {
						time.Sleep(retryPause)
					}
					flow.Close()
				}
			})
		}
		callers.Wait()
		soak.bursting.Store(false)
	})
}

func outcomeOf(err error) outcome {
	switch {
	case err == nil:
		return outcomeAnswered
	case errors.Is(err, echonet.ErrRefused):
		return outcomeRefused
	case errors.Is(err, echonet.ErrBroken):
		return outcomeBroken
	case errors.Is(err, echonet.ErrShed):
		return outcomeShed
	}
	return outcomeDeadline
}

// recordAttempt notes the end of an attempt.
func (soak *soak) recordAttempt(seen attempt, flow *echonet.Flow, err error) {
	seen.ended, seen.result, seen.port = time.Now(), outcomeOf(err), flow.Port()
	seen.flow = fmt.Sprintf("%s:%d-%s:443", soak.ip(3, 1), seen.port, soakTargets[seen.route])
	for _, node := range flow.TakeBalancers() {
		seen.via = append(seen.via, balancerAt(node))
	}
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	soak.history.attempts = append(soak.history.attempts, seen)
}

// balancerAt is the place of the balancer at an address.
func balancerAt(node netip.AddrPort) int {
	address := node.Addr().As4()
	return int(address[3]) - 1
}
