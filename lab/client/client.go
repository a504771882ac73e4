// Package client emulates clients. They send requests to front ends over sockets, time out, disconnect early if a
// request says so, retry by their policies, and record what they observe.
package client

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"havencart/lab/invariant"
	"havencart/lab/loadgen"
)

// Outcomes besides those of a regular response to the request. The invariant checker counts them as failed.
const (
	outcomeUnexpected     = "unasked"        // the client received bytes after the response
	outcomeWrongRequest   = "another call's" // the response is to another request
	outcomeInvalidRequest = "invalid"        // the front end found the request invalid; its response names no request
)

// Response is the response that a client received to one attempt.
type Response struct {
	Outcome    string        // served, refused or failed; empty without a response
	RetryAfter time.Duration // delay before a retry that the response advises; 0: none
	Duration   time.Duration // time from the sending of the request to the end of the attempt
	Bytes      int           // size of the body
}

// Pool sends requests to one front end and keeps the connections for reuse. It is safe for concurrent use.
type Pool struct {
	Name    string             // name of the front end
	Address string             // address of the front end, as host:port
	History *invariant.History // records requests and responses
	Grace   time.Duration      // time that a client waits beyond its timeout, so that a late response is recorded

	mu   sync.Mutex
	idle []*connection
}

// Do sends one request and records its outcome. It returns an error only if it cannot connect; then nothing was sent or
// recorded. If the connection ends early, the Response has no outcome.
func (p *Pool) Do(request loadgen.Request) (Response, error) {
	conn, err := p.connect()
	if err != nil {
		return Response{}, err
	}
	recorded := p.History.RequestSent(invariant.Request{
		ID:             request.ID,
		Class:          request.Class,
		Tenant:         request.Tenant,
		IdempotencyKey: request.IdempotencyKey,
		FrontEnd:       p.Name,
		Timeout:        request.Timeout,
	})
	sentAt := time.Now() // taken before the timer starts, so that Duration reaches DisconnectAfter if the timer fires
	if request.DisconnectAfter > 0 {
		timer := time.AfterFunc(request.DisconnectAfter, func() { _ = conn.Close() })
		defer timer.Stop()
	}
	response, err := p.exchange(conn, recorded, request)
	response.Duration = time.Since(sentAt)
	if err != nil {
		_ = conn.Close()
		disconnected := request.DisconnectAfter > 0 && response.Duration >= request.DisconnectAfter
		p.History.RequestEnded(recorded, disconnected)
		return response, nil
	}
	if conn.in.Buffered() > 0 {
		p.History.ResponseReceived(recorded, outcomeUnexpected, false)
		_ = conn.Close()
		return response, nil
	}
	p.release(conn)
	return response, nil
}

// connect returns an open connection, an idle one if possible. It does not hold the lock while it probes whether an
// idle connection is still open, which takes up to probeTime.
func (p *Pool) connect() (*connection, error) {
	for c := p.reuseIdle(); c != nil; c = p.reuseIdle() {
		if c.isOpen() {
			return c, nil
		}
		_ = c.Close()
	}
	c, err := dial(p.Address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", p.Name, err)
	}
	return c, nil
}

// reuseIdle removes the most recently used idle connection from the pool and returns it, or nil if there is none.
func (p *Pool) reuseIdle() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

// release returns a connection to the pool.
func (p *Pool) release(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// exchange sends a request, and receives and records its response. It returns an error if no response arrives.
func (p *Pool) exchange(conn *connection, recorded *invariant.Request, request loadgen.Request) (Response, error) {
	_ = conn.SetDeadline(time.Now().Add(request.Timeout + p.Grace))
	if _, err := conn.Write(encodeRequest(request)); err != nil {
		return Response{}, err
	}
	received, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		return Response{}, err
	}
	size, err := io.Copy(io.Discard, received.Body)
	_ = received.Body.Close()
	response := Response{Outcome: received.Header.Get("Call-Outcome"), Bytes: int(size)}
	if ms, bad := strconv.Atoi(received.Header.Get("Retry-After-Ms")); bad == nil {
		response.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	if isForOtherRequest(received, response.Outcome, request.ID) {
		p.History.ResponseReceived(recorded, outcomeWrongRequest, false)
	}
	p.History.ResponseReceived(recorded, response.Outcome, err == nil)
	if received.Close || err != nil {
		_ = conn.Close() // connect discards the closed connection
	}
	return response, nil
}

// isForOtherRequest reports whether a response belongs to a request with an identifier other than requestID.
func isForOtherRequest(received *http.Response, outcome, requestID string) bool {
	if outcome == outcomeInvalidRequest {
		return false
	}
	id := received.Header.Get("Call-Id")
	return id != "" && id != requestID
}
