package rpcserver

import (
	"time"

	"havencart/internal/clientconn"
	"havencart/internal/memorybudget"
)

// respond queues the final response to a request. It discards the response if the request is no longer in flight. A
// served response whose body does not fit within the limits is replaced by a failure, which needs no memory: the
// request and all others on the connection still get their final response.
func (c *conn) respond(messageID uint32, pending *pendingRequest, response Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[messageID] != pending { // already responded to, cancelled, or abandoned by a disconnect
		return
	}
	delete(c.inFlight, messageID)
	c.stateSince = time.Now()
	if response.Kind != Rejected {
		c.pace.RecordAnswered()
	}
	memory := c.reserveResponseLocked(response)
	if memory == nil {
		c.server.responsesDropped.Add(1)
		response = Response{Kind: Failed}
	}
	c.enqueueLocked(outgoing{kind: outgoingResponse, messageID: messageID, response: response, memory: memory})
}

// reserveResponseLocked reserves memory for a response until it is written. It returns nil if the response exceeds the
// limits of queued responses, which one without a body never does. It requires that c.mu is held.
func (c *conn) reserveResponseLocked(response Response) *memorybudget.Reservation {
	size := int64(len(response.Body))
	if size > 0 && c.output.bodyBytes+size > c.server.cfg.MaxQueuedBytes {
		return nil
	}
	return c.responseMemory.Reserve(size)
}

// enqueue is like enqueueLocked but acquires c.mu.
func (c *conn) enqueue(message outgoing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enqueueLocked(message)
}

// enqueueLocked queues a message and starts the writing goroutine if it is not running. It never waits for the client.
// It requires that c.mu is held.
func (c *conn) enqueueLocked(message outgoing) {
	if c.lifecycle == lifecycleClosed {
		message.memory.Release()
		return
	}
	c.changeOutput(func(queue *outputQueue) { queue.push(message) })
	if c.writing {
		return
	}
	c.writing = true
	queuedAt := time.Now()
	c.server.tasks.Go(func() { c.writeQueued(queuedAt) })
}

// changeOutput changes the output queue and wakes the reading goroutine if it waits for room in the queue. It requires
// that c.mu is held.
func (c *conn) changeOutput(change func(*outputQueue)) {
	change(&c.output)
	c.outputChanged.Broadcast()
}

// awaitOutputLocked waits until isFull returns false or the connection is closed, and reports whether the connection is
// still open. isFull is called with c.mu held and may return true only while messages are queued; the writing goroutine
// then runs, and either takes them or closes the connection when the write timeout has passed. It requires that c.mu is
// held.
func (c *conn) awaitOutputLocked(isFull func() bool) (open bool) {
	for c.lifecycle != lifecycleClosed && isFull() {
		c.outputChanged.Wait()
	}
	return c.lifecycle != lifecycleClosed
}

// writeQueued is the writing goroutine. It ends when no output is queued or the connection is closed.
//
// The time from queuedAt to the start of the first write measures the lag of this process. It is reported for the first
// write only, because later output also waits until the client has read the output before it.
func (c *conn) writeQueued(queuedAt time.Time) {
	delay := time.Since(queuedAt)
	c.server.pacer.observeLag(delay)
	if c.server.cfg.ObserveWriteDelay != nil {
		c.server.cfg.ObserveWriteDelay(delay)
	}
	var batch outputBatch
	for c.nextBatch(&batch) {
		clientconn.SetWriteTimeout(c.netConn, c.writeTimeout())
		if _, err := c.netConn.Write(batch.bytes); err != nil {
			c.closeAfterWriteError(err)
		}
		batch.release()
	}
}

// writeTimeout returns how long the next write may take.
func (c *conn) writeTimeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle != lifecycleDraining {
		return c.server.cfg.WriteTimeout
	}
	return min(c.server.cfg.WriteTimeout, time.Until(c.drainBy))
}

// nextBatch moves the next part of the output to batch, which must be empty. It returns false if the writing goroutine
// must end.
func (c *conn) nextBatch(batch *outputBatch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.output.messages) > 0 {
		c.changeOutput(func(queue *outputQueue) { queue.takeBatch(batch) })
		return true
	}
	c.writing = false
	c.output.clear()
	if c.lifecycle == lifecycleDraining {
		c.closeLocked(c.drainReason)
	}
	c.removeIfUnusedLocked()
	return false
}

// closeAfterWriteError closes the connection after a write failed, mostly because the client did not read for
// WriteTimeout or has disconnected. The requests that are open on it get no response.
func (c *conn) closeAfterWriteError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lifecycle != lifecycleClosed {
		c.server.writeFailed.Add(1)
		c.server.log.Info().Err(err).Int("in-flight", len(c.inFlight)).Int("unwritten", len(c.output.messages)).
			Msg("client connection closed: a write failed")
	}
	c.closeLocked(closedUnwritable)
}
