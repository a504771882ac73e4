// Package muxclient keeps one multiplexed connection to a worker: it dials and dials again, writes what the
// front end sends, tells it how each attempt and order ended, and knows of every attempt whether the worker
// can have seen it. On that rests the rule that no effect happens twice.
//
// What each end of an attempt says, and why:
//
//	the connection could not be had, or not in time          ConnectFailed  the frame never left
//	the connection broke before the whole frame was written  ConnectFailed  a worker acts on whole frames only
//	taken back before it left: drained, called back          Moot           the frame never left
//	the connection broke after the whole frame was written   Reset          it may have run
//	called back, or its time was up, after it left           Cancelled, Timeout  it may have run, or run still
//	the worker answered                                      as it says
//
// Writing is handing bytes to the system: from then on they may reach the worker at any time.
package muxclient

import (
	"time"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
)

// Events is told what happens on a connection to a worker of this protocol, as workerconn.Events.
type Events interface {
	workerconn.Events
	// Connected tells that a connection stands, with what the worker said of itself.
	Connected(w muxframe.Welcome)
}

// Config is what a Link needs to know.
type Config struct {
	Worker         string // name in the list of workers; the worker must answer to it
	Address        string // host:port
	FrontEnd       string // how this front end calls itself
	ConnectTimeout time.Duration
	Window         int                  // bytes of one answer that may wait here, at least 1
	MaxFrame       int                  // bytes; 0: the protocol's bound
	MaxQueue       int                  // attempts and orders that may wait to be written
	Seed           uint64               // of the spread of dialling again
	Now            func() time.Duration // monotonic
}
