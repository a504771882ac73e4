package gateway

import (
	"slices"
	"time"

	"havencart/internal/decide/endpointlease"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// This file ensures that new work is sent to a worker only if the endpoint list or the worker itself confirms that the
// worker accepts new work.

// readiness records what a worker itself has reported about whether it accepts new work. It is used while the endpoint
// list is not confirmed.
type readiness struct {
	acceptedAt  time.Duration // when the worker last accepted new work or passed a health check; 0 if never
	connectedAt time.Duration // when the connection was established that last made the worker count as restarted
	// unidentifiedCell is the scheduler's number of a cell that the worker has alone, because a new process may have come up
	// at its address since the endpoint list was last confirmed; 0 if the worker is identified. It is negative, unlike the
	// numbers of listed cells, and another one for each new connection.
	unidentifiedCell      int
	unidentifiedConnected time.Duration // when the connection was established that last made the worker count as unidentified
	check                 *healthCheck  // health check in flight, or nil
	drainReports          int           // number of consecutive health checks that reported the worker as draining
	recheckAt             time.Duration // when a worker that reported itself as draining is to be checked again
	waiting               waitingWork
}

// waitingWork is new work for a worker that waits for the response to a health check.
type waitingWork struct {
	attempts []*requestAttempt // at most one for each request in flight
	orders   []*loadOrder
}

// removeWaiting removes and returns the waiting work.
func (r *readiness) removeWaiting() waitingWork {
	waiting := r.waiting
	r.waiting = waitingWork{}
	return waiting
}

// removeAttempt removes an attempt from the waiting work, if it is there. An attempt that has ended must not keep its body
// in memory until the worker responds.
func (r *readiness) removeAttempt(attempt *requestAttempt) {
	r.waiting.attempts = slices.DeleteFunc(r.waiting.attempts, func(waiting *requestAttempt) bool { return waiting == attempt })
}

// endWaiting ends the work that waits for a worker's confirmation, without sending it.
func (f *FrontEnd) endWaiting(w *worker, status scheduler.Status) {
	waiting := w.readiness.removeWaiting()
	for _, attempt := range waiting.attempts {
		f.endAttempt(attempt, abandonedResult(status, attemptUnconfirmed))
	}
	for _, order := range waiting.orders {
		f.endLoadOrder(order, status, 0)
	}
}

// recordAccepted records that the worker accepted new work that was sent at the time at.
func (w *worker) recordAccepted(at time.Duration) {
	w.readiness.acceptedAt = max(w.readiness.acceptedAt, at)
}

// recordFailure records that an attempt at the worker failed. While the endpoint list is not confirmed, a worker that
// failed must confirm again that it accepts work, on the connection that it has then: the process that accepted work before
// may have gone, and another one may have its address.
func (w *worker) recordFailure(status scheduler.Status) {
	switch status {
	case scheduler.Error, scheduler.Reset, scheduler.ConnectFailed:
		w.readiness.acceptedAt = 0
	}
}

// healthCheck is a health check that awaits its response.
type healthCheck struct {
	workerconn.HealthCheck
	worker *worker
	timer  timer // timeout of the response
}

// acceptsNewWork reports whether a worker may be sent new work now, and until when the worker itself has confirmed
// that it accepts new work, or 0 if it never has. Without this check, a worker that starts to drain while discovery is
// unreachable would be sent new work, although the platform regards this front end as notified of the drain.
func (f *FrontEnd) acceptsNewWork(w *worker) (confirmedUntil time.Duration, allowed bool) {
	if w.readiness.acceptedAt > 0 {
		confirmedUntil = f.settings.EndpointRules.AcceptanceValidUntil(w.readiness.acceptedAt)
	}
	return confirmedUntil, f.listIsConfirmed() || f.now <= confirmedUntil
}

// sendWhenConfirmed passes an attempt to the worker's client, or holds it until the worker confirms that it accepts
// new work.
func (f *FrontEnd) sendWhenConfirmed(attempt *requestAttempt) {
	w := attempt.worker
	confirmedUntil, allowed := f.acceptsNewWork(w)
	if !allowed {
		w.readiness.waiting.attempts = append(w.readiness.waiting.attempts, attempt)
		f.requestConfirmation(w)
		return
	}
	attempt.enter(attemptPending)
	attempt.ConfirmedUntil = confirmedUntil
	if result := w.client.Send(&attempt.Attempt); result != nil {
		f.deferred = append(f.deferred, func() { f.endAttempt(attempt, *result) })
	}
}

// loadWhenConfirmed sends a load order, or holds it until the worker confirms that it accepts new work.
func (f *FrontEnd) loadWhenConfirmed(order *loadOrder) {
	w := order.worker
	confirmedUntil, allowed := f.acceptsNewWork(w)
	if !allowed {
		w.readiness.waiting.orders = append(w.readiness.waiting.orders, order)
		f.requestConfirmation(w)
		return
	}
	order.ConfirmedUntil = confirmedUntil
	f.sendLoadOrder(order)
}

// sendLoadOrder passes a load order or a residency query to the worker's client.
func (f *FrontEnd) sendLoadOrder(order *loadOrder) {
	if status := order.worker.client.Load(&order.LoadOrder); status != 0 {
		f.deferred = append(f.deferred, func() { f.endLoadOrder(order, status, 0) })
	}
}

// requestConfirmation asks a worker whether it accepts new work. If health checks are not allowed, the work that waits
// for the worker is ended instead, unless the endpoint list is about to be confirmed for the first time.
func (f *FrontEnd) requestConfirmation(w *worker) {
	switch {
	case f.settings.Scheduler.HealthChecksAllowed:
		f.checkHealth(w)
		return
	case f.awaitsFirstConfirmation:
		return
	}
	f.deferred = append(f.deferred, func() { f.endWaiting(w, scheduler.NotSent) })
}

// CheckHealth implements scheduler.Actions: it sends a health check to a worker, whose response contains a load report.
func (f *FrontEnd) CheckHealth(id scheduler.WorkerID) {
	if w := f.workers[id]; w != nil {
		f.checkHealth(w)
	}
}

// checkHealth sends a health check to a worker unless one is in flight.
func (f *FrontEnd) checkHealth(w *worker) {
	if w.readiness.check != nil {
		return
	}
	check := &healthCheck{worker: w}
	check.RequestedAt = f.now
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

// HealthChecked handles the result of a health check. It ignores a health check that has already ended.
func (f *FrontEnd) HealthChecked(now time.Duration, sent *workerconn.HealthCheck, status scheduler.Status, loadReport []float64) {
	f.now = now
	if check := f.healthChecks[sent]; check != nil {
		f.endHealthCheck(check, status, loadReport)
	}
	f.runDeferred()
}

// expireHealthCheck ends a health check that got no response in time.
func (f *FrontEnd) expireHealthCheck(check *healthCheck) {
	check.worker.client.AbandonHealthCheck(&check.HealthCheck)
	f.endHealthCheck(check, scheduler.Timeout, nil)
}

// endHealthCheck handles the result of a health check: the work that waited for it is sent or ended.
func (f *FrontEnd) endHealthCheck(check *healthCheck, status scheduler.Status, loadReport []float64) {
	if !f.removeHealthCheck(check) {
		return
	}
	w := check.worker
	f.scheduler.HealthChecked(f.now, scheduler.HealthCheckResult{
		Worker:     w.id,
		Status:     status,
		Latency:    f.now - check.RequestedAt,
		LoadReport: loadReport,
	})
	f.trace.healthChecked(f.now, check, status)
	switch status {
	case scheduler.OK:
		w.recordAccepted(check.SentAfter())
		w.readiness.drainReports = 0
		f.observeProcess(w, check.ConnectedAt)
		f.sendWaiting(w)
	case scheduler.Error:
		f.treatAsDraining(w)
	case scheduler.NotSent:
		f.endWaiting(w, scheduler.NotSent)
	default: // no connection or no response: the worker is unreachable
		f.endWaiting(w, scheduler.ConnectFailed)
	}
}

// removeHealthCheck removes a health check and reports whether it was still in flight.
func (f *FrontEnd) removeHealthCheck(check *healthCheck) bool {
	if f.healthChecks[&check.HealthCheck] == nil {
		return false
	}
	delete(f.healthChecks, &check.HealthCheck)
	f.timers.remove(&check.timer)
	check.worker.readiness.check = nil
	return true
}

// sendWaiting sends the work that waited for a worker's confirmation. Work for which the confirmation is no longer
// valid is held again until the next one.
func (f *FrontEnd) sendWaiting(w *worker) {
	waiting := w.readiness.removeWaiting()
	for _, attempt := range waiting.attempts {
		if attempt.state == attemptAwaitingWorker {
			f.sendWhenConfirmed(attempt)
		}
	}
	for _, order := range waiting.orders {
		if !order.ended {
			f.loadWhenConfirmed(order)
		}
	}
}

// treatAsDraining handles a worker that responded to a health check that it is draining. The worker is not used until
// the endpoint list is confirmed or the worker passes a health check. If the list is confirmed already, the list
// takes precedence, because the platform's drain rule refers to the list, and the waiting work is sent.
func (f *FrontEnd) treatAsDraining(w *worker) {
	switch {
	case f.listIsConfirmed():
		f.sendWaiting(w)
	case w.state == scheduler.Ready:
		w.readiness.drainReports++
		w.readiness.recheckAt = f.now + endpointlease.RecheckDelay(w.readiness.drainReports)
		f.overridden[w.id] = w
		f.changeState(w, scheduler.Draining)
	}
}

// recheckDraining makes workers that reported themselves as draining available to the scheduler again once their next
// health check is due. They are still sent no new work before they pass that health check.
func (f *FrontEnd) recheckDraining() {
	for _, id := range sortedKeys(f.overridden) {
		w := f.overridden[id]
		if w.state == scheduler.Draining && w.State == scheduler.Ready && f.now >= w.readiness.recheckAt {
			f.changeState(w, scheduler.Ready)
		}
	}
}

// endOverrides restores the listed state and start of all overridden workers. The list must be confirmed.
func (f *FrontEnd) endOverrides() {
	for _, id := range sortedKeys(f.overridden) {
		w := f.overridden[id]
		delete(f.overridden, id)
		w.readiness.unidentifiedCell = 0
		if f.workers[id] == w {
			f.changeState(w, w.State)
		}
	}
}

// changeState changes a worker's state and reports the change to the scheduler.
func (f *FrontEnd) changeState(w *worker, state scheduler.WorkerState) {
	f.setWorkerState(w, state)
	info := f.listedInfo(w)
	info.State = state
	f.scheduler.WorkersChanged(f.now, []scheduler.WorkerInfo{info}, false)
}

// listedInfo returns the worker's entry in the endpoint list as the scheduler receives it, with the effective start.
func (f *FrontEnd) listedInfo(w *worker) scheduler.WorkerInfo {
	listed := []scheduler.WorkerInfo{f.workerInfo(w.id, w.Worker)}
	info := f.incarnations.ObserveChanges(f.now, listed, len(f.workers))[0]
	if w.readiness.unidentifiedCell != 0 {
		info.Cell = w.readiness.unidentifiedCell
	}
	return info
}

// resetReadiness discards what a worker has reported at its previous address.
func (f *FrontEnd) resetReadiness(w *worker) {
	if check := w.readiness.check; check != nil {
		w.client.AbandonHealthCheck(&check.HealthCheck)
		f.removeHealthCheck(check)
	}
	w.readiness.acceptedAt = 0
	w.readiness.unidentifiedCell = 0
}
