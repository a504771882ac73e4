package gateway

import (
	"time"

	"havencart/internal/decide/endpointlease"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// This file lets new work begin at a worker only where the endpoint list or the worker itself confirms that it accepts some.

// readiness is what a worker itself reports of whether it accepts new work, for while the endpoint list is not confirmed.
type readiness struct {
	acceptedAt   time.Duration // when it last accepted some, or was healthy; 0: never
	connectedAt  time.Duration // when the connection was made by which it was last taken as restarted
	check        *healthCheck  // in flight; nil: there is none
	drainReports int           // health checks in a row that it answered as draining
	recheckAt    time.Duration // when it is checked again, where a health check has it as draining
	waiting      waitingWork
}

// waitingWork is new work that waits for the response to a health check.
type waitingWork struct {
	attempts []*requestAttempt // some of them may have ended meanwhile
	orders   []*loadOrder
}

// removeWaiting removes and returns the work that waits.
func (r *readiness) removeWaiting() waitingWork {
	waiting := r.waiting
	r.waiting = waitingWork{}
	return waiting
}

// endWaiting ends the work that waits for a worker's confirmation: it was never sent.
func (f *FrontEnd) endWaiting(w *worker, status scheduler.Status) {
	waiting := w.readiness.removeWaiting()
	for _, attempt := range waiting.attempts {
		f.endAttempt(attempt, abandonedResult(status, attemptUnconfirmed))
	}
	for _, order := range waiting.orders {
		f.endLoadOrder(order, status, 0)
	}
}

// accepted notes that new work was accepted that was sent at a time.
func (w *worker) accepted(at time.Duration) { w.readiness.acceptedAt = max(w.readiness.acceptedAt, at) }

// healthCheck is a health check without a response.
type healthCheck struct {
	workerconn.HealthCheck
	worker *worker
	timer  timer // its timeout
}

// mayBeginAt reports whether new work may begin at a worker now, and until when the worker itself has confirmed it. It
// guards against work for a worker that drains while discovery is out of reach: this front end counts as notified all the same.
func (f *FrontEnd) mayBeginAt(w *worker) (confirmedUntil time.Duration, may bool) {
	confirmedUntil = f.settings.EndpointRules.AcceptedUntil(w.readiness.acceptedAt)
	return confirmedUntil, f.listIsConfirmed() || f.now <= confirmedUntil
}

// begin hands an attempt to its worker's client, or has it wait until the worker confirms that it accepts new work.
func (f *FrontEnd) begin(attempt *requestAttempt) {
	w := attempt.worker
	confirmedUntil, may := f.mayBeginAt(w)
	if !may {
		w.readiness.waiting.attempts = append(w.readiness.waiting.attempts, attempt)
		f.confirm(w)
		return
	}
	attempt.enter(attemptPending)
	attempt.ConfirmedUntil = confirmedUntil
	if result := w.client.Send(&attempt.Attempt); result != nil {
		f.deferred = append(f.deferred, func() { f.endAttempt(attempt, *result) })
	}
}

// beginLoad sends an order to load, or has it wait as begin does an attempt.
func (f *FrontEnd) beginLoad(order *loadOrder) {
	w := order.worker
	confirmedUntil, may := f.mayBeginAt(w)
	if !may {
		w.readiness.waiting.orders = append(w.readiness.waiting.orders, order)
		f.confirm(w)
		return
	}
	order.ConfirmedUntil = confirmedUntil
	f.sendLoadOrder(order)
}

// sendLoadOrder hands a load order or a residency query to its worker's client.
func (f *FrontEnd) sendLoadOrder(order *loadOrder) {
	if status := order.worker.client.Load(&order.LoadOrder); status != 0 {
		f.deferred = append(f.deferred, func() { f.endLoadOrder(order, status, 0) })
	}
}

// confirm asks a worker whether it accepts new work. Where health checks are forbidden, what waits for it is not sent.
func (f *FrontEnd) confirm(w *worker) {
	if f.settings.Scheduler.HealthChecksAllowed {
		f.checkHealth(w)
		return
	}
	f.deferred = append(f.deferred, func() { f.endWaiting(w, scheduler.NotSent) })
}

// CheckHealth implements scheduler.Actions: it asks a worker for its load.
func (f *FrontEnd) CheckHealth(id scheduler.WorkerID) {
	if w := f.workers[id]; w != nil {
		f.checkHealth(w)
	}
}

// checkHealth sends a health check, unless one is in flight.
func (f *FrontEnd) checkHealth(w *worker) {
	if w.readiness.check != nil {
		return
	}
	check := &healthCheck{worker: w}
	check.AskedAt = f.now
	w.readiness.check = check
	f.healthChecks[&check.HealthCheck] = check
	due := f.now + endpointlease.HealthCheckTimeout(f.settings.Scheduler.ConnectTimeout)
	check.timer = timer{kind: healthCheckTimer, due: due, healthCheck: check}
	f.timers.add(&check.timer)
	f.counts.HealthChecks++
	if status := w.client.CheckHealth(&check.HealthCheck); status != 0 {
		f.deferred = append(f.deferred, func() { f.endHealthCheck(check, status, nil) })
	}
}

// HealthChecked takes the response to a health check. One that has ended already is ignored.
func (f *FrontEnd) HealthChecked(now time.Duration, sent *workerconn.HealthCheck, status scheduler.Status, loadReport []float64) {
	f.now = now
	if check := f.healthChecks[sent]; check != nil {
		f.endHealthCheck(check, status, loadReport)
	}
	f.runDeferred()
}

// expireHealthCheck ends a health check without a response.
func (f *FrontEnd) expireHealthCheck(check *healthCheck) {
	check.worker.client.AbandonHealthCheck(&check.HealthCheck)
	f.endHealthCheck(check, scheduler.Timeout, nil)
}

// endHealthCheck takes the result of a health check, and lets the work begin that waited for it, or ends it.
func (f *FrontEnd) endHealthCheck(check *healthCheck, status scheduler.Status, loadReport []float64) {
	if !f.removeHealthCheck(check) {
		return
	}
	w := check.worker
	f.scheduler.HealthChecked(f.now, scheduler.HealthCheckResult{
		Worker:     w.id,
		Status:     status,
		Latency:    f.now - check.AskedAt,
		LoadReport: loadReport,
	})
	f.trace.healthChecked(f.now, check, status)
	switch status {
	case scheduler.OK:
		w.accepted(check.SentAfter())
		w.readiness.drainReports = 0
		f.treatAsRestarted(w, check.ConnectedAt)
		f.release(w)
	case scheduler.Error:
		f.treatAsDraining(w)
	case scheduler.NotSent:
		f.endWaiting(w, scheduler.NotSent)
	default: // no connection, or no response: the worker is not there
		f.endWaiting(w, scheduler.ConnectFailed)
	}
}

// removeHealthCheck removes a health check, and reports whether it was still waited for.
func (f *FrontEnd) removeHealthCheck(check *healthCheck) bool {
	if f.healthChecks[&check.HealthCheck] == nil {
		return false
	}
	delete(f.healthChecks, &check.HealthCheck)
	f.timers.remove(&check.timer)
	check.worker.readiness.check = nil
	return true
}

// release lets the work begin that waited for a worker's confirmation. What came too late for it waits for another one.
func (f *FrontEnd) release(w *worker) {
	waiting := w.readiness.removeWaiting()
	for _, attempt := range waiting.attempts {
		if attempt.state == attemptAwaitingWorker {
			f.begin(attempt)
		}
	}
	for _, order := range waiting.orders {
		if !order.ended {
			f.beginLoad(order)
		}
	}
}

// treatAsDraining takes a worker that answered a health check as draining out of use, until the list is confirmed or it is
// healthy. A confirmed list takes precedence: the drain rule goes by the list.
func (f *FrontEnd) treatAsDraining(w *worker) {
	switch {
	case f.listIsConfirmed():
		f.release(w)
	case w.state == scheduler.Ready:
		w.readiness.drainReports++
		w.readiness.recheckAt = f.now + endpointlease.RecheckDelay(w.readiness.drainReports)
		f.overridden[w.id] = w
		f.changeState(w, scheduler.Draining)
	}
}

// recheckDraining lets the scheduler use workers again that a health check had as draining, once they are due to be checked
// again: they get nothing new before they are healthy.
func (f *FrontEnd) recheckDraining() {
	for _, id := range sortedKeys(f.overridden) {
		w := f.overridden[id]
		if w.state == scheduler.Draining && w.State == scheduler.Ready && f.now >= w.readiness.recheckAt {
			f.changeState(w, scheduler.Ready)
		}
	}
}

// treatAsRestarted takes a worker for one that has just started, where it may have restarted and discovery could not
// report it. It guards against overloading it in its slow start.
func (f *FrontEnd) treatAsRestarted(w *worker, connectedAt time.Duration) {
	isKnownProcess := connectedAt <= w.readiness.connectedAt
	if isKnownProcess || !f.lease.MayHaveRestarted(f.now, connectedAt) {
		return
	}
	w.readiness.connectedAt = connectedAt
	f.overridden[w.id] = w
	info := f.listedInfo(w)
	info.Started = f.now
	f.scheduler.WorkersChanged(f.now, []scheduler.WorkerInfo{info}, false)
	f.endWaiting(w, scheduler.NotSent) // more may wait than a worker may be sent in its slow start: it is decided anew
}

// endOverrides gives workers the state and start again that the list has, which is confirmed.
func (f *FrontEnd) endOverrides() {
	for _, id := range sortedKeys(f.overridden) {
		w := f.overridden[id]
		delete(f.overridden, id)
		if f.workers[id] == w {
			f.changeState(w, w.State)
		}
	}
}

// changeState changes a worker's state, and reports it to the scheduler.
func (f *FrontEnd) changeState(w *worker, state scheduler.WorkerState) {
	f.setWorkerState(w, state)
	info := f.listedInfo(w)
	info.State = state
	f.scheduler.WorkersChanged(f.now, []scheduler.WorkerInfo{info}, false)
}

// listedInfo is a worker as the list has it, with its effective start.
func (f *FrontEnd) listedInfo(w *worker) scheduler.WorkerInfo {
	listed := []scheduler.WorkerInfo{f.workerInfo(w.id, w.Worker)}
	return f.incarnations.ObserveChanges(f.now, listed, len(f.workers))[0]
}

// forgetReadiness forgets what a worker reported at an address that it has left.
func (f *FrontEnd) forgetReadiness(w *worker) {
	if check := w.readiness.check; check != nil {
		w.client.AbandonHealthCheck(&check.HealthCheck)
		f.removeHealthCheck(check)
	}
	w.readiness.acceptedAt = 0
}
