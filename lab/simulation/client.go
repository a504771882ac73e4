package simulation

import (
	"fmt"
	"time"

	"havencart/internal/gateway"
	"havencart/internal/native/httpserver"
	"havencart/lab/invariant"
	"havencart/lab/loadgen"
	"havencart/lab/worker"
)

// Outcomes of a client's request, in addition to the kinds of final responses.
const (
	outcomeUnreachable    = "unreachable"
	outcomeConnectionLost = ""
	outcomeDisconnected   = "left" // name of the outcome in stored results
)

// clientAttempt is one attempt at a client's request. Each retry by the client is another attempt.
type clientAttempt struct {
	sim            *Simulation
	request        loadgen.Request
	baseID         string // identifier of the request, without the number of the attempt
	number         int
	frontEnd       *frontEnd
	recorded       *invariant.Request // entry of the attempt in the event history
	gatewayRequest *gateway.Request   // nil until the attempt reaches the front end
	ended          bool               // the client no longer waits for a response
}

// scheduleNextRequest draws the next request and schedules its first attempt.
func (s *Simulation) scheduleNextRequest() {
	at, request, more := s.source.Next()
	if !more {
		return
	}
	frontEndNumber := s.rng.IntN(len(s.frontEnds))
	s.clock.After(at-s.clock.Now(), func() {
		s.scheduleNextRequest()
		s.sendRequest(request, request.ID, frontEndNumber, 0)
	})
}

// sendRequest sends one attempt of a request to the front end with the given number, modulo the number of front ends.
func (s *Simulation) sendRequest(request loadgen.Request, baseID string, frontEndNumber, number int) {
	a := &clientAttempt{
		sim:      s,
		request:  request,
		baseID:   baseID,
		number:   number,
		frontEnd: s.frontEnds[frontEndNumber%len(s.frontEnds)],
	}
	a.request.ID = fmt.Sprintf("%s.%d", baseID, number)
	if !a.frontEnd.alive {
		a.end(outcomeUnreachable, 0)
		return
	}
	a.recorded = s.history.RequestSent(invariant.Request{
		ID:             a.request.ID,
		Class:          request.Class,
		Tenant:         request.Tenant,
		IdempotencyKey: request.IdempotencyKey,
		FrontEnd:       a.frontEnd.name,
		Timeout:        request.Timeout,
	})
	sentAt, incarnation := s.clock.Now(), a.frontEnd.incarnation
	s.clock.After(s.network.Delay(), func() { a.reachFrontEnd(sentAt, incarnation) })
	if request.DisconnectAfter > 0 {
		s.clock.After(request.DisconnectAfter, a.disconnect)
	}
}

// reachFrontEnd delivers the request to its front end, as the front end's HTTP server would.
func (a *clientAttempt) reachFrontEnd(sentAt time.Duration, incarnation int) {
	if a.ended {
		return
	}
	if !a.frontEnd.isRunning(incarnation) {
		a.connectionLost()
		return
	}
	r := gateway.NewRequestWithCallback(a.handleResponse)
	r.ID = a.request.ID
	r.IdempotencyKey = a.request.IdempotencyKey
	r.StartedAt = sentAt
	r.Body = worker.Body(a.request.Work, a.request.ResponseBytes)
	err := a.sim.catalog.Resolve(&httpserver.Request{
		Function:    a.request.Function,
		Class:       a.request.Class,
		Tenant:      a.request.Tenant,
		Timeout:     a.request.Timeout,
		MemoryMB:    a.request.MemoryMB,
		Concurrency: a.request.Concurrency,
		LoadTime:    a.request.LoadTime,
	}, r)
	if err != nil {
		panic(err) // impossible: the request was generated from the same settings
	}
	a.gatewayRequest = r
	a.sim.functionNames[gateway.FunctionID(r.Replica.Function)] = r.Replica.Function
	a.frontEnd.clientAttempts = append(a.frontEnd.clientAttempts, a)
	a.frontEnd.requestReceived(r)
}

// handleResponse is called with the final response, within an event of the front end. The response reaches the client
// after the network's delay.
func (a *clientAttempt) handleResponse(response gateway.FinalResponse) {
	a.sim.recordTrace(traceFinalResponse+a.request.ID, uint64(response.Kind))
	a.sim.clock.After(a.sim.network.Delay(), func() {
		if a.ended {
			return
		}
		a.sim.history.ResponseReceived(a.recorded, response.Kind.String(), true)
		a.end(response.Kind.String(), response.RetryAfter)
	})
}

// disconnect closes the client's connection if there is no response yet. The front end is notified after the network's
// delay.
func (a *clientAttempt) disconnect() {
	if a.ended {
		return
	}
	a.ended = true
	a.sim.history.RequestEnded(a.recorded, true)
	a.sim.outcomes[outcomeDisconnected]++
	incarnation := a.frontEnd.incarnation
	a.sim.clock.After(a.sim.network.Delay(), func() {
		if a.frontEnd.isRunning(incarnation) && a.gatewayRequest != nil {
			a.frontEnd.handleEvent(func(now time.Duration) { a.frontEnd.gateway.ClientDisconnected(now, a.gatewayRequest) })
		}
	})
}

// connectionLost ends an attempt whose front end was killed.
func (a *clientAttempt) connectionLost() {
	if !a.ended {
		a.sim.history.RequestEnded(a.recorded, false)
		a.end(outcomeConnectionLost, 0)
	}
}

// end ends an attempt. If the client's retry policy allows another attempt, it is sent to the next front end.
func (a *clientAttempt) end(outcome string, retryAfter time.Duration) {
	a.ended = true
	wait, retry := a.request.Retry(a.number, outcome, retryAfter)
	if !retry || a.request.DisconnectAfter > 0 {
		a.sim.outcomes[outcome]++
		return
	}
	a.sim.clock.After(wait, func() { a.sim.sendRequest(a.request, a.baseID, a.frontEnd.number+1, a.number+1) })
}
