package httpserver

import (
	"bufio"
	"errors"
	"sync"

	"havencart/internal/clientconn"
)

// Errors of a worker's stream that is not as long as its response said.
var (
	errStreamTooLong  = errors.New("worker's response is longer than its declared length")
	errStreamTooShort = errors.New("worker's response is shorter than its declared length")
)

// writers keeps buffers for writing: a connection has one only while it sends responses.
var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, bufferSize) }}

// enqueue adds a request to those in flight, and starts the writing goroutine if need be.
func (c *conn) enqueue(pipelined *pipelinedRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, pipelined)
	if !c.writing {
		c.writing = true
		c.server.tasks.Go(c.write)
	}
}

// write is the writing goroutine. Once the client disconnected it cancels what is in flight.
func (c *conn) write() {
	out := writers.Get().(*bufio.Writer)
	out.Reset(c.net)
	defer func() {
		out.Reset(nil)
		writers.Put(out)
	}()
	for {
		pipelined, isLast := c.nextRequest()
		if isLast {
			c.close()
		}
		if pipelined == nil {
			return
		}
		c.complete(pipelined, out)
		c.dequeue()
	}
}

// nextRequest returns the request whose response is next. It returns nil if the writing goroutine is to end, and
// reports then whether the reading one has ended, too.
func (c *conn) nextRequest() (pipelined *pipelinedRequest, isLast bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return c.queue[0], false
	}
	c.writing = false
	return nil, !c.reading
}

// dequeue removes the oldest request, which lets the reading goroutine read another request.
func (c *conn) dequeue() {
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

// complete waits for one response and sends it. If the client disconnects before, or the sending fails, it cancels the
// request.
func (c *conn) complete(pipelined *pipelinedRequest, out *bufio.Writer) {
	if pipelined.pending != nil {
		response, received := pipelined.pending.Wait(c.ctx.Done())
		if !received {
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

// isLastResponse reports whether the connection is closed behind the response to the oldest request in flight.
func (c *conn) isLastResponse(pipelined *pipelinedRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return pipelined.close || c.draining && len(c.queue) == 1
}

// send sends one response whole.
func (c *conn) send(pipelined *pipelinedRequest, out *bufio.Writer, last bool) error {
	switch {
	case pipelined.response.Outcome != Served:
		if err := writeProblem(out, pipelined.status, pipelined.response, last); err != nil {
			return err
		}
		return out.Flush()
	case pipelined.response.Stream != nil:
		return c.sendStream(pipelined, out, last)
	}
	pipelined.response.Length = int64(len(pipelined.response.Body))
	if err := writeHead(out, pipelined.response, framingLength, last); err != nil {
		return err
	}
	if _, err := out.Write(pipelined.response.Body); err != nil {
		return err
	}
	return out.Flush()
}

// sendStream sends a response part by part, each as soon as it is received. An error leaves the response visibly
// incomplete, as the connection is closed then.
func (c *conn) sendStream(pipelined *pipelinedRequest, out *bufio.Writer, last bool) error {
	body := pipelined.framing()
	if err := writeHead(out, pipelined.response, body, last || body == framingUntilClose); err != nil {
		return err
	}
	sent, err := c.sendParts(pipelined, out, body)
	if err != nil {
		return err
	}
	if body == framingLength && sent != pipelined.response.Length {
		return errStreamTooShort
	}
	if body == framingChunked {
		if _, err := out.WriteString(lastChunk); err != nil {
			return err
		}
	}
	return out.Flush()
}

// sendParts sends the parts of a stream, each within the time for writing, and returns how many bytes they had.
func (c *conn) sendParts(pipelined *pipelinedRequest, out *bufio.Writer, body framing) (sent int64, err error) {
	for {
		part, err := pipelined.response.Stream.Next(c.ctx, c.server.cfg.StallTimeout)
		if err != nil || part == nil {
			return sent, err
		}
		sent += int64(len(part))
		if body == framingLength && sent > pipelined.response.Length {
			return sent, errStreamTooLong
		}
		clientconn.SetWriteTimeout(c.net, c.server.cfg.WriteTimeout)
		if err := writePart(out, part, body); err != nil {
			return sent, err
		}
	}
}
