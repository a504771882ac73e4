package workerconn

import "havencart/scheduler"

// Events receives the events of the connections to one worker. Its methods are called from the client's goroutines,
// never from within a method of the client and never with a lock held. The client does not read while they block.
type Events interface {
	// ResponseStarted reports the start of a response that arrives in parts. AttemptEnded follows when the response is
	// complete or has broken off.
	ResponseStarted(a *Attempt, r Result)
	// AttemptEnded reports the end of an attempt. It is called once per attempt, unless the attempt was abandoned.
	AttemptEnded(a *Attempt, r Result)
	// LoadEnded reports the end of a load order, and how many replicas are loaded now. It is called once per load
	// order, unless the order was abandoned.
	LoadEnded(o *LoadOrder, s scheduler.Status, replicas int)
	// HealthChecked reports the response to a health check, or that no response can arrive.
	HealthChecked(c *HealthCheck, s scheduler.Status, report []float64)
	// Disconnected reports that there is no connection to the worker, and the reason.
	Disconnected(why error)
	// LateResponse reports a response that is no longer awaited. number is the stream ID of the response, 0 if the
	// protocol has no ID that identifies it.
	LateResponse(number uint32)
}

// NotifyEnded reports the attempts and load orders among items as ended: attempts with attemptStatus and reason, load
// orders with loadStatus. The caller must not hold a lock.
func NotifyEnded[Frame any](events Events, items []QueueItem[Frame], attemptStatus, loadStatus scheduler.Status, reason string) {
	for _, item := range items {
		switch {
		case item.Attempt != nil:
			events.AttemptEnded(item.Attempt, Result{Status: attemptStatus, Reason: reason, QueueDepth: -1})
		case item.Load != nil:
			events.LoadEnded(item.Load, loadStatus, 0)
		}
	}
}
