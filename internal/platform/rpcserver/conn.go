package rpcserver

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"havencart/internal/decide/connadmission"
	"havencart/internal/platform/rpcframe"
	"havencart/internal/socket"
)

// readBufferSize, in bytes, is small: there are many connections, and memory is scarce.
const readBufferSize = 2 << 10

// maxConsecutiveRejections is how many requests in a row the Handler may reject as breaking the protocol, as for an id
// that is in use, until the connection is closed. One may be a well-behaved client's, whose id another client used
// first: the other requests on its connection must not be lost.
const maxConsecutiveRejections = 8

// conn is one client's connection. Its reading goroutine starts when it is admitted and ends with the input; a writing
// goroutine lives while there are responses to write.
type conn struct {
	server    *Server
	netConn   net.Conn
	arrivals  *socket.ArrivalConn // owned by the reading goroutine, as in
	bufReader *bufio.Reader       // of received
	// consecutiveRejections are requests in a row that the Handler rejected. The reading goroutine owns it.
	consecutiveRejections int

	mu             sync.Mutex
	inFlight       map[uint32]*pendingRequest // requests owed a response, by number; at most MaxInFlight
	lastNumber     uint32                     // of the last request
	hasSentRequest bool
	input          inputState
	stateSince     time.Time // when input changed or a response was queued
	output         []byte    // responses not yet passed to the system; beyond MaxQueuedBytes the connection is closed
	writing        bool      // the writing goroutine lives
	lifecycle      lifecycle
}

// inputState is what the reading goroutine does.
type inputState int

const (
	inputIdle     inputState = iota // waits for a message
	inputPartial                    // has read a part of a message
	inputComplete                   // handles a whole message, which may become a request in flight
)

// lifecycle is the state of a connection. It only goes forward.
type lifecycle int

const (
	lifecycleOpen     lifecycle = iota
	lifecycleDraining           // closes behind the queued responses
	lifecycleClosed
)

// pendingRequest is a request that is owed a response.
type pendingRequest struct {
	cancel func() // nil until the Handler returned
}

func newConn(s *Server, netConn net.Conn) *conn {
	arrivals := &socket.ArrivalConn{Conn: netConn}
	return &conn{
		server: s, netConn: netConn, arrivals: arrivals, bufReader: bufio.NewReaderSize(arrivals, readBufferSize), inFlight: map[uint32]*pendingRequest{},
		stateSince: time.Now(),
	}
}

// snapshot returns the state by which it is decided whether to close the connection.
func (c *conn) snapshot(now time.Time) connadmission.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshotLocked(now)
}

// snapshotLocked is snapshot for a caller that holds the lock.
func (c *conn) snapshotLocked(now time.Time) connadmission.Connection {
	inFlight := len(c.inFlight)
	if c.input == inputComplete || c.writing {
		inFlight++
	}
	return connadmission.Connection{
		InFlight: inFlight, HasSentRequest: c.hasSentRequest, PartialMessage: c.input == inputPartial,
		StateAge: now.Sub(c.stateSince),
	}
}

// closeIf closes a connection that has nothing in flight and nothing to write, if permits approves its state now: a
// message may have begun to arrive since the caller looked at it. It reports whether it closed the connection.
//
// A message that was received whole counts as in flight until it is handled or rejected. Otherwise a request could be
// read from a connection that is closed meanwhile: its client would send it again under the same id, which is in use. And
// one that the system has received, and that was not read yet, keeps the connection open: its close would lose it.
func (c *conn) closeIf(permits func(connadmission.Connection) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle == lifecycleClosed {
		return false
	}
	state := c.snapshotLocked(time.Now())
	if state.InFlight > 0 || !permits(state) || socket.HasUnread(c.netConn) {
		return false
	}
	c.closeLocked()
	return true
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lifecycle == lifecycleClosed
}

// drain closes the connection once what is queued is written.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainLocked()
}

func (c *conn) drainLocked() {
	if c.lifecycle == lifecycleOpen {
		c.lifecycle = lifecycleDraining
	}
	if !c.writing {
		c.closeLocked()
	}
}

// closeLocked closes the connection at once. The reading goroutine ends by that.
func (c *conn) closeLocked() {
	c.lifecycle = lifecycleClosed
	_ = c.netConn.Close() // nothing is done with the connection after this
}

// read handles messages until the input ends, and then cancels what is in flight.
func (c *conn) read() {
	reader := rpcframe.NewReader(c.bufReader)
	for c.readMessage(reader) {
	}
	for _, pending := range c.endInput() {
		pending.cancel()
	}
	c.server.conns.Remove(c)
}

// endInput drains the connection and returns the requests that were in flight: their responses are no longer wanted.
func (c *conn) endInput() []*pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var abandoned []*pendingRequest
	for number, pending := range c.inFlight {
		abandoned = append(abandoned, pending)
		delete(c.inFlight, number)
	}
	c.drainLocked()
	return abandoned
}

// readMessage reads and handles the next message. It reports whether more may follow.
func (c *conn) readMessage(reader *rpcframe.Reader) bool {
	if _, err := c.bufReader.Peek(1); err != nil {
		return false
	}
	c.setInput(inputPartial)
	message, err := reader.Next()
	c.setInput(inputComplete)
	defer c.setInput(inputIdle)
	if err == nil {
		err = c.handleMessage(message)
	} else if !errors.Is(err, rpcframe.ErrMalformed) {
		return false // the input ended
	}
	if err != nil {
		c.reportViolation(message.Number, err)
		return false
	}
	return true
}

func (c *conn) setInput(state inputState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input, c.stateSince = state, time.Now()
}

// handleMessage handles one message. It returns an error if the message breaks the protocol.
func (c *conn) handleMessage(message rpcframe.Message) error {
	switch {
	case message.Cancelled != nil:
		c.cancelRequests(message.Cancelled)
		return nil
	case message.Method == rpcframe.MethodHeartbeat:
		c.handleHeartbeat(message.Number)
		return nil
	}
	return c.handleRequest(message)
}

// reportViolation responds with an error to a request that breaks the protocol, where it has a number.
func (c *conn) reportViolation(number uint32, reason error) {
	c.server.protocolErrors.Add(1)
	c.server.log.Info().Err(reason).Msg("protocol violation by a client")
	if number > 0 {
		c.enqueue(func(output []byte) []byte { return rpcframe.AppendMalformed(output, number) })
	}
}

func (c *conn) handleRequest(message rpcframe.Message) error {
	request, err := c.server.cfg.Rules.parse(message)
	if err != nil {
		return err
	}
	request.ReceivedAt = time.Now()
	request.ArrivedAfter = c.arrivals.ArrivedAfter()
	pending, err := c.addInFlight(message.Number)
	if err != nil {
		return err
	}
	cancel, err := c.server.handler.Handle(request, func(r Response) { c.respond(message.Number, pending, r) })
	if err != nil {
		c.removeInFlight(message.Number)
		c.consecutiveRejections++
		if c.consecutiveRejections >= maxConsecutiveRejections {
			return err
		}
		c.reportViolation(message.Number, err)
		return nil
	}
	c.consecutiveRejections = 0
	c.mu.Lock()
	pending.cancel = cancel
	c.mu.Unlock()
	return nil
}

// addInFlight records a request as owed a response.
func (c *conn) addInFlight(number uint32) (*pendingRequest, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inFlight) >= c.server.cfg.MaxInFlight {
		return nil, protocolError("more than %d requests in flight", c.server.cfg.MaxInFlight)
	}
	if number <= c.lastNumber {
		return nil, protocolError("number %d after %d", number, c.lastNumber)
	}
	c.lastNumber, c.hasSentRequest = number, true
	pending := &pendingRequest{}
	c.inFlight[number] = pending
	return pending, nil
}

// takeInFlight removes a request from those owed a response and returns it, nil if it is none of them.
func (c *conn) removeInFlight(number uint32) *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.inFlight[number]
	delete(c.inFlight, number)
	return pending
}

func (c *conn) handleHeartbeat(number uint32) {
	c.mu.Lock()
	c.lastNumber = max(c.lastNumber, number)
	c.hasSentRequest = true
	c.mu.Unlock()
	c.enqueue(func(output []byte) []byte { return rpcframe.AppendHeartbeat(output, number, c.server.handler.Ready()) })
}

// cancelRequests cancels those requests that are still in flight.
func (c *conn) cancelRequests(numbers []uint32) {
	for _, number := range numbers {
		if pending := c.removeInFlight(number); pending != nil {
			pending.cancel()
		}
	}
}
