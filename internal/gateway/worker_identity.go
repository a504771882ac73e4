package gateway

import (
	"slices"
	"time"

	"havencart/scheduler"
)

// This file handles workers that may be another process than the one in the endpoint list, while the list is not confirmed.

// observeProcess handles the response of a worker on a connection that was established at the given time, while the
// endpoint list is not confirmed. The process that responds may have started, or may belong to another worker that has the
// same address, without a report of discovery.
func (f *FrontEnd) observeProcess(w *worker, connectedAt time.Duration) {
	if connectedAt <= w.readiness.connectedAt || f.listIsConfirmed() {
		return // a known process
	}
	restarted := f.lease.MayHaveRestarted(f.now, connectedAt)
	unidentified := f.lease.MayBeOtherProcess(connectedAt)
	isSameConnection := connectedAt <= w.readiness.unidentifiedConnected
	if !restarted && (!unidentified || isSameConnection) {
		return
	}
	if unidentified && !isSameConnection {
		f.lastUnidentifiedCell--
		w.readiness.unidentifiedCell = f.lastUnidentifiedCell
		w.readiness.unidentifiedConnected = connectedAt
	}
	f.overridden[w.id] = w
	info := f.listedInfo(w)
	if restarted {
		w.readiness.connectedAt = connectedAt
		info.Started = f.now // the worker must not be overloaded during its slow start
	}
	f.scheduler.WorkersChanged(f.now, []scheduler.WorkerInfo{info}, false)
	f.returnWaiting(w, restarted)
}

// returnWaiting returns work that waited for a worker to the scheduler, which must decide again: all of it if the worker
// may have restarted, because more may wait than a worker in slow start may be sent, and else what depends on its cell.
func (f *FrontEnd) returnWaiting(w *worker, all bool) {
	if all {
		f.endWaiting(w, scheduler.NotSent)
		return
	}
	for _, attempt := range slices.Clone(w.readiness.waiting.attempts) {
		class := f.settings.Scheduler.Classes[attempt.request.Class]
		if class.Idempotency == scheduler.IdempotentByKey && class.KeyScope == scheduler.ScopeCell {
			f.endAttempt(attempt, abandonedResult(scheduler.NotSent, attemptUnconfirmed))
		}
	}
}
