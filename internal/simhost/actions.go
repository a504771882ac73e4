package simhost

import (
	"time"

	"havencart/internal/simwire"
	"havencart/scheduler"
)

// actions writes one instance's actions into the process's reply.
type actions struct {
	reply    *simwire.Reply
	instance uint32
}

func (a actions) on() *simwire.Reply {
	a.reply.For(a.instance)
	return a.reply
}

func (a actions) Send(r scheduler.RequestID, w scheduler.WorkerID, until time.Duration) {
	a.on().Send(r, w, until)
}
func (a actions) Reject(r scheduler.RequestID, retryAfter time.Duration) {
	a.on().Reject(r, retryAfter)
}
func (a actions) Fail(r scheduler.RequestID)                          { a.on().Fail(r) }
func (a actions) Cancel(r scheduler.RequestID, attempt int)           { a.on().Cancel(r, attempt) }
func (a actions) Unload(w scheduler.WorkerID, f scheduler.FunctionID) { a.on().Unload(w, f) }
func (a actions) CheckHealth(w scheduler.WorkerID)                    { a.on().CheckHealth(w) }
func (a actions) SetTimer(after time.Duration, token uint64)          { a.on().SetTimer(after, token) }
func (a actions) WatchEndpoints()                                     { a.on().WatchEndpoints() }
func (a actions) Log(text string)                                     { a.on().Log(text) }
func (a actions) Load(w scheduler.WorkerID, f scheduler.FunctionID, copies int) {
	a.on().Load(w, f, copies)
}
