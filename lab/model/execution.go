package model

import (
	"slices"
	"time"
)

// attempt is one attempt of a request while the worker handles it.
type attempt struct {
	*Request
	reply      func(Response)
	queueDepth int
	coldStart  ColdStart
	closed     bool // a response was sent, or the attempt was cancelled

	// The following fields are set when the execution starts.
	replica   *replica
	job       *Job
	startedAt time.Duration
}

// arrival records the time at which work was received, and its amount.
type arrival struct {
	at   time.Duration
	work time.Duration
}

// Handle receives an attempt of a request. reply is called once, unless the worker crashes or hangs or the attempt is
// cancelled.
func (w *Worker) Handle(r *Request, reply func(Response)) {
	w.observer.RequestReceived(w, r)
	if !w.up {
		return
	}
	if w.crashesFromOverload(r.Work) {
		return
	}
	a := &attempt{Request: r, reply: reply, queueDepth: w.inFlight(r.Function)}
	switch {
	case w.hung: // dispatched when the worker stops hanging
		w.queue = append(w.queue, a)
	case w.draining:
		w.respond(a, Overloaded)
	case w.failures.Next():
		w.respond(a, Failed)
	case w.hasExecuted(r.IdempotencyKey):
		a.coldStart = WarmStart
		w.respond(a, OK)
	default:
		w.dispatch(a)
	}
}

// respond ends an attempt. The observer is notified of the outcome even if the attempt was cancelled.
func (w *Worker) respond(a *attempt, o Outcome) {
	w.observer.ResponseSent(w, a.Request, o)
	if a.closed {
		return
	}
	a.closed = true
	response := Response{Outcome: o, ColdStart: a.coldStart, QueueDepth: a.queueDepth, Waiting: len(w.queue)}
	if a.job != nil {
		response.RunTime = w.clock.Now() - a.startedAt
	}
	a.reply(response)
}

// inFlight returns the number of requests of a function that are queued or executing.
func (w *Worker) inFlight(function string) int {
	return countOf(w.queue, function) + countOf(w.running, function)
}

// queuedFor returns the number of requests of a function that are queued.
func (w *Worker) queuedFor(function string) int { return countOf(w.queue, function) }

func countOf(attempts []*attempt, function string) (n int) {
	for _, a := range attempts {
		if a.Function == function {
			n++
		}
	}
	return n
}

// crashesFromOverload records work that is received while the worker is cold. It crashes the worker and returns true if
// the work received within the overload window exceeds the overload limit.
func (w *Worker) crashesFromOverload(work time.Duration) bool {
	if !w.Cold() || w.Config.OverloadWindow <= 0 {
		w.recentWork = nil
		return false
	}
	now := w.clock.Now()
	w.recentWork = append(w.recentWork, arrival{now, work})
	w.recentWork = slices.DeleteFunc(w.recentWork, func(a arrival) bool { return a.at <= now-w.Config.OverloadWindow })
	if float64(w.recentWorkTotal()) <= w.overloadLimit() {
		return false
	}
	w.observer.WorkerCrashed(w)
	w.Crash()
	return true
}

func (w *Worker) recentWorkTotal() (total time.Duration) {
	for _, a := range w.recentWork {
		total += a.work
	}
	return total
}

// overloadLimit returns the work, in nanoseconds, that a cold worker can receive within the overload window without
// crashing.
func (w *Worker) overloadLimit() float64 {
	return w.Config.OverloadMultiple * w.Capacity() * float64(w.Config.OverloadWindow)
}

// hasExecuted reports whether a request with the idempotency key was executed in the worker's cell within the key
// retention.
func (w *Worker) hasExecuted(key string) bool {
	if key == "" {
		return false
	}
	at, executed := w.keys.executedAt[key]
	return executed && w.clock.Now()-at < w.Config.KeyRetention
}

// dispatch executes a request on a replica with free concurrency. Otherwise it queues the request, starting a load if
// necessary, or rejects it.
func (w *Worker) dispatch(a *attempt) {
	if r := w.availableReplica(a.Function); r != nil {
		w.execute(a, r)
		return
	}
	loaded, loading := w.replicaCounts(a.Function)
	queueFull := len(w.queue) >= w.Config.Queue
	switch {
	case loaded+loading == 0 && w.Config.ReportsNotLoaded:
		w.respond(a, NotLoaded)
		return
	case loaded+loading == 0:
		a.coldStart = ColdStartTriggered
		if queueFull || !w.enqueueLoad(newLoad(a), nil) {
			w.respond(a, Overloaded)
			return
		}
	case loaded == 0:
		a.coldStart = ColdStartAwaited
	}
	if queueFull {
		w.respond(a, Overloaded)
		return
	}
	w.queue = append(w.queue, a)
	if w.needsAnotherReplica(a, loaded, loading) {
		w.enqueueLoad(newLoad(a), nil)
	}
}

// needsAnotherReplica reports whether the worker should load another replica of a queued request's function without a
// load order.
func (w *Worker) needsAnotherReplica(a *attempt, loaded, loading int) bool {
	if !w.Config.ScalesUpOnQueue || loaded == 0 || loading > 0 {
		return false
	}
	return w.queuedFor(a.Function) > a.Concurrency
}

// execute starts the execution of a request on a replica.
func (w *Worker) execute(a *attempt, r *replica) {
	a.startedAt = w.clock.Now()
	if a.coldStart == ColdStartUnknown {
		a.coldStart = WarmStart
	}
	r.executing++
	r.stopIdleTimer()
	a.replica = r
	w.running = append(w.running, a)
	a.job = w.cpu.Add(a.Work, func() { w.completeExecution(a) })
}

// completeExecution handles the end of an execution, at which the request takes effect. If a request with the same
// idempotency key completed while this one was executing, this one has no second effect.
func (w *Worker) completeExecution(a *attempt) {
	w.running = slices.DeleteFunc(w.running, func(x *attempt) bool { return x == a })
	if !w.hasExecuted(a.IdempotencyKey) {
		w.observer.RequestExecuted(w, a.Request)
	}
	if a.IdempotencyKey != "" {
		w.keys.executedAt[a.IdempotencyKey] = w.clock.Now()
	}
	w.release(a.replica)
	w.respond(a, OK)
	w.dispatchQueued(a.Function)
}

// dispatchQueued executes queued requests of a function while one of its replicas has free concurrency.
func (w *Worker) dispatchQueued(function string) {
	for i := 0; i < len(w.queue); {
		a := w.queue[i]
		if a.Function != function {
			i++
			continue
		}
		if a.closed || w.clock.Now() >= a.Deadline {
			w.queue = slices.Delete(w.queue, i, i+1)
			continue
		}
		r := w.availableReplica(function)
		if r == nil {
			return
		}
		w.queue = slices.Delete(w.queue, i, i+1)
		w.execute(a, r)
	}
}

// Cancel cancels an attempt. A queued attempt is removed from the queue. An executing one is stopped only if
// Config.CancelStopsWork is set.
func (w *Worker) Cancel(id string, attemptNumber int) {
	matches := func(a *attempt) bool { return a.ID == id && a.Attempt == attemptNumber }
	w.queue = slices.DeleteFunc(w.queue, func(a *attempt) bool {
		a.closed = a.closed || matches(a)
		return matches(a) && !w.hung
	})
	for _, a := range slices.Clone(w.running) {
		if !matches(a) {
			continue
		}
		a.closed = true
		if w.Config.CancelStopsWork {
			w.abort(a)
		}
	}
}

// abort stops an execution before it is complete.
func (w *Worker) abort(a *attempt) {
	w.cpu.Remove(a.job)
	w.running = slices.DeleteFunc(w.running, func(x *attempt) bool { return x == a })
	w.release(a.replica)
	w.dispatchQueued(a.Function)
}
