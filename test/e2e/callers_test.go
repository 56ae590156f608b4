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
		}
		flow.Close()
		if err != nil {
			time.Sleep(retryPause)
		}
	}
}

const (
	// keepingCallers keep each of their flows until it ends, with a request in each
	// keepingInterval, and so use connections to back ends that leave until these stop.
	keepingCallers  = 12
	keepingInterval = 400 * time.Millisecond
	// keepingTime is how long a flow is kept at most: the balancers know it for longer.
	keepingTime = 50 * time.Second
)

// runKeepingCaller opens flows and keeps them until the context is canceled.
func (soak *soak) runKeepingCaller(ctx context.Context, number int) {
	for round := 0; ctx.Err() == nil; round++ {
		name := fmt.Sprintf("keep-%d-%d", number, round)
		flow, server, err := soak.openFlow("lending", name)
		began := time.Now()
		for request := 0; err == nil && ctx.Err() == nil && time.Since(began) < keepingTime; request++ {
			time.Sleep(keepingInterval)
			err = soak.sendRequest(flow, attempt{route: "lending", previousServer: server, body: fmt.Sprintf("%s-%d", name, request)})
		}
		flow.Close()
		if err != nil {
			time.Sleep(retryPause)
		}
	}
}

// sendRequest sends a request on an open flow.
func (soak *soak) sendRequest(flow *echonet.Flow, entry attempt) error {
	entry.at = time.Now()
	server, err := flow.Request(entry.body)
	entry.server = server
	soak.recordAttempt(entry, flow, err)
	return err
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

// sendRequests sends requests on an open flow until one fails or all are sent. The back end of every
// other flow closes it after the last response, before the client does.
func (soak *soak) sendRequests(ctx context.Context, flow *echonet.Flow, name, server, body string) {
	for request := range requestsPerFlow {
		time.Sleep(requestInterval)
		next := fmt.Sprintf("%s-%d", body, request)
		if request == requestsPerFlow-1 && flow.ID().Sequence%2 == 0 {
			next = echonet.ClosePrefix + next
		}
		if err := soak.sendRequest(flow, attempt{route: name, previousServer: server, body: next}); err != nil || ctx.Err() != nil {
			return
		}
	}
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
	entry.ended, entry.result, entry.id = time.Now(), outcomeOf(err), flow.ID()
	entry.flow = fmt.Sprintf("%s:%d-%s:443", soak.ip(3, 1), entry.id.Port, soakTargets[entry.route])
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
