package gateway

import (
	"fmt"
	"time"

	"havencart/internal/decide/execution"
	"havencart/internal/decide/tenancy"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// RequestReceived admits a request or rejects it at once. One whose client disconnected while it waited in the event
// loop's queue is dropped.
func (f *FrontEnd) RequestReceived(now time.Duration, request *Request) {
	f.now = now
	if request.state != requestSubmitted {
		return
	}
	if !request.delivery.claim() {
		request.enter(requestCompleted) // it expired while it waited
		return
	}
	request.deadline = request.StartedAt + request.Timeout - f.settings.DeadlineMargin - f.lag.DeadlineMargin(now)
	if reason := f.rejectionReason(request); reason != noReason {
		f.reject(request, reason)
	} else {
		f.admit(request)
	}
	f.runDeferred()
}

// rejectionReason is why a request is rejected whatever its tenant and function, or noReason.
func (f *FrontEnd) rejectionReason(request *Request) Reason {
	// The shedder observes the queue delay of each request, also of one that is rejected for another reason.
	queued := request.queuedAt > 0
	overloaded := queued && f.shedder.ShouldReject(f.now, f.now-request.queuedAt)
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

// QueueLimit returns how many requests may wait in the event loop's queue, of which so many wait at now. A request that
// finds as many waiting is to be rejected without the FrontEnd.
func (f *FrontEnd) QueueLimit(now time.Duration, waiting int) int {
	if waiting == 0 {
		f.shedder.QueueEmptied(now)
	}
	return f.shedder.QueueLimit()
}

// reject gives a request that is not admitted its final response.
func (f *FrontEnd) reject(request *Request, reason Reason) {
	f.counts.Shed++
	request.complete(FinalResponse{Kind: Rejected, Reason: reason.String(), RetryAfter: f.settings.Scheduler.MaxRetryAfter})
}

// admit hands a request to the scheduler, unless its tenant or its function's name forbids it.
func (f *FrontEnd) admit(request *Request) {
	if verdict := f.tenancy.RequestReceived(f.now, request.Tenant); verdict != tenancy.Admit {
		f.reject(request, tenantRejection(verdict))
		return
	}
	functionID := FunctionID(request.Replica.Function)
	fn := f.registerFunction(functionID, request.Replica)
	if fn == nil {
		f.reject(request, FunctionNameCollision)
		return
	}
	request.id = f.nextRequestID()
	request.function = fn
	request.record = execution.NewRecord(&f.settings.Scheduler.Classes[request.Class])
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

// registerFunction notes the use of a function with its latest replica specification. It returns nil for a function
// whose name has the identifier of another one's, made so on purpose or by great chance: replicas of one would be
// taken for the other's.
func (f *FrontEnd) registerFunction(id scheduler.FunctionID, replica muxframe.ReplicaSpec) *function {
	known := f.functions[id]
	if known == nil {
		known = &function{}
		f.functions[id] = known
	} else if known.replica.Function != replica.Function {
		return nil
	}
	known.replica = replica
	known.lastUsed = f.now
	return known
}

// nextRequestID returns an identifier that no request in flight has; 0 is none.
func (f *FrontEnd) nextRequestID() scheduler.RequestID {
	for {
		f.lastRequestID++
		if f.lastRequestID != 0 && f.requests[f.lastRequestID] == nil {
			return f.lastRequestID
		}
	}
}

// fillNames gives a request the names that its client left out.
func (f *FrontEnd) fillNames(request *Request) {
	if request.ID == "" {
		request.ID = fmt.Sprintf("%s-%x-%d", f.settings.Name, f.settings.ClockStart.UnixNano(), request.id)
	}
	class := f.settings.Scheduler.Classes[request.Class]
	if request.IdempotencyKey == "" && class.Idempotency == scheduler.IdempotentByKey {
		request.IdempotencyKey = request.ID // so that at least our own retries are deduplicated
	}
}
