package gateway

import (
	"sync/atomic"
	"time"
)

// expiryMarginDivisor gives the part of the deadline margin that is left for the way to the client when a request expires.
// What the scheduler decides is due before, by the whole margin: a request expires only where the loop did not get to it.
const expiryMarginDivisor = 2

// delivery is who may give a request its final response. The FrontEnd owns the request and gives it; the expiry, which has
// a goroutine of its own, gives it where the event loop does not, however long the loop stands still and whatever for.
// Whichever comes first has the only final response: done is entered once.
type delivery struct{ state atomic.Uint32 }

const (
	deliveryQueued uint32 = iota // the request waits for the event loop: nothing was done for it
	deliveryOwned                // the FrontEnd has it, and may have sent it to a worker
	deliveryDone                 // the final response was given, or is owed no longer
)

// claim gives the request to the FrontEnd, and reports whether a final response is still owed.
func (d *delivery) claim() bool { return d.state.CompareAndSwap(deliveryQueued, deliveryOwned) }

// finish reports whether the caller is to give the final response.
func (d *delivery) finish() bool { return d.state.Swap(deliveryDone) != deliveryDone }

// expire reports whether the expiry is to give the final response, and whether the FrontEnd has the request.
func (d *delivery) expire() (owed, owned bool) {
	if d.state.CompareAndSwap(deliveryQueued, deliveryDone) {
		return true, false
	}
	return d.state.CompareAndSwap(deliveryOwned, deliveryDone), true
}

// expireAfter has a request expire. It is called before anything else can have the request.
func (l *EventLoop) expireAfter(request *Request) {
	if request.Timeout <= 0 {
		return
	}
	due := request.StartedAt + request.Timeout - l.cfg.DeadlineMargin/expiryMarginDivisor
	request.expiry = time.AfterFunc(max(0, due-l.Now()), func() { l.expire(request) })
}

// expire gives a request its final response in place of an event loop that has not: a rejection where the loop never saw
// it, else one that promises nothing. The loop is told, as it still has the request.
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

// RequestExpired ends what is done for a request whose client was given its final response in the FrontEnd's place.
func (f *FrontEnd) RequestExpired(now time.Duration, request *Request) {
	f.now = now
	if request.state == requestInFlight {
		f.answerPastDeadline(request)
	}
	f.runDeferred()
}
