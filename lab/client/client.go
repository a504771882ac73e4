// Package client is the laboratory's clients: they send requests to front ends over sockets of their own, time out,
// disconnect early when told to, retry by their policies, and record what they see.
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

// Outcomes recorded for what is no response to the request; the checker counts them as failed.
const (
	outcomeUnexpected     = "unasked"        // bytes after the response
	outcomeWrongRequest   = "another call's" // the response to another request
	outcomeInvalidRequest = "invalid"        // has no identifier
)

// Response is what a client received.
type Response struct {
	Outcome    string // served, refused, failed, or empty: none
	RetryAfter time.Duration
	Duration   time.Duration // from the request on
	Bytes      int           // of the body
}

// Pool keeps connections to one front end. It may be used by several goroutines.
type Pool struct {
	Name    string // of the front end
	Address string
	History *invariant.History
	Grace   time.Duration // how much longer than its timeout a client waits, to record a late response

	mu   sync.Mutex
	idle []*connection
}

// Do sends one request and records its outcome. An error says that there was no connection: then nothing was sent, and
// nothing recorded.
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
	sentAt := time.Now() // before the timer, so that a client that disconnects has waited at least that long
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

// connect returns an open connection. To find out that one is open takes time, during which no lock is held.
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

// reuseIdle returns the idle connection that was used last, nil if there is none.
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

// exchange sends a request and receives its response.
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
	if isForAnother(received, response.Outcome, request.ID) {
		p.History.ResponseReceived(recorded, outcomeWrongRequest, false)
	}
	p.History.ResponseReceived(recorded, response.Outcome, err == nil)
	if received.Close || err != nil {
		_ = conn.Close() // found closed when it is next taken
	}
	return response, nil
}

// isForAnother reports whether a response is to another request than the one with the identifier.
func isForAnother(received *http.Response, outcome, requestID string) bool {
	if outcome == outcomeInvalidRequest {
		return false
	}
	id := received.Header.Get("Call-Id")
	return id != "" && id != requestID
}
