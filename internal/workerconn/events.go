package workerconn

import "havencart/scheduler"

// Events receives what happens on the connections to one worker. Its methods are called from the client's goroutines,
// never from within a method of the client and never with a lock held. They may block; the client then stops reading.
type Events interface {
	// ResponseStarted reports the start of a response that arrives in parts; AttemptEnded follows when it is complete or
	// has broken off.
	ResponseStarted(a *Attempt, r Result)
	// AttemptEnded reports the end of an attempt, once, unless it was abandoned.
	AttemptEnded(a *Attempt, r Result)
	// LoadEnded reports the response to a load order, once, unless it was abandoned. Replicas are loaded now.
	LoadEnded(o *LoadOrder, s scheduler.Status, replicas int)
	// HealthChecked reports the response to a health check, or that none can arrive.
	HealthChecked(c *HealthCheck, s scheduler.Status, report []float64)
	// Disconnected reports that there is no connection, and why.
	Disconnected(why error)
	// LateResponse reports a response that nobody waits for any longer. The number is its stream ID, 0 if the protocol
	// has none that identifies it.
	LateResponse(number uint32)
}

// NotifyEnded reports the attempts and load orders among items as ended, attempts with attemptStatus and reason, load
// orders with loadStatus. The caller holds no lock.
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
