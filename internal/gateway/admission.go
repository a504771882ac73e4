package gateway

import (
	"fmt"
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/decide/tenancy"
	"havencart/scheduler"
)

// RequestReceived admits a request or rejects it immediately. It drops a request whose client disconnected, or that
// expired, while the request waited in the event loop's queue.
func (f *FrontEnd) RequestReceived(now time.Duration, request *Request) {
	f.now = now
	if request.state != requestSubmitted {
		return
	}
	if !request.delivery.claim() {
		request.enter(requestCompleted) // the request expired in the queue
		return
	}
	request.deadline = request.StartedAt + request.Timeout - f.settings.DeadlineMargin - f.lag.DeadlineMargin(now)
	f.admitOrReject(request)
	f.runDeferred()
}

// admitOrReject admits a request, rejects it, or handles it as one that was sent again.
func (f *FrontEnd) admitOrReject(request *Request) {
	if request.Resent && !f.mayAdmitResent(request) {
		return
	}
	if reason := f.rejectionReason(request); reason != noReason {
		f.reject(request, reason)
		return
	}
	f.admit(request)
}

// rejectionReason returns the reason to reject a request regardless of its tenant and function, or noReason.
func (f *FrontEnd) rejectionReason(request *Request) Reason {
	// The shedder must observe the queue delay of every request, including requests rejected for another reason.
	queued := request.queuedAt > 0
	overloaded := queued && f.shedder.ShouldReject(f.now, f.now-request.queuedAt, request.Priority)
	switch {
	case f.shuttingDown:
		return ShuttingDown
	case overloaded:
		return LoopOverloaded
	case len(f.requests) >= f.settings.MaxInFlight:
		return TooManyInFlight
	case request.deadline <= f.now:
		return DeadlineExceeded
	}
	return noReason
}

// QueueLimit returns how many requests may wait in the event loop's queue, given the number that are waiting at now.
// While that many requests are waiting, the caller rejects further ones without passing them to the FrontEnd.
func (f *FrontEnd) QueueLimit(now time.Duration, waiting int) int {
	if waiting == 0 {
		f.shedder.QueueEmptied(now)
	}
	return f.shedder.QueueLimit()
}

// reject gives the final response to a request that is not admitted.
func (f *FrontEnd) reject(request *Request, reason Reason) {
	f.counts.Shed++
	f.shedReasons[reason]++
	f.trace.shed(f.now, request, reason)
	request.complete(FinalResponse{Kind: Rejected, Reason: reason.String(), RetryAfter: f.settings.Scheduler.MaxRetryAfter})
}

// admit passes a request to the scheduler. It rejects the request if the tenant is over its limit, or if the function's
// identifier collides with that of another function.
func (f *FrontEnd) admit(request *Request) {
	if verdict := f.tenancy.RequestReceived(f.now, request.Tenant); verdict != tenancy.Admit {
		f.reject(request, tenantRejection(verdict))
		return
	}
	functionID := FunctionID(request.Replica.Function)
	request.function = f.functions.acquire(functionID, request.Replica)
	if request.function == nil {
		f.reject(request, FunctionNameCollision)
		return
	}
	request.id = f.nextRequestID()
	record := execution.NewRecord(&f.settings.Scheduler.Classes[request.Class])
	request.record = &record
	request.enter(requestInFlight)
	f.fillNames(request)
	f.requests[request.id] = request
	f.counts.Admitted++
	f.setRequestTimer(request)
	f.scheduler.RequestReceived(f.now, scheduler.Request{
		ID:                 request.id,
		Class:              request.Class,
		Tenant:             request.Tenant,
		Function:           functionID,
		Timeout:            request.deadline - f.now,
		WorkEstimate:       request.WorkEstimate,
		ReplicaMemoryMB:    request.Replica.MemoryMB,
		ReplicaConcurrency: request.Replica.Concurrency,
		LoadTimeEstimate:   request.Replica.LoadTime(),
	})
}

// nextRequestID returns a nonzero identifier that no request in flight uses.
func (f *FrontEnd) nextRequestID() scheduler.RequestID {
	for {
		f.lastRequestID++
		if f.lastRequestID != 0 && f.requests[f.lastRequestID] == nil {
			return f.lastRequestID
		}
	}
}

// fillNames generates the request ID and the idempotency key if the client did not provide them.
func (f *FrontEnd) fillNames(request *Request) {
	if request.ID == "" {
		request.ID = fmt.Sprintf("%s-%x-%d", f.settings.Name, f.settings.ClockStart.UnixNano(), request.id)
	}
	class := f.settings.Scheduler.Classes[request.Class]
	if request.IdempotencyKey == "" && class.Idempotency == scheduler.IdempotentByKey {
		request.IdempotencyKey = request.ID // lets workers deduplicate at least the gateway's own retries
	}
}
