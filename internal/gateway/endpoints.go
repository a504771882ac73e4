package gateway

import (
	"strconv"
	"time"

	"havencart/internal/discovery"
	"havencart/scheduler"
)

// sweepInterval is the time between two sweeps of what nothing needs any longer.
const sweepInterval = time.Second

// functionRetention is how long the name of a function is kept after its last request. The scheduler forgets a
// function sooner.
const functionRetention = 10 * time.Minute

// EndpointsChanged takes a whole list of workers. Clients of workers that drain or are removed give back what was not
// sent before the scheduler is notified, so that nothing new can be sent from here on.
func (f *FrontEnd) EndpointsChanged(now time.Duration, list []discovery.Worker) {
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

// EndpointsUpdated takes the workers that changed, as EndpointsChanged takes all of them. It costs nothing for the others.
func (f *FrontEnd) EndpointsUpdated(now time.Duration, changed []discovery.Worker) {
	f.now = now
	infos, _ := f.applyEntries(changed)
	f.scheduler.WorkersChanged(now, f.incarnations.ObserveChanges(now, infos, len(f.workers)), false)
	f.runDeferred()
}

// applyEntries applies entries of the endpoint list, and returns them as the scheduler receives them.
func (f *FrontEnd) applyEntries(entries []discovery.Worker) (infos []scheduler.WorkerInfo, listed map[scheduler.WorkerID]bool) {
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
			continue // nothing is sent there
		}
		f.updateWorker(id, entry)
		infos = append(infos, f.workerInfo(id, entry))
	}
	return infos, listed
}

// isOtherWorker reports whether an identifier is that of a worker with another name, which is listed.
func (f *FrontEnd) isOtherWorker(id scheduler.WorkerID, name string) bool {
	w := f.workers[id]
	return w != nil && w.Name != name && w.state != scheduler.Removed
}

// workerInfo is an entry of the list as the scheduler receives it.
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

// startTime turns a wall time into one of the event loop's clock.
func (f *FrontEnd) startTime(wall time.Time) time.Duration {
	if wall.IsZero() {
		return scheduler.UnknownStart
	}
	return wall.Sub(f.settings.ClockStart)
}

// updateWorker takes an entry of the list: it opens a client for a new worker, or for one at a new address.
func (f *FrontEnd) updateWorker(id scheduler.WorkerID, entry discovery.Worker) {
	w := f.workers[id]
	if w == nil {
		w = &worker{id: id}
		f.workers[id] = w
	}
	f.trace.listed(f.now, w, entry, f.startTime(entry.Started))
	delete(f.overridden, id)
	if w.client == nil || w.Address != entry.Address {
		if w.client != nil {
			f.drainClient(w)
			f.forgetReadiness(w)
			w.previousClients = append(w.previousClients, w.client)
			f.retiring[id] = w
		}
		w.client = f.dependencies.OpenWorker(id, entry)
		w.state = scheduler.Ready
	}
	w.Worker = entry
	f.setWorkerState(w, entry.State)
}

// setWorkerState notes a worker's state and closes or opens its client for new work.
func (f *FrontEnd) setWorkerState(w *worker, state scheduler.WorkerState) {
	if w.state == state {
		return
	}
	w.named(f.log.Info()).Str("state", workerStateName(state)).Msg("worker state changed")
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

// workerStateName is a worker's state as logs have it.
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

// drainClient closes a worker's client for new work; what was not sent yet ends as that.
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

// sweep stops clients that nothing needs any longer and forgets functions without requests.
func (f *FrontEnd) sweep() {
	f.logLeaseChange()
	f.recheckDraining()
	for _, id := range sortedKeys(f.retiring) {
		f.sweepWorker(f.retiring[id])
	}
	for id, function := range f.functions {
		if f.now-function.lastUsed > functionRetention {
			delete(f.functions, id)
		}
	}
}

// sweepWorker stops the clients of a worker that is retiring, or that was at another address, once they are idle.
func (f *FrontEnd) sweepWorker(w *worker) {
	w.stopIdlePrevious()
	switch {
	case len(w.previousClients) > 0:
	case w.state != scheduler.Removed:
		delete(f.retiring, w.id)
	case w.idle():
		w.client.Stop()
		delete(f.workers, w.id)
		delete(f.retiring, w.id)
	}
}

// stopIdlePrevious stops the clients of previous addresses once nothing is in flight there.
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

// idle reports whether nothing is in flight at the worker.
func (w *worker) idle() bool { return len(w.previousClients) == 0 && !w.client.Busy() }

// WatchFailed takes the failure to receive the list: the previous one stays in force until its lease ends.
func (f *FrontEnd) WatchFailed(now time.Duration, cause error) {
	f.now = now
	f.log.Warn().Err(cause).Msg("endpoint watch failed, the endpoint list stays in force until its lease ends")
	f.scheduler.WatchFailed(now)
	f.runDeferred()
}

// WatchEndpoints implements scheduler.Actions: it requests the endpoint list anew.
func (f *FrontEnd) WatchEndpoints() { f.dependencies.WatchEndpoints() }
