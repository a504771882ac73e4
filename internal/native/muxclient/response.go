package muxclient

import (
	"fmt"
	"math"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// statuses maps the statuses of the protocol to those of the scheduler.
var statuses = map[muxframe.Status]scheduler.Status{
	muxframe.StatusOK:         scheduler.OK,
	muxframe.StatusError:      scheduler.Error,
	muxframe.StatusOverloaded: scheduler.Overloaded,
	muxframe.StatusNotLoaded:  scheduler.NotLoaded,
}

// coldStarts maps the cold start values of the protocol to those of the scheduler.
var coldStarts = map[muxframe.ColdStart]scheduler.ColdStart{
	muxframe.WarmStart:          scheduler.WarmStart,
	muxframe.ColdStartTriggered: scheduler.ColdStartTriggered,
	muxframe.ColdStartAwaited:   scheduler.ColdStartAwaited,
	muxframe.ColdStartFailed:    scheduler.ColdStartFailed,
}

// resultOf returns the result reported in the header of a response, without the body. It returns an error if the status
// is unknown, or if a failure is announced as a response in several parts.
func resultOf(response muxframe.Response) (workerconn.Result, error) {
	status, known := statuses[response.Status]
	isFailureWithParts := response.More && status != scheduler.OK
	if !known || isFailureWithParts {
		return workerconn.Result{}, fmt.Errorf("%w: answer with status %d, more %t", muxframe.ErrMalformed, response.Status, response.More)
	}
	result := workerconn.Result{
		Status:     status,
		Reason:     response.FailureReason,
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

// runTime converts the run time reported by a worker from milliseconds. It returns 0 if the value is not positive,
// which means that it was not reported, or is too large.
func runTime(millis float64) time.Duration {
	const limit = float64(math.MaxInt64 / time.Millisecond)
	if millis > 0 && millis < limit {
		return time.Duration(millis * float64(time.Millisecond))
	}
	return 0
}

// responseOutcome is the effect of a RESPONSE frame on the attempt with its stream ID.
type responseOutcome int

const (
	responseComplete       responseOutcome = iota // the frame ends the attempt
	responseStarted                               // the frame starts the response; DATA and END follow
	responseLate                                  // the attempt is no longer in flight
	responseUnexpected                            // the stream ID was never issued, or its response has already started
	responseExceededWindow                        // the first part of the response exceeds the flow control window
)

// handleResponse processes a RESPONSE frame: a complete response to an attempt, or the first part of a response.
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
	result.Response.Body = append([]byte(nil), frame.Body...) // frame.Body is only valid until the next frame is read
	c.events.AttemptEnded(attempt, result)
	return nil
}

// acceptResponse applies a RESPONSE frame to its attempt and returns the attempt and the outcome. It holds the lock
// throughout, so that Abandon takes effect either before or after it. If the frame starts a response, acceptResponse
// stores the stream and the declared length in result.
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
	result.Response.Stream = workerconn.NewStream(c.cfg.Window, func(bytes int) { c.sendCredit(streamID, bytes) })
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

// wasIssued reports whether a stream ID has been issued to an attempt or load order. The caller must hold the lock.
func (c *Client) wasIssued(streamID uint32) bool {
	return streamID != 0 && streamID-1 < c.lastStreamID
}

// errWindowExceeded returns the error for a worker that sent more of a response than the flow control window and its
// credit allow.
func errWindowExceeded(streamID uint32) error {
	return fmt.Errorf("%w: more of the answer to call %d than was allowed", muxframe.ErrMalformed, streamID)
}

// sendCredit queues a CREDIT frame that allows the worker to send more bytes of a response, unless the attempt is no
// longer in flight.
func (c *Client) sendCredit(streamID uint32, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue.InFlightAttempt(uint64(streamID)) == nil {
		return
	}
	c.push(controlFrame{frameType: muxframe.TypeCredit, streamID: streamID, header: muxframe.Credit{Bytes: uint32(bytes)}})
}

// handleData processes the next part of a response. It drops the part if the attempt is no longer in flight.
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

// handleEnd processes the end of a response that was received in parts. It drops the frame if the attempt is no longer
// in flight.
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

// finishStarted ends the attempt with the given stream ID if its response has started. It returns the attempt, or nil
// if none is in flight, and the result as passed to ResponseStarted, or nil if the response has not started.
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
