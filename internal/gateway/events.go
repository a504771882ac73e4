package gateway

import (
	"time"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// workerEvents implements muxclient.Events. It posts the reports of one worker client to the event loop, and is called
// from the client's goroutines.
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
	e.loop.post(stepWorker, func(now time.Duration) {
		e.loop.frontEnd.AttemptEnded(now, attempt, r)
		r.Memory.Release()
	})
}

// LoadEnded implements muxclient.Events.
func (e workerEvents) LoadEnded(order *workerconn.LoadOrder, status scheduler.Status, replicas int) {
	e.loop.post(stepWorker, func(now time.Duration) { e.loop.frontEnd.LoadEnded(now, order, status, replicas) })
}

// HealthChecked implements muxclient.Events.
func (e workerEvents) HealthChecked(check *workerconn.HealthCheck, status scheduler.Status, loadReport []float64) {
	e.loop.post(stepWorker, func(now time.Duration) { e.loop.frontEnd.HealthChecked(now, check, status, loadReport) })
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
