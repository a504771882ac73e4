// Package client is the lab's clients: they call front ends over their own sockets, have patience, leave early
// when told to, repeat by their habits, and note what they saw.
package client

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"havencart/lab/invariant"
	"havencart/lab/loadgen"
	"havencart/lab/worker"
)

// Seen is what a client got.
type Seen struct {
	Outcome    string // served, refused, failed, or empty: none
	RetryAfter time.Duration
	Took       time.Duration
	Bytes      int
}

// Pool keeps connections to one front end.
type Pool struct {
	Name    string // of the front end
	Address string
	Book    *invariant.History
	Grace   time.Duration // how much longer than its patience a client listens, to note a late answer

	mu   sync.Mutex
	free []*conn
}

type conn struct {
	net.Conn
	in *bufio.Reader
}

// Do makes one call and notes what came of it. An error says that no connection could be had: then nothing
// was asked.
func (p *Pool) Do(c loadgen.Call) (Seen, error) {
	n, err := p.get()
	if err != nil {
		return Seen{}, err
	}
	ask := p.Book.RequestSent(invariant.Request{
		ID: c.ID, Class: c.Class, Tenant: c.Tenant, IdempotencyKey: c.IdempotencyKey, FrontEnd: p.Name,
		Timeout: c.Timeout,
	})
	began := time.Now() // before the timer, so that a client that left took as long as it waits at least
	if c.DisconnectAfter > 0 {
		timer := time.AfterFunc(c.DisconnectAfter, func() { n.Close() })
		defer timer.Stop()
	}
	seen, err := p.exchange(n, ask, c)
	seen.Took = time.Since(began)
	if err != nil {
		n.Close()
		p.Book.RequestEnded(ask, c.DisconnectAfter > 0 && seen.Took >= c.DisconnectAfter)
		return seen, nil
	}
	if n.in.Buffered() > 0 { // more than one answer to one call
		p.Book.ResponseReceived(ask, "unasked", false)
		n.Close()
		return seen, nil
	}
	p.put(n)
	return seen, nil
}

// get returns a connection that stands. To find that out takes time, which no other client waits for.
func (p *Pool) get() (*conn, error) {
	for n := p.take(); n != nil; n = p.take() {
		if n.alive() {
			return n, nil
		}
		n.Close()
	}
	c, err := net.DialTimeout("tcp", p.Address, time.Second)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", p.Name, err)
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// take returns the idle connection that was used last, nil if there is none.
func (p *Pool) take() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.free) == 0 {
		return nil
	}
	n := p.free[len(p.free)-1]
	p.free = p.free[:len(p.free)-1]
	return n
}

// alive says whether an idle connection still stands.
func (n *conn) alive() bool {
	_ = n.SetReadDeadline(time.Now().Add(100 * time.Microsecond))
	_, err := n.in.Peek(1)
	var passing net.Error
	return errors.As(err, &passing) && passing.Timeout()
}

func (p *Pool) put(n *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free = append(p.free, n)
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.free {
		n.Close()
	}
	p.free = nil
}

func (p *Pool) exchange(n *conn, ask *invariant.Request, c loadgen.Call) (Seen, error) {
	_ = n.SetDeadline(time.Now().Add(c.Timeout + p.Grace))
	if _, err := n.Write(request(c)); err != nil {
		return Seen{}, err
	}
	r, err := http.ReadResponse(n.in, nil)
	if err != nil {
		return Seen{}, err
	}
	got, err := io.Copy(io.Discard, r.Body)
	r.Body.Close()
	seen := Seen{Outcome: r.Header.Get("Call-Outcome"), Bytes: int(got)}
	if ms, bad := strconv.Atoi(r.Header.Get("Retry-After-Ms")); bad == nil {
		seen.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	if id := r.Header.Get("Call-Id"); seen.Outcome != "invalid" && id != "" && id != c.ID {
		p.Book.ResponseReceived(ask, "another call's", false)
	}
	p.Book.ResponseReceived(ask, seen.Outcome, err == nil)
	if r.Close || err != nil {
		n.Close() // found dead when it is next taken
	}
	return seen, nil
}

func request(c loadgen.Call) []byte {
	body := append(worker.Body(c.Work, c.ResponseBytes), bytes.Repeat([]byte(" "), c.PaddingBytes)...)
	var out bytes.Buffer
	fmt.Fprintf(&out, "POST /call/%s HTTP/1.1\r\nHost: lab\r\nContent-Length: %d\r\nCall-Id: %s\r\nCall-Patience: %d\r\n",
		c.Function, len(body), c.ID, c.Timeout.Milliseconds())
	for _, h := range []struct{ name, value string }{
		{"Call-Class", c.Class},
		{"Call-Tenant", c.Tenant},
		{"Idempotency-Key", c.IdempotencyKey},
	} {
		if h.value != "" {
			fmt.Fprintf(&out, "%s: %s\r\n", h.name, h.value)
		}
	}
	if c.MemoryMB > 0 {
		fmt.Fprintf(&out, "Call-Memory: %g\r\nCall-Lanes: %d\r\nCall-Load: %v\r\n", c.MemoryMB, max(1, c.Concurrency),
			max(time.Millisecond, c.LoadTime))
	}
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}
