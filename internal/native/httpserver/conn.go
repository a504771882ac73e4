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

// bufferSize is the size in bytes of a connection's read buffer and of its write buffer.
const bufferSize = 4 << 10

// Reasons for rejecting a request or connection, as sent to the client.
const (
	reasonTooSlow            = "too slow"
	reasonNotHTTP            = "no HTTP request"
	reasonHeaderTooLong      = "header too long"
	reasonTooManyConnections = "too many connections"
)

// errCloseAfterResponses stops the reading goroutine. The connection is closed after the responses in flight were sent.
var errCloseAfterResponses = errors.New("connection closes behind its responses")

// conn is a client connection. Its reading goroutine starts when the connection is admitted and ends at the end of the
// input. Its writing goroutine sends the responses in the order of the requests; it runs only while requests are in
// flight. The goroutine that ends last closes the connection.
type conn struct {
	server  *Server
	net     net.Conn
	handler Handler
	header  *headerLimit    // owned by the reading goroutine
	reader  *bufio.Reader   // owned by the reading goroutine; reads from header
	slots   chan struct{}   // semaphore of MaxPipelined slots: one for each request in flight, one for the next request
	ctx     context.Context // done when the client has disconnected or the connection has failed
	cancel  context.CancelFunc

	mu         sync.Mutex
	queue      []*pipelinedRequest // requests in flight, oldest first; at most MaxPipelined
	queueEmpty chan struct{}       // closed when queue becomes empty; nil unless the reading goroutine waits for that
	reading    bool                // the reading goroutine is running
	writing    bool                // the writing goroutine is running
	draining   bool                // no further requests are read; closed after the responses in flight
}

func newConn(s *Server, nc net.Conn) *conn {
	header := &headerLimit{source: nc, remaining: unlimited}
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{
		server:  s,
		net:     nc,
		header:  header,
		reader:  bufio.NewReaderSize(header, bufferSize),
		slots:   make(chan struct{}, s.cfg.MaxPipelined),
		ctx:     ctx,
		cancel:  cancel,
		reading: true,
	}
}

// abort closes the connection at once and cancels its requests in flight.
func (c *conn) abort() {
	c.cancel()
	_ = c.net.Close() // fails if the connection is already closed
}

// drain stops reading requests and has the connection closed after the responses in flight were sent.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	_ = c.net.SetReadDeadline(time.Now()) // unblocks the reading goroutine, which then ends
}

func (c *conn) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// reject sends a 503 response and closes the connection. It is used when the server has too many connections or is
// shutting down.
func (c *conn) reject() {
	defer func() { _ = c.net.Close() }()
	clientconn.SetWriteTimeout(c.net, c.server.cfg.WriteTimeout)
	out := bufio.NewWriter(c.net)
	response := Response{Outcome: Rejected, Reason: reasonTooManyConnections}
	if writeProblem(out, http.StatusServiceUnavailable, response, true) == nil {
		_ = out.Flush() // the connection is closed even if the response cannot be sent
	}
}

// read runs the reading goroutine.
func (c *conn) read() {
	clientWaits := c.readRequests()
	bothEnded := c.endReading()
	if !clientWaits {
		c.abort()
	}
	if bothEnded {
		c.close()
	}
}

// endReading records that the reading goroutine has ended. It reports whether the writing goroutine has also ended.
func (c *conn) endReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	return !c.writing
}

// close closes the connection and removes it from the server. It is called when both goroutines have ended.
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
			return c.clientWaitsAfter(err)
		}
		last, err := c.readRequest(receivedAt)
		if err != nil {
			return c.clientWaitsAfter(err)
		}
		if last {
			return true
		}
	}
}

// clientWaitsAfter reports whether the client still waits for responses after reading ended with err. A client that
// closed its side for writing counts as waiting only if KeepHalfClosed is set.
func (c *conn) clientWaitsAfter(err error) bool {
	if c.isDraining() || errors.Is(err, errCloseAfterResponses) {
		return true
	}
	return errors.Is(err, io.EOF) && c.server.cfg.KeepHalfClosed
}

// awaitRequest waits for the first byte of the next request and returns the time when it was received. The idle timeout
// does not apply while requests are in flight.
func (c *conn) awaitRequest() (time.Time, error) {
	for {
		c.setReadTimeout(c.server.cfg.IdleTimeout)
		_, err := c.reader.Peek(1)
		if err == nil {
			return time.Now(), nil
		}
		if !clientconn.IsTimeout(err) || !c.ignoresIdleTimeout() {
			return time.Time{}, err
		}
	}
}

// ignoresIdleTimeout reports whether the connection stays open after an idle timeout: it has requests in flight and is
// not draining.
func (c *conn) ignoresIdleTimeout() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue) > 0 && !c.draining
}

// setReadTimeout sets the read deadline, unless the connection is draining: drain has set a deadline that must stay.
func (c *conn) setReadTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining {
		_ = c.net.SetReadDeadline(time.Now().Add(timeout)) // fails on a closed connection; the next read then fails too
	}
}

// readRequest reads one request and passes it to the Handler. It reports whether the request is the connection's last.
func (c *conn) readRequest(receivedAt time.Time) (last bool, err error) {
	c.header.remaining = c.server.cfg.MaxHeaderBytes
	c.setReadTimeout(c.server.cfg.HeaderTimeout)
	r, err := http.ReadRequest(c.reader)
	c.header.remaining = unlimited
	if err != nil {
		return true, c.respondUnreadable(err)
	}
	isHTTP10 := !r.ProtoAtLeast(1, 1)
	pipelined := &pipelinedRequest{closeAfter: r.Close || isHTTP10, http10: isHTTP10}
	request, err := parse(r, receivedAt)
	switch {
	case err == nil:
		request.Body, err = c.readBody(r)
		pipelined.closeAfter = pipelined.closeAfter || err != nil // what follows may be unread body, not a new request
	case hasBody(r):
		pipelined.closeAfter = true // the body is left unread
	}
	if err == nil {
		pipelined.handle(c.handler, request)
	} else if err := pipelined.rejectInvalid(err); err != nil {
		return true, err
	}
	c.enqueue(pipelined)
	return pipelined.closeAfter, nil
}

// hasBody reports whether a body follows the header, or may follow once the client receives 100 Continue.
func hasBody(r *http.Request) bool {
	return r.ContentLength != 0 || r.Header.Get(headerExpect) != ""
}

// respondUnreadable queues the error response to input that could not be read as a request. It returns the error that
// stops the reading goroutine.
func (c *conn) respondUnreadable(err error) error {
	if c.header.err != nil {
		err = c.header.err
	}
	pipelined := &pipelinedRequest{closeAfter: true}
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

// readBody reads a request's body. If the client expects 100 Continue (RFC 9110, section 10.1.1), it is sent first.
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

// sendContinue sends 100 Continue after the responses to all earlier requests. The reading goroutine may then write to
// the connection itself, because the queue stays empty until the reading goroutine adds a request.
func (c *conn) sendContinue() error {
	if err := c.awaitEmptyQueue(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	clientconn.SetWriteTimeout(c.net, c.server.cfg.WriteTimeout)
	_, err := io.WriteString(c.net, lineContinue)
	return err
}

// awaitEmptyQueue waits until no request is in flight. It returns an error if the connection fails first. Only the
// reading goroutine adds requests, so the queue is still empty when awaitEmptyQueue returns.
func (c *conn) awaitEmptyQueue() error {
	queueEmpty := c.notifyQueueEmpty()
	if queueEmpty == nil {
		return nil
	}
	select {
	case <-queueEmpty:
		return nil
	case <-c.ctx.Done():
		return net.ErrClosed
	}
}

// notifyQueueEmpty returns a channel that is closed when the queue becomes empty, or nil if the queue is already empty.
func (c *conn) notifyQueueEmpty() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return nil
	}
	c.queueEmpty = make(chan struct{})
	return c.queueEmpty
}
