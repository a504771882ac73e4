package gateway

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/cpu"

	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// LoopConfig is what a Loop needs beside its Front's settings.
type EventLoopConfig struct {
	Settings
	WorkerClient    muxclient.Config // Worker, Address, Seed and Now are set for each link
	Dial            Dial             // in place of Link, where workers speak another protocol
	Source          discovery.Source
	RequestQueue    int           // arrivals that may wait for the loop; more are refused at once
	EventQueue      int           // events from links that may wait; beyond, the links stop reading
	ShutdownTimeout time.Duration // how long a stop waits for what is in hand
}

// Dial begins a link to a worker; what happens on it is told to events.
type Dial func(id scheduler.WorkerID, w discovery.Worker, now func() time.Duration, events muxclient.Events) ClosableWorkerClient

// OwnLink is a Link whose goroutines are waited for.
type ClosableWorkerClient interface {
	WorkerClient
	Done() <-chan struct{}
}

// Loop owns a Front: one goroutine tells it everything, in the order in which it came.
type EventLoop struct {
	cfg           EventLoopConfig
	log           zerolog.Logger
	frontEnd      *FrontEnd
	requests      chan *Request
	events        chan func(now time.Duration)
	workerClients []ClosableWorkerClient        // begun and not known to have ended; the loop's alone
	newTestClient func(*EventLoop) WorkerClient // in place of a worker's link, where loops are measured alone
	kill          chan struct{}
	done          chan struct{}
	gate          queueGate
}

// door is what the edges' goroutines share with the loop's, each value in a cache line of its own: in an overload
// the edges touch both at each call.
type queueGate struct {
	_        cpu.CacheLinePad
	limit    atomic.Int64 // arrivals that may wait, as the Front says
	_        cpu.CacheLinePad
	rejected atomic.Uint64 // calls that were refused without the Front
	_        cpu.CacheLinePad
	worstLag atomic.Int64 // the latest that an edge came to what was due, since the loop asked last
	_        cpu.CacheLinePad
}

// set sets the room where it has changed.
func (d *queueGate) setLimit(room int) {
	if int64(room) != d.limit.Load() {
		d.limit.Store(int64(room))
	}
}

// NewLoop returns a Loop that begins with Run.
func NewEventLoop(cfg EventLoopConfig, log zerolog.Logger) *EventLoop {
	loop := &EventLoop{cfg: cfg, log: log, requests: make(chan *Request, cfg.RequestQueue), done: make(chan struct{}), kill: make(chan struct{}),
		events: make(chan func(time.Duration), cfg.EventQueue)}
	loop.gate.setLimit(math.MaxInt)
	return loop
}

// Now is the loop's clock: the time since Settings.Began, monotonic.
func (loop *EventLoop) Now() time.Duration { return time.Since(loop.cfg.ClockStart) }

// Submit hands a call over; its final answer comes on c.Answer. A loop that is behind, whose queue is full, or
// that has ended, refuses at once, at no cost to the loop's own goroutine.
func (loop *EventLoop) Submit(request *Request) {
	request.queuedAt = loop.Now()
	why := "this front end is behind"
	if int64(len(loop.requests)) < loop.gate.limit.Load() {
		select {
		case <-loop.done:
			why = "this front end has stopped"
		default:
			select {
			case loop.requests <- request:
				return
			default:
				why = "the front end's queue is full"
			}
		}
	}
	loop.gate.rejected.Add(1)
	request.complete(FinalResponse{Kind: Rejected, Reason: why, RetryAfter: loop.cfg.Scheduler.MaxRetryAfter})
}

// Behind tells that an edge came so late to what was due.
func (loop *EventLoop) ObserveLag(late time.Duration) {
	for {
		worst := loop.gate.worstLag.Load()
		if int64(late) <= worst || loop.gate.worstLag.CompareAndSwap(worst, int64(late)) {
			return
		}
	}
}

// Leave tells that a call's client is gone.
func (loop *EventLoop) Disconnect(request *Request) {
	loop.post(func(now time.Duration) { loop.frontEnd.ClientDisconnected(now, request) })
}

// Counts returns the Front's totals, zero once the loop has ended.
func (loop *EventLoop) Counts() (c Counts) {
	answer := make(chan Counts, 1)
	loop.post(func(time.Duration) { answer <- loop.counts() })
	select {
	case c = <-answer:
	case <-loop.done:
	}
	return c
}

// counts are the Front's totals, with what was refused without it.
func (loop *EventLoop) counts() Counts {
	c := loop.frontEnd.Counts()
	c.Shed += loop.gate.rejected.Load()
	return c
}

// Kill ends Run at once, once.
func (loop *EventLoop) Kill() { close(loop.kill) }

// Stall makes the loop stand still for d, as a pause of the process does; it is for laboratories.
func (loop *EventLoop) Stall(d time.Duration) { loop.post(func(time.Duration) { time.Sleep(d) }) }

// post queues an event. It waits where the queue is full: who posts stops reading meanwhile.
func (loop *EventLoop) post(event func(now time.Duration)) {
	select {
	case loop.events <- event:
	case <-loop.done:
	}
}

// Run serves until ctx ends; then it refuses what arrives, waits for what is in hand, StopWait at most, and
// gives the rest its final answers. It returns the totals, and whether all ended in time.
func (loop *EventLoop) Run(ctx context.Context) (Counts, bool) {
	loop.frontEnd = New(loop.Now(), loop.cfg.Settings, loop, loop.log)
	follow, stop := context.WithCancel(context.Background())
	followed := make(chan struct{})
	go func() { defer close(followed); loop.cfg.Source.Run(follow, discoveryEvents{loop}) }()
	clean := loop.serve(ctx)
	loop.frontEnd.Abort(loop.Now())
	stop()
	loop.rejectQueued()
	<-followed
	for _, link := range loop.workerClients {
		<-link.Done()
	}
	return loop.counts(), clean
}

// serve is the loop. It returns whether nothing was left in hand.
func (loop *EventLoop) serve(ctx context.Context) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var bound <-chan time.Time
	ending := ctx.Done()
	for {
		loop.drainEvents()
		now := loop.Now()
		if loop.gate.worstLag.Load() > 0 {
			loop.frontEnd.ObserveLag(now, time.Duration(loop.gate.worstLag.Swap(0)))
		}
		loop.frontEnd.FireTimers(now)
		loop.gate.setLimit(loop.frontEnd.QueueLimit(now, len(loop.requests)))
		if ending == nil && loop.frontEnd.Idle() && len(loop.requests) == 0 {
			return true
		}
		timer.Reset(max(0, loop.frontEnd.NextTimer()-now))
		select {
		case request := <-loop.requests:
			loop.frontEnd.RequestReceived(loop.Now(), request)
		case event := <-loop.events:
			event(loop.Now())
		case <-timer.C:
		case <-ending:
			loop.frontEnd.StopAdmitting(loop.Now())
			ending, bound = nil, time.After(loop.cfg.ShutdownTimeout)
		case <-bound:
			return false
		case <-loop.kill:
			return false
		}
	}
}

// catchUp takes the events that are there before timers and arrivals. It guards against a loop that comes late: an
// answer that came while it stood still would find its attempt timed out, and its call failed. And in an overload
// what is taken in before the answers that free its place only lengthens the module's backlog.
func (loop *EventLoop) drainEvents() {
	for range len(loop.events) {
		event := <-loop.events
		event(loop.Now())
	}
}

// refuseRest answers what was submitted and never seen by the Front, and lets go of who posts.
func (loop *EventLoop) rejectQueued() {
	close(loop.done)
	for {
		select {
		case request := <-loop.requests:
			loop.frontEnd.RequestReceived(loop.Now(), request) // it is closing: refused
		default:
			return
		}
	}
}

// Open implements Outside.
func (loop *EventLoop) OpenWorker(id scheduler.WorkerID, w discovery.Worker) WorkerClient {
	if loop.newTestClient != nil {
		return loop.newTestClient(loop)
	}
	link := loop.newWorkerClient(id, w)
	keep := loop.workerClients[:0]
	for _, old := range loop.workerClients {
		select {
		case <-old.Done():
		default:
			keep = append(keep, old)
		}
	}
	loop.workerClients = append(keep, link)
	return link
}

func (loop *EventLoop) newWorkerClient(id scheduler.WorkerID, w discovery.Worker) ClosableWorkerClient {
	if loop.cfg.Dial != nil {
		return loop.cfg.Dial(id, w, loop.Now, workerEvents{loop, id})
	}
	cfg := loop.cfg.WorkerClient
	cfg.Worker, cfg.Address, cfg.Now = w.Name, w.Address, loop.Now
	cfg.FrontEnd, cfg.Seed = loop.cfg.Name, loop.cfg.Scheduler.Seed^uint64(id)
	return muxclient.New(cfg, workerEvents{loop, id})
}

// Follow implements Outside.
func (loop *EventLoop) WatchEndpoints() { loop.cfg.Source.Refresh() }

// listSink posts what a directory tells.
type discoveryEvents struct{ loop *EventLoop }

func (s discoveryEvents) EndpointsChanged(list []discovery.Worker) {
	s.loop.post(func(now time.Duration) { s.loop.frontEnd.EndpointsChanged(now, list) })
}

func (s discoveryEvents) WatchFailed(err error) {
	s.loop.post(func(now time.Duration) { s.loop.frontEnd.WatchFailed(now, err) })
}

// linkEvents posts what happens on the link to one worker.
type workerEvents struct {
	loop   *EventLoop
	worker scheduler.WorkerID
}

func (e workerEvents) ResponseStarted(a *muxclient.Attempt, r muxclient.Result) {
	e.loop.post(func(now time.Duration) { e.loop.frontEnd.ResponseStarted(now, a, r) })
}

func (e workerEvents) AttemptEnded(a *muxclient.Attempt, r muxclient.Result) {
	e.loop.post(func(now time.Duration) { e.loop.frontEnd.AttemptEnded(now, a, r) })
}

func (e workerEvents) LoadEnded(o *muxclient.LoadOrder, s scheduler.Status, copies int) {
	e.loop.post(func(now time.Duration) { e.loop.frontEnd.LoadEnded(now, o, s, copies) })
}

func (e workerEvents) HealthChecked(s scheduler.Status, report []float64) {
	e.loop.post(func(now time.Duration) { e.loop.frontEnd.HealthChecked(now, e.worker, s, report) })
}

func (e workerEvents) Connected(w muxframe.Welcome) {
	e.loop.post(func(now time.Duration) { e.loop.frontEnd.WorkerConnected(now, e.worker, w) })
}

func (e workerEvents) Disconnected(why error) {
	e.loop.post(func(now time.Duration) { e.loop.frontEnd.WorkerDisconnected(now, e.worker, why) })
}

func (e workerEvents) LateResponse(uint32) {
	e.loop.post(func(now time.Duration) { e.loop.frontEnd.LateResponse(now) })
}
