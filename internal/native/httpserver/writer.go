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

// enqueue adds an exchange to those in flight, and starts the writing goroutine if need be.
func (c *conn) enqueue(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue = append(c.queue, x)
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
		x, isLast := c.nextExchange()
		if isLast {
			c.close()
		}
		if x == nil {
			return
		}
		c.complete(x, out)
		c.dequeue()
	}
}

// nextExchange returns the exchange whose response is next. It returns nil if the writing goroutine is to end, and
// reports then whether the reading one has ended, too.
func (c *conn) nextExchange() (x *exchange, isLast bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return c.queue[0], false
	}
	c.writing = false
	return nil, !c.reading
}

// dequeue removes the oldest exchange, which lets the reading goroutine read another request.
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
func (c *conn) complete(x *exchange, out *bufio.Writer) {
	if x.pending != nil {
		response, received := x.pending.Wait(c.ctx.Done())
		if !received {
			x.pending.Leave()
			return
		}
		x.response, x.status = response, response.status()
	}
	clientconn.SetWriteTimeout(c.net, c.server.cfg.Write)
	if err := c.send(x, out, c.isLastResponse(x)); err != nil {
		if x.pending != nil {
			x.pending.Leave()
		}
		c.abort()
	}
}

// isLastResponse reports whether the connection is closed behind the response to x, which is the oldest exchange.
func (c *conn) isLastResponse(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return x.close || c.draining && len(c.queue) == 1
}

// send sends one response whole.
func (c *conn) send(x *exchange, out *bufio.Writer, last bool) error {
	switch {
	case x.response.Outcome != Served:
		if err := writeProblem(out, x.status, x.response, last); err != nil {
			return err
		}
		return out.Flush()
	case x.response.Stream != nil:
		return c.sendStream(x, out, last)
	}
	x.response.Length = int64(len(x.response.Body))
	if err := writeHead(out, x.response, framingLength, last); err != nil {
		return err
	}
	if _, err := out.Write(x.response.Body); err != nil {
		return err
	}
	return out.Flush()
}

// sendStream sends a response part by part, each as soon as it is received. An error leaves the response visibly
// incomplete, as the connection is closed then.
func (c *conn) sendStream(x *exchange, out *bufio.Writer, last bool) error {
	body := x.framing()
	if err := writeHead(out, x.response, body, last || body == framingUntilClose); err != nil {
		return err
	}
	sent, err := c.sendParts(x, out, body)
	if err != nil {
		return err
	}
	if body == framingLength && sent != x.response.Length {
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
func (c *conn) sendParts(x *exchange, out *bufio.Writer, body framing) (sent int64, err error) {
	for {
		part, err := x.response.Stream.Next(c.ctx, c.server.cfg.Stall)
		if err != nil || part == nil {
			return sent, err
		}
		sent += int64(len(part))
		if body == framingLength && sent > x.response.Length {
			return sent, errStreamTooLong
		}
		clientconn.SetWriteTimeout(c.net, c.server.cfg.Write)
		if err := writePart(out, part, body); err != nil {
			return sent, err
		}
	}
}
