package baseline

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"havencart/scheduler"
)

// worker is a worker that is or was in the endpoint list.
type worker struct {
	info     scheduler.WorkerInfo
	inFlight int // requests of this front end in flight at the worker
}

// request is the state of a request that the front end received.
type request struct {
	scheduler.Request
	receivedAt time.Duration
	deadline   time.Duration
	attempts   int
	worker     *worker // worker of the attempt in flight; nil if there is none
	ended      bool    // the request has a final response, or its client disconnected

	// The following fields describe the first attempt that may have executed.
	mayHaveExecuted bool
	firstWorker     scheduler.WorkerInfo
	firstEndedAt    time.Duration
}

// policy is a scheduler that sends each request at once to the worker that its picker chooses, or queues the request if
// the picker chooses none. It retries the request, possibly at another worker, if that is safe.
type policy struct {
	settings   scheduler.Settings
	actions    scheduler.Actions
	pick       picker
	rng        *rand.Rand
	now        time.Duration
	workers    []*worker // sorted by identifier
	requests   map[scheduler.RequestID]*request
	queued     []*request              // requests that no worker could take, and requests to retry
	queueOrder func(a, b *request) int // order in which queued requests are sent; nil: first in, first out
	rotation   int                     // number of rotations by roundRobin and leastInFlight
}

const (
	retryInterval = 20 * time.Millisecond // interval at which the policy tries to send queued requests
	watchBackoff  = time.Second           // delay before a failed watch is restarted
	randomStream  = 0x62617365            // distinguishes the policy's random generator from others with the same seed
)

// Timer tokens.
const (
	timerRetry uint64 = iota
	timerWatch
)

func newPolicy(now time.Duration, settings scheduler.Settings, actions scheduler.Actions, pick picker) *policy {
	p := &policy{
		settings: settings,
		actions:  actions,
		pick:     pick,
		rng:      rand.New(rand.NewPCG(settings.Seed, randomStream)),
		now:      now,
		requests: map[scheduler.RequestID]*request{},
	}
	actions.SetTimer(retryInterval, timerRetry)
	return p
}

// WorkersChanged implements gateway.Scheduler, as do the other exported methods.
func (p *policy) WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, whole bool) {
	p.now = now
	listed := map[scheduler.WorkerID]bool{}
	for _, info := range list {
		listed[info.ID] = true
		if w := p.worker(info.ID); w != nil {
			w.info = info
			continue
		}
		p.workers = append(p.workers, &worker{info: info})
	}
	sort.Slice(p.workers, func(i, j int) bool { return p.workers[i].info.ID < p.workers[j].info.ID })
	for _, w := range p.workers {
		if whole && !listed[w.info.ID] {
			w.info.State = scheduler.Removed
		}
	}
	p.retryQueued()
}

func (p *policy) worker(id scheduler.WorkerID) *worker {
	for _, w := range p.workers {
		if w.info.ID == id {
			return w
		}
	}
	return nil
}

func (p *policy) WatchFailed(now time.Duration) {
	p.now = now
	p.actions.SetTimer(watchBackoff, timerWatch)
}

func (p *policy) TimerFired(now time.Duration, token uint64) {
	p.now = now
	if token == timerWatch {
		p.actions.WatchEndpoints()
		return
	}
	p.actions.SetTimer(retryInterval, timerRetry)
	p.retryQueued()
}

// retryQueued tries to send the queued requests, and gives a final response to those whose deadline is near.
func (p *policy) retryQueued() {
	queued := p.queued
	p.queued = nil
	if p.queueOrder != nil {
		slices.SortStableFunc(queued, p.queueOrder)
	}
	for _, r := range queued {
		switch {
		case r.ended:
		case p.isNearDeadline(r):
			p.finish(r)
		default:
			p.send(r)
		}
	}
}

// isNearDeadline reports whether a request must get its final response now because its deadline is near.
func (p *policy) isNearDeadline(r *request) bool { return p.now+2*retryInterval >= r.deadline }

func (p *policy) RequestReceived(now time.Duration, in scheduler.Request) {
	p.now = now
	r := &request{Request: in, receivedAt: now, deadline: now + in.Timeout}
	p.requests[in.ID] = r
	p.send(r)
}

// send sends a request to the worker that the picker chooses. It queues the request if there is none.
func (p *policy) send(r *request) {
	w := p.pickWorker(r)
	if w == nil {
		p.queued = append(p.queued, r)
		return
	}
	w.inFlight++
	r.worker = w
	r.attempts++
	p.actions.Send(r.ID, w.info.ID, 0)
}

// pickWorker returns the worker that the picker chooses for a request, or nil if there is none.
func (p *policy) pickWorker(r *request) *worker {
	var candidates []*worker
	for _, w := range p.workers {
		if w.info.State == scheduler.Ready && p.isSafe(r, w) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return p.pick(p, r, candidates)
}

// isSafe reports whether a request may be sent to a worker: either no earlier attempt can have executed, or the request
// may execute again at this worker.
func (p *policy) isSafe(r *request, w *worker) bool {
	class := &p.settings.Classes[r.Class]
	switch {
	case !r.mayHaveExecuted || class.Idempotency == scheduler.Idempotent:
		return true
	case class.Idempotency == scheduler.NonIdempotent:
		return false
	case p.now-r.firstEndedAt >= class.KeyRetention-retryInterval:
		return false
	case class.KeyScope == scheduler.ScopeZone:
		return w.info.Zone == r.firstWorker.Zone
	case class.KeyScope == scheduler.ScopeCell:
		return w.info.Cell == r.firstWorker.Cell
	}
	return true
}

func (p *policy) AttemptEnded(now time.Duration, outcome scheduler.Outcome) {
	p.now = now
	r := p.requests[outcome.Request]
	if r == nil || r.worker == nil {
		return
	}
	w := r.worker
	r.worker = nil
	w.inFlight--
	if outcome.RequestClosed || r.ended {
		r.ended = true
		delete(p.requests, r.ID)
		return
	}
	if !r.mayHaveExecuted && mayHaveExecuted(outcome.Status) {
		r.mayHaveExecuted = true
		r.firstEndedAt, r.firstWorker = now, w.info
	}
	if p.cannotRetry(r) {
		p.finish(r)
		return
	}
	if outcome.Status == scheduler.NotLoaded && p.settings.LoadOrdersAllowed {
		p.actions.Load(w.info.ID, r.Function, 1)
	}
	// The retry is delayed so that a worker that rejected the request does not receive it again at once.
	p.queued = append(p.queued, r)
}

// mayHaveExecuted reports whether an attempt that ended with the given status may have executed.
func mayHaveExecuted(s scheduler.Status) bool {
	switch s {
	case scheduler.Error, scheduler.Timeout, scheduler.Reset, scheduler.Cancelled:
		return true
	}
	return false
}

// cannotRetry reports whether a request must not be retried after the end of its attempt.
func (p *policy) cannotRetry(r *request) bool {
	unsafe := r.mayHaveExecuted && p.settings.Classes[r.Class].Idempotency == scheduler.NonIdempotent
	return unsafe || r.attempts >= p.settings.MaxAttempts || p.isNearDeadline(r)
}

// finish gives the final response to a request. It rejects the request if the client may retry it, and fails it
// otherwise.
func (p *policy) finish(r *request) {
	r.ended = true
	delete(p.requests, r.ID)
	if !r.mayHaveExecuted || isSafeAnywhere(&p.settings.Classes[r.Class]) {
		p.actions.Reject(r.ID, p.settings.MaxRetryAfter, scheduler.DeadlineTooClose)
		return
	}
	p.actions.Fail(r.ID, scheduler.DeadlineTooClose)
}

// isSafeAnywhere reports whether a request of a class may execute again at any worker.
func isSafeAnywhere(class *scheduler.Class) bool {
	if class.Idempotency == scheduler.Idempotent {
		return true
	}
	return class.Idempotency == scheduler.IdempotentByKey && class.KeyScope == scheduler.ScopeAll
}

func (p *policy) ClientDisconnected(now time.Duration, id scheduler.RequestID) {
	p.now = now
	r := p.requests[id]
	if r == nil {
		return
	}
	r.ended = true
	switch {
	case r.worker == nil:
		delete(p.requests, id)
	case p.settings.CancelAllowed:
		p.actions.Cancel(id, r.attempts-1)
	}
}

func (p *policy) LoadEnded(now time.Duration, _ scheduler.LoadResult) { p.now = now }

func (p *policy) ResponseStarted(now time.Duration, _ scheduler.RequestID) { p.now = now }

func (p *policy) HealthChecked(now time.Duration, _ scheduler.HealthCheckResult) { p.now = now }
