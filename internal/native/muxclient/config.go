// Package muxclient is the client of one worker that speaks our own protocol (internal/native/muxframe). It keeps one
// multiplexed connection to the worker, makes it again when it breaks, writes what the front end sends, and reports how
// each attempt and load order ended. It knows of every attempt whether the worker may have seen it; the guarantee that a
// non-idempotent request takes effect at most once depends on that.
//
// The status of an attempt that ended, and why:
//
//	event                                                              status              why
//	the connection cannot be made, or not in time                      ConnectFailed       the frame was never sent
//	the connection breaks before the frame was written whole           ConnectFailed       a worker acts on whole frames only
//	removed from the send queue: the worker drains, request cancelled  NotSent             the frame was never sent
//	the connection breaks after the frame was written whole            Reset               it may have executed
//	request cancelled, or its timeout expired, after it was sent       Cancelled, Timeout  it may have executed, or still be executing
//	the worker responds                                                as the worker says
//
// Written means that the bytes were handed to the operating system: from then on they may reach the worker at any time.
//
// Reasons of results and the errors behind them can reach a client, as the detail of a failed request, so their texts are
// not changed lightly.
package muxclient

import (
	"time"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
)

// Events receives what happens on the connection to one worker, as described at workerconn.Events.
type Events interface {
	workerconn.Events
	// Connected reports that there is a connection, with what the worker told of itself.
	Connected(w muxframe.Welcome)
}

// Config is the configuration of a Client. All fields are required unless they say otherwise.
type Config struct {
	Worker         string // name in the list of workers; the worker must respond with it
	Address        string // host:port
	FrontEnd       string // name of this front end, for the worker's records
	ConnectTimeout time.Duration
	Window         int                  // flow control window of one response in bytes, at least 1
	MaxFrame       int                  // longest frame that is accepted, in bytes; 0 for the protocol's bound
	MaxQueue       int                  // frames that may wait to be written before attempts and load orders are rejected
	Seed           uint64               // of the random spread of the reconnect backoff
	Now            func() time.Duration // monotonic clock
	Guard          *workerconn.Guard    // shared with the event loop; nil: nothing is held back
}
