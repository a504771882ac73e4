package muxclient

import (
	"fmt"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
)

// read reads and handles frames until the connection breaks or a frame is invalid. It returns the error.
func (c *Client) read(reader *muxframe.Reader) error {
	for {
		frame, err := reader.Next()
		if err == nil {
			c.recordReceived()
			err = c.handle(frame)
		}
		if err != nil {
			return fmt.Errorf("read from %s: %w", c.cfg.Worker, err)
		}
	}
}

// recordReceived records in the keepalive that a frame was received.
func (c *Client) recordReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepalive.Received(c.cfg.Now())
}

// handle processes one frame. If it returns an error, the connection is closed.
func (c *Client) handle(frame muxframe.Frame) error {
	switch frame.Type {
	case muxframe.TypeResponse:
		return c.handleResponse(frame)
	case muxframe.TypeData:
		return c.handleData(frame)
	case muxframe.TypeEnd:
		return c.handleEnd(frame)
	case muxframe.TypeLoadResult:
		return c.handleLoadResult(frame)
	case muxframe.TypeHealthReport:
		return c.handleHealthReport(frame)
	case muxframe.TypePing:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.push(controlFrame{frameType: muxframe.TypePong})
		return nil
	case muxframe.TypePong:
		c.handlePong()
		return nil
	}
	return fmt.Errorf("%w: %v from a worker", muxframe.ErrMalformed, frame.Type)
}

// handlePong processes the response to the oldest ping. It ignores a pong without a ping.
func (c *Client) handlePong() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pings) > 0 {
		c.queue.ConfirmReceipt(c.pings[0])
		c.pings = c.pings[1:]
	}
}

// handleLoadResult processes the response to a load order. It drops the response if the load order is no longer in
// flight.
func (c *Client) handleLoadResult(frame muxframe.Frame) error {
	var result muxframe.LoadResult
	if err := frame.Decode(&result); err != nil {
		return err
	}
	status, known := statuses[result.Status]
	if !known {
		return fmt.Errorf("%w: order answered with status %d", muxframe.ErrMalformed, result.Status)
	}
	c.mu.Lock()
	order := c.queue.FinishLoad(uint64(frame.StreamID))
	c.mu.Unlock()
	if order != nil {
		c.events.LoadEnded(order, status, max(0, result.Replicas))
	}
	return nil
}

// handleHealthReport processes the response to the oldest health check. It drops the response if no check is pending.
func (c *Client) handleHealthReport(frame muxframe.Frame) error {
	var report muxframe.HealthReport
	if err := frame.Decode(&report); err != nil {
		return err
	}
	c.mu.Lock()
	var check *workerconn.HealthCheck
	if len(c.healthChecks) > 0 {
		check = c.healthChecks[0]
		c.healthChecks = c.healthChecks[1:]
	}
	c.mu.Unlock()
	if check != nil {
		c.events.HealthChecked(check, statuses[report.Status], report.LoadReport)
	}
	return nil
}
