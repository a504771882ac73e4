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

// Outcomes of a client's request beside those of a final response.
const (
	outcomeUnreachable    = "unreachable"
	outcomeConnectionLost = ""
	outcomeDisconnected   = "left" // stored in results by this name
)

// clientAttempt is one attempt of a client's request.
type clientAttempt struct {
	s        *Simulation
	request  loadgen.Request
	firstID  string // of the request, without the attempt's number
	number   int
	front    *frontEnd
	recorded *invariant.Request
	admitted *gateway.Request // nil until it reaches the front end
	ended    bool             // for the client
}

// scheduleNextRequest draws the next request and sends it at its time.
func (s *Simulation) scheduleNextRequest() {
	at, request, more := s.source.Next()
	if !more {
		return
	}
	frontEnd := s.rng.IntN(len(s.fronts))
	s.clock.After(at-s.clock.Now(), func() {
		s.scheduleNextRequest()
		s.sendRequest(request, request.ID, frontEnd, 0)
	})
}

// sendRequest sends one attempt of a request to a front end by its number.
func (s *Simulation) sendRequest(request loadgen.Request, firstID string, frontEnd, number int) {
	t := &clientAttempt{
		s:       s,
		request: request,
		firstID: firstID,
		number:  number,
		front:   s.fronts[frontEnd%len(s.fronts)],
	}
	t.request.ID = fmt.Sprintf("%s.%d", firstID, number)
	if !t.front.alive {
		t.end(outcomeUnreachable, 0)
		return
	}
	t.recorded = s.history.RequestSent(invariant.Request{
		ID:             t.request.ID,
		Class:          request.Class,
		Tenant:         request.Tenant,
		IdempotencyKey: request.IdempotencyKey,
		FrontEnd:       t.front.name,
		Timeout:        request.Timeout,
	})
	sentAt, incarnation := s.clock.Now(), t.front.incarnation
	s.clock.After(s.network.Delay(), func() { t.reachFrontEnd(sentAt, incarnation) })
	if request.DisconnectAfter > 0 {
		s.clock.After(request.DisconnectAfter, t.disconnect)
	}
}

// reachFrontEnd hands the request to its front end, as its HTTP server does.
func (t *clientAttempt) reachFrontEnd(sentAt time.Duration, incarnation int) {
	if t.ended {
		return
	}
	if !t.front.runs(incarnation) {
		t.connectionLost()
		return
	}
	r := gateway.NewRequestWithCallback(t.responded)
	r.ID = t.request.ID
	r.IdempotencyKey = t.request.IdempotencyKey
	r.StartedAt = sentAt
	r.Body = worker.Body(t.request.Work, t.request.ResponseBytes)
	err := t.s.catalog.Resolve(&httpserver.Request{
		Function:    t.request.Function,
		Class:       t.request.Class,
		Tenant:      t.request.Tenant,
		Timeout:     t.request.Timeout,
		MemoryMB:    t.request.MemoryMB,
		Concurrency: t.request.Concurrency,
		LoadTime:    t.request.LoadTime,
	}, r)
	if err != nil {
		panic(err) // the load is generated from the settings
	}
	t.admitted = r
	t.s.functionNames[gateway.FunctionID(r.Replica.Function)] = r.Replica.Function
	t.front.requests = append(t.front.requests, t)
	t.front.requestReceived(r)
}

// responded receives the final response within the front end's event; it reaches the client later.
func (t *clientAttempt) responded(f gateway.FinalResponse) {
	t.s.recordTrace(traceFinalResponse+t.request.ID, uint64(f.Kind))
	t.s.clock.After(t.s.network.Delay(), func() {
		if t.ended {
			return
		}
		t.s.history.ResponseReceived(t.recorded, f.Kind.String(), true)
		t.end(f.Kind.String(), f.RetryAfter)
	})
}

// disconnect closes the client's connection before a response. The front end learns of it later.
func (t *clientAttempt) disconnect() {
	if t.ended {
		return
	}
	t.ended = true
	t.s.history.RequestEnded(t.recorded, true)
	t.s.outcomes[outcomeDisconnected]++
	incarnation := t.front.incarnation
	t.s.clock.After(t.s.network.Delay(), func() {
		if t.front.runs(incarnation) && t.admitted != nil {
			t.front.do(func(now time.Duration) { t.front.gateway.ClientDisconnected(now, t.admitted) })
		}
	})
}

// connectionLost ends an attempt whose front end was killed.
func (t *clientAttempt) connectionLost() {
	if !t.ended {
		t.s.history.RequestEnded(t.recorded, false)
		t.end(outcomeConnectionLost, 0)
	}
}

// end ends an attempt, and sends another one to the next front end by the client's retry policy.
func (t *clientAttempt) end(outcome string, retryAfter time.Duration) {
	t.ended = true
	wait, retry := t.request.Retry(t.number, outcome, retryAfter)
	if !retry || t.request.DisconnectAfter > 0 {
		t.s.outcomes[outcome]++
		return
	}
	t.s.clock.After(wait, func() { t.s.sendRequest(t.request, t.firstID, t.front.number+1, t.number+1) })
}
