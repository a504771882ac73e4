package workerconn

import (
	"time"

	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// Attempt is one attempt of a request at one worker. The caller sets the exported fields and leaves them unchanged from
// the call of Send on; the rest belongs to the client that sends it.
type Attempt struct {
	Request  muxframe.Request
	Body     []byte
	Deadline time.Duration // nobody waits for the response after this; on the client's monotonic clock
	NotAfter time.Duration // its write may neither begin nor go on after this; 0: Deadline alone bounds it
	// ConfirmedUntil is until when its write may begin because its worker confirmed that it accepts new work, where the lease
	// on the endpoint list ends before.
	ConfirmedUntil time.Duration

	delivery delivery
}

// writeDeadline is the time after which the attempt may not be written, 0 if there is none.
func (a *Attempt) writeDeadline() time.Duration {
	if a.NotAfter > 0 && a.Deadline > 0 {
		return min(a.NotAfter, a.Deadline)
	}
	return max(a.NotAfter, a.Deadline)
}

// permitEnd is when a permit that is shorter than the time for a response ends, 0 if there is none: after it, the attempt
// could execute a request again.
func (a *Attempt) permitEnd() time.Duration {
	if a.NotAfter > 0 && (a.Deadline == 0 || a.NotAfter < a.Deadline) {
		return a.NotAfter
	}
	return 0
}

// Number is the number under which the attempt was queued. It identifies the attempt on its connection.
func (a *Attempt) Number() uint64 { return a.delivery.number }

// MayHaveBeenSent tells of an attempt that has ended whether the worker may have seen it.
func (a *Attempt) MayHaveBeenSent() bool { return a.delivery.state == ended }

// WriteStartedAt tells of an attempt that has ended when its write started, on the client's clock; 0: it never did.
func (a *Attempt) WriteStartedAt() time.Duration { return a.delivery.writeStartedAt }

// Reject records that a client refused the attempt: it was never sent.
func (a *Attempt) Reject() { a.delivery.cancel() }

// LoadOrder tells a worker to hold so many replicas of a function. An order of zero replicas is a residency query: it
// only asks how many are loaded.
type LoadOrder struct {
	Load           muxframe.LoadOrder
	ConfirmedUntil time.Duration // as Attempt has it; a residency query may always be written

	delivery delivery
}

// Reject records that a client refused the order: it was never sent.
func (o *LoadOrder) Reject() { o.delivery.cancel() }

// WriteStartedAt tells of an order that has ended when its write started, on the client's clock; 0: it never did.
func (o *LoadOrder) WriteStartedAt() time.Duration { return o.delivery.writeStartedAt }

// isNewWork tells whether the order makes the worker load something, unlike a residency query.
func (o *LoadOrder) isNewWork() bool { return o.Load.Replicas > 0 }

// HealthCheck asks a worker whether it accepts new work. The caller sets AskedAt, and the client the rest before it reports
// the response. Both are on the client's monotonic clock.
type HealthCheck struct {
	AskedAt     time.Duration
	ConnectedAt time.Duration // when the connection was made that it was sent on; 0: not known
}

// SentAfter is a time before which the check was not sent.
func (h *HealthCheck) SentAfter() time.Duration { return max(h.AskedAt, h.ConnectedAt) }

// Result tells how an attempt ended.
type Result struct {
	Status     scheduler.Status
	Reason     string // for people; it may reach the client that sent the request
	ColdStart  scheduler.ColdStart
	QueueDepth int           // requests of the function that the worker held on arrival, -1 if not reported
	LoadReport []float64     // values in the order of the worker's load report fields
	RunTime    time.Duration // time that the execution took, without time spent queued; 0 if not reported
	Response   *Response     // nil if the worker gave none
	ReceivedAt time.Duration // when the response was read, on the client's monotonic clock; 0 if not recorded
}

// Response is what a worker responded to an attempt.
type Response struct {
	ContentType string  // content type
	Body        []byte  // the whole body if Stream is nil
	Length      int64   // of the whole body in bytes, -1 if not known
	Stream      *Stream // the body of a response that arrives in parts, else nil
}
