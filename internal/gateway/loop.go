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
	cfg      EventLoopConfig
	log      zerolog.Logger
	front    *FrontEnd
	arrivals chan *Request
	events   chan func(now time.Duration)
	links    []ClosableWorkerClient        // begun and not known to have ended; the loop's alone
	open     func(*EventLoop) WorkerClient // in place of a worker's link, where loops are measured alone
	kill     chan struct{}
	done     chan struct{}
	door     door
}

// door is what the edges' goroutines share with the loop's, each value in a cache line of its own: in an overload
// the edges touch both at each call.
type door struct {
	_      cpu.CacheLinePad
	room   atomic.Int64 // arrivals that may wait, as the Front says
	_      cpu.CacheLinePad
	turned atomic.Uint64 // calls that were refused without the Front
	_      cpu.CacheLinePad
	late   atomic.Int64 // the latest that an edge came to what was due, since the loop asked last
	_      cpu.CacheLinePad
}

// set sets the room where it has changed.
func (d *door) set(room int) {
	if int64(room) != d.room.Load() {
		d.room.Store(int64(room))
	}
}

// NewLoop returns a Loop that begins with Run.
func NewEventLoop(cfg EventLoopConfig, log zerolog.Logger) *EventLoop {
	l := &EventLoop{cfg: cfg, log: log, arrivals: make(chan *Request, cfg.RequestQueue), done: make(chan struct{}), kill: make(chan struct{}),
		events: make(chan func(time.Duration), cfg.EventQueue)}
	l.door.set(math.MaxInt)
	return l
}

// Now is the loop's clock: the time since Settings.Began, monotonic.
func (l *EventLoop) Now() time.Duration { return time.Since(l.cfg.ClockStart) }

// Submit hands a call over; its final answer comes on c.Answer. A loop that is behind, whose queue is full, or
// that has ended, refuses at once, at no cost to the loop's own goroutine.
func (l *EventLoop) Submit(c *Request) {
	c.queued = l.Now()
	why := "this front end is behind"
	if int64(len(l.arrivals)) < l.door.room.Load() {
		select {
		case <-l.done:
			why = "this front end has stopped"
		default:
			select {
			case l.arrivals <- c:
				return
			default:
				why = "the front end's queue is full"
			}
		}
	}
	l.door.turned.Add(1)
	c.settle(FinalResponse{Kind: Rejected, Reason: why, RetryAfter: l.cfg.Scheduler.MaxRetryAfter})
}

// Behind tells that an edge came so late to what was due.
func (l *EventLoop) ObserveLag(late time.Duration) {
	for {
		worst := l.door.late.Load()
		if int64(late) <= worst || l.door.late.CompareAndSwap(worst, int64(late)) {
			return
		}
	}
}

// Leave tells that a call's client is gone.
func (l *EventLoop) Disconnect(c *Request) {
	l.post(func(now time.Duration) { l.front.ClientDisconnected(now, c) })
}

// Counts returns the Front's totals, zero once the loop has ended.
func (l *EventLoop) Counts() (c Counts) {
	answer := make(chan Counts, 1)
	l.post(func(time.Duration) { answer <- l.counts() })
	select {
	case c = <-answer:
	case <-l.done:
	}
	return c
}

// counts are the Front's totals, with what was refused without it.
func (l *EventLoop) counts() Counts {
	c := l.front.Counts()
	c.Shed += l.door.turned.Load()
	return c
}

// Kill ends Run at once, once.
func (l *EventLoop) Kill() { close(l.kill) }

// Stall makes the loop stand still for d, as a pause of the process does; it is for laboratories.
func (l *EventLoop) Stall(d time.Duration) { l.post(func(time.Duration) { time.Sleep(d) }) }

// post queues an event. It waits where the queue is full: who posts stops reading meanwhile.
func (l *EventLoop) post(event func(now time.Duration)) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// Run serves until ctx ends; then it refuses what arrives, waits for what is in hand, StopWait at most, and
// gives the rest its final answers. It returns the totals, and whether all ended in time.
func (l *EventLoop) Run(ctx context.Context) (Counts, bool) {
	l.front = New(l.Now(), l.cfg.Settings, l, l.log)
	follow, stop := context.WithCancel(context.Background())
	followed := make(chan struct{})
	go func() { defer close(followed); l.cfg.Source.Run(follow, listSink{l}) }()
	clean := l.serve(ctx)
	l.front.Abort(l.Now())
	stop()
	l.refuseRest()
	<-followed
	for _, link := range l.links {
		<-link.Done()
	}
	return l.counts(), clean
}

// serve is the loop. It returns whether nothing was left in hand.
func (l *EventLoop) serve(ctx context.Context) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var bound <-chan time.Time
	ending := ctx.Done()
	for {
		l.catchUp()
		now := l.Now()
		if l.door.late.Load() > 0 {
			l.front.ObserveLag(now, time.Duration(l.door.late.Swap(0)))
		}
		l.front.FireTimers(now)
		l.door.set(l.front.QueueLimit(now, len(l.arrivals)))
		if ending == nil && l.front.Idle() && len(l.arrivals) == 0 {
			return true
		}
		timer.Reset(max(0, l.front.NextTimer()-now))
		select {
		case c := <-l.arrivals:
			l.front.RequestReceived(l.Now(), c)
		case event := <-l.events:
			event(l.Now())
		case <-timer.C:
		case <-ending:
			l.front.StopAdmitting(l.Now())
			ending, bound = nil, time.After(l.cfg.ShutdownTimeout)
		case <-bound:
			return false
		case <-l.kill:
			return false
		}
	}
}

// catchUp takes the events that are there before timers and arrivals. It guards against a loop that comes late: an
// answer that came while it stood still would find its attempt timed out, and its call failed. And in an overload
// what is taken in before the answers that free its place only lengthens the module's backlog.
func (l *EventLoop) catchUp() {
	for range len(l.events) {
		event := <-l.events
		event(l.Now())
	}
}

// refuseRest answers what was submitted and never seen by the Front, and lets go of who posts.
func (l *EventLoop) refuseRest() {
	close(l.done)
	for {
		select {
		case c := <-l.arrivals:
			l.front.RequestReceived(l.Now(), c) // it is closing: refused
		default:
			return
		}
	}
}

// Open implements Outside.
func (l *EventLoop) OpenWorker(id scheduler.WorkerID, w discovery.Worker) WorkerClient {
	if l.open != nil {
		return l.open(l)
	}
	link := l.dial(id, w)
	keep := l.links[:0]
	for _, old := range l.links {
		select {
		case <-old.Done():
		default:
			keep = append(keep, old)
		}
	}
	l.links = append(keep, link)
	return link
}

func (l *EventLoop) dial(id scheduler.WorkerID, w discovery.Worker) ClosableWorkerClient {
	if l.cfg.Dial != nil {
		return l.cfg.Dial(id, w, l.Now, linkEvents{l, id})
	}
	cfg := l.cfg.WorkerClient
	cfg.Worker, cfg.Address, cfg.Now = w.Name, w.Address, l.Now
	cfg.FrontEnd, cfg.Seed = l.cfg.Name, l.cfg.Scheduler.Seed^uint64(id)
	return muxclient.New(cfg, linkEvents{l, id})
}

// Follow implements Outside.
func (l *EventLoop) WatchEndpoints() { l.cfg.Source.Refresh() }

// listSink posts what a directory tells.
type listSink struct{ l *EventLoop }

func (s listSink) EndpointsChanged(list []discovery.Worker) {
	s.l.post(func(now time.Duration) { s.l.front.EndpointsChanged(now, list) })
}

func (s listSink) WatchFailed(err error) {
	s.l.post(func(now time.Duration) { s.l.front.WatchFailed(now, err) })
}

// linkEvents posts what happens on the link to one worker.
type linkEvents struct {
	l  *EventLoop
	id scheduler.WorkerID
}

func (e linkEvents) ResponseStarted(a *muxclient.Attempt, r muxclient.Result) {
	e.l.post(func(now time.Duration) { e.l.front.ResponseStarted(now, a, r) })
}

func (e linkEvents) AttemptEnded(a *muxclient.Attempt, r muxclient.Result) {
	e.l.post(func(now time.Duration) { e.l.front.AttemptEnded(now, a, r) })
}

func (e linkEvents) LoadEnded(o *muxclient.LoadOrder, s scheduler.Status, copies int) {
	e.l.post(func(now time.Duration) { e.l.front.LoadEnded(now, o, s, copies) })
}

func (e linkEvents) HealthChecked(s scheduler.Status, report []float64) {
	e.l.post(func(now time.Duration) { e.l.front.HealthChecked(now, e.id, s, report) })
}

func (e linkEvents) Connected(w muxframe.Welcome) {
	e.l.post(func(now time.Duration) { e.l.front.WorkerConnected(now, e.id, w) })
}

func (e linkEvents) Disconnected(why error) {
	e.l.post(func(now time.Duration) { e.l.front.WorkerDisconnected(now, e.id, why) })
}

func (e linkEvents) LateResponse(uint32) {
	e.l.post(func(now time.Duration) { e.l.front.LateResponse(now) })
}
