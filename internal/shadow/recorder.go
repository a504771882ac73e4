package shadow

import (
	"time"

	"havencart/scheduler"
)

// answerKind is the kind of a final answer that a scheduler gives itself.
type answerKind int

const (
	rejected answerKind = iota
	failed
)

// finalAnswer is a request's final answer.
type finalAnswer struct {
	kind       answerKind
	retryAfter time.Duration // advice with a rejection
}

// loadOrder is an order to load replicas, or a residency query.
type loadOrder struct {
	worker   scheduler.WorkerID
	function scheduler.FunctionID
	replicas int // 0: a residency query
}

func (o loadOrder) isResidencyQuery() bool { return o.replicas <= 0 }

// attempt identifies one attempt of a request.
type attempt struct {
	request scheduler.RequestID
	number  int
}

// recorder records the actions of one event that are compared, and passes all actions on. Timers, lines of the log,
// health checks, watching endpoints and unloading are not compared.
type recorder struct {
	scheduler.Actions
	sent     map[scheduler.RequestID]scheduler.WorkerID
	answers  map[scheduler.RequestID]finalAnswer
	orders   map[loadOrder]bool
	canceled map[attempt]bool
}

func newRecorder(actions scheduler.Actions) *recorder {
	return &recorder{
		Actions:  actions,
		sent:     map[scheduler.RequestID]scheduler.WorkerID{},
		answers:  map[scheduler.RequestID]finalAnswer{},
		orders:   map[loadOrder]bool{},
		canceled: map[attempt]bool{},
	}
}

// reset drops the record; the maps are reused, as there are many events.
func (r *recorder) reset() {
	clear(r.sent)
	clear(r.answers)
	clear(r.orders)
	clear(r.canceled)
}

func (r *recorder) Send(id scheduler.RequestID, w scheduler.WorkerID, deadline time.Duration) {
	r.sent[id] = w
	r.Actions.Send(id, w, deadline)
}

func (r *recorder) Reject(id scheduler.RequestID, retryAfter time.Duration, cause scheduler.FinishCause) {
	r.answers[id] = finalAnswer{kind: rejected, retryAfter: retryAfter}
	r.Actions.Reject(id, retryAfter, cause)
}

func (r *recorder) Fail(id scheduler.RequestID, cause scheduler.FinishCause) {
	r.answers[id] = finalAnswer{kind: failed}
	r.Actions.Fail(id, cause)
}

func (r *recorder) Cancel(id scheduler.RequestID, number int) {
	r.canceled[attempt{id, number}] = true
	r.Actions.Cancel(id, number)
}

func (r *recorder) Load(w scheduler.WorkerID, f scheduler.FunctionID, replicas int) {
	r.orders[loadOrder{w, f, replicas}] = true
	r.Actions.Load(w, f, replicas)
}

// discardActions carries out no action: those of the copy have no effect.
type discardActions struct{}

func (discardActions) Send(scheduler.RequestID, scheduler.WorkerID, time.Duration)      {}
func (discardActions) Reject(scheduler.RequestID, time.Duration, scheduler.FinishCause) {}
func (discardActions) Fail(scheduler.RequestID, scheduler.FinishCause)                  {}
func (discardActions) Cancel(scheduler.RequestID, int)                                  {}
func (discardActions) Load(scheduler.WorkerID, scheduler.FunctionID, int)               {}
func (discardActions) Unload(scheduler.WorkerID, scheduler.FunctionID)                  {}
func (discardActions) CheckHealth(scheduler.WorkerID)                                   {}
func (discardActions) SetTimer(time.Duration, uint64)                                   {}
func (discardActions) WatchEndpoints()                                                  {}
func (discardActions) Log(string)                                                       {}
