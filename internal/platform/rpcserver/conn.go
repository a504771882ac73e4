package rpcserver

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"

	"havencart/internal/decide/connadmission"
	"havencart/internal/memorybudget"
	"havencart/internal/platform/rpcframe"
	"havencart/internal/socket"
)

// readBufferSize is the size of a connection's read buffer in bytes. It is small because a server has many connections
// and little memory.
const readBufferSize = 2 << 10

// RequestOverhead is the memory in bytes that a request takes in addition to its body: the records of the request and
// of its attempt, and the frame that is encoded for the worker.
const RequestOverhead = 4 << 10

// maxDrainTimeouts is the number of write timeouts after which a draining connection is closed, so that a client that
// reads slowly cannot delay a shutdown.
const maxDrainTimeouts = 2

// conn is the connection of one client. A reading goroutine runs from the admission of the connection to the end of its
// input. A writing goroutine runs while responses are queued.
type conn struct {
	server     *Server
	netConn    net.Conn
	arrivals   *socket.ArrivalConn // used by the reading goroutine only
	bufReader  *bufio.Reader       // reads from arrivals; used by the reading goroutine only
	acceptedAt time.Time
	// consecutiveRejections is the number of requests that the Handler rejected since it last accepted one. It is used
	// by the reading goroutine only.
	consecutiveRejections int
	requestMemory         *memorybudget.Account
	responseMemory        *memorybudget.Account
	// bodyMemory is the reservation for the message that is being read, nil if it has no body or there is no memory for
	// it. It is used by the reading goroutine only.
	bodyMemory *memorybudget.Reservation

	mu             sync.Mutex                 // guards the fields below
	inFlight       map[uint32]*pendingRequest // requests without a response, by message ID; at most MaxInFlight
	lastMessageID  uint32                     // message ID of the last request
	hasSentRequest bool
	input          inputState
	stateSince     time.Time   // when input last changed or a response was last queued
	output         outputQueue // empty once the connection is closed
	outputChanged  *sync.Cond  // uses mu; signals changes of output, and the end of the connection
	writing        bool        // the writing goroutine is running
	inputEnded     bool        // the reading goroutine reads no more
	lifecycle      lifecycle
	drainBy        time.Time   // when a draining connection must have written its queued responses
	drainReason    closeReason // why a draining connection ends
	messages       uint64      // complete messages that were read
}

// inputState is the state of the reading goroutine.
type inputState int

const (
	inputIdle     inputState = iota // waiting for a message
	inputPartial                    // part of a message has been read
	inputComplete                   // handling a complete message, which may become a request in flight
)

// lifecycle is the state of a connection. It only changes to a later state.
type lifecycle int

const (
	lifecycleOpen     lifecycle = iota
	lifecycleDraining           // closes once the queued responses are written
	lifecycleClosed
)

// pendingRequest is a request without a response.
type pendingRequest struct {
	cancel func(CancelCause) // nil until Handler.Handle has returned
}

func newConn(s *Server, netConn net.Conn) *conn {
	arrivals := &socket.ArrivalConn{Conn: netConn}
	c := &conn{
		server: s, netConn: netConn, arrivals: arrivals, bufReader: bufio.NewReaderSize(arrivals, readBufferSize), inFlight: map[uint32]*pendingRequest{},
		requestMemory: s.cfg.RequestMemory.NewAccount(), responseMemory: s.cfg.ResponseMemory.NewAccount(),
		acceptedAt: time.Now(), stateSince: time.Now(),
	}
	c.outputChanged = sync.NewCond(&c.mu)
	return c
}

// age returns the time since the connection was accepted.
func (c *conn) age() time.Duration { return time.Since(c.acceptedAt) }

// snapshot returns the state that determines whether the connection may be closed.
func (c *conn) snapshot(now time.Time) connadmission.Connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.snapshotLocked(now)
}

// snapshotLocked is like snapshot but requires that c.mu is held.
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

// closeIf closes the connection for the given reason if it has no request in flight, no response to write and no unread input, and if
// permits returns true for its current state. The state is checked again under the lock because a message may have
// started to arrive since the caller took its snapshot. closeIf reports whether it closed the connection.
//
// A complete message counts as in flight until it is handled or rejected. Otherwise the connection could be closed
// while one of its requests is being handled: the client would send the request again with the same ID, which would be
// in use. A message that is in the operating system's receive buffer also keeps the connection open, because closing
// the connection would lose the message.
func (c *conn) closeIf(reason closeReason, permits func(connadmission.Connection) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle == lifecycleClosed {
		return false
	}
	state := c.snapshotLocked(time.Now())
	if state.InFlight > 0 || !permits(state) || socket.HasUnread(c.netConn) {
		return false
	}
	c.closeLocked(reason)
	return true
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lifecycle == lifecycleClosed
}

// drain closes the connection for the given reason once the queued responses are written.
func (c *conn) drain(reason closeReason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainLocked(reason)
}

// drainLocked is like drain but requires that c.mu is held.
func (c *conn) drainLocked(reason closeReason) {
	if c.lifecycle == lifecycleOpen {
		c.lifecycle = lifecycleDraining
		c.drainReason = reason
		c.drainBy = time.Now().Add(maxDrainTimeouts * c.server.cfg.WriteTimeout)
	}
	if !c.writing {
		c.closeLocked(c.drainReason)
	}
}

// closeLocked closes the connection at once, which also ends the reading goroutine. It has no effect on a closed
// connection. It requires that c.mu is held.
func (c *conn) closeLocked(reason closeReason) {
	if c.lifecycle == lifecycleClosed {
		return
	}
	c.logClosed(reason)
	c.lifecycle = lifecycleClosed
	c.changeOutput((*outputQueue).clear)
	_ = c.netConn.Close() // the connection is not used any more, so an error does not matter
}

// read handles messages until the input ends and then cancels the requests in flight. It is the reading goroutine.
func (c *conn) read() {
	reader := rpcframe.NewReader(c.bufReader)
	reader.ReserveBody = c.reserveBody
	reason := closeReason(0)
	for reason == 0 {
		reason = c.readMessage(reader)
	}
	for _, pending := range c.endInput(reason) {
		pending.cancel(ConnectionEnded)
	}
}

// endInput drains the connection. It removes and returns the requests in flight, whose responses are no longer needed.
// The caller must cancel them. If nothing is being written, the connection has then left the table of the server already,
// because the client may connect again as soon as its requests are cancelled.
func (c *conn) endInput(reason closeReason) []*pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	var abandoned []*pendingRequest
	for messageID, pending := range c.inFlight {
		abandoned = append(abandoned, pending)
		delete(c.inFlight, messageID)
	}
	c.inputEnded = true
	c.drainLocked(reason)
	c.removeIfUnusedLocked()
	return abandoned
}

// removeIfUnusedLocked removes a closed connection from the table of the server once no goroutine uses it, since the
// operating system keeps its descriptor until then. It requires that c.mu is held.
func (c *conn) removeIfUnusedLocked() {
	if c.lifecycle == lifecycleClosed && c.inputEnded && !c.writing {
		c.server.conns.Remove(c)
	}
}

// readMessage reads and handles the next message. It returns 0 if another message may follow, and otherwise why the
// input has ended.
func (c *conn) readMessage(reader *rpcframe.Reader) closeReason {
	if _, err := c.bufReader.Peek(1); err != nil {
		return closedByClient
	}
	c.setInput(inputPartial)
	c.bodyMemory = nil
	defer func() { c.bodyMemory.Release() }() // unless handleRequest has passed it on
	message, err := reader.Next()
	c.setInput(inputComplete)
	defer c.setInput(inputIdle)
	if err == nil {
		err = c.handleMessage(message)
	} else if !errors.Is(err, rpcframe.ErrMalformed) {
		return closedByClient
	}
	switch {
	case err == nil:
		return 0
	case errors.Is(err, net.ErrClosed): // the connection was closed while the message was handled
		return closedByClient
	}
	c.reportViolation(message.MessageID, err)
	return closedViolation
}

// reserveBody reserves memory for the request that is being read, whose body has that size. It reports whether there is
// memory for it.
func (c *conn) reserveBody(size int) bool {
	c.bodyMemory = c.requestMemory.Reserve(int64(RequestOverhead + size))
	return c.bodyMemory != nil
}

func (c *conn) setInput(state inputState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.input, c.stateSince = state, time.Now()
	if state == inputComplete {
		c.messages++
	}
}

// handleMessage handles one message. It returns an error if the message violates the protocol.
func (c *conn) handleMessage(message rpcframe.Message) error {
	switch {
	case message.Cancelled != nil:
		c.server.cancellations.Add(1)
		c.cancelRequests(message.Cancelled)
		return nil
	case message.Method == rpcframe.MethodHeartbeat:
		c.server.heartbeats.Add(1)
		c.handleHeartbeat(message.MessageID)
		return nil
	}
	c.server.requests.Add(1)
	return c.handleRequest(message)
}

// reportViolation logs and counts a protocol violation. If the message ID is known, that is above 0, it sends an error
// response.
func (c *conn) reportViolation(messageID uint32, reason error) {
	c.server.protocolErrors.Add(1)
	c.server.log.Info().Err(reason).Stringer("client", c.netConn.RemoteAddr()).Msg("protocol violation by a client")
	if messageID > 0 {
		c.enqueue(outgoing{kind: outgoingMalformed, messageID: messageID})
	}
}

func (c *conn) handleRequest(message rpcframe.Message) error {
	request, err := c.server.cfg.Rules.parse(message)
	if err != nil {
		return err
	}
	request.Memory = c.bodyMemory
	request.ReceivedAt = time.Now()
	request.ArrivedAfter = c.arrivals.ArrivedAfter()
	messageID := message.MessageID // respond must not keep the message, whose body is released earlier
	pending, err := c.addInFlight(messageID)
	if err != nil {
		return err
	}
	if request.Memory == nil {
		c.server.requestsRefused.Add(1)
	}
	cancel, err := c.server.handler.Handle(request, func(r Response) { c.respond(messageID, pending, r) })
	if err != nil {
		c.removeInFlight(messageID)
		c.consecutiveRejections++
		if c.tooManyRejections() {
			return err
		}
		c.reportViolation(messageID, err)
		return nil
	}
	c.bodyMemory = nil // the Handler releases it
	c.consecutiveRejections = 0
	c.mu.Lock()
	pending.cancel = cancel
	c.mu.Unlock()
	return nil
}

// tooManyRejections reports whether the connection must be closed because the Handler rejected more than MaxInFlight
// consecutive requests as protocol violations. A conforming client can have that many rejected: if its connection was
// reset, it sends the requests that were open on it again, possibly before the server has noticed the reset. The other
// requests on its new connection must not be lost.
func (c *conn) tooManyRejections() bool { return c.consecutiveRejections > c.server.cfg.MaxInFlight }

// addInFlight adds a request to the requests in flight. It returns an error if the request violates the protocol: if
// too many requests are in flight or its message ID is not above all earlier ones.
//
// A client that conforms to the protocol counts requests with a queued response as open, so that requests in flight and
// queued responses never exceed MaxInFlight together. The connection of any other client is not read further until
// queued responses are written.
func (c *conn) addInFlight(messageID uint32) (*pendingRequest, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inFlight) >= c.server.cfg.MaxInFlight {
		return nil, protocolError("more than %d requests in flight", c.server.cfg.MaxInFlight)
	}
	if messageID <= c.lastMessageID {
		return nil, protocolError("number %d after %d", messageID, c.lastMessageID)
	}
	isFull := func() bool { return len(c.inFlight)+c.output.responses() >= c.server.cfg.MaxInFlight }
	if isFull() {
		c.changeOutput((*outputQueue).dropUnwanted)
	}
	if !c.awaitOutputLocked(isFull) {
		return nil, net.ErrClosed
	}
	c.lastMessageID, c.hasSentRequest = messageID, true
	pending := &pendingRequest{}
	c.inFlight[messageID] = pending
	return pending, nil
}

// removeInFlight removes a request from the requests in flight and returns it, or nil if it is not in flight.
func (c *conn) removeInFlight(messageID uint32) *pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	pending := c.inFlight[messageID]
	delete(c.inFlight, messageID)
	return pending
}

// handleHeartbeat responds to a heartbeat. The connection of a client that sends heartbeats and does not read the
// responses is not read further until they are written.
func (c *conn) handleHeartbeat(messageID uint32) {
	ready := c.server.handler.Ready()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastMessageID = max(c.lastMessageID, messageID)
	c.hasSentRequest = true
	c.awaitOutputLocked(func() bool { return c.output.heartbeats >= c.server.cfg.MaxInFlight })
	c.enqueueLocked(outgoing{kind: outgoingHeartbeat, messageID: messageID, ready: ready})
}

// cancelRequests ends the requests with the given message IDs, whose responses the client no longer wants: it cancels
// those in flight, and no longer counts those with a queued response as open.
func (c *conn) cancelRequests(messageIDs []uint32) {
	for _, messageID := range messageIDs {
		if pending := c.removeInFlight(messageID); pending != nil {
			pending.cancel(CancelledByClient)
		} else {
			c.markUnwanted(messageID)
		}
	}
}

// markUnwanted records that the client no longer wants the response to a request. If it is queued, it is still written
// unless another request needs its place.
func (c *conn) markUnwanted(messageID uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.output.markUnwanted(messageID)
}
