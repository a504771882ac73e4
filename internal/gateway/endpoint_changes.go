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
	// maxEndpointChanges is how many workers one step of the event loop takes in.
	maxEndpointChanges = 128
	// maxPendingChanges bounds the workers whose changes wait for the loop; beyond, discovery waits too.
	maxPendingChanges = 1 << 13
)

// endpointChanges are the changes of the endpoint list that wait for the event loop. Discovery adds them as they come, and
// the loop takes some at each pass, so that no release of workers, however large, is one step of it. Of a worker that
// changes again while it waits the last state counts. Workers that may get nothing new are taken first.
type endpointChanges struct {
	added workerconn.Signal // there is something to take

	mu       sync.Mutex
	byName   map[string]*discovery.Worker // those that wait
	inOrder  []*discovery.Worker          // the same, by when they first changed
	reported bool                         // something was reported, if only that the list is as it was

	lease        endpointlease.Lease // on the list with all that was reported
	leaseChanged bool                // since it was last taken
}

// endpointStep is what one step of the event loop takes in of what was reported of the endpoint list.
type endpointStep struct {
	changed  []discovery.Worker
	reported bool // the list was reported, if only as it was
	lease    endpointlease.Lease
	isWhole  bool // nothing that was reported waits any longer: the lease is on the list as it is after this step
}

func newEndpointChanges(lease endpointlease.Lease) *endpointChanges {
	return &endpointChanges{added: workerconn.NewSignal(), byName: map[string]*discovery.Worker{}, lease: lease}
}

// add adds changes, and returns how many workers wait.
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

// observe changes the lease.
func (c *endpointChanges) observe(change func(lease *endpointlease.Lease)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.lease)
	c.leaseChanged = true
	c.added.Notify()
}

// take takes out what one step of the loop handles. It returns false if nothing was reported since the last call.
func (c *endpointChanges) take() (step endpointStep, isNews bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reported && !c.leaseChanged {
		return step, false
	}
	step.reported = c.reported
	isReady := func(worker *discovery.Worker) bool { return worker.State == scheduler.Ready }
	step.changed = c.takeWhere(step.changed, func(worker *discovery.Worker) bool { return !isReady(worker) })
	step.changed = c.takeWhere(step.changed, isReady)
	c.reported = len(c.byName) > 0
	step.lease, step.isWhole = c.lease, !c.reported
	c.leaseChanged = false
	if c.reported {
		c.added.Notify()
	}
	return step, true
}

// takeWhere adds the workers for which a condition holds to those taken, as long as a step has room for them.
func (c *endpointChanges) takeWhere(taken []discovery.Worker, holds func(*discovery.Worker) bool) []discovery.Worker {
	c.inOrder = slices.DeleteFunc(c.inOrder, func(worker *discovery.Worker) bool {
		if len(taken) == maxEndpointChanges || !holds(worker) {
			return false
		}
		delete(c.byName, worker.Name)
		taken = append(taken, *worker)
		return true
	})
	return taken
}

// takeEndpointChanges hands some changes of the endpoint list to the FrontEnd.
func (l *EventLoop) takeEndpointChanges() {
	step, isNews := l.endpointChanges.take()
	if !isNews {
		return
	}
	now := l.Now()
	if step.reported {
		l.frontEnd.EndpointsUpdated(now, step.changed)
	}
	l.frontEnd.EndpointLeaseChanged(now, step.lease, step.isWhole)
	l.endStep(stepEndpoints, now)
}

// discoveryEvents hands over what endpoint discovery reports. It is a discovery.Sink.
type discoveryEvents struct{ loop *EventLoop }

// EndpointsChanged implements discovery.Sink. It waits until the list is handled: changes come after it.
func (e discoveryEvents) EndpointsChanged(list []discovery.Worker) {
	e.loop.postAndWait(stepEndpoints, func(now time.Duration) { e.loop.frontEnd.EndpointsChanged(now, list) })
}

// EndpointsUpdated implements discovery.Sink.
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

// onLoopClock is a time of this process on the event loop's clock.
func (e discoveryEvents) onLoopClock(at time.Time) time.Duration {
	return at.Sub(e.loop.cfg.ClockStart)
}
