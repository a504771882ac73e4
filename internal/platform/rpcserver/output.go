package rpcserver

import (
	"time"

	"havencart/internal/clientconn"
	"havencart/internal/platform/rpcframe"
)

// respond queues the final response to a request. It discards the response if the request is no longer in flight.
func (c *conn) respond(messageID uint32, pending *pendingRequest, response Response) {
	c.enqueue(func(output []byte) []byte {
		if c.inFlight[messageID] != pending { // already responded to, cancelled, or abandoned by a disconnect
			return output
		}
		delete(c.inFlight, messageID)
		c.stateSince = time.Now()
		return appendResponse(output, messageID, response)
	})
}

func appendResponse(output []byte, messageID uint32, response Response) []byte {
	switch response.Kind {
	case Served:
		return rpcframe.AppendServed(output, messageID, response.Body)
	case Rejected:
		return rpcframe.AppendRejected(output, messageID, response.RetryAfter)
	}
	return rpcframe.AppendFailed(output, messageID)
}

// enqueue calls encode with c.mu held to append a response to the output, and starts the writing goroutine if it is not
// running. It never waits for the client. If more than MaxQueuedBytes are queued, it closes the connection.
func (c *conn) enqueue(encode func([]byte) []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.output = encode(c.output)
	switch {
	case c.lifecycle == lifecycleClosed || len(c.output) == 0:
		c.output = nil
	case len(c.output) > c.server.cfg.MaxQueuedBytes:
		c.output = nil
		c.closeLocked()
	case !c.writing:
		c.writing = true
		queuedAt := time.Now()
		c.server.tasks.Go(func() { c.writeQueued(queuedAt) })
	}
}

// writeQueued is the writing goroutine. It ends when no output is queued or the connection is closed.
//
// The time from queuedAt to the start of the first write measures the lag of this process. It is reported for the first
// write only, because later output also waits until the client has read the output before it.
func (c *conn) writeQueued(queuedAt time.Time) {
	if c.server.cfg.ObserveWriteDelay != nil {
		c.server.cfg.ObserveWriteDelay(time.Since(queuedAt))
	}
	var batch []byte
	for {
		if batch = c.nextBatch(batch); batch == nil {
			return
		}
		clientconn.SetWriteTimeout(c.netConn, c.server.cfg.WriteTimeout)
		if _, err := c.netConn.Write(batch); err != nil {
			c.mu.Lock()
			c.closeLocked()
			c.mu.Unlock()
		}
	}
}

// nextBatch returns the queued output and reuses the buffer of the batch that was written before for the queue. It
// returns nil if the writing goroutine must end.
func (c *conn) nextBatch(written []byte) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.output
	if len(batch) > 0 && c.lifecycle != lifecycleClosed {
		c.output = written[:0]
		return batch
	}
	c.writing, c.output = false, nil
	if c.lifecycle == lifecycleDraining {
		c.closeLocked()
	}
	return nil
}
