package gateway

import (
	"context"
	"math"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/decide/endpointlease"
	"havencart/internal/decide/loadshed"
	"havencart/internal/decide/looplag"
	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/workerconn"
)

// EventLoopConfig is the configuration of an EventLoop and of its FrontEnd.
type EventLoopConfig struct {
	Settings
	WorkerClient    muxclient.Config // template; Worker, Address, FrontEnd, Guard, Seed and Now are set for each client
	Dial            Dial             // if not nil, opens worker clients for another protocol instead of WorkerClient
	Source          discovery.Source
	RequestQueue    int           // capacity of the request queue; when it is full, requests are rejected immediately
	EventQueue      int           // capacity of the event queue; when it is full, worker clients stop reading
	ShutdownTimeout time.Duration // how long a shutdown waits for requests in flight
}

// EventLoop owns a FrontEnd: the goroutine that calls Run passes events to it one at a time. Exported methods other
// than Run and OpenWorker may be called from any goroutine.
type EventLoop struct {
	cfg           EventLoopConfig
	log           zerolog.Logger
	shedLog       zerolog.Logger // of requests that are rejected without the FrontEnd; sampled by itself
	frontEnd      *FrontEnd
	requests      chan *Request                 // capacity RequestQueue; when it is full, requests are rejected
	events        chan loopEvent                // capacity EventQueue; when it is full, post blocks
	workerClients []AwaitableWorkerClient       // clients not known to have ended; used only by the loop's goroutine
	nextPrune     int                           // length of workerClients at which ended clients are removed from it
	newTestClient func(*EventLoop) WorkerClient // if not nil, a test's replacement for worker clients
	kill          chan struct{}                 // closed by Kill
	done          chan struct{}                 // closed when the loop has ended
	gate          queueGate
	guard         *workerconn.WriteGuard // shared with the worker clients
	stalls        looplag.StallTracker   // used only by the loop's goroutine
	times         LoopTimes              // used only by the loop's goroutine

	endpointChanges *endpointChanges
}

// loopEvent is an event that handle processes in the loop's goroutine.
type loopEvent struct {
	step   loopStep
	handle func(now time.Duration)
}

// NewEventLoop returns an EventLoop. Run starts it.
func NewEventLoop(cfg EventLoopConfig, log zerolog.Logger) *EventLoop {
	l := &EventLoop{
		cfg:      cfg,
		log:      log,
		shedLog:  sampled(log),
		requests: make(chan *Request, cfg.RequestQueue),
		events:   make(chan loopEvent, cfg.EventQueue),
		kill:     make(chan struct{}),
		done:     make(chan struct{}),
		guard:    &workerconn.WriteGuard{},

		endpointChanges: newEndpointChanges(endpointlease.New(cfg.EndpointRules, time.Since(cfg.ClockStart))),
	}
	l.cfg.Guard = l.guard
	l.gate.setLimit(math.MaxInt)
	return l
}

// Now returns the time on the loop's clock, which is the monotonic time since Settings.ClockStart.
func (l *EventLoop) Now() time.Duration { return time.Since(l.cfg.ClockStart) }

// Submit transfers the request to the event loop. The final response is delivered in the way that the request's
// constructor documents, at the latest when the request expires. If the loop is overloaded or has ended, or its queue
// is full, Submit rejects the request immediately without involving the loop's goroutine.
func (l *EventLoop) Submit(request *Request) {
	request.queuedAt = l.Now()
	reason := l.enqueue(request)
	if reason == noReason {
		return
	}
	l.gate.rejected.count(reason)
	l.logShed(request, reason)
	request.complete(FinalResponse{Kind: Rejected, Reason: reason.String(), RetryAfter: l.cfg.Scheduler.MaxRetryAfter})
}

// enqueue puts a request into the queue and returns noReason, or returns the reason why the request must be rejected.
func (l *EventLoop) enqueue(request *Request) Reason {
	if len(l.requests) >= loadshed.LimitFor(int(l.gate.limit.Load()), request.Priority) {
		return LoopOverloaded
	}
	select {
	case <-l.done:
		return LoopStopped
	default:
	}
	l.expireAfter(request)
	select {
	case l.requests <- request:
		return noReason
	default:
		return QueueFull
	}
}

// ObserveLag records that a goroutine other than the loop's handled something later than it was due, by late.
func (l *EventLoop) ObserveLag(late time.Duration) { l.gate.observeLag(late) }

// Disconnect reports that a request's client has disconnected.
func (l *EventLoop) Disconnect(request *Request) {
	l.post(stepDisconnect, func(now time.Duration) { l.frontEnd.ClientDisconnected(now, request) })
}

// Abandon reports that the connection of a request's client has ended before the final response, so that the client may
// send the request again, with the same ID and Request.Resent.
func (l *EventLoop) Abandon(request *Request) {
	l.post(stepDisconnect, func(now time.Duration) { l.frontEnd.RequestAbandoned(now, request) })
}

// Kill makes Run return without waiting for requests in flight. It must not be called more than once.
func (l *EventLoop) Kill() { close(l.kill) }

// Stall blocks the loop for d, to emulate a pause of the process in experiments.
func (l *EventLoop) Stall(d time.Duration) { l.post(stepOther, func(time.Duration) { time.Sleep(d) }) }

// post queues an event. It blocks while the queue is full, so that the caller, such as a worker client, stops reading.
func (l *EventLoop) post(step loopStep, handle func(now time.Duration)) {
	select {
	case l.events <- loopEvent{step, handle}:
	case <-l.done:
	}
}

// postAndWait queues an event and waits until it is handled. It returns false if the loop has ended.
func (l *EventLoop) postAndWait(step loopStep, handle func(now time.Duration)) bool {
	handled := make(chan struct{})
	l.post(step, func(now time.Duration) {
		handle(now)
		close(handled)
	})
	select {
	case <-handled:
		return true
	case <-l.done:
		return false
	}
}

// Run processes requests until ctx ends. It then rejects new requests, waits up to ShutdownTimeout for those in flight,
// and gives the remaining ones a final response. It returns the totals, and whether all requests ended in time. When it
// returns, the goroutines of its worker clients and of the endpoint watch have ended.
func (l *EventLoop) Run(ctx context.Context) (Counts, bool) {
	l.frontEnd = NewFrontEnd(l.Now(), l.cfg.Settings, l, l.log)
	watchCtx, stopWatch := context.WithCancel(context.Background())
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		l.cfg.Source.Run(watchCtx, discoveryEvents{l})
	}()
	clean := l.serve(ctx)
	l.frontEnd.Abort(l.Now())
	stopWatch()
	l.rejectQueued()
	<-watchEnded
	for _, client := range l.workerClients {
		<-client.Done()
	}
	return l.counts(), clean
}

// serve runs the loop until it is idle after a shutdown, the shutdown times out, or the loop is killed. It reports
// whether nothing was left in flight.
func (l *EventLoop) serve(ctx context.Context) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var shutdownTimeout <-chan time.Time
	shutdown := ctx.Done() // nil once the shutdown has begun
	for {
		now := l.beginPass()
		if shutdown == nil && l.idle() {
			return true
		}
		timer.Reset(max(0, l.nextPass(now)-now))
		select {
		case request := <-l.requests:
			l.receive(request)
		case event := <-l.events:
			l.handle(event)
		case <-l.endpointChanges.added:
		case <-timer.C:
		case <-shutdown:
			l.frontEnd.StopAdmitting(l.Now())
			shutdown = nil
			shutdownTimeout = time.After(l.cfg.ShutdownTimeout)
		case <-shutdownTimeout:
			return false
		case <-l.kill:
			return false
		}
	}
}

// beginPass handles the received events and endpoint changes before the timers that are due, because a timer may send
// new work, which draining workers must not get. It returns the time of the pass.
func (l *EventLoop) beginPass() time.Duration {
	l.drainEvents()
	l.applyEndpointChanges()
	now := l.Now()
	l.renewLease(now)
	l.prepare(now)
	return now
}

// renewLease renews the send lease, which lets worker clients send new work, unless the loop is still catching up after
// a stall.
func (l *EventLoop) renewLease(now time.Duration) {
	if l.stalls.MayRenewLease(now) {
		l.guard.RenewSendLease(now)
	}
}

// nextPass returns the time of the next pass if no event arrives: that of the next timer or, if it is earlier, the
// time at which the send lease may be renewed after a stall.
func (l *EventLoop) nextPass(now time.Duration) time.Duration {
	next := l.frontEnd.NextTimer()
	if renewal := l.stalls.NextRenewal(); renewal > now {
		next = min(next, renewal)
	}
	return next
}

// receive passes a request to the FrontEnd. The request's timeout counts from the earliest time at which the request
// may have arrived; after a stall of the process, that can be before the time at which the request was read. The send
// lease is renewed first, because a request can be the first thing that the loop handles after a stall.
func (l *EventLoop) receive(request *Request) {
	if request.Resent {
		l.drainEvents() // the client's disconnect was posted before the request was sent again
	}
	l.renewLease(l.Now())
	request.StartedAt = l.stalls.EarliestArrival(request.StartedAt, request.ArrivedAfter)
	now := l.Now()
	l.times.LongestWait = max(l.times.LongestWait, now-request.queuedAt)
	l.frontEnd.RequestReceived(now, request)
	l.endStep(stepRequest, now)
}

// prepare reports the observed lag to the FrontEnd, fires the timers that are due and updates the limit of the request
// queue.
func (l *EventLoop) prepare(now time.Duration) {
	if lag := l.gate.swapLag(); lag > 0 {
		l.frontEnd.ObserveLag(now, lag)
	}
	if l.frontEnd.NextTimer() <= now {
		l.frontEnd.FireTimers(now)
		l.endStep(stepTimers, now)
	}
	l.gate.setLimit(l.frontEnd.QueueLimit(now, len(l.requests)))
}

// idle reports whether no requests are in flight or queued.
func (l *EventLoop) idle() bool { return l.frontEnd.Idle() && len(l.requests) == 0 }

// drainEvents handles the queued events, including those that are posted meanwhile, before timers and requests.
// Otherwise, if the loop lags or the process stalls while an event is handled, a response received meanwhile would
// find its attempt timed out and its request failed. Under overload, requests that are admitted before the responses
// that make room for them would only lengthen the scheduler's backlog. To bound the delay of timers, it handles at
// most one full queue of events.
func (l *EventLoop) drainEvents() {
	for range cap(l.events) {
		select {
		case event := <-l.events:
			l.handle(event)
		default:
			return
		}
	}
}

// handle processes an event and records the time that it took.
func (l *EventLoop) handle(event loopEvent) {
	now := l.Now()
	event.handle(now)
	l.endStep(event.step, now)
}

// rejectQueued rejects the requests that the FrontEnd has not received, and unblocks goroutines that are posting
// events.
func (l *EventLoop) rejectQueued() {
	close(l.done)
	for {
		select {
		case request := <-l.requests:
			l.frontEnd.RequestReceived(l.Now(), request) // rejected, as the FrontEnd no longer admits requests
		default:
			return
		}
	}
}

// WatchEndpoints implements Dependencies.
func (l *EventLoop) WatchEndpoints() { l.cfg.Source.Refresh() }
