package rpcserver

import (
	"time"

	"havencart/internal/clientconn"
	"havencart/internal/platform/rpcframe"
)

// respond queues the final response of a request, unless that is no longer in flight.
func (c *conn) respond(number uint32, pending *pendingRequest, response Response) {
	c.enqueue(func(output []byte) []byte {
		if c.inFlight[number] != pending { // responded to, cancelled or disconnected
			return output
		}
		delete(c.inFlight, number)
		c.stateSince = time.Now()
		return appendResponse(output, number, response)
	})
}

func appendResponse(output []byte, number uint32, response Response) []byte {
	switch response.Kind {
	case Served:
		return rpcframe.AppendServed(output, number, response.Body)
	case Rejected:
		return rpcframe.AppendRejected(output, number, response.RetryAfter)
	}
	return rpcframe.AppendFailed(output, number)
}

// enqueue adds to the output what encode appends, and starts the writing goroutine if need be. It never waits for the
// client. A client that lets more than MaxQueuedBytes pile up is disconnected. Encode is called with the lock held.
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

// writeQueued is the writing goroutine. It ends when nothing is queued or the connection is closed.
//
// The time since queuedAt says how late the process runs, so it is reported for the first write only: later output also
// waits for the client to read what is before it.
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

// nextBatch takes the queued output and gives the queue the written batch's memory to use again. It returns nil if the
// writing goroutine is to end.
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
