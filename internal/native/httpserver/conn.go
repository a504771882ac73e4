package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"havencart/internal/clientconn"
)

// bufferSize, in bytes, is that of a connection's buffer for reading, and of one for writing.
const bufferSize = 4 << 10

// Reasons of invalid requests that are sent to the client.
const (
	reasonTooSlow            = "too slow"
	reasonNotHTTP            = "no HTTP request"
	reasonHeaderTooLong      = "header too long"
	reasonTooManyConnections = "too many connections"
)

// errCloseAfterResponses ends the reading of a connection whose responses in flight are still sent.
var errCloseAfterResponses = errors.New("connection closes behind its responses")

// conn is one client's connection. Its reading goroutine starts when it is admitted and ends with the input. A writing
// goroutine sends the responses in the order of the requests, and lives while there are some to send. Whichever ends
// last closes the connection.
type conn struct {
	server  *Server
	net     net.Conn
	handler Handler
	header  *headerLimit // the reading goroutine's
	in      *bufio.Reader
	slots   chan struct{}   // one element for each request in flight; full while MaxPipelined requests have no response
	ctx     context.Context // ends when the client disconnected or the connection failed
	cancel  context.CancelFunc

	mu       sync.Mutex
	queue    []*pipelinedRequest // requests without a response, oldest first; at most MaxPipelined
	drained  chan struct{}       // closed when queue becomes empty; nil unless the reading goroutine waits for that
	reading  bool                // the reading goroutine lives
	writing  bool                // the writing goroutine lives
	draining bool                // closes behind the responses in flight
}

func newConn(s *Server, nc net.Conn) *conn {
	header := &headerLimit{in: nc, remaining: unlimited}
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		server:  s,
		net:     nc,
		header:  header,
		in:      bufio.NewReaderSize(header, bufferSize),
		slots:   make(chan struct{}, s.cfg.MaxPipelined),
		ctx:     ctx,
		cancel:  cancel,
		reading: true,
	}
}

// abort closes the connection at once. The requests in flight on it are cancelled.
func (c *conn) abort() {
	c.cancel()
	_ = c.net.Close() // it may be closed already
}

// drain closes the connection once the responses in flight are sent.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	_ = c.net.SetReadDeadline(time.Now()) // wakes the reading goroutine, which then ends
}

func (c *conn) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// reject responds to a connection that is one too many, and closes it.
func (c *conn) reject() {
	defer func() { _ = c.net.Close() }()
	clientconn.SetWriteTimeout(c.net, c.server.cfg.WriteTimeout)
	out := bufio.NewWriter(c.net)
	response := Response{Outcome: Rejected, Reason: reasonTooManyConnections}
	if writeProblem(out, http.StatusServiceUnavailable, response, true) == nil {
		_ = out.Flush() // the client is rejected, whether it learns why or not
	}
}

// read is the reading goroutine.
func (c *conn) read() {
	wanted := c.readRequests()
	isLast := c.endReading()
	if !wanted {
		c.abort()
	}
	if isLast {
		c.close()
	}
}

// endReading notes the end of the reading goroutine. It reports whether the writing goroutine has ended, too.
func (c *conn) endReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	return !c.writing
}

// close closes a connection whose goroutines have ended.
func (c *conn) close() {
	c.abort()
	c.server.conns.Remove(c)
}

// readRequests reads requests until the input ends. It reports whether the client still waits for responses.
func (c *conn) readRequests() bool {
	for {
		select {
		case c.slots <- struct{}{}:
		case <-c.ctx.Done():
			return false
		}
		receivedAt, err := c.awaitRequest()
		if err != nil {
			return c.waitsAfter(err)
		}
		last, err := c.readRequest(receivedAt)
		if err != nil {
			return c.waitsAfter(err)
		}
		if last {
			return true
		}
	}
}

// waitsAfter reports whether the client still waits for responses after reading ended with err. One that closed its side
// for writing may or may not.
func (c *conn) waitsAfter(err error) bool {
	if c.isDraining() || errors.Is(err, errCloseAfterResponses) {
		return true
	}
	return errors.Is(err, io.EOF) && c.server.cfg.KeepHalfClosed
}

// awaitRequest waits for the first byte of the next request and returns the time of its receipt. The idle timeout does
// not end a connection that has responses in flight.
func (c *conn) awaitRequest() (time.Time, error) {
	for {
		c.setReadTimeout(c.server.cfg.IdleTimeout)
		_, err := c.in.Peek(1)
		if err == nil {
			return time.Now(), nil
		}
		if !clientconn.IsTimeout(err) || !c.outlivesIdleTimeout() {
			return time.Time{}, err
		}
	}
}

func (c *conn) outlivesIdleTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0 && !c.draining
}

// setReadTimeout sets the time within which reading must succeed, unless the connection is draining: that has ended it.
func (c *conn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		_ = c.net.SetReadDeadline(time.Now().Add(timeout)) // fails on a closed connection, as reading will
	}
}

// readRequest reads one request and passes it to the Handler. It reports whether it is the connection's last.
func (c *conn) readRequest(receivedAt time.Time) (last bool, err error) {
	c.header.remaining = c.server.cfg.MaxHeaderBytes
	c.setReadTimeout(c.server.cfg.HeaderTimeout)
	r, err := http.ReadRequest(c.in)
	c.header.remaining = unlimited
	if err != nil {
		return true, c.respondUnreadable(err)
	}
	isHTTP10 := !r.ProtoAtLeast(1, 1)
	pipelined := &pipelinedRequest{close: r.Close || isHTTP10, http10: isHTTP10}
	request, err := parse(r, receivedAt)
	switch {
	case err == nil:
		request.Body, err = c.readBody(r)
		pipelined.close = pipelined.close || err != nil // the rest of the body cannot be told from the next request
	case hasBody(r):
		pipelined.close = true // the body is left unread
	}
	if err == nil {
		pipelined.handle(c.handler, request)
	} else if err := pipelined.rejectInvalid(err); err != nil {
		return true, err
	}
	c.enqueue(pipelined)
	return pipelined.close, nil
}

// hasBody reports whether a body follows the header, or may follow once the client was told to continue.
func hasBody(r *http.Request) bool {
	return r.ContentLength != 0 || r.Header.Get(headerExpect) != ""
}

// respondUnreadable responds to bytes that are no request. It returns the error that ends the reading.
func (c *conn) respondUnreadable(err error) error {
	if c.header.err != nil {
		err = c.header.err
	}
	pipelined := &pipelinedRequest{close: true}
	switch {
	case errors.Is(err, errHeaderTooLong):
		pipelined.setInvalid(http.StatusRequestHeaderFieldsTooLarge, reasonHeaderTooLong)
	case clientconn.IsTimeout(err):
		pipelined.setInvalid(http.StatusRequestTimeout, reasonTooSlow)
	case isDisconnect(err):
		return err
	default:
		pipelined.setInvalid(http.StatusBadRequest, reasonNotHTTP)
	}
	c.enqueue(pipelined)
	return errCloseAfterResponses
}

func isDisconnect(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed)
}

// readBody reads a request's body, after telling a client to continue that waits for that (RFC 9110, section 10.1.1).
func (c *conn) readBody(r *http.Request) ([]byte, error) {
	if r.ContentLength > int64(c.server.cfg.MaxBodyBytes) {
		return nil, bodyTooLarge(c.server.cfg.MaxBodyBytes)
	}
	if expect := r.Header.Get(headerExpect); expect != "" {
		if !strings.EqualFold(expect, "100-continue") {
			return nil, &requestError{http.StatusExpectationFailed, "only 100-continue can be expected"}
		}
		if r.ContentLength != 0 {
			if err := c.sendContinue(); err != nil {
				return nil, err
			}
		}
	}
	c.setReadTimeout(c.server.cfg.BodyTimeout)
	return readBody(r, c.server.cfg.MaxBodyBytes)
}

// sendContinue sends 100 Continue once the responses to earlier requests are sent. The reading goroutine may write then:
// nothing is queued until it queues it.
func (c *conn) sendContinue() error {
	if err := c.awaitDrained(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clientconn.SetWriteTimeout(c.net, c.server.cfg.WriteTimeout)
	_, err := io.WriteString(c.net, lineContinue)
	return err
}

// awaitDrained waits until no response is in flight, or fails if the connection does. Only the reading goroutine queues
// requests, so none is added meanwhile.
func (c *conn) awaitDrained() error {
	drained := c.notifyDrained()
	if drained == nil {
		return nil
	}
	select {
	case <-drained:
		return nil
	case <-c.ctx.Done():
		return net.ErrClosed
	}
}

// notifyDrained returns a channel that is closed when the queue becomes empty, nil if it is.
func (c *conn) notifyDrained() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return nil
	}
	c.drained = make(chan struct{})
	return c.drained
}
