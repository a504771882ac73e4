package workerclient

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"havencart/internal/decide/connpool"
	"havencart/internal/memorybudget"
	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// readBufferSize is the size of a connection's read buffer in bytes. It is small because there are many connections and
// little memory.
const readBufferSize = 4 << 10

// statusOfCode maps the response codes that end an attempt or a load order to its status.
var statusOfCode = map[workerframe.Code]scheduler.Status{
	workerframe.OK:           scheduler.OK,
	workerframe.NotLoaded:    scheduler.NotLoaded,
	workerframe.Overloaded:   scheduler.Overloaded,
	workerframe.Error:        scheduler.Error,
	workerframe.AlreadyEnded: scheduler.NotSent,
}

// read reads and handles responses until the network connection breaks.
func (c *connection) read(netConn net.Conn) error {
	source := bufio.NewReaderSize(netConn, readBufferSize)
	reader := workerframe.NewReader(source, workerframe.MagicWorker, c.client.cfg.MaxResponse)
	var memory *memorybudget.Reservation // for the body of the frame that is being read; nil if it has none
	reader.ReserveBody = func(size int) (err error) {
		memory, err = c.reserveResponse(size)
		return err
	}
	reader.OnFrameStart = func() {
		_ = netConn.SetReadDeadline(time.Now().Add(connpool.FrameTimeout())) // fails only if the connection is closed
	}
	unexpected := 0 // consecutive responses that nothing awaits
	for {
		memory = nil
		frame, err := reader.Next()
		switch {
		case err == nil:
			_ = netConn.SetReadDeadline(time.Time{})
			var expected bool
			expected, err = c.handle(frame, memory)
			unexpected = countUnexpected(unexpected, expected)
			if err == nil && connpool.TooManyUnexpected(unexpected) {
				err = fmt.Errorf("%w: %d answers that nobody awaits", workerframe.ErrMalformed, unexpected)
			}
		case isTimeout(err):
			err = fmt.Errorf("%w: an answer stopped short", workerframe.ErrMalformed)
		}
		if err != nil {
			memory.Release()
			return fmt.Errorf("read from %s: %w", c.client.cfg.Worker, err)
		}
	}
}

// countUnexpected returns the number of consecutive unexpected responses after another response.
func countUnexpected(before int, expected bool) int {
	if expected {
		return 0
	}
	return before + 1
}

// reserveResponse waits until there is memory for a response whose body has that size. It returns an error if the
// client is stopped first.
func (c *connection) reserveResponse(size int) (*memorybudget.Reservation, error) {
	memory := c.client.responseMemory.Await(c.client.ctx.Done(), int64(size))
	if memory == nil {
		return nil, errStopped
	}
	return memory, nil
}

// isTimeout reports whether err is a network timeout, such as an exceeded read deadline.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// finishedItem is what a response finishes. At most one field is set; none is set for an unexpected response.
type finishedItem struct {
	attempt     *workerconn.Attempt
	load        *workerconn.LoadOrder
	healthCheck *workerconn.HealthCheck
	receipt     bool // the response answers a health check of requestReceipt
}

// handle reports the result that a response contains, with the reservation for its body. A response that matches no
// unfinished item is not expected; it is dropped and counted as late. If handle returns an error, the reservation remains
// with the caller.
func (c *connection) handle(frame workerframe.Frame, memory *memorybudget.Reservation) (expected bool, err error) {
	fields, err := workerframe.ParseResponseFields(frame.Fields, c.client.cfg.LoadReportFields)
	if err != nil {
		return false, err
	}
	finished := c.finish(frame)
	events := c.client.events
	if finished.attempt == nil {
		memory.Release()
	}
	switch {
	case finished.attempt != nil:
		events.AttemptEnded(finished.attempt, workerconn.Result{
			Status:     statusOfCode[frame.Code],
			QueueDepth: fields.QueueDepth,
			LoadReport: fields.LoadReport,
			ReceivedAt: c.client.cfg.Now(),
			Response:   &workerconn.Response{Body: frame.Body, Length: int64(len(frame.Body))},
			Memory:     memory,
		})
	case finished.load != nil:
		events.LoadEnded(finished.load, statusOfCode[frame.Code], fields.Replicas)
	case finished.healthCheck != nil && frame.Code == workerframe.Healthy:
		events.HealthChecked(finished.healthCheck, scheduler.OK, fields.LoadReport)
	case finished.healthCheck != nil:
		events.HealthChecked(finished.healthCheck, scheduler.Error, fields.LoadReport)
	case finished.receipt:
	default:
		events.LateResponse(0)
		return false, nil
	}
	return true, nil
}

// finish removes and returns the unfinished item that a response matches.
func (c *connection) finish(frame workerframe.Frame) finishedItem {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.received = true
	defer c.wakeUp()
	if isHealthCode(frame.Code) {
		if c.receiptConfirmed(frame.ID) {
			return finishedItem{receipt: true}
		}
		check := c.healthChecks[frame.ID]
		delete(c.healthChecks, frame.ID)
		if check != nil {
			check.ConnectedAt = c.connectedAt
		}
		return finishedItem{healthCheck: check}
	}
	if attempt := c.queue.FinishAttempt(frame.ID); attempt != nil {
		delete(c.client.attempts, attempt)
		if frame.Code != workerframe.OK { // a request with an OK response is not retried under its number
			c.recent.add(frame.ID)
		}
		return finishedItem{attempt: attempt}
	}
	load := c.queue.FinishLoad(frame.ID)
	if load != nil {
		delete(c.client.loads, load)
	}
	return finishedItem{load: load}
}

// isHealthCode reports whether code is that of a response to a health check.
func isHealthCode(code workerframe.Code) bool {
	return code == workerframe.Healthy || code == workerframe.Unhealthy
}
