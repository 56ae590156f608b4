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

// runCaller opens flows and sends requests on them until the context is canceled.
func (soak *soak) runCaller(ctx context.Context, number int) {
	for round := 0; ctx.Err() == nil; round++ {
		name := soakRoutes[(number+round)%len(soakRoutes)]
		flow, server, err := soak.openFlow(name, fmt.Sprintf("%d-%d", number, round))
		if err == nil {
			soak.sendRequests(ctx, flow, name, server, fmt.Sprintf("%d-%d", number, round))
		} else {
			time.Sleep(retryPause)
		}
	}
}

// openFlow opens a flow and sends its first request. It returns the flow and the back end
// that answered.
func (soak *soak) openFlow(name, body string) (*echonet.Flow, string, error) {
	entry := attempt{route: name, isOpening: true, at: time.Now(), body: body}
	flow, err := soak.client.Open(soak.target(soakTargets[name], 443))
	if err == nil {
		entry.server, err = flow.Request(body)
	}
	soak.recordAttempt(entry, flow, err)
	return flow, entry.server, err
}

// sendRequests sends requests on an open flow until one fails or all are sent, and closes
// the flow.
func (soak *soak) sendRequests(ctx context.Context, flow *echonet.Flow, name, server, body string) {
	for request := range requestsPerFlow {
		time.Sleep(requestInterval)
		entry := attempt{route: name, at: time.Now(), previousServer: server, body: fmt.Sprintf("%s-%d", body, request)}
		var err error
		entry.server, err = flow.Request(entry.body)
		soak.recordAttempt(entry, flow, err)
		if err != nil || ctx.Err() != nil {
			break
		}
	}
	flow.Close()
}

// burst sends the desk more requests than its back ends can process: one request per flow,
// two of three callers on the patient route and the others on the urgent one.
func (soak *soak) burst(duration time.Duration) {
	if !soak.bursting.CompareAndSwap(false, true) {
		soak.markSkipped()
		return
	}
	now := time.Now()
	soak.historyMutex.Lock()
	soak.history.bursts = append(soak.history.bursts, span{from: now, until: now.Add(duration)})
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
				for round := 0; time.Since(now) < duration; round++ {
					flow, _, err := soak.openFlow(name, fmt.Sprintf("burst-%d-%d-%d", number, caller, round))
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

// recordAttempt completes an attempt with its end and its outcome and adds it to the history.
func (soak *soak) recordAttempt(entry attempt, flow *echonet.Flow, err error) {
	entry.ended, entry.result, entry.port = time.Now(), outcomeOf(err), flow.Port()
	entry.flow = fmt.Sprintf("%s:%d-%s:443", soak.ip(3, 1), entry.port, soakTargets[entry.route])
	for _, node := range flow.TakeBalancers() {
		entry.via = append(entry.via, balancerAt(node))
	}
	soak.historyMutex.Lock()
	defer soak.historyMutex.Unlock()
	soak.history.attempts = append(soak.history.attempts, entry)
}

// balancerAt returns the index of the balancer at an address.
func balancerAt(node netip.AddrPort) int {
	address := node.Addr().As4()
	return int(address[3]) - 1
}
