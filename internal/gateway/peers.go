package gateway

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// This file takes what comes from the workers and the directory.

// WorkerID is the module's name for the worker of a name, the same at all front ends.
func WorkerID(name string) scheduler.WorkerID { return scheduler.WorkerID(xxhash.Sum64String(name)) }

// FunctionID is the module's name for the function of a name, the same at all front ends.
func FunctionID(name string) scheduler.FunctionID {
	return scheduler.FunctionID(xxhash.Sum64String(name))
}

// Listed takes a whole list of workers. Links of workers that drain or are gone take back what has not left
// before the module is told, so that nothing new can leave from here on.
func (f *FrontEnd) EndpointsChanged(now time.Duration, list []discovery.Worker) {
	f.now = now
	infos := make([]scheduler.WorkerInfo, 0, len(list))
	named := map[scheduler.WorkerID]bool{}
	for _, in := range list {
		id := WorkerID(in.Name)
		if named[id] {
			f.log.Error().Str("worker", in.Name).Msg("two workers' names have one hash; this one is left out")
			continue
		}
		named[id] = true
		f.updateWorker(id, in)
		infos = append(infos, scheduler.WorkerInfo{ID: id, Zone: intern(f.zones, in.Zone), Cell: intern(f.cells, in.Cell),
			Kind: intern(f.kinds, in.Kind), Scale: in.Scale, Started: f.startTime(in.Started), State: in.State})
	}
	for _, id := range sortedKeys(f.workers) {
		if !named[id] {
			f.setWorkerState(f.workers[id], scheduler.Removed)
		}
	}
	f.scheduler.WorkersChanged(now, f.incarnations.ObserveList(now, infos), true)
	f.runDeferred()
}

// started turns a wall time into one of the clock.
func (f *FrontEnd) startTime(at time.Time) time.Duration {
	if at.IsZero() {
		return scheduler.UnknownStart
	}
	return at.Sub(f.settings.ClockStart)
}

// meet takes an entry of the list: it opens a link to a new worker, or to one at a new address.
func (f *FrontEnd) updateWorker(id scheduler.WorkerID, in discovery.Worker) {
	w := f.workers[id]
	if w == nil {
		if in.State == scheduler.Removed {
			return // nothing goes there
		}
		w = &worker{id: id}
		f.workers[id] = w
	}
	if w.client == nil || w.Address != in.Address {
		if w.client != nil {
			f.drainClient(w)
			w.previousClients = append(w.previousClients, w.client)
		}
		w.client = f.dependencies.OpenWorker(id, in)
		w.state = scheduler.Ready
	}
	w.Worker = in
	f.setWorkerState(w, in.State)
}

// turn notes a worker's state and shuts or opens its link for new work.
func (f *FrontEnd) setWorkerState(w *worker, state scheduler.WorkerState) {
	if w.state == state {
		return
	}
	f.log.Info().Str("worker", w.Name).Int("state", int(state)).Msg("listed anew")
	was := w.state
	w.state = state
	switch {
	case state == scheduler.Ready:
		w.client.Resume()
	case was == scheduler.Ready:
		f.drainClient(w)
	}
}

// takeBack shuts a link for new work; what had not left ends as never sent.
func (f *FrontEnd) drainClient(w *worker) {
	attempts, orders := w.client.Drain(f.settings.Scheduler.DrainGrace)
	for _, x := range attempts {
		if a := f.attempts[x]; a != nil {
			f.deferred = append(f.deferred, func() {
				f.endAttempt(a, muxclient.Result{Status: scheduler.NotSent, Reason: "the worker drains", QueueDepth: -1})
			})
		}
	}
	for _, x := range orders {
		if o := f.loadOrders[x]; o != nil {
			f.deferred = append(f.deferred, func() { f.endLoadOrder(o, scheduler.Overloaded, 0) })
		}
	}
}

// sweep stops links that nothing needs any longer and forgets functions that nobody calls.
func (f *FrontEnd) sweep() {
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		keep := w.previousClients[:0]
		for _, l := range w.previousClients {
			if l.Busy() {
				keep = append(keep, l)
			} else {
				l.Stop()
			}
		}
		w.previousClients = keep
		if w.state == scheduler.Removed && len(keep) == 0 && !w.client.Busy() {
			w.client.Stop()
			delete(f.workers, id)
		}
	}
	for id, fn := range f.functions {
		if f.now-fn.lastUsed > functionRetention {
			delete(f.functions, id)
		}
	}
}

// ListFailed takes the news that the list could not be had.
func (f *FrontEnd) WatchFailed(now time.Duration, err error) {
	f.now = now
	f.log.Warn().Err(err).Msg("no list of workers; the one of before stays in force")
	f.scheduler.WatchFailed(now)
	f.runDeferred()
}

// Met takes what a worker said on a new connection.
func (f *FrontEnd) WorkerConnected(now time.Duration, id scheduler.WorkerID, in muxframe.Welcome) {
	f.now = now
	w := f.workers[id]
	if w == nil {
		return
	}
	w.disconnected = false
	up := time.Duration(in.UptimeMillis) * time.Millisecond
	f.log.Debug().Str("worker", w.Name).Dur("up", up).Msg("connected")
	if info, news := f.incarnations.ObserveConnection(now, id, in.Incarnation, up); news && w.state == scheduler.Ready {
		f.log.Info().Str("worker", w.Name).Dur("up", up).Msg("started anew, by its own word")
		f.scheduler.WorkersChanged(now, []scheduler.WorkerInfo{info}, false)
	}
	f.runDeferred()
}

// Down takes the news that there is no connection to a worker.
func (f *FrontEnd) WorkerDisconnected(now time.Duration, id scheduler.WorkerID, why error) {
	f.now = now
	if w := f.workers[id]; w != nil && !w.disconnected {
		w.disconnected = true
		f.log.Warn().Str("worker", w.Name).Err(why).Msg("no connection")
	}
}

// Late takes the news of an answer that nobody waits for.
func (f *FrontEnd) LateResponse(time.Duration) { f.counts.LateResponses++ }

// Began takes the beginning of a long answer: it is the final answer, and goes on from here to the client.
func (f *FrontEnd) ResponseStarted(now time.Duration, x *muxclient.Attempt, r muxclient.Result) {
	f.now = now
	a := f.attempts[x]
	if a == nil {
		return
	}
	if a.request.state != requestInFlight {
		f.abandonAttempt(a, scheduler.Cancelled, "nobody waits")
	} else {
		a.begun = true
		f.timers.remove(&a.timer) // a running answer has no time-out; the edge judges its standstill
		f.scheduler.ResponseStarted(now, a.request.id)
		f.respond(a.request, FinalResponse{Kind: Served, Response: r.Response, Worker: a.worker.Name})
	}
	f.runDeferred()
}

// Ended takes the end of an attempt from its link.
func (f *FrontEnd) AttemptEnded(now time.Duration, x *muxclient.Attempt, r muxclient.Result) {
	f.now = now
	if a := f.attempts[x]; a != nil {
		f.endAttempt(a, r)
	}
	f.runDeferred()
}

// giveUp ends an attempt from this side. One that never left ends as that: called back it is moot, and if its
// time passed in the queue there was no connection that took it.
func (f *FrontEnd) abandonAttempt(a *attempt, as scheduler.Status, why string) {
	if a.settled {
		return
	}
	if !a.worker.abandon(a) {
		if as == scheduler.Timeout {
			as, why = scheduler.ConnectFailed, "not sent in time"
		} else {
			as = scheduler.NotSent
		}
	}
	f.endAttempt(a, muxclient.Result{Status: as, Reason: why, QueueDepth: -1})
}

// withdraw takes an attempt back from the link that has it, if it has not begun to leave.
func (w *worker) cancelUnsent(a *attempt) bool {
	return w.client.CancelUnsent(&a.Attempt) ||
		slices.ContainsFunc(w.previousClients, func(l WorkerClient) bool { return l.CancelUnsent(&a.Attempt) })
}

// abandon gives an attempt up on the link that has it.
func (w *worker) abandon(a *attempt) bool {
	left := w.client.Abandon(&a.Attempt)
	for _, l := range w.previousClients {
		left = l.Abandon(&a.Attempt) || left
	}
	return left
}

// ended tells the module the outcome of an attempt, once.
func (f *FrontEnd) endAttempt(a *attempt, r muxclient.Result) {
	if a.settled {
		return
	}
	a.settled = true
	f.timers.remove(&a.timer)
	delete(f.attempts, &a.Attempt)
	request := a.request
	request.current, request.lastStatus, request.lastReason = nil, r.Status, r.Reason
	request.recordStatus(r.Status)
	f.learnCost(a, r)
	if r.Status == scheduler.OK && request.state == requestInFlight {
		f.respond(request, FinalResponse{Kind: Served, Response: r.Response, Worker: a.worker.Name})
	}
	out := scheduler.Outcome{Request: request.id, Attempt: a.number, Status: r.Status, Latency: f.latency(a, r),
		RequestClosed: request.state != requestInFlight, ColdStart: r.ColdStart, QueueDepth: r.QueueDepth, LoadReport: r.LoadReport}
	if a.worker != nil {
		out.Worker = a.worker.id
	}
	f.scheduler.AttemptEnded(f.now, out)
	f.forget(request)
}

// took is how long an attempt took until its answer was read. What the answer then waited for the loop is not the
// worker's: taken for that, a loop that is late would hold back calls from workers that are not.
func (f *FrontEnd) latency(a *attempt, r muxclient.Result) time.Duration {
	if r.ReceivedAt > a.sentAt && r.ReceivedAt < f.now {
		return r.ReceivedAt - a.sentAt
	}
	return f.now - a.sentAt
}

// learnCost learns from an attempt what its function's calls take, without the loads in it.
func (f *FrontEnd) learnCost(a *attempt, r muxclient.Result) {
	fn := a.request.function
	loaded := r.ColdStart == scheduler.ColdStartTriggered || r.ColdStart == scheduler.ColdStartAwaited
	switch {
	case r.RunTime > 0:
		a.request.runTime = r.RunTime
		fn.cost.Told(r.RunTime)
	case r.Status == scheduler.OK && !loaded:
		fn.cost.Seen(f.now - a.sentAt)
	case r.Status == scheduler.Timeout, r.Status == scheduler.Cancelled:
		fn.cost.AtLeast(f.now - a.sentAt)
	}
}

// OrderEnded takes the answer to an order from its link.
func (f *FrontEnd) LoadEnded(now time.Duration, x *muxclient.LoadOrder, s scheduler.Status, copies int) {
	f.now = now
	if o := f.loadOrders[x]; o != nil {
		f.endLoadOrder(o, s, copies)
	}
	f.runDeferred()
}

func (f *FrontEnd) endLoadOrder(o *loadOrder, s scheduler.Status, copies int) {
	if o.ended {
		return
	}
	o.ended = true
	f.timers.remove(&o.timer)
	delete(f.loadOrders, &o.LoadOrder)
	f.scheduler.LoadEnded(f.now, scheduler.LoadResult{Worker: o.worker.id, Function: o.function, Status: s, Latency: f.now - o.sentAt,
		Replicas: copies})
}

// Probed takes the answer to a probe.
func (f *FrontEnd) HealthChecked(now time.Duration, id scheduler.WorkerID, s scheduler.Status, report []float64) {
	f.now = now
	w := f.workers[id]
	if w == nil || len(w.healthChecks) == 0 {
		return
	}
	asked := w.healthChecks[0]
	w.healthChecks = w.healthChecks[1:]
	f.scheduler.HealthChecked(now, scheduler.HealthCheckResult{Worker: id, Status: s, Latency: now - asked, LoadReport: report})
	f.runDeferred()
}
