package rpcserver

import (
	"bufio"
	"net"
	"sync"
	"time"

	"havencart/internal/decide/clientpace"
	"havencart/internal/decide/connadmission"
	"havencart/internal/memorybudget"
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
	bufReader  *bufio.Reader       // reads from the conn itself; used by the reading goroutine only
	acceptedAt time.Time
	closed     chan struct{} // closed when the connection is
	// The following fields are used by the reading goroutine only.
	reads         int       // reads from netConn since the last message
	readableSince time.Time // end of the last pause; see awaitPace
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
	pace           clientpace.Meter
	pauses         uint64 // how often the connection was not read for a while
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
		server: s, netConn: netConn, arrivals: arrivals, inFlight: map[uint32]*pendingRequest{}, closed: make(chan struct{}), pace: clientpace.NewMeter(s.cfg.MaxInFlight),
		requestMemory: s.cfg.RequestMemory.NewAccount(), responseMemory: s.cfg.ResponseMemory.NewAccount(),
		acceptedAt: time.Now(), stateSince: time.Now(),
	}
	c.bufReader = bufio.NewReaderSize(c, readBufferSize)
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
	close(c.closed)
	c.changeOutput((*outputQueue).clear)
	_ = c.netConn.Close() // the connection is not used any more, so an error does not matter
}

// endInput drains the connection. It removes and returns the requests in flight, whose responses are no longer needed.
// The caller must cancel them. If nothing is being written, the connection has then left the table of the server already,
// because the client may connect again as soon as its requests are cancelled.
func (c *conn) endInput(reason closeReason) []*pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inputEnded = true
	c.drainLocked(reason)
	c.removeIfUnusedLocked()
	return c.removeAllInFlightLocked()
}

// removeAllInFlight removes and returns the requests in flight, whose responses are no longer needed.
func (c *conn) removeAllInFlight() []*pendingRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.removeAllInFlightLocked()
}

// removeAllInFlightLocked is like removeAllInFlight but requires that c.mu is held.
func (c *conn) removeAllInFlightLocked() (removed []*pendingRequest) {
	for messageID, pending := range c.inFlight {
		removed = append(removed, pending)
		delete(c.inFlight, messageID)
	}
	return removed
}

// removeIfUnusedLocked removes a closed connection from the table of the server once no goroutine uses it, since the
// operating system keeps its descriptor until then. It requires that c.mu is held.
func (c *conn) removeIfUnusedLocked() {
	if c.lifecycle == lifecycleClosed && c.inputEnded && !c.writing {
		c.server.conns.Remove(c)
	}
}

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
