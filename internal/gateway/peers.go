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
		f.meet(id, in)
		infos = append(infos, scheduler.WorkerInfo{ID: id, Zone: intern(f.zones, in.Zone), Cell: intern(f.cells, in.Cell),
			Kind: intern(f.kinds, in.Kind), Scale: in.Scale, Started: f.started(in.Started), State: in.State})
	}
	for _, id := range sortedKeys(f.workers) {
		if !named[id] {
			f.turn(f.workers[id], scheduler.Removed)
		}
	}
	f.module.WorkersChanged(now, f.roster.ObserveList(now, infos), true)
	f.settleLater()
}

// started turns a wall time into one of the clock.
func (f *FrontEnd) started(at time.Time) time.Duration {
	if at.IsZero() {
		return scheduler.UnknownStart
	}
	return at.Sub(f.set.ClockStart)
}

// meet takes an entry of the list: it opens a link to a new worker, or to one at a new address.
func (f *FrontEnd) meet(id scheduler.WorkerID, in discovery.Worker) {
	w := f.workers[id]
	if w == nil {
		if in.State == scheduler.Removed {
			return // nothing goes there
		}
		w = &worker{id: id}
		f.workers[id] = w
	}
	if w.link == nil || w.Address != in.Address {
		if w.link != nil {
			f.takeBack(w)
			w.retired = append(w.retired, w.link)
		}
		w.link = f.outside.OpenWorker(id, in)
		w.state = scheduler.Ready
	}
	w.Worker = in
	f.turn(w, in.State)
}

// turn notes a worker's state and shuts or opens its link for new work.
func (f *FrontEnd) turn(w *worker, state scheduler.WorkerState) {
	if w.state == state {
		return
	}
	f.log.Info().Str("worker", w.Name).Int("state", int(state)).Msg("listed anew")
	was := w.state
	w.state = state
	switch {
	case state == scheduler.Ready:
		w.link.Resume()
	case was == scheduler.Ready:
		f.takeBack(w)
	}
}

// takeBack shuts a link for new work; what had not left ends as never sent.
func (f *FrontEnd) takeBack(w *worker) {
	attempts, orders := w.link.Drain(f.set.Scheduler.DrainGrace)
	for _, x := range attempts {
		if a := f.attempts[x]; a != nil {
			f.later = append(f.later, func() {
				f.ended(a, muxclient.Result{Status: scheduler.NotSent, Reason: "the worker drains", QueueDepth: -1})
			})
		}
	}
	for _, x := range orders {
		if o := f.orders[x]; o != nil {
			f.later = append(f.later, func() { f.orderEnded(o, scheduler.Overloaded, 0) })
		}
	}
}

// sweep stops links that nothing needs any longer and forgets functions that nobody calls.
func (f *FrontEnd) sweep() {
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		keep := w.retired[:0]
		for _, l := range w.retired {
			if l.Busy() {
				keep = append(keep, l)
			} else {
				l.Stop()
			}
		}
		w.retired = keep
		if w.state == scheduler.Removed && len(keep) == 0 && !w.link.Busy() {
			w.link.Stop()
			delete(f.workers, id)
		}
	}
	for id, fn := range f.functions {
		if f.now-fn.used > nameKept {
			delete(f.functions, id)
		}
	}
}

// ListFailed takes the news that the list could not be had.
func (f *FrontEnd) WatchFailed(now time.Duration, err error) {
	f.now = now
	f.log.Warn().Err(err).Msg("no list of workers; the one of before stays in force")
	f.module.WatchFailed(now)
	f.settleLater()
}

// Met takes what a worker said on a new connection.
func (f *FrontEnd) WorkerConnected(now time.Duration, id scheduler.WorkerID, in muxframe.Welcome) {
	f.now = now
	w := f.workers[id]
	if w == nil {
		return
	}
	w.down = false
	up := time.Duration(in.UptimeMillis) * time.Millisecond
	f.log.Debug().Str("worker", w.Name).Dur("up", up).Msg("connected")
	if info, news := f.roster.ObserveConnection(now, id, in.Incarnation, up); news && w.state == scheduler.Ready {
		f.log.Info().Str("worker", w.Name).Dur("up", up).Msg("started anew, by its own word")
		f.module.WorkersChanged(now, []scheduler.WorkerInfo{info}, false)
	}
	f.settleLater()
}

// Down takes the news that there is no connection to a worker.
func (f *FrontEnd) WorkerDisconnected(now time.Duration, id scheduler.WorkerID, why error) {
	f.now = now
	if w := f.workers[id]; w != nil && !w.down {
		w.down = true
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
	if a.call.state != waiting {
		f.giveUp(a, scheduler.Cancelled, "nobody waits")
	} else {
		a.begun = true
		f.timers.stop(&a.timer) // a running answer has no time-out; the edge judges its standstill
		f.module.ResponseStarted(now, a.call.id)
		f.final(a.call, FinalResponse{Kind: Served, Response: r.Response, Worker: a.worker.Name})
	}
	f.settleLater()
}

// Ended takes the end of an attempt from its link.
func (f *FrontEnd) AttemptEnded(now time.Duration, x *muxclient.Attempt, r muxclient.Result) {
	f.now = now
	if a := f.attempts[x]; a != nil {
		f.ended(a, r)
	}
	f.settleLater()
}

// giveUp ends an attempt from this side. One that never left ends as that: called back it is moot, and if its
// time passed in the queue there was no connection that took it.
func (f *FrontEnd) giveUp(a *attempt, as scheduler.Status, why string) {
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
	f.ended(a, muxclient.Result{Status: as, Reason: why, QueueDepth: -1})
}

// withdraw takes an attempt back from the link that has it, if it has not begun to leave.
func (w *worker) withdraw(a *attempt) bool {
	return w.link.CancelUnsent(&a.Attempt) ||
		slices.ContainsFunc(w.retired, func(l WorkerClient) bool { return l.CancelUnsent(&a.Attempt) })
}

// abandon gives an attempt up on the link that has it.
func (w *worker) abandon(a *attempt) bool {
	left := w.link.Abandon(&a.Attempt)
	for _, l := range w.retired {
		left = l.Abandon(&a.Attempt) || left
	}
	return left
}

// ended tells the module the outcome of an attempt, once.
func (f *FrontEnd) ended(a *attempt, r muxclient.Result) {
	if a.settled {
		return
	}
	a.settled = true
	f.timers.stop(&a.timer)
	delete(f.attempts, &a.Attempt)
	c := a.call
	c.out, c.last, c.why = nil, r.Status, r.Reason
	c.mayHaveRun(r.Status)
	f.learnCost(a, r)
	if r.Status == scheduler.OK && c.state == waiting {
		f.final(c, FinalResponse{Kind: Served, Response: r.Response, Worker: a.worker.Name})
	}
	out := scheduler.Outcome{Request: c.id, Attempt: a.number, Status: r.Status, Latency: f.took(a, r),
		RequestClosed: c.state != waiting, ColdStart: r.ColdStart, QueueDepth: r.QueueDepth, LoadReport: r.LoadReport}
	if a.worker != nil {
		out.Worker = a.worker.id
	}
	f.module.AttemptEnded(f.now, out)
	f.forget(c)
}

// took is how long an attempt took until its answer was read. What the answer then waited for the loop is not the
// worker's: taken for that, a loop that is late would hold back calls from workers that are not.
func (f *FrontEnd) took(a *attempt, r muxclient.Result) time.Duration {
	if r.ReceivedAt > a.sent && r.ReceivedAt < f.now {
		return r.ReceivedAt - a.sent
	}
	return f.now - a.sent
}

// learnCost learns from an attempt what its function's calls take, without the loads in it.
func (f *FrontEnd) learnCost(a *attempt, r muxclient.Result) {
	fn := a.call.fn
	loaded := r.ColdStart == scheduler.ColdStartTriggered || r.ColdStart == scheduler.ColdStartAwaited
	switch {
	case r.RunTime > 0:
		a.call.work = r.RunTime
		fn.cost.ObserveReported(r.RunTime)
	case r.Status == scheduler.OK && !loaded:
		fn.cost.ObserveElapsed(f.now - a.sent)
	case r.Status == scheduler.Timeout, r.Status == scheduler.Cancelled:
		fn.cost.ObserveAbandoned(f.now - a.sent)
	}
}

// OrderEnded takes the answer to an order from its link.
func (f *FrontEnd) LoadEnded(now time.Duration, x *muxclient.LoadOrder, s scheduler.Status, copies int) {
	f.now = now
	if o := f.orders[x]; o != nil {
		f.orderEnded(o, s, copies)
	}
	f.settleLater()
}

func (f *FrontEnd) orderEnded(o *order, s scheduler.Status, copies int) {
	if o.settled {
		return
	}
	o.settled = true
	f.timers.stop(&o.timer)
	delete(f.orders, &o.LoadOrder)
	f.module.LoadEnded(f.now, scheduler.LoadResult{Worker: o.worker.id, Function: o.function, Status: s, Latency: f.now - o.given,
		Replicas: copies})
}

// Probed takes the answer to a probe.
func (f *FrontEnd) HealthChecked(now time.Duration, id scheduler.WorkerID, s scheduler.Status, report []float64) {
	f.now = now
	w := f.workers[id]
	if w == nil || len(w.probes) == 0 {
		return
	}
	asked := w.probes[0]
	w.probes = w.probes[1:]
	f.module.HealthChecked(now, scheduler.HealthCheckResult{Worker: id, Status: s, Latency: now - asked, LoadReport: report})
	f.settleLater()
}
