package gateway

import (
	"errors"
	"strconv"
	"time"

	"havencart/internal/discovery"
	"havencart/scheduler"
)

// sweepInterval is the time between two sweeps. See FrontEnd.sweep.
const sweepInterval = time.Second

// EndpointsListed handles a complete list of workers. The clients of draining and removed workers return their unsent
// work before the scheduler is notified, so that nothing new can be sent to these workers afterwards.
func (f *FrontEnd) EndpointsListed(now time.Duration, list []discovery.Worker) {
	f.now = now
	infos, listed := f.applyEntries(list)
	for _, id := range sortedKeys(f.workers) {
		if !listed[id] {
			delete(f.overridden, id)
			f.setWorkerState(f.workers[id], scheduler.Removed)
		}
	}
	f.scheduler.WorkersChanged(now, f.incarnations.ObserveList(now, infos), true)
	f.runDeferred()
}

// EndpointsUpdated handles the workers that changed. Unlike EndpointsListed, it does not process the unchanged
// workers.
func (f *FrontEnd) EndpointsUpdated(now time.Duration, changed []discovery.Worker) {
	f.now = now
	infos, _ := f.applyEntries(changed)
	f.scheduler.WorkersChanged(now, f.incarnations.ObserveChanges(now, infos, len(f.workers)), false)
	f.runDeferred()
}

// applyEntries applies entries of the endpoint list. It returns them in the form that the scheduler receives, and the
// set of the identifiers in the list.
func (f *FrontEnd) applyEntries(entries []discovery.Worker) (infos []scheduler.WorkerInfo, listed map[scheduler.WorkerID]bool) {
	entries = f.resolveAddresses(entries)
	infos = make([]scheduler.WorkerInfo, 0, len(entries))
	listed = make(map[scheduler.WorkerID]bool, len(entries))
	for _, entry := range entries {
		id := WorkerID(entry.Name)
		if listed[id] || f.isOtherWorker(id, entry.Name) {
			f.log.Error().Str("worker", entry.Name).Msg("worker ignored: its name has the same identifier as another worker's")
			continue
		}
		listed[id] = true
		if entry.State == scheduler.Removed && f.workers[id] == nil {
			continue // the removed worker is not known here
		}
		f.updateWorker(id, entry)
		infos = append(infos, f.workerInfo(id, entry))
	}
	return infos, listed
}

// isOtherWorker reports whether the identifier belongs to a listed worker with a different name.
func (f *FrontEnd) isOtherWorker(id scheduler.WorkerID, name string) bool {
	w := f.workers[id]
	return w != nil && w.Name != name && w.state != scheduler.Removed
}

// workerInfo converts an entry of the endpoint list to the form that the scheduler receives.
func (f *FrontEnd) workerInfo(id scheduler.WorkerID, entry discovery.Worker) scheduler.WorkerInfo {
	return scheduler.WorkerInfo{
		ID:      id,
		Zone:    intern(f.zones, entry.Zone),
		Cell:    intern(f.cells, entry.Cell),
		Kind:    intern(f.kinds, entry.Kind),
		Scale:   entry.Scale,
		Started: f.startTime(entry.Started),
		State:   entry.State,
	}
}

// startTime converts a worker's start from wall time to the event loop's clock. The zero time means that it is unknown.
func (f *FrontEnd) startTime(wall time.Time) time.Duration {
	if wall.IsZero() {
		return scheduler.UnknownStart
	}
	return wall.Sub(f.settings.ClockStart)
}

// updateWorker applies an entry of the endpoint list to a worker. It opens a client if the worker is new or its address
// has changed.
func (f *FrontEnd) updateWorker(id scheduler.WorkerID, entry discovery.Worker) {
	w := f.workers[id]
	if w == nil {
		w = &worker{id: id}
		f.workers[id] = w
	}
	f.trace.listed(f.now, w, entry, f.startTime(entry.Started))
	delete(f.overridden, id)
	w.readiness.unidentifiedCell = 0
	if w.client == nil || w.Address != entry.Address {
		if w.client != nil {
			f.releaseAddress(id, w.Address)
			f.drainClient(w)
			f.resetReadiness(w)
			w.previousClients = append(w.previousClients, w.client)
			f.retiring[id] = w
		}
		w.client = f.dependencies.OpenWorker(id, entry)
		w.state = scheduler.Ready
	}
	w.Worker = entry
	f.setWorkerState(w, entry.State)
}

// setWorkerState sets a worker's state, and drains or resumes its client accordingly.
func (f *FrontEnd) setWorkerState(w *worker, state scheduler.WorkerState) {
	if w.state == state {
		return
	}
	w.addLogFields(f.log.Info()).Str("state", workerStateName(state)).Msg("worker state changed")
	previous := w.state
	w.state = state
	if state == scheduler.Removed {
		f.retiring[w.id] = w
	}
	switch {
	case state == scheduler.Ready:
		w.client.Resume()
	case previous == scheduler.Ready:
		f.drainClient(w)
	}
}

// workerStateName returns the name of a worker's state for the log.
func workerStateName(state scheduler.WorkerState) string {
	switch state {
	case scheduler.Ready:
		return "ready"
	case scheduler.Draining:
		return "draining"
	case scheduler.Removed:
		return "removed"
	}
	return strconv.Itoa(int(state))
}

// drainClient drains a worker's client. New work that was not sent ends without being sent, whether it was queued in
// the client or waited for the worker to confirm that it accepts new work.
func (f *FrontEnd) drainClient(w *worker) {
	f.deferred = append(f.deferred, func() { f.endWaiting(w, scheduler.NotSent) })
	attempts, orders := w.client.Drain(f.settings.Scheduler.DrainGrace)
	for _, unsent := range attempts {
		if attempt := f.attempts[unsent]; attempt != nil {
			f.deferred = append(f.deferred, func() { f.endAttempt(attempt, abandonedResult(scheduler.NotSent, attemptDrained)) })
		}
	}
	for _, unsent := range orders {
		if order := f.loadOrders[unsent]; order != nil {
			f.deferred = append(f.deferred, func() { f.endLoadOrder(order, scheduler.Overloaded, 0) })
		}
	}
}

// sweep runs the periodic maintenance: it stops the clients that are no longer needed, discards functions without
// recent requests, rechecks draining workers and logs changes of the endpoint lease.
func (f *FrontEnd) sweep() {
	f.logLeaseChange()
	f.recheckDraining()
	for _, id := range sortedKeys(f.retiring) {
		f.sweepWorker(f.retiring[id])
	}
	f.functions.expire(f.now - functionRetention)
}

// sweepWorker stops the idle clients of a worker's previous addresses and, if the worker was removed and is idle, its
// current client.
func (f *FrontEnd) sweepWorker(w *worker) {
	w.stopIdlePrevious()
	switch {
	case len(w.previousClients) > 0:
	case w.state != scheduler.Removed:
		delete(f.retiring, w.id)
	case w.idle():
		w.client.Stop()
		f.releaseAddress(w.id, w.Address)
		delete(f.workers, w.id)
		delete(f.retiring, w.id)
	}
}

// stopIdlePrevious stops those clients of previous addresses that have nothing in flight.
func (w *worker) stopIdlePrevious() {
	busy := w.previousClients[:0]
	for _, client := range w.previousClients {
		if client.Busy() {
			busy = append(busy, client)
		} else {
			client.Stop()
		}
	}
	w.previousClients = busy
}

// idle reports whether the worker's clients have nothing in flight.
func (w *worker) idle() bool { return len(w.previousClients) == 0 && !w.client.Busy() }

// WatchFailed handles a failure to receive the endpoint list. The previous list remains in use until its lease ends.
func (f *FrontEnd) WatchFailed(now time.Duration, cause error) {
	f.now = now
	f.log.Warn().Err(cause).Msg("endpoint watch failed; the endpoint list remains in use until its lease ends")
	f.scheduler.WatchFailed(now)
	if errors.Is(cause, discovery.ErrUnreachable) {
		f.endFirstConfirmationWait()
	}
	f.runDeferred()
}

// WatchEndpoints implements scheduler.Actions: it requests the endpoint list again.
func (f *FrontEnd) WatchEndpoints() { f.dependencies.WatchEndpoints() }
