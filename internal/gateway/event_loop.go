package gateway

import (
	"context"
	"math"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/decide/endpointlease"
	"havencart/internal/decide/looplag"
	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/workerconn"
)

// EventLoopConfig is what an EventLoop needs beside its FrontEnd's settings.
type EventLoopConfig struct {
	Settings
	WorkerClient    muxclient.Config // Worker, Address, FrontEnd, Seed and Now are set for each client
	Dial            Dial             // in place of WorkerClient, where workers speak another protocol; else nil
	Source          discovery.Source
	RequestQueue    int           // requests that may wait for the loop; more are rejected at once
	EventQueue      int           // events that may wait; beyond, worker clients stop reading
	ShutdownTimeout time.Duration // how long a shutdown waits for what is in flight
}

// EventLoop owns a FrontEnd: the goroutine of Run hands it all events, in the order in which they were received. The
// other methods may be called from any goroutine.
type EventLoop struct {
	cfg           EventLoopConfig
	log           zerolog.Logger
	frontEnd      *FrontEnd
	requests      chan *Request                 // bounded by RequestQueue; a request that finds it full is rejected
	events        chan loopEvent                // bounded by EventQueue; who posts to a full queue waits
	workerClients []ClosableWorkerClient        // started and not known to have ended; the loop's goroutine only
	nextPrune     int                           // of them, at which those that have ended are forgotten
	newTestClient func(*EventLoop) WorkerClient // in place of a worker client, where the loop is tested alone; else nil
	kill          chan struct{}                 // closed by Kill
	done          chan struct{}                 // closed when the loop has ended
	gate          queueGate
	guard         *workerconn.Guard    // shared with the worker clients
	stalls        looplag.StallTracker // the loop's goroutine only
	times         LoopTimes            // the loop's goroutine only

	endpointChanges *endpointChanges
}

// loopEvent is something for the loop to do, in its goroutine.
type loopEvent struct {
	step   loopStep
	handle func(now time.Duration)
}

// NewEventLoop returns an EventLoop that starts with Run.
func NewEventLoop(cfg EventLoopConfig, log zerolog.Logger) *EventLoop {
	l := &EventLoop{
		cfg:      cfg,
		log:      log,
		requests: make(chan *Request, cfg.RequestQueue),
		events:   make(chan loopEvent, cfg.EventQueue),
		kill:     make(chan struct{}),
		done:     make(chan struct{}),
		guard:    &workerconn.Guard{},

		endpointChanges: newEndpointChanges(endpointlease.New(cfg.EndpointRules, time.Since(cfg.ClockStart))),
	}
	l.cfg.Guard = l.guard
	l.gate.setLimit(math.MaxInt)
	return l
}

// Now returns the loop's clock: the monotonic time since Settings.ClockStart.
func (l *EventLoop) Now() time.Duration { return time.Since(l.cfg.ClockStart) }

// Submit hands a request over; its final response is delivered as its constructor says, at the latest when it expires. A
// loop that is overloaded, whose queue is full, or that has ended, rejects at once, at no cost to the loop's own goroutine.
func (l *EventLoop) Submit(request *Request) {
	request.queuedAt = l.Now()
	reason := l.enqueue(request)
	if reason == noReason {
		return
	}
	l.gate.rejected.Add(1)
	request.complete(FinalResponse{Kind: Rejected, Reason: reason.String(), RetryAfter: l.cfg.Scheduler.MaxRetryAfter})
}

// enqueue puts a request into the queue, or returns why not.
func (l *EventLoop) enqueue(request *Request) Reason {
	if int64(len(l.requests)) >= l.gate.limit.Load() {
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

// ObserveLag reports that a goroutine outside of the loop came so late to what was due.
func (l *EventLoop) ObserveLag(late time.Duration) { l.gate.observeLag(late) }

// Disconnect reports that a request's client has disconnected.
func (l *EventLoop) Disconnect(request *Request) {
	l.post(stepDisconnect, func(now time.Duration) { l.frontEnd.ClientDisconnected(now, request) })
}

// Counts returns the FrontEnd's totals, zero once the loop has ended. It waits for the loop.
func (l *EventLoop) Counts() Counts { return l.Snapshot().Counts }

// LoopSnapshot is what an EventLoop tells of itself at one time.
type LoopSnapshot struct {
	Counts    Counts
	Times     LoopTimes
	Workers   int // listed, or removed with something in flight
	Functions int // requested lately
	InFlight  int // requests that are owed a final response, or have an attempt in flight
}

// Snapshot returns the loop's state, the zero value once it has ended. It waits for the loop.
func (l *EventLoop) Snapshot() LoopSnapshot {
	reply := make(chan LoopSnapshot, 1)
	l.post(stepOther, func(time.Duration) { reply <- l.snapshot() })
	select {
	case snapshot := <-reply:
		return snapshot
	case <-l.done:
		return LoopSnapshot{}
	}
}

func (l *EventLoop) snapshot() LoopSnapshot {
	return LoopSnapshot{
		Counts:    l.counts(),
		Times:     l.times,
		Workers:   len(l.frontEnd.workers),
		Functions: len(l.frontEnd.functions),
		InFlight:  len(l.frontEnd.requests),
	}
}

// counts are the FrontEnd's totals, with what was rejected without it.
func (l *EventLoop) counts() Counts {
	counts := l.frontEnd.Counts()
	counts.Shed += l.gate.rejected.Load()
	counts.Expired += l.gate.expired.Load()
	return counts
}

// Kill ends Run at once. It may be called once.
func (l *EventLoop) Kill() { close(l.kill) }

// Stall blocks the loop for d, as a pause of the process does; it is for laboratories.
func (l *EventLoop) Stall(d time.Duration) { l.post(stepOther, func(time.Duration) { time.Sleep(d) }) }

// post queues an event. It waits where the queue is full: who posts stops reading meanwhile.
func (l *EventLoop) post(step loopStep, handle func(now time.Duration)) {
	select {
	case l.events <- loopEvent{step, handle}:
	case <-l.done:
	}
}

// postAndWait queues an event, and returns true once it is handled, or false if the loop has ended.
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

// Run serves until ctx ends. Then it rejects what is received, waits for what is in flight, ShutdownTimeout at most,
// and gives the rest its final response. It returns the totals, and whether all ended in time. When it returns, the
// goroutines of its worker clients and of the endpoint watch have ended.
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

// serve is the loop. It reports whether nothing was left in flight.
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

// beginPass handles what has been received, and then what is due: timers may send something new, which workers that drain
// are not to get. It returns the time of the pass.
func (l *EventLoop) beginPass() time.Duration {
	l.drainEvents()
	l.takeEndpointChanges()
	now := l.Now()
	l.renewLease(now)
	l.prepare(now)
	return now
}

// renewLease lets worker clients send new work for another while, if the loop is up to date.
func (l *EventLoop) renewLease(now time.Duration) {
	if l.stalls.MayRenewLease(now) {
		l.guard.Renew(now)
	}
}

// nextPass is when the loop is due again without an event: at the next timer, or when the lease may be renewed.
func (l *EventLoop) nextPass(now time.Duration) time.Duration {
	next := l.frontEnd.NextTimer()
	if renewal := l.stalls.NextRenewal(); renewal > now {
		next = min(next, renewal)
	}
	return next
}

// receive hands a request to the FrontEnd, which counts from when it may have arrived. After a stall a request may be
// what the loop sees first.
func (l *EventLoop) receive(request *Request) {
	l.renewLease(l.Now())
	request.StartedAt = l.stalls.EarliestArrival(request.StartedAt, request.ArrivedAfter)
	now := l.Now()
	l.times.LongestWait = max(l.times.LongestWait, now-request.queuedAt)
	l.frontEnd.RequestReceived(now, request)
	l.endStep(stepRequest, now)
}

// prepare hands the observed lag to the FrontEnd, fires its timers and sets the queue's limit.
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

// idle reports whether nothing is in flight or queued.
func (l *EventLoop) idle() bool { return l.frontEnd.Idle() && len(l.requests) == 0 }

// drainEvents handles the events that are queued before timers and requests, those included that are received meanwhile. It
// guards against a loop that lags, or a process that stands still while an event is handled: a response received meanwhile
// would find its attempt timed out, and its request failed. And in an overload, requests admitted before the responses
// that make room for them only lengthen the scheduler's backlog. Timers wait for one queue of events at most.
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

// handle handles an event.
func (l *EventLoop) handle(event loopEvent) {
	now := l.Now()
	event.handle(now)
	l.endStep(event.step, now)
}

// rejectQueued answers what was submitted and never received by the FrontEnd, and releases who posts.
func (l *EventLoop) rejectQueued() {
	close(l.done)
	for {
		select {
		case request := <-l.requests:
			l.frontEnd.RequestReceived(l.Now(), request) // rejected: it admits nothing any longer
		default:
			return
		}
	}
}

// WatchEndpoints implements Dependencies.
func (l *EventLoop) WatchEndpoints() { l.cfg.Source.Refresh() }
