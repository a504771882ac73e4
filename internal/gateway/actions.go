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
	request, w := f.requests[id], f.workers[to]
	if request == nil {
		f.log.Error().Uint32("request", uint32(id)).Msg("send of a call that is not in hand")
		return
	}
	if until <= 0 || until > request.deadline {
		until = request.deadline
	}
	a := &attempt{Attempt: muxclient.Attempt{Body: request.Body, Deadline: until, Request: muxframe.Request{Replica: request.Replica, ID: request.ID,
		Attempt: request.attempts, Class: f.settings.Classes[request.Class], Tenant: f.tenantName(request.Tenant), IdempotencyKey: request.IdempotencyKey}},
		request: request, number: request.attempts, worker: w, sentAt: f.now}
	request.attempts++
	request.current = a
	f.counts.Attempts++
	if w == nil || request.state != requestInFlight || until <= f.now {
		f.deferred = append(f.deferred, func() { f.endAttempt(a, muxclient.Result{Status: scheduler.NotSent, QueueDepth: -1}) })
		return
	}
	f.attempts[&a.Attempt] = a
	a.timer = timer{due: until, attempt: a}
	f.timers.add(&a.timer)
	if r := w.client.Send(&a.Attempt); r != nil {
		f.deferred = append(f.deferred, func() { f.endAttempt(a, *r) })
	}
}

func (f *FrontEnd) tenantName(n int) string {
	if n < len(f.settings.Tenants) {
		return f.settings.Tenants[n]
	}
	return ""
}

// Refuse gives the final answer that promises that a repeat does no harm.
func (f *FrontEnd) Reject(id scheduler.RequestID, retryAfter time.Duration) {
	if request := f.requests[id]; request != nil {
		why := "no worker could answer in time"
		if request.lastReason != "" {
			why += "; last: " + request.lastReason
		}
		f.respond(request, FinalResponse{Kind: Rejected, Reason: why, RetryAfter: retryAfter})
	}
}

// Fail gives the final answer that promises nothing.
func (f *FrontEnd) Fail(id scheduler.RequestID) {
	if request := f.requests[id]; request != nil {
		f.respond(request, FinalResponse{Kind: Failed, Reason: request.lastReason, TimedOut: request.lastStatus == scheduler.Timeout || request.lastStatus == scheduler.Cancelled})
	}
}

// Cancel stops waiting for an attempt.
func (f *FrontEnd) Cancel(id scheduler.RequestID, number int) {
	request := f.requests[id]
	if request == nil || request.current == nil || request.current.number != number || request.current.begun {
		return
	}
	a := request.current
	f.deferred = append(f.deferred, func() { f.abandonAttempt(a, scheduler.Cancelled, "called back") })
}

// Load orders copies held, or asks how many stand.
func (f *FrontEnd) Load(to scheduler.WorkerID, id scheduler.FunctionID, copies int) {
	w, fn := f.workers[to], f.functions[id]
	o := &loadOrder{worker: w, function: id, sentAt: f.now}
	if w == nil || fn == nil {
		f.deferred = append(f.deferred, func() {
			f.scheduler.LoadEnded(f.now, scheduler.LoadResult{Worker: to, Function: id, Status: scheduler.ConnectFailed})
		})
		return
	}
	if copies > 0 {
		f.counts.LoadOrders++
	} else {
		f.counts.ResidencyQueries++
	}
	o.LoadOrder.Load = muxframe.LoadOrder{Replica: fn.replica, Replicas: copies}
	f.loadOrders[&o.LoadOrder] = o
	o.timer = timer{due: f.now + f.settings.Scheduler.LoadOrderTimeout, loadOrder: o}
	f.timers.add(&o.timer)
	if status := w.client.Load(&o.LoadOrder); status != 0 {
		f.deferred = append(f.deferred, func() { f.endLoadOrder(o, status, 0) })
	}
}

// Unload has the idle copies of a function unloaded.
func (f *FrontEnd) Unload(to scheduler.WorkerID, id scheduler.FunctionID) {
	if w, fn := f.workers[to], f.functions[id]; w != nil && fn != nil {
		w.client.Unload(fn.replica.Function)
	}
}

// Probe asks a worker for its load.
func (f *FrontEnd) CheckHealth(to scheduler.WorkerID) {
	if w := f.workers[to]; w != nil {
		f.counts.HealthChecks++
		w.healthChecks = append(w.healthChecks, f.now)
		w.client.CheckHealth()
	}
}

// Wake sets a timer of the module's.
func (f *FrontEnd) SetTimer(after time.Duration, token uint64) {
	f.timers.add(&timer{due: f.now + max(after, f.settings.Scheduler.Resolution), wake: true, schedulerToken: token})
}

// Follow asks the directory anew.
func (f *FrontEnd) WatchEndpoints() { f.dependencies.WatchEndpoints() }

// Log writes a line of the module's.
func (f *FrontEnd) Log(text string) { f.log.Info().Str("from", "module").Msg(text) }
