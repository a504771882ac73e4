package gateway

import (
	"slices"
	"sync"
	"time"

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
}

func newEndpointChanges() *endpointChanges {
	return &endpointChanges{added: workerconn.NewSignal(), byName: map[string]*discovery.Worker{}}
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

// take takes out what one step of the loop handles. It returns false if nothing was reported since the last call.
func (c *endpointChanges) take() (changed []discovery.Worker, reported bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reported {
		return nil, false
	}
	isReady := func(worker *discovery.Worker) bool { return worker.State == scheduler.Ready }
	changed = c.takeWhere(changed, func(worker *discovery.Worker) bool { return !isReady(worker) })
	changed = c.takeWhere(changed, isReady)
	c.reported = len(c.byName) > 0
	if c.reported {
		c.added.Notify()
	}
	return changed, true
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
	changed, reported := l.endpointChanges.take()
	if !reported {
		return
	}
	now := l.Now()
	l.frontEnd.EndpointsUpdated(now, changed)
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
	e.loop.post(stepEndpoints, func(now time.Duration) { e.loop.frontEnd.WatchFailed(now, err) })
}
