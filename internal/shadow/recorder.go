package shadow

import (
	"time"

	"havencart/scheduler"
)

// responseKind is the kind of a final response that the scheduler gives without a response of a worker.
type responseKind int

const (
	rejected responseKind = iota
	failed
)

// finalResponse is the final response to a request that the scheduler rejected or failed.
type finalResponse struct {
	kind       responseKind
	retryAfter time.Duration // retry advice of a rejection
}

// loadOrder is an order to load replicas of a function, or a residency query.
type loadOrder struct {
	worker   scheduler.WorkerID
	function scheduler.FunctionID
	replicas int // 0 for a residency query
}

func (o loadOrder) isResidencyQuery() bool { return o.replicas <= 0 }

// attempt identifies one attempt of a request.
type attempt struct {
	request scheduler.RequestID
	number  int
}

// recorder forwards all actions of a scheduler and records the compared ones until the next event. Timers, log lines,
// health checks, watches of the endpoint list and unload orders are not compared.
type recorder struct {
	scheduler.Actions
	sent      map[scheduler.RequestID]scheduler.WorkerID
	responses map[scheduler.RequestID]finalResponse
	orders    map[loadOrder]bool
	cancelled map[attempt]bool
}

func newRecorder(actions scheduler.Actions) *recorder {
	return &recorder{
		Actions:   actions,
		sent:      map[scheduler.RequestID]scheduler.WorkerID{},
		responses: map[scheduler.RequestID]finalResponse{},
		orders:    map[loadOrder]bool{},
		cancelled: map[attempt]bool{},
	}
}

// reset discards the recorded actions. The maps are reused, because reset is called for every event.
func (r *recorder) reset() {
	clear(r.sent)
	clear(r.responses)
	clear(r.orders)
	clear(r.cancelled)
}

func (r *recorder) Send(id scheduler.RequestID, w scheduler.WorkerID, deadline time.Duration) {
	r.sent[id] = w
	r.Actions.Send(id, w, deadline)
}

func (r *recorder) Reject(id scheduler.RequestID, retryAfter time.Duration, cause scheduler.FinishCause) {
	r.responses[id] = finalResponse{kind: rejected, retryAfter: retryAfter}
	r.Actions.Reject(id, retryAfter, cause)
}

func (r *recorder) Fail(id scheduler.RequestID, cause scheduler.FinishCause) {
	r.responses[id] = finalResponse{kind: failed}
	r.Actions.Fail(id, cause)
}

func (r *recorder) Cancel(id scheduler.RequestID, number int) {
	r.cancelled[attempt{id, number}] = true
	r.Actions.Cancel(id, number)
}

func (r *recorder) Load(w scheduler.WorkerID, f scheduler.FunctionID, replicas int) {
	r.orders[loadOrder{w, f, replicas}] = true
	r.Actions.Load(w, f, replicas)
}

// discardActions implements scheduler.Actions without effect, for the copies of the running scheduler.
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
