package gateway

import (
	"time"

	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// This file carries out what the module asks: Front is its control.Actions. What comes back at once is told
// to the module after its turn, never within it.

// Send starts an attempt.
func (f *FrontEnd) Send(id scheduler.RequestID, to scheduler.WorkerID, until time.Duration) {
	c, w := f.calls[id], f.workers[to]
	if c == nil {
		f.log.Error().Uint32("request", uint32(id)).Msg("send of a call that is not in hand")
		return
	}
	if until <= 0 || until > c.deadline {
		until = c.deadline
	}
	a := &attempt{Attempt: muxclient.Attempt{Body: c.Body, Deadline: until, Request: muxframe.Request{Replica: c.Replica, ID: c.ID,
		Attempt: c.attempts, Class: f.set.Classes[c.Class], Tenant: f.tenant(c.Tenant), IdempotencyKey: c.IdempotencyKey}},
		call: c, number: c.attempts, worker: w, sent: f.now}
	c.attempts++
	c.out = a
	f.counts.Attempts++
	if w == nil || c.state != waiting || until <= f.now {
		f.later = append(f.later, func() { f.ended(a, muxclient.Result{Status: scheduler.NotSent, QueueDepth: -1}) })
		return
	}
	f.attempts[&a.Attempt] = a
	a.timer = timer{at: until, attempt: a}
	f.timers.set(&a.timer)
	if r := w.link.Send(&a.Attempt); r != nil {
		f.later = append(f.later, func() { f.ended(a, *r) })
	}
}

func (f *FrontEnd) tenant(n int) string {
	if n < len(f.set.Tenants) {
		return f.set.Tenants[n]
	}
	return ""
}

// Refuse gives the final answer that promises that a repeat does no harm.
func (f *FrontEnd) Reject(id scheduler.RequestID, retryAfter time.Duration) {
	if c := f.calls[id]; c != nil {
		why := "no worker could answer in time"
		if c.why != "" {
			why += "; last: " + c.why
		}
		f.final(c, FinalResponse{Kind: Rejected, Reason: why, RetryAfter: retryAfter})
	}
}

// Fail gives the final answer that promises nothing.
func (f *FrontEnd) Fail(id scheduler.RequestID) {
	if c := f.calls[id]; c != nil {
		f.final(c, FinalResponse{Kind: Failed, Reason: c.why, TimedOut: c.last == scheduler.Timeout || c.last == scheduler.Cancelled})
	}
}

// Cancel stops waiting for an attempt.
func (f *FrontEnd) Cancel(id scheduler.RequestID, number int) {
	c := f.calls[id]
	if c == nil || c.out == nil || c.out.number != number || c.out.begun {
		return
	}
	a := c.out
	f.later = append(f.later, func() { f.giveUp(a, scheduler.Cancelled, "called back") })
}

// Load orders copies held, or asks how many stand.
func (f *FrontEnd) Load(to scheduler.WorkerID, id scheduler.FunctionID, copies int) {
	w, fn := f.workers[to], f.functions[id]
	o := &order{worker: w, function: id, given: f.now}
	if w == nil || fn == nil {
		f.later = append(f.later, func() {
			f.module.LoadEnded(f.now, scheduler.LoadResult{Worker: to, Function: id, Status: scheduler.ConnectFailed})
		})
		return
	}
	if copies > 0 {
		f.counts.LoadOrders++
	} else {
		f.counts.ResidencyQueries++
	}
	o.LoadOrder.Load = muxframe.LoadOrder{Replica: fn.copy, Replicas: copies}
	f.orders[&o.LoadOrder] = o
	o.timer = timer{at: f.now + f.set.Scheduler.LoadOrderTimeout, order: o}
	f.timers.set(&o.timer)
	if status := w.link.Load(&o.LoadOrder); status != 0 {
		f.later = append(f.later, func() { f.orderEnded(o, status, 0) })
	}
}

// Unload has the idle copies of a function unloaded.
func (f *FrontEnd) Unload(to scheduler.WorkerID, id scheduler.FunctionID) {
	if w, fn := f.workers[to], f.functions[id]; w != nil && fn != nil {
		w.link.Unload(fn.copy.Function)
	}
}

// Probe asks a worker for its load.
func (f *FrontEnd) CheckHealth(to scheduler.WorkerID) {
	if w := f.workers[to]; w != nil {
		f.counts.HealthChecks++
		w.probes = append(w.probes, f.now)
		w.link.CheckHealth()
	}
}

// Wake sets a timer of the module's.
func (f *FrontEnd) SetTimer(after time.Duration, token uint64) {
	f.timers.set(&timer{at: f.now + max(after, f.set.Scheduler.Resolution), wake: true, token: token})
}

// Follow asks the directory anew.
func (f *FrontEnd) WatchEndpoints() { f.outside.WatchEndpoints() }

// Log writes a line of the module's.
func (f *FrontEnd) Log(text string) { f.log.Info().Str("from", "module").Msg(text) }
