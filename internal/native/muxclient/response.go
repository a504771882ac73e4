package muxclient

import (
	"fmt"
	"math"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// statuses has the scheduler's status for each of the protocol.
var statuses = map[muxframe.Status]scheduler.Status{
	muxframe.StatusOK:         scheduler.OK,
	muxframe.StatusError:      scheduler.Error,
	muxframe.StatusOverloaded: scheduler.Overloaded,
	muxframe.StatusNotLoaded:  scheduler.NotLoaded,
}

// coldStarts has the scheduler's term for each of the protocol.
var coldStarts = map[muxframe.ColdStart]scheduler.ColdStart{
	muxframe.WarmStart:          scheduler.WarmStart,
	muxframe.ColdStartTriggered: scheduler.ColdStartTriggered,
	muxframe.ColdStartAwaited:   scheduler.ColdStartAwaited,
	muxframe.ColdStartFailed:    scheduler.ColdStartFailed,
}

// resultOf returns the result that a response reports, without the body.
func resultOf(response muxframe.Response) (workerconn.Result, error) {
	status, known := statuses[response.Status]
	isFailureWithParts := response.More && status != scheduler.OK
	if !known || isFailureWithParts {
		return workerconn.Result{}, fmt.Errorf("%w: answer with status %d, more %t", muxframe.ErrMalformed, response.Status, response.More)
	}
	result := workerconn.Result{
		Status:     status,
		Reason:     response.Problem,
		ColdStart:  coldStarts[response.ColdStart],
		QueueDepth: -1,
		LoadReport: response.LoadReport,
		RunTime:    runTime(response.RunMillis),
	}
	if response.QueueDepth != nil {
		result.QueueDepth = max(0, *response.QueueDepth)
	}
	return result, nil
}

// runTime converts a worker's run time in milliseconds, 0 if it is not reported or out of range.
func runTime(millis float64) time.Duration {
	const limit = float64(math.MaxInt64 / time.Millisecond)
	if millis > 0 && millis < limit {
		return time.Duration(millis * float64(time.Millisecond))
	}
	return 0
}

// responseOutcome is what a RESPONSE frame means for the attempt whose stream ID it has.
type responseOutcome int

const (
	responseComplete       responseOutcome = iota // it ends the attempt
	responseStarted                               // DATA and END follow
	responseLate                                  // nobody waits for it any longer
	responseUnexpected                            // the stream ID was never given, or the response has started before
	responseExceededWindow                        // its first part is longer than the flow control window
)

// handleResponse processes the whole response to an attempt, or the start of one that arrives in parts.
func (c *Client) handleResponse(frame muxframe.Frame) error {
	var response muxframe.Response
	if err := frame.Decode(&response); err != nil {
		return err
	}
	result, err := resultOf(response)
	if err != nil {
		return err
	}
	result.Response = &workerconn.Response{ContentType: response.ContentType, Length: int64(len(frame.Body))}
	attempt, outcome := c.acceptResponse(frame, response, &result)
	switch outcome {
	case responseLate:
		c.events.LateResponse(frame.StreamID)
		return nil
	case responseUnexpected:
		return fmt.Errorf("%w: answer to call %d, which is not under way", muxframe.ErrMalformed, frame.StreamID)
	case responseExceededWindow:
		return errWindowExceeded(frame.StreamID)
	case responseStarted:
		c.events.ResponseStarted(attempt, result)
		return nil
	}
	result.Response.Body = append([]byte(nil), frame.Body...) // the frame is valid until the next one is read
	c.events.AttemptEnded(attempt, result)
	return nil
}

// acceptResponse applies a RESPONSE frame to its attempt and returns what it means. It holds the lock throughout, so
// that Abandon takes effect either before or after it. If the response has started, result gets its stream.
func (c *Client) acceptResponse(frame muxframe.Frame, response muxframe.Response, result *workerconn.Result) (*workerconn.Attempt, responseOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	streamID := frame.StreamID
	attempt := c.queue.InFlightAttempt(uint64(streamID))
	switch {
	case attempt == nil && c.wasIssued(streamID):
		return nil, responseLate
	case attempt == nil || c.started[attempt] != nil:
		return nil, responseUnexpected
	case !response.More:
		c.queue.FinishAttempt(uint64(streamID))
		return attempt, responseComplete
	}
	result.Response.Stream = workerconn.NewStream(c.cfg.Window, func(bytes int) { c.giveCredit(streamID, bytes) })
	result.Response.Length = -1
	if response.Length > 0 {
		result.Response.Length = response.Length
	}
	c.started[attempt] = result
	if !result.Response.Stream.Append(frame.Body) {
		return nil, responseExceededWindow
	}
	return attempt, responseStarted
}

// wasIssued tells whether a stream ID was given to an attempt or load order. The lock is held.
func (c *Client) wasIssued(streamID uint32) bool {
	return streamID != 0 && streamID-1 < c.lastStreamID
}

// errWindowExceeded is the error of a worker that sent more of a response than its window and credit allow.
func errWindowExceeded(streamID uint32) error {
	return fmt.Errorf("%w: more of the answer to call %d than was allowed", muxframe.ErrMalformed, streamID)
}

// giveCredit allows the worker to send more bytes of a response that has not ended.
func (c *Client) giveCredit(streamID uint32, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.InFlightAttempt(uint64(streamID)) == nil {
		return
	}
	c.push(controlFrame{kind: muxframe.TypeCredit, streamID: streamID, header: muxframe.Credit{Bytes: uint32(bytes)}})
}

// handleData processes the next part of a response. One that nobody waits for is dropped.
func (c *Client) handleData(frame muxframe.Frame) error {
	c.mu.Lock()
	attempt := c.queue.InFlightAttempt(uint64(frame.StreamID))
	started := c.started[attempt]
	c.mu.Unlock()
	switch {
	case attempt == nil:
		return nil
	case started == nil:
		return fmt.Errorf("%w: data for call %d before its answer", muxframe.ErrMalformed, frame.StreamID)
	case !started.Response.Stream.Append(frame.Body):
		return errWindowExceeded(frame.StreamID)
	}
	return nil
}

// handleEnd processes the end of a response that arrived in parts. One that nobody waits for is dropped.
func (c *Client) handleEnd(frame muxframe.Frame) error {
	var end muxframe.End
	if err := frame.Decode(&end); err != nil {
		return err
	}
	attempt, started := c.finishStarted(frame.StreamID)
	switch {
	case attempt == nil:
		return nil
	case started == nil:
		return fmt.Errorf("%w: end of call %d before its answer", muxframe.ErrMalformed, frame.StreamID)
	}
	result := *started
	if end.Error != "" {
		result.Status = scheduler.Error
		result.Reason = end.Error
		result.Response.Stream.End(fmt.Errorf("%w: %s", workerconn.ErrIncomplete, end.Error))
	} else {
		result.Response.Stream.End(nil)
	}
	c.events.AttemptEnded(attempt, result)
	return nil
}

// finishStarted ends the attempt with a stream ID if its response has started. It returns the attempt, nil if there is
// none, and the response as it started, nil if it has not.
func (c *Client) finishStarted(streamID uint32) (*workerconn.Attempt, *workerconn.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := c.queue.InFlightAttempt(uint64(streamID))
	started := c.started[attempt]
	if started != nil {
		c.queue.FinishAttempt(uint64(streamID))
		delete(c.started, attempt)
	}
	return attempt, started
}
