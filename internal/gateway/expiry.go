package gateway

import (
	"sync/atomic"
	"time"
)

// expiryMarginDivisor determines when a request expires: the deadline margin, divided by it, before the client's
// timeout. The remaining time is for sending the response to the client. The scheduler's decision is due earlier, by
// the whole margin before the timeout, so a request expires only if the event loop did not get to it.
const expiryMarginDivisor = 2

// delivery decides which goroutine gives a request its final response. Normally the FrontEnd does, as the owner of
// the request. If the event loop does not get to it in time, for example because it is stalled, the expiry timer
// does, which runs in a goroutine of its own. The state deliveryDone is entered only once, so that there is only one
// final response.
type delivery struct{ state atomic.Uint32 }

const (
	deliveryQueued uint32 = iota // the request waits in the event loop's queue and was not processed
	deliveryOwned                // the FrontEnd owns the request and may have sent it to a worker
	deliveryDone                 // the final response was given or is no longer needed
)

// claim marks the request as owned by the FrontEnd. It returns false if the request has already expired.
func (d *delivery) claim() bool { return d.state.CompareAndSwap(deliveryQueued, deliveryOwned) }

// finish marks the final response as given, and reports whether the caller must deliver it.
func (d *delivery) finish() bool { return d.state.Swap(deliveryDone) != deliveryDone }

// expire marks the final response as given. It reports whether the caller must deliver it, and whether the FrontEnd
// owns the request.
func (d *delivery) expire() (owed, owned bool) {
	if d.state.CompareAndSwap(deliveryQueued, deliveryDone) {
		return true, false
	}
	return d.state.CompareAndSwap(deliveryOwned, deliveryDone), true
}

// expireAfter starts the expiry timer of a request. It must be called before other goroutines can access the request.
func (l *EventLoop) expireAfter(request *Request) {
	if request.Timeout <= 0 {
		return
	}
	due := request.StartedAt + request.Timeout - l.cfg.DeadlineMargin/expiryMarginDivisor
	request.expiry = time.AfterFunc(max(0, due-l.Now()), func() { l.expire(request) })
}

// expire gives a request its final response if the event loop has not done so in time. The request is rejected if the
// loop never received it. Otherwise it is failed, because it may have executed, and the loop is notified so that it
// ends the work for the request.
func (l *EventLoop) expire(request *Request) {
	owed, owned := request.delivery.expire()
	if !owed {
		return
	}
	l.gate.expired.Add(1)
	if !owned {
		request.deliver(FinalResponse{Kind: Rejected, Reason: LoopOverloaded.String(), RetryAfter: l.cfg.Scheduler.MaxRetryAfter})
		return
	}
	request.deliver(FinalResponse{Kind: Failed, Reason: NoResponse.String(), TimedOut: true})
	l.post(stepOther, func(now time.Duration) { l.frontEnd.RequestExpired(now, request) })
}

// RequestExpired ends the work for a request that got its final response from the expiry timer.
func (f *FrontEnd) RequestExpired(now time.Duration, request *Request) {
	f.now = now
	switch request.state {
	case requestSubmitted: // it waited for an attempt of before; see resolveWaiting
		request.enter(requestCompleted)
	case requestInFlight:
		f.respondPastDeadline(request)
	}
	f.runDeferred()
}
