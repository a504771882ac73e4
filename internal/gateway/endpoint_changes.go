package gateway

import (
	"slices"
	"sync"
	"time"

	"havencart/internal/decide/endpointlease"
	"havencart/internal/discovery"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

const (
	// maxEndpointChanges is the maximum number of changed workers that one step of the event loop handles.
	maxEndpointChanges = 128
	// maxPendingChanges is the number of workers with pending changes above which discovery waits for the event loop.
	maxPendingChanges = 1 << 13
)

// endpointChanges holds the changes of the endpoint list that the event loop has not handled yet. Discovery adds
// changes as they arrive, and the loop takes a bounded number in each pass, so that a deployment of many workers does
// not become one long step of the loop. If a worker with a pending change changes again, only its latest state is
// kept. Changes of workers that must not be sent new work are taken first.
type endpointChanges struct {
	added workerconn.Signal // notifies the event loop that there is something to take

	mu       sync.Mutex
	byName   map[string]*discovery.Worker // latest state of each worker with a pending change
	inOrder  []*discovery.Worker          // the same workers, in the order of their first pending change
	reported bool                         // whether there is a report to handle, possibly of an unchanged list

	lease        endpointlease.Lease // lease on the list, with all reported changes applied
	leaseChanged bool                // whether the lease changed since the last take
}

// endpointStep is the part of the reported changes that one step of the event loop handles.
type endpointStep struct {
	changed    []discovery.Worker
	reported   bool // whether the list was reported, possibly unchanged
	lease      endpointlease.Lease
	isComplete bool // whether no changes remain pending, so that the lease applies to the list after this step
}

func newEndpointChanges(lease endpointlease.Lease) *endpointChanges {
	return &endpointChanges{added: workerconn.NewSignal(), byName: map[string]*discovery.Worker{}, lease: lease}
}

// add adds changes and returns the number of workers with pending changes.
func (c *endpointChanges) add(changed []discovery.Worker) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reported = true
	for _, worker := range changed {
		if waiting := c.byName[worker.Name]; waiting != nil {
			*waiting = worker
			continue
		}
		c.byName[worker.Name] = &worker
		c.inOrder = append(c.inOrder, &worker)
	}
	c.added.Notify()
	return len(c.byName)
}

// observe applies change to the lease.
func (c *endpointChanges) observe(change func(lease *endpointlease.Lease)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.lease)
	c.leaseChanged = true
	c.added.Notify()
}

// take removes and returns the changes that one step of the loop handles. It returns false if there is nothing to
// handle: no pending changes, and neither a report nor a change of the lease since the last call.
func (c *endpointChanges) take() (step endpointStep, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reported && !c.leaseChanged {
		return step, false
	}
	step.reported = c.reported
	isReady := func(worker *discovery.Worker) bool { return worker.State == scheduler.Ready }
	step.changed = c.takeMatching(step.changed, func(worker *discovery.Worker) bool { return !isReady(worker) })
	step.changed = c.takeMatching(step.changed, isReady)
	c.reported = len(c.byName) > 0
	step.lease, step.isComplete = c.lease, !c.reported
	c.leaseChanged = false
	if c.reported {
		c.added.Notify()
	}
	return step, true
}

// takeMatching removes the pending workers that satisfy matches and appends them to taken, up to the maximum of a step.
func (c *endpointChanges) takeMatching(taken []discovery.Worker, matches func(*discovery.Worker) bool) []discovery.Worker {
	c.inOrder = slices.DeleteFunc(c.inOrder, func(worker *discovery.Worker) bool {
		if len(taken) == maxEndpointChanges || !matches(worker) {
			return false
		}
		delete(c.byName, worker.Name)
		taken = append(taken, *worker)
		return true
	})
	return taken
}

// applyEndpointChanges passes pending changes of the endpoint list to the FrontEnd, at most one step's worth.
func (l *EventLoop) applyEndpointChanges() {
	step, ok := l.endpointChanges.take()
	if !ok {
		return
	}
	now := l.Now()
	if step.reported {
		l.frontEnd.EndpointsUpdated(now, step.changed)
	}
	l.frontEnd.EndpointLeaseChanged(now, step.lease, step.isComplete)
	l.endStep(stepEndpoints, now)
}

// discoveryEvents implements discovery.Sink. It forwards the reports of endpoint discovery to an event loop.
type discoveryEvents struct{ loop *EventLoop }

// EndpointsListed implements discovery.Sink. It waits until the list is handled, because later changes build on it.
func (e discoveryEvents) EndpointsListed(list []discovery.Worker) {
	e.loop.postAndWait(stepEndpoints, func(now time.Duration) { e.loop.frontEnd.EndpointsListed(now, list) })
}

// EndpointsUpdated implements discovery.Sink. It blocks while too many changes are pending.
func (e discoveryEvents) EndpointsUpdated(changed []discovery.Worker) {
	for waiting := e.loop.endpointChanges.add(changed); waiting > maxPendingChanges; waiting = e.loop.endpointChanges.add(nil) {
		if !e.loop.postAndWait(stepOther, func(time.Duration) {}) {
			return
		}
	}
}

// WatchFailed implements discovery.Sink.
func (e discoveryEvents) WatchFailed(err error) {
	e.loop.endpointChanges.observe((*endpointlease.Lease).Interrupt)
	e.loop.post(stepEndpoints, func(now time.Duration) { e.loop.frontEnd.WatchFailed(now, err) })
}

// ListRequested implements discovery.Sink.
func (e discoveryEvents) ListRequested(at time.Time) {
	e.loop.endpointChanges.observe(func(lease *endpointlease.Lease) { lease.RequestUpdate(e.onLoopClock(at)) })
}

// ListConfirmed implements discovery.Sink.
func (e discoveryEvents) ListConfirmed(asOf time.Time) {
	e.loop.endpointChanges.observe(func(lease *endpointlease.Lease) { lease.Confirm(e.onLoopClock(asOf)) })
}

// onLoopClock converts a time of this process to the event loop's clock.
func (e discoveryEvents) onLoopClock(at time.Time) time.Duration {
	return at.Sub(e.loop.cfg.ClockStart)
}
