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

// conn is one client's connection. Its reading goroutine owns it; a second one writes answers in the order of
// the calls, and lives only while there are some.
type conn struct {
	s       *Server
	net     net.Conn
	handler Handler
	limit   *limited
	in      *bufio.Reader
	slots   chan struct{}   // calls that may be in hand
	ctx     context.Context // ends when the client left, or the connection broke
	cancel  context.CancelFunc

	mu        sync.Mutex
	queue     []*exchange // calls in hand, oldest first
	writing   bool
	drained   chan struct{} // closed when the queue runs empty, if somebody waits for that
	reading   bool          // the reading goroutine is at work
	finishing bool          // closes behind the answers in hand
}

// exchange is one call and its answer on a connection.
type exchange struct {
	pending Pending // nil where the answer is known
	answer  Response
	status  int // where the answer is known
	close   bool
	http10  bool
}

func newConn(s *Server, nc net.Conn) *conn {
	limit := &limited{in: nc, left: -1}
	ctx, cancel := context.WithCancel(context.Background())
	return &conn{s: s, net: nc, limit: limit, in: bufio.NewReaderSize(limit, 4<<10), reading: true,
		slots: make(chan struct{}, s.cfg.Pipeline), ctx: ctx, cancel: cancel}
}

// abort breaks the connection: clients' calls in hand are left.
func (c *conn) abort() {
	c.cancel()
	c.net.Close()
}

// finish lets the answers in hand go out and closes behind them.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.finishing = true
	_ = c.net.SetReadDeadline(time.Now()) // wakes the reader, which then ends
}

// turnAway answers a connection that is one too many.
func (c *conn) turnAway() {
	defer c.net.Close()
	clientconn.SetWriteTimeout(c.net, c.s.cfg.Write)
	out := bufio.NewWriter(c.net)
	if writeProblem(out, http.StatusServiceUnavailable, Response{Outcome: Rejected, Reason: "too many connections"}, true) == nil {
		_ = out.Flush()
	}
}

// read reads calls until the client is done, and ends the connection.
func (c *conn) read() {
	keep := c.calls()
	c.mu.Lock()
	c.reading = false
	idle := !c.writing
	c.mu.Unlock()
	if !keep {
		c.abort()
	}
	if idle {
		c.end()
	}
}

// end closes a connection whose answers are all written.
func (c *conn) end() {
	c.abort()
	c.s.conns.Remove(c)
}

// calls reads calls one after another. It returns whether the answers in hand are still wanted.
func (c *conn) calls() bool {
	for {
		select {
		case c.slots <- struct{}{}:
		case <-c.ctx.Done():
			return false
		}
		began, err := c.await()
		if err != nil {
			return c.wantedAfter(err)
		}
		last, err := c.call(began)
		if err != nil {
			return c.wantedAfter(err)
		}
		if last {
			return true
		}
	}
}

// wantedAfter judges the end of reading: a client that closed, or closed its side only, or that was too slow.
func (c *conn) wantedAfter(err error) bool {
	c.mu.Lock()
	finishing := c.finishing
	c.mu.Unlock()
	return finishing || errors.Is(err, errLast) || errors.Is(err, io.EOF) && c.s.cfg.KeepHalves
}

// errLast is returned where the connection is to be closed behind the answers in hand.
var errLast = errors.New("last call")

// await waits for the first byte of the next call.
func (c *conn) await() (time.Time, error) {
	for {
		c.readBy(c.s.cfg.Idle)
		_, err := c.in.Peek(1)
		if err == nil {
			return time.Now(), nil
		}
		c.mu.Lock()
		busy, finishing := len(c.queue) > 0, c.finishing
		c.mu.Unlock()
		if !clientconn.IsTimeout(err) || finishing || !busy {
			return time.Time{}, err
		}
	}
}

// readBy sets the time by which reading must go on, unless the connection is finishing.
func (c *conn) readBy(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.finishing {
		_ = c.net.SetReadDeadline(time.Now().Add(d))
	}
}

// call reads one call and hands it over. It returns whether it is the connection's last.
func (c *conn) call(began time.Time) (last bool, err error) {
	c.limit.left = c.s.cfg.MaxHeader
	c.readBy(c.s.cfg.Header)
	r, err := http.ReadRequest(c.in)
	c.limit.left = -1
	if err != nil {
		return true, c.unreadable(err)
	}
	x := &exchange{close: r.Close || !r.ProtoAtLeast(1, 1), http10: !r.ProtoAtLeast(1, 1)}
	call, err := parse(r, began)
	if err != nil && (r.ContentLength != 0 || r.Header.Get("Expect") != "") {
		x.close = true // its body is left unread
	}
	if err == nil {
		call.Body, err = c.body(r)
		x.close = x.close || err != nil // what is left of the body cannot be told from the next call
	}
	var p *problem
	switch {
	case errors.As(err, &p):
		x.status, x.answer = p.status, Response{Outcome: Invalid, Reason: p.why}
	case clientconn.IsTimeout(err):
		x.status, x.answer = http.StatusRequestTimeout, Response{Outcome: Invalid, Reason: "too slow"}
	case err != nil:
		return true, err
	default:
		if x.pending, err = c.handler.Take(call); err != nil {
			x.status, x.answer = http.StatusBadRequest, Response{Outcome: Invalid, Reason: err.Error()}
		}
	}
	c.push(x)
	return x.close, nil
}

// unreadable answers bytes that are no request, and ends the connection behind it.
func (c *conn) unreadable(err error) error {
	if c.limit.err != nil {
		err = c.limit.err
	}
	x := &exchange{status: http.StatusBadRequest, close: true, answer: Response{Outcome: Invalid, Reason: "no HTTP request"}}
	switch {
	case errors.Is(err, errHeaderTooLong):
		x.status, x.answer.Reason = http.StatusRequestHeaderFieldsTooLarge, "header too long"
	case clientconn.IsTimeout(err):
		x.status, x.answer.Reason = http.StatusRequestTimeout, "too slow"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return err
	}
	c.push(x)
	return errLast
}

// body reads a call's body, after telling a client that waits for that to go on.
func (c *conn) body(r *http.Request) ([]byte, error) {
	if r.ContentLength > int64(c.s.cfg.MaxBody) {
		return nil, tooLarge(c.s.cfg.MaxBody)
	}
	if expect := r.Header.Get("Expect"); expect != "" {
		if !strings.EqualFold(expect, "100-continue") {
			return nil, &problem{http.StatusExpectationFailed, "only 100-continue can be expected"}
		}
		if r.ContentLength != 0 {
			if err := c.goOn(); err != nil {
				return nil, err
			}
		}
	}
	c.readBy(c.s.cfg.Body)
	return body(r, c.s.cfg.MaxBody)
}

// goOn sends 100 Continue once the answers of earlier calls are out.
func (c *conn) goOn() error {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			break
		}
		drained := make(chan struct{})
		c.drained = drained
		c.mu.Unlock()
		select {
		case <-drained:
		case <-c.ctx.Done():
			return net.ErrClosed
		}
	}
	defer c.mu.Unlock()
	clientconn.SetWriteTimeout(c.net, c.s.cfg.Write)
	_, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// push lines a call up for its answer and sees that somebody writes it.
func (c *conn) push(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, x)
	if !c.writing {
		c.writing = true
		c.s.tasks.Go(c.write)
	}
}

// first is the call whose answer is next; without one the writing goroutine is to end, and the connection with
// it where nothing more is read.
func (c *conn) first() (x *exchange, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return c.queue[0], false
	}
	c.writing = false
	return nil, !c.reading
}

func (c *conn) pop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue[0] = nil
	c.queue = c.queue[1:]
	if len(c.queue) == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
	<-c.slots
}

// writers keeps buffers for writing: a connection has one only while it answers.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, 4<<10) }}

// write answers the calls in hand, in their order. Once the client is gone it leaves them.
func (c *conn) write() {
	out := writers.Get().(*bufio.Writer)
	out.Reset(c.net)
	defer func() {
		out.Reset(nil)
		writers.Put(out)
	}()
	for {
		x, over := c.first()
		if over {
			c.end()
		}
		if x == nil {
			return
		}
		c.settle(x, out)
		c.pop()
	}
}

// settle writes one answer, or leaves its call.
func (c *conn) settle(x *exchange, out *bufio.Writer) {
	status := x.status
	if x.pending != nil {
		var here bool
		if x.answer, here = x.pending.Wait(c.ctx.Done()); !here {
			x.pending.Leave()
			return
		}
		status = x.answer.status()
	}
	c.mu.Lock()
	last := x.close || c.finishing && len(c.queue) == 1
	c.mu.Unlock()
	clientconn.SetWriteTimeout(c.net, c.s.cfg.Write)
	if err := c.send(x, out, status, last); err != nil {
		if x.pending != nil {
			x.pending.Leave()
		}
		c.abort()
	}
}

func (c *conn) send(x *exchange, out *bufio.Writer, status int, last bool) error {
	if x.answer.Outcome != Served {
		if err := writeProblem(out, status, x.answer, last); err != nil {
			return err
		}
		return out.Flush()
	}
	if x.answer.Stream != nil {
		return c.sendStream(x, out, last)
	}
	x.answer.Length = int64(len(x.answer.Body))
	if err := writeHead(out, x.answer, last, false); err != nil {
		return err
	}
	if _, err := out.Write(x.answer.Body); err != nil {
		return err
	}
	return out.Flush()
}

// sendStream passes an answer on part by part; each part must go out within the time for writing.
func (c *conn) sendStream(x *exchange, out *bufio.Writer, last bool) error {
	chunked := x.answer.Length < 0 && !x.http10
	if err := writeHead(out, x.answer, last || x.answer.Length < 0 && x.http10, chunked); err != nil {
		return err
	}
	left := x.answer.Length
	for {
		part, err := x.answer.Stream.Next(c.ctx, c.s.cfg.Stall)
		if err != nil {
			return err
		}
		if part == nil {
			break
		}
		left -= int64(len(part))
		if x.answer.Length >= 0 && left < 0 {
			return errors.New("the worker's answer is longer than it said")
		}
		clientconn.SetWriteTimeout(c.net, c.s.cfg.Write)
		if err := writePart(out, part, chunked); err != nil {
			return err
		}
	}
	if x.answer.Length >= 0 && left != 0 {
		return errors.New("the worker's answer is shorter than it said")
	}
	if chunked {
		if _, err := out.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	return out.Flush()
}
