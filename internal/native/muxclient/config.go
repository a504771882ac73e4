// Package muxclient implements the client of one worker that uses the native protocol (internal/native/muxframe). It
// maintains one multiplexed connection to the worker, reconnects when the connection breaks, sends the attempts and
// load orders of the front end, and reports their results. For every attempt it tracks whether the worker may have seen
// it; the guarantee that a non-idempotent request takes effect at most once depends on that.
//
// Status of an attempt by the event that ended it:
//
//	event                                                     status              reason
//	connecting failed or timed out                            ConnectFailed       the frame was never sent
//	connection broke before the frame was completely written  ConnectFailed       a worker ignores incomplete frames
//	removed from the send queue because the worker drains     NotSent             the frame was never sent
//	or the request was cancelled
//	connection broke after the frame was completely written   Reset               the attempt may have executed
//	request cancelled or timed out after the frame was sent   Cancelled, Timeout  the attempt may have executed or
//	                                                                              may still be executing
//	the worker responded                                      as reported by the worker
//
// A frame counts as written when all its bytes were handed to the operating system. From then on it may reach the
// worker at any time.
//
// Reasons of results and the errors that they are made from can reach clients as the detail of a failed request. Avoid
// changing their texts.
package muxclient

import (
	"time"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
)

// Events receives the events of the connection to one worker. Its methods are called as described at workerconn.Events.
type Events interface {
	workerconn.Events
	// Connected reports that a connection was established. w is the worker's message of the handshake.
	Connected(w muxframe.Welcome)
}

// Config is the configuration of a Client. All fields are required unless their comments say otherwise.
type Config struct {
	Worker         string                 // name in the endpoint list; the worker must report the same name
	Address        string                 // host:port of the worker
	FrontEnd       string                 // name of this front end, for the worker's log records
	ConnectTimeout time.Duration          // timeout for connecting, including the handshake
	Window         int                    // flow control window of one response in bytes, at least 1
	MaxFrame       int                    // largest frame accepted from the worker, in bytes; 0 for muxframe.MaxFrame
	MaxQueue       int                    // number of queued frames at which attempts and load orders are rejected
	Seed           uint64                 // random seed for the jitter of the reconnect backoff
	Now            func() time.Duration   // monotonic clock
	Guard          *workerconn.WriteGuard // shared with the event loop; nil to send without restrictions
}
