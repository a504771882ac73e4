package httpserver

import (
	"bufio"
	"errors"
	"sync"

	"havencart/internal/clientconn"
)

// Errors of a worker's response whose length differs from the one it declared.
var (
	errStreamTooLong  = errors.New("worker's response is longer than its declared length")
	errStreamTooShort = errors.New("worker's response is shorter than its declared length")
)

// writerPool holds write buffers. A connection takes one only while its writing goroutine is running.
var writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

// enqueue adds a request to the queue, and starts the writing goroutine if it is not running.
func (c *conn) enqueue(pipelined *pipelinedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, pipelined)
	if !c.writing {
		c.writing = true
		c.server.tasks.Go(c.write)
	}
}

// write runs the writing goroutine. After the client has disconnected, it cancels the requests in flight.
func (c *conn) write() {
	out := writerPool.Get().(*bufio.Writer)
	out.Reset(c.net)
	defer func() {
		out.Reset(nil)
		writerPool.Put(out)
	}()
	for {
		pipelined, bothEnded := c.nextRequest()
		if bothEnded {
			c.close()
		}
		if pipelined == nil {
			return
		}
		c.complete(pipelined, out)
		c.dequeue()
	}
}

// nextRequest returns the oldest request in flight. If there is none, it returns nil and the writing goroutine must
// end; bothEnded then reports whether the reading goroutine has also ended.
func (c *conn) nextRequest() (pipelined *pipelinedRequest, bothEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return c.queue[0], false
	}
	c.writing = false
	return nil, !c.reading
}

// dequeue removes the oldest request and frees its slot, so that the reading goroutine may read another request.
func (c *conn) dequeue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue[0] = nil
	c.queue = c.queue[1:]
	if len(c.queue) == 0 && c.queueEmpty != nil {
		close(c.queueEmpty)
		c.queueEmpty = nil
	}
	<-c.slots
}

// complete waits for the response to a request and sends it. It cancels the request if the client disconnects first or
// the response cannot be sent.
func (c *conn) complete(pipelined *pipelinedRequest, out *bufio.Writer) {
	if pipelined.pending != nil {
		response, ok := pipelined.pending.Wait(c.ctx.Done())
		if !ok {
			pipelined.pending.Cancel()
			return
		}
		pipelined.response, pipelined.status = response, response.status()
	}
	clientconn.SetWriteTimeout(c.net, c.server.cfg.WriteTimeout)
	if err := c.send(pipelined, out, c.isLastResponse(pipelined)); err != nil {
		if pipelined.pending != nil {
			pipelined.pending.Cancel()
		}
		c.abort()
	}
}

// isLastResponse reports whether the connection is closed after the response to pipelined, which must be the oldest
// request in flight.
func (c *conn) isLastResponse(pipelined *pipelinedRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return pipelined.closeAfter || c.draining && len(c.queue) == 1
}

// send sends the complete response to a request.
func (c *conn) send(pipelined *pipelinedRequest, out *bufio.Writer, closeAfter bool) error {
	switch {
	case pipelined.response.Outcome != Served:
		if err := writeProblem(out, pipelined.status, pipelined.response, closeAfter); err != nil {
			return err
		}
		return out.Flush()
	case pipelined.response.Stream != nil:
		return c.sendStream(pipelined, out, closeAfter)
	}
	pipelined.response.Length = int64(len(pipelined.response.Body))
	if err := writeHead(out, pipelined.response, framingLength, closeAfter); err != nil {
		return err
	}
	if _, err := out.Write(pipelined.response.Body); err != nil {
		return err
	}
	return out.Flush()
}

// sendStream sends a response in parts, each as soon as it is received. After an error the connection is closed, so
// that the client can tell that the response is incomplete.
func (c *conn) sendStream(pipelined *pipelinedRequest, out *bufio.Writer, closeAfter bool) error {
	bodyFraming := pipelined.framing()
	if err := writeHead(out, pipelined.response, bodyFraming, closeAfter || bodyFraming == framingUntilClose); err != nil {
		return err
	}
	sent, err := c.sendParts(pipelined, out, bodyFraming)
	if err != nil {
		return err
	}
	if bodyFraming == framingLength && sent != pipelined.response.Length {
		return errStreamTooShort
	}
	if bodyFraming == framingChunked {
		if _, err := out.WriteString(lastChunk); err != nil {
			return err
		}
	}
	return out.Flush()
}

// sendParts sends the parts of a response's stream, each within the write timeout. It returns the number of bytes in
// the parts.
func (c *conn) sendParts(pipelined *pipelinedRequest, out *bufio.Writer, bodyFraming framing) (sent int64, err error) {
	for {
		part, err := pipelined.response.Stream.Next(c.ctx, c.server.cfg.StallTimeout)
		if err != nil || part == nil {
			return sent, err
		}
		sent += int64(len(part))
		if bodyFraming == framingLength && sent > pipelined.response.Length {
			return sent, errStreamTooLong
		}
		clientconn.SetWriteTimeout(c.net, c.server.cfg.WriteTimeout)
		if err := writePart(out, part, bodyFraming); err != nil {
			return sent, err
		}
	}
}
