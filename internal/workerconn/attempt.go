package workerconn

import (
	"time"

	"havencart/internal/memorybudget"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// Attempt is one attempt of a request at one worker. The caller sets the exported fields and must not change them once
// it has called Send. The unexported fields belong to the client that sends the attempt.
type Attempt struct {
	Request  muxframe.Request
	Body     []byte
	Deadline time.Duration // no response is awaited after this; on the client's monotonic clock
	NotAfter time.Duration // the write may neither start nor continue after this; 0: only Deadline limits it
	// ConfirmedUntil is the time until which the write may start because the worker itself has confirmed that it
	// accepts new work. It matters if the lease on the endpoint list ends earlier.
	ConfirmedUntil time.Duration

	delivery delivery
}

// writeDeadline returns the time from which the attempt may no longer be written, 0 if there is none.
func (a *Attempt) writeDeadline() time.Duration {
	if a.NotAfter > 0 && a.Deadline > 0 {
		return min(a.NotAfter, a.Deadline)
	}
	return max(a.NotAfter, a.Deadline)
}

// permitEnd returns the end of the attempt's permit if that is before the deadline for the response, else 0. An attempt
// that is written after the end of its permit could execute the request a second time.
func (a *Attempt) permitEnd() time.Duration {
	if a.NotAfter > 0 && (a.Deadline == 0 || a.NotAfter < a.Deadline) {
		return a.NotAfter
	}
	return 0
}

// HasPermit reports whether the attempt has a permit that ends before the deadline for the response.
func (a *Attempt) HasPermit() bool { return a.permitEnd() > 0 }

// PermitEnded reports whether the attempt's permit has ended at now, and before the deadline for the response. From then
// on the attempt must not reach the worker.
func (a *Attempt) PermitEnded(now time.Duration) bool {
	end := a.permitEnd()
	return end > 0 && now >= end
}

// Number returns the number under which the attempt was queued, which identifies the attempt on its connection.
func (a *Attempt) Number() uint64 { return a.delivery.number }

// MayHaveBeenSent reports, for an attempt that has ended, whether the worker may have received it.
func (a *Attempt) MayHaveBeenSent() bool { return a.delivery.state == ended }

// WriteStartedAt returns, for an attempt that has ended, when its write started on the client's clock; 0: it never did.
func (a *Attempt) WriteStartedAt() time.Duration { return a.delivery.writeStartedAt }

// MarkRejected records that a client refused the attempt, which was therefore never sent.
func (a *Attempt) MarkRejected() { a.delivery.cancel() }

// LoadOrder tells a worker how many replicas of a function to keep loaded. A load order of zero replicas is a residency
// query, which only asks how many replicas are loaded.
type LoadOrder struct {
	Load           muxframe.LoadOrder
	ConfirmedUntil time.Duration // see Attempt.ConfirmedUntil; does not limit residency queries

	delivery delivery
}

// MarkRejected records that a client refused the load order, which was therefore never sent.
func (o *LoadOrder) MarkRejected() { o.delivery.cancel() }

// WriteStartedAt returns, for an order that has ended, when its write started on the client's clock; 0: it never did.
func (o *LoadOrder) WriteStartedAt() time.Duration { return o.delivery.writeStartedAt }

// isNewWork reports whether the order may make the worker load replicas, unlike a residency query.
func (o *LoadOrder) isNewWork() bool { return o.Load.Replicas > 0 }

// HealthCheck asks a worker whether it accepts new work. The caller sets RequestedAt; the client sets ConnectedAt before it
// reports the response. Both times are on the client's monotonic clock.
type HealthCheck struct {
	RequestedAt time.Duration
	ConnectedAt time.Duration // when the connection that carried the check was established; 0: not known
}

// SentAfter returns a time before which the check cannot have been sent.
func (h *HealthCheck) SentAfter() time.Duration { return max(h.RequestedAt, h.ConnectedAt) }

// Result describes how an attempt ended.
type Result struct {
	Status     scheduler.Status
	Reason     string // explanation for people; it may reach the client that sent the request
	ColdStart  scheduler.ColdStart
	QueueDepth int           // requests for the function that the worker held on arrival, -1 if not reported
	LoadReport []float64     // values in the order of the worker's load report fields
	RunTime    time.Duration // execution time without time spent queued; 0 if not reported
	Response   *Response     // nil if the worker sent none
	ReceivedAt time.Duration // when the response was read, on the client's monotonic clock; 0 if not recorded
	// Memory is the reservation for Response, which the receiver of the result releases once it has handled the result.
	Memory *memorybudget.Reservation
}

// Response is a worker's response to an attempt.
type Response struct {
	ContentType string  // media type of the body
	Body        []byte  // the complete body if Stream is nil
	Length      int64   // length of the complete body in bytes, -1 if not known
	Stream      *Stream // the body if the response arrives in parts, else nil
}
