package simhost

import (
	"time"

	"havencart/internal/simwire"
	"havencart/scheduler"
)

// instanceActions implements scheduler.Actions for one instance. It appends each action to the reply of the process.
type instanceActions struct {
	reply    *simwire.Reply
	instance uint32
}

// selected selects the instance in the reply and returns the reply.
func (a instanceActions) selected() *simwire.Reply {
	a.reply.SelectInstance(a.instance)
	return a.reply
}

func (a instanceActions) Send(r scheduler.RequestID, w scheduler.WorkerID, deadline time.Duration) {
	a.selected().Send(r, w, deadline)
}

func (a instanceActions) Reject(r scheduler.RequestID, retryAfter time.Duration, _ scheduler.FinishCause) {
	a.selected().Reject(r, retryAfter)
}

func (a instanceActions) Fail(r scheduler.RequestID, _ scheduler.FinishCause) {
	a.selected().Fail(r)
}

func (a instanceActions) Cancel(r scheduler.RequestID, attempt int) { a.selected().Cancel(r, attempt) }

func (a instanceActions) Load(w scheduler.WorkerID, f scheduler.FunctionID, replicas int) {
	a.selected().Load(w, f, replicas)
}

func (a instanceActions) Unload(w scheduler.WorkerID, f scheduler.FunctionID) {
	a.selected().Unload(w, f)
}

func (a instanceActions) CheckHealth(w scheduler.WorkerID) { a.selected().CheckHealth(w) }

func (a instanceActions) SetTimer(after time.Duration, token uint64) {
	a.selected().SetTimer(after, token)
}

func (a instanceActions) WatchEndpoints() { a.selected().WatchEndpoints() }

func (a instanceActions) Log(text string) { a.selected().Log(text) }
