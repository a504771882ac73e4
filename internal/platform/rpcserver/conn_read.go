package rpcserver

import (
	"errors"
	"net"
	"time"

	"havencart/internal/platform/rpcframe"
	"havencart/internal/socket"
)

// read handles messages until the input ends and then cancels the requests in flight. It is the reading goroutine.
func (c *conn) read() {
	reader := rpcframe.NewReader(c.bufReader)
	reader.ReserveBody = c.reserveBody
	reason := closeReason(0)
	for reason == 0 {
		reason = c.readMessage(reader)
		if reason == 0 && !c.awaitPace() {
			reason = closedByClient
		}
	}
	if reason == closedViolation {
		cancelAll(c.removeAllInFlight())
		c.linger()
	}
	cancelAll(c.endInput(reason))
}

// cancelAll cancels requests whose connection has ended.
func cancelAll(abandoned []*pendingRequest) {
	for _, pending := range abandoned {
		pending.cancel(ConnectionEnded)
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
	c.recordRead()
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

// handleRequest passes a request to the Handler, unless the client has closed the connection meanwhile: requests that are
// still unread then need no response, and nothing may begin for them.
func (c *conn) handleRequest(message rpcframe.Message) error {
	request, err := c.server.cfg.Rules.parse(message)
	if err != nil {
		return err
	}
	if socket.PeerHungUp(c.netConn) {
		c.server.requestsUnwanted.Add(1)
		return net.ErrClosed
	}
	request.Memory = c.bodyMemory
	request.ReceivedAt = c.receivedAt()
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
