// Package workerconn is what the clients of both worker protocols share: what they send and how it ends.
package workerconn

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
	// Down tells that there is no connection, and why.
	Disconnected(why error)
	// Late tells of an answer that nobody waits for any longer.
	LateResponse(number uint32)
}

// Number is the one that the attempt was pushed under.
func (a *Attempt) Number() uint64 { return a.number }

// Reject notes that a client did not take the attempt on: it never left.
func (a *Attempt) Reject() { a.state = unsent }

// Reject notes that a client did not take the order on.
func (o *LoadOrder) Reject() { o.state = ended }
