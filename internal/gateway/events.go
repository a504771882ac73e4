package gateway

import (
	"slices"
	"time"

	"havencart/internal/discovery"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// maxEndpointChanges is how many workers one step of the event loop takes in.
const maxEndpointChanges = 128

// discoveryEvents posts what endpoint discovery reports. It is a discovery.Sink.
type discoveryEvents struct{ loop *EventLoop }

// EndpointsChanged implements discovery.Sink.
func (e discoveryEvents) EndpointsChanged(list []discovery.Worker) {
	e.loop.post(stepEndpoints, func(now time.Duration) { e.loop.frontEnd.EndpointsChanged(now, list) })
}

// EndpointsUpdated implements discovery.Sink. It hands the changes over a few at a time, and waits for each: what else the
// loop has to do comes in between, however many workers a release replaces. Workers that may get nothing new come first.
func (e discoveryEvents) EndpointsUpdated(changed []discovery.Worker) {
	if len(changed) == 0 {
		e.updateEndpoints(nil)
	}
	for part := range slices.Chunk(readyLast(changed), maxEndpointChanges) {
		e.updateEndpoints(part)
	}
}

func (e discoveryEvents) updateEndpoints(changed []discovery.Worker) {
	e.loop.postAndWait(stepEndpoints, func(now time.Duration) { e.loop.frontEnd.EndpointsUpdated(now, changed) })
}

// readyLast returns workers with those that are ready behind the others, else in their order.
func readyLast(workers []discovery.Worker) []discovery.Worker {
	ordered := make([]discovery.Worker, 0, len(workers))
	for _, isReady := range []bool{false, true} {
		for _, worker := range workers {
			if (worker.State == scheduler.Ready) == isReady {
				ordered = append(ordered, worker)
			}
		}
	}
	return ordered
}

// WatchFailed implements discovery.Sink.
func (e discoveryEvents) WatchFailed(err error) {
	e.loop.post(stepEndpoints, func(now time.Duration) { e.loop.frontEnd.WatchFailed(now, err) })
}

// workerEvents posts what one worker client reports. It is a muxclient.Events, called from the client's goroutines.
type workerEvents struct {
	loop   *EventLoop
	worker scheduler.WorkerID
}

// ResponseStarted implements muxclient.Events.
func (e workerEvents) ResponseStarted(attempt *workerconn.Attempt, r workerconn.Result) {
	e.loop.post(stepWorker, func(now time.Duration) { e.loop.frontEnd.ResponseStarted(now, attempt, r) })
}

// AttemptEnded implements muxclient.Events.
func (e workerEvents) AttemptEnded(attempt *workerconn.Attempt, r workerconn.Result) {
	e.loop.post(stepWorker, func(now time.Duration) { e.loop.frontEnd.AttemptEnded(now, attempt, r) })
}

// LoadEnded implements muxclient.Events.
func (e workerEvents) LoadEnded(order *workerconn.LoadOrder, status scheduler.Status, replicas int) {
	e.loop.post(stepWorker, func(now time.Duration) { e.loop.frontEnd.LoadEnded(now, order, status, replicas) })
}

// HealthChecked implements muxclient.Events.
func (e workerEvents) HealthChecked(status scheduler.Status, loadReport []float64) {
	e.loop.post(stepWorker, func(now time.Duration) { e.loop.frontEnd.HealthChecked(now, e.worker, status, loadReport) })
}

// Connected implements muxclient.Events.
func (e workerEvents) Connected(welcome muxframe.Welcome) {
	e.loop.post(stepWorker, func(now time.Duration) { e.loop.frontEnd.WorkerConnected(now, e.worker, welcome) })
}

// Disconnected implements muxclient.Events.
func (e workerEvents) Disconnected(cause error) {
	e.loop.post(stepWorker, func(now time.Duration) { e.loop.frontEnd.WorkerDisconnected(now, e.worker, cause) })
}

// LateResponse implements muxclient.Events.
func (e workerEvents) LateResponse(uint32) {
	e.loop.post(stepWorker, func(now time.Duration) { e.loop.frontEnd.LateResponse(now) })
}
