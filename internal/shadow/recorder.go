package shadow

import (
	"time"

	"havencart/scheduler"
)

// answer is a final answer: refused with an advice, or failed.
type answer struct {
	failed     bool
	retryAfter time.Duration
}

type order struct {
	worker   scheduler.WorkerID
	function scheduler.FunctionID
	copies   int
}

type attempt struct {
	request scheduler.RequestID
	number  int
}

// recorder notes what is asked of it in one event, and passes it on.
type recorder struct {
	scheduler.Actions
	sent     map[scheduler.RequestID]scheduler.WorkerID
	answered map[scheduler.RequestID]answer
	orders   map[order]bool
	canceled map[attempt]bool
}

func newRecorder(a scheduler.Actions) *recorder {
	return &recorder{a, map[scheduler.RequestID]scheduler.WorkerID{}, map[scheduler.RequestID]answer{}, map[order]bool{}, map[attempt]bool{}}
}

func (r *recorder) reset() {
	clear(r.sent)
	clear(r.answered)
	clear(r.orders)
	clear(r.canceled)
}

func (r *recorder) Send(id scheduler.RequestID, w scheduler.WorkerID, until time.Duration) {
	r.sent[id] = w
	r.Actions.Send(id, w, until)
}

func (r *recorder) Reject(id scheduler.RequestID, retryAfter time.Duration) {
	r.answered[id] = answer{retryAfter: retryAfter}
	r.Actions.Reject(id, retryAfter)
}

func (r *recorder) Fail(id scheduler.RequestID) {
	r.answered[id] = answer{failed: true}
	r.Actions.Fail(id)
}

func (r *recorder) Cancel(id scheduler.RequestID, number int) {
	r.canceled[attempt{id, number}] = true
	r.Actions.Cancel(id, number)
}

func (r *recorder) Load(w scheduler.WorkerID, f scheduler.FunctionID, copies int) {
	r.orders[order{w, f, copies}] = true
	r.Actions.Load(w, f, copies)
}

// nothing carries out nothing.
type nothing struct{}

func (nothing) Send(scheduler.RequestID, scheduler.WorkerID, time.Duration) {}
func (nothing) Reject(scheduler.RequestID, time.Duration)                   {}
func (nothing) Fail(scheduler.RequestID)                                    {}
func (nothing) Cancel(scheduler.RequestID, int)                             {}
func (nothing) Load(scheduler.WorkerID, scheduler.FunctionID, int)          {}
func (nothing) Unload(scheduler.WorkerID, scheduler.FunctionID)             {}
func (nothing) CheckHealth(scheduler.WorkerID)                              {}
func (nothing) SetTimer(time.Duration, uint64)                              {}
func (nothing) WatchEndpoints()                                             {}
func (nothing) Log(string)                                                  {}
