package rpcserver

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"sync"
	"time"

	"havencart/internal/clientconn"
	"havencart/internal/decide/connadmission"
	"havencart/internal/platform/rpcframe"
)

// readBuffer is small: there are many connections, and memory is short.
const readBuffer = 2 << 10

// mostFaults is how many requests in a row the Handler may turn down, as for an id that is in use, until the connection
// is closed. One may be a usual client's, to whose id another came first: what else it has open is not to be lost.
const mostFaults = 8

// conn is one client's connection. Its reading goroutine owns it; a second one writes answers and lives only while
// there are some.
type conn struct {
	s   *Server
	net net.Conn
	in  *bufio.Reader
	// faults are requests in a row that the Handler would not have; the reading goroutine's own.
	faults int

	mu      sync.Mutex
	open    map[uint32]*exchange // requests owed an answer, by number; bounded by MaxOpen
	last    uint32               // number of the last request
	asked   bool
	half    bool      // a part of a message has come
	taking  bool      // a message that came whole is being taken: it may become an open request
	since   time.Time // since when it stands so
	out     []byte    // answers to be written; bounded by MaxOut
	writing bool
	closing bool // closes behind what is to be written; nothing new is taken
	closed  bool
}

// exchange is a request that is owed an answer.
type exchange struct {
	leave func() // set once it was taken
}

func newConn(s *Server, nc net.Conn) *conn {
	return &conn{s: s, net: nc, in: bufio.NewReaderSize(nc, readBuffer), open: map[uint32]*exchange{}, since: time.Now()}
}

func (c *conn) standing(now time.Time) connadmission.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stands(now)
}

// stands is how the connection stands; the lock is held.
func (c *conn) stands(now time.Time) connadmission.Connection {
	open := len(c.open)
	if c.taking || c.writing {
		open++
	}
	return connadmission.Connection{InFlight: open, HasSentRequest: c.asked, PartialMessage: c.half, StateAge: now.Sub(c.since)}
}

// closeIf closes a connection on which nothing is open and nothing is to be written, if may says so of how it stands
// now: a message may have begun to come since it was looked at.
//
// A message that came whole counts as open until it is taken or turned down. It guards against a request that is read
// from a connection which is closed meanwhile: its client sends it anew under the same id, and would find that in use.
func (c *conn) closeIf(may func(connadmission.Connection) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stands := c.stands(time.Now()); c.closed || stands.InFlight > 0 || !may(stands) {
		return false
	}
	c.shut()
	return true
}

// closeBehind closes a connection behind what is to be written.
func (c *conn) closeBehind() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if !c.writing {
		c.shut()
	}
}

// shut closes the connection; the lock is held.
func (c *conn) shut() {
	c.closed, c.closing = true, true
	c.net.Close()
}

// read takes requests until the connection ends, and leaves what is open then.
func (c *conn) read() {
	reader := rpcframe.NewReader(c.in)
	for c.next(reader) {
	}
	c.mu.Lock()
	var left []func()
	for number, x := range c.open {
		left = append(left, x.leave)
		delete(c.open, number)
	}
	c.closing = true
	if !c.writing {
		c.shut()
	}
	c.mu.Unlock()
	for _, leave := range left {
		leave()
	}
	c.s.conns.Remove(c)
}

// next takes the next message and says whether to go on.
func (c *conn) next(reader *rpcframe.Reader) bool {
	if _, err := c.in.Peek(1); err != nil {
		return false
	}
	c.stand(true, false)
	m, err := reader.Next()
	c.stand(false, true)
	defer c.stand(false, false)
	switch {
	case errors.Is(err, rpcframe.ErrMalformed):
		c.refute(m.Number, err)
		return false
	case err != nil:
		return false
	case m.Cancelled != nil:
		c.revoke(m.Cancelled)
		return true
	}
	if err := c.request(m); err != nil {
		c.refute(m.Number, err)
		return false
	}
	return true
}

// stand notes that a message begins to come, that it is being taken, or that this is over.
func (c *conn) stand(half, taking bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.half, c.taking, c.since = half, taking, time.Now()
}

// refute tells a client that its request breaks the protocol, where it has a number.
func (c *conn) refute(number uint32, why error) {
	c.s.broken.Add(1)
	c.s.log.Info().Err(why).Msg("a client broke the protocol")
	if number > 0 {
		c.write(func(out []byte) []byte { return rpcframe.AppendError(out, number, "Malformed", "", "") })
	}
}

// request takes one request.
func (c *conn) request(m rpcframe.Message) error {
	if m.Method == heartbeat {
		c.beat(m)
		return nil
	}
	call, err := c.s.cfg.Rules.parse(m)
	if err != nil {
		return err
	}
	call.ReceivedAt = time.Now()
	x := &exchange{}
	c.mu.Lock()
	full, fresh := len(c.open) >= c.s.cfg.MaxOpen, m.Number > c.last
	if !full && fresh {
		c.last, c.asked = m.Number, true
		c.open[m.Number] = x
	}
	c.mu.Unlock()
	switch {
	case full:
		return broken("more than %d requests open", c.s.cfg.MaxOpen)
	case !fresh:
		return broken("number %d after %d", m.Number, c.last)
	}
	leave, err := c.s.handler.Handle(call, func(a Response) { c.answer(m.Number, x, a) })
	if err != nil {
		c.mu.Lock()
		delete(c.open, m.Number)
		c.mu.Unlock()
		if c.faults++; c.faults < mostFaults {
			c.refute(m.Number, err)
			return nil
		}
		return err
	}
	c.faults = 0
	c.mu.Lock()
	x.leave = leave
	c.mu.Unlock()
	return nil
}

func (c *conn) beat(m rpcframe.Message) {
	c.mu.Lock()
	c.last = max(c.last, m.Number)
	c.asked = true
	c.mu.Unlock()
	c.write(func(out []byte) []byte { return rpcframe.AppendTrue(out, m.Number, c.s.handler.Ready()) })
}

// revoke takes back requests: nobody waits for them. One that has its answer is none of these any longer.
func (c *conn) revoke(numbers []uint32) {
	for _, n := range numbers {
		c.mu.Lock()
		x := c.open[n]
		delete(c.open, n)
		c.mu.Unlock()
		if x != nil {
			x.leave()
		}
	}
}

// answer gives a request its final answer.
func (c *conn) answer(number uint32, x *exchange, a Response) {
	c.write(func(out []byte) []byte {
		if c.open[number] != x { // answered, left or taken back
			return out
		}
		delete(c.open, number)
		c.since = time.Now()
		switch {
		case a.Kind == Served:
			return rpcframe.AppendServed(out, number, a.Body)
		case a.Kind == Rejected && a.RetryAfter > 0:
			return rpcframe.AppendError(out, number, "Backoff", "after", strconv.FormatInt(a.RetryAfter.Milliseconds(), 10))
		case a.Kind == Rejected:
			return rpcframe.AppendError(out, number, "Backoff", "", "")
		}
		return rpcframe.AppendError(out, number, "Lost", "", "")
	})
}

// write adds what is to be written, and has it written. It never waits for the client.
func (c *conn) write(add func([]byte) []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.out = add(c.out)
	switch {
	case c.closed || len(c.out) == 0:
		c.out = nil
	case len(c.out) > c.s.cfg.MaxOut:
		c.out = nil
		c.shut() // it does not read
	case !c.writing:
		c.writing = true
		ready := time.Now()
		c.s.tasks.Go(func() { c.flush(ready) })
	}
}

// flush writes until there is nothing more to write; the first of it is ready since a time. How long that waited says
// how late the process is: what comes later waits for the client to take what was before it.
func (c *conn) flush(ready time.Time) {
	if c.s.cfg.Wrote != nil {
		c.s.cfg.Wrote(time.Since(ready))
	}
	var buf []byte
	for {
		c.mu.Lock()
		buf, c.out = c.out, buf[:0]
		if len(buf) == 0 || c.closed {
			c.writing, c.out = false, nil
			if c.closing && !c.closed {
				c.shut()
			}
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		clientconn.SetWriteTimeout(c.net, c.s.cfg.Write)
		if _, err := c.net.Write(buf); err != nil {
			c.mu.Lock()
			c.shut()
			c.mu.Unlock()
		}
	}
}
