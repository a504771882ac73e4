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
	"havencart/scheduler"
)

// Result is how an attempt ended.
type Result struct {
	Status     scheduler.Status
	Reason     string // for people
	ColdStart  scheduler.ColdStart
	QueueDepth int // -1 where not told
	LoadReport []float64
	RunTime    time.Duration // that the run took, without what the call waited; 0: not told
	Response   *Response     // the worker's, where it gave one
	ReceivedAt time.Duration // when its answer was read, on the clock of Config.Now; 0: not told
}

// Answer is what a worker answered.
type Response struct {
	Type   string // content type
	Body   []byte // all of it, where Stream is nil
	Length int64  // of the whole answer in bytes, -1 where not known
	Stream *Stream
}

// Attempt is one attempt of a call at one worker. The exported fields are the caller's and stay as they are
// from Send on; the others belong to the link.
type Attempt struct {
	Request  muxframe.Request
	Body     []byte
	Deadline time.Duration // nobody waits after this; on the clock of Config.Now

	number uint64
	state  state
	stream *Stream
	begun  *Result // what the answer said when it began
}

// state is where an attempt or an order stands.
type state uint8

const (
	idle    state = iota
	queued        // waits here; can be taken back
	leaving       // being written: it may or may not have left
	left          // the worker may have it
	ended         // its end was told, or it was abandoned; the worker may have had it
	unsent        // the same, and it never left
)

// Order is one order to load, or the question how many copies stand.
type LoadOrder struct {
	Load muxframe.LoadOrder

	number uint64
	state  state
}

// Events is told what happens on a link. It is called from the link's goroutines, never from a method of the
// link and never with a lock held. It may block: then the link stops reading.
type Events interface {
	// Began tells that an answer begins to come; Ended follows when it is complete or broke off.
	ResponseStarted(a *Attempt, r Result)
	// Ended tells the end of an attempt, once, unless it was abandoned.
	AttemptEnded(a *Attempt, r Result)
	// OrderEnded tells the answer to an order, once, unless it was abandoned.
	LoadEnded(o *LoadOrder, s scheduler.Status, copies int)
	// Probed tells the answer to a probe, or that none can come.
	HealthChecked(s scheduler.Status, report []float64)
	// Up tells that a connection stands, with what the worker said of itself.
	Connected(w muxframe.Welcome)
	// Down tells that there is no connection, and why.
	Disconnected(why error)
	// Late tells of an answer that nobody waits for any longer.
	LateResponse(number uint32)
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
