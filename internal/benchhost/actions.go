package benchhost

import (
	"time"

	"havencart/control"
	"havencart/internal/benchwire"
)

// actions writes one instance's actions into the process's reply.
type actions struct {
	reply    *benchwire.Reply
	instance uint32
}

func (a actions) on() *benchwire.Reply {
	a.reply.For(a.instance)
	return a.reply
}

func (a actions) Send(r control.RequestID, w control.WorkerID, until time.Duration) {
	a.on().Send(r, w, until)
}
func (a actions) Refuse(r control.RequestID, retryAfter time.Duration) { a.on().Refuse(r, retryAfter) }
func (a actions) Fail(r control.RequestID)                             { a.on().Fail(r) }
func (a actions) Cancel(r control.RequestID, attempt int)              { a.on().Cancel(r, attempt) }
func (a actions) Unload(w control.WorkerID, f control.FunctionID)      { a.on().Unload(w, f) }
func (a actions) Probe(w control.WorkerID)                             { a.on().Probe(w) }
func (a actions) Wake(after time.Duration, token uint64)               { a.on().Wake(after, token) }
func (a actions) Follow()                                              { a.on().Follow() }
func (a actions) Log(text string)                                      { a.on().Log(text) }
func (a actions) Load(w control.WorkerID, f control.FunctionID, copies int) {
	a.on().Load(w, f, copies)
}
