package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/decide/incarnation"
	"havencart/internal/decide/loadshed"
	"havencart/internal/decide/looplag"
	"havencart/internal/decide/tenancy"
	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/native/muxframe"
	"havencart/internal/shadow"
	"havencart/scheduler"
)

// Settings are what a Front needs beside the module's own.
type Settings struct {
	Control  scheduler.Settings
	Name     string   // of this front end, unique among all
	Classes  []string // names, in the order of Control.Classes
	Tenants  []string // names, in the order of Control.Tenants
	Zones    []string // names; Control.Zone is an index into them
	Tenancy  tenancy.Settings
	Margin   time.Duration // the final answer is due this long before the client gives up
	MaxCalls int           // calls in hand; more are refused at once
	Began    time.Time     // wall time at 0 of the clock

	// Decide makes the module; nil stands for control.New.
	Decide func(now time.Duration, set scheduler.Settings, a scheduler.Actions) Module
	// Watch, where given, are settings by which nothing is decided: it is counted where they would decide otherwise.
	Watch *shadow.Settings
}

// Module is what decides: control.Controller, or in the laboratory a baseline set beside it.
type Module interface {
	Workers(now time.Duration, list []scheduler.WorkerInfo, whole bool)
	ListFailed(now time.Duration)
	Woke(now time.Duration, token uint64)
	Arrive(now time.Duration, r scheduler.Request)
	Outcome(now time.Duration, o scheduler.Outcome)
	Gone(now time.Duration, id scheduler.RequestID)
	Loaded(now time.Duration, l scheduler.Loaded)
	Started(now time.Duration, id scheduler.RequestID)
	Probed(now time.Duration, p scheduler.Probed)
}

// Link is the way to one worker, as workerlink.Link is.
type Link interface {
	Send(*muxclient.Attempt) *muxclient.Result
	Withdraw(*muxclient.Attempt) (notLeft bool)
	Abandon(*muxclient.Attempt) (mayHaveLeft bool)
	Load(*muxclient.Order) scheduler.Status
	AbandonOrder(*muxclient.Order)
	Unload(function string)
	Probe()
	Drain(grace time.Duration) ([]*muxclient.Attempt, []*muxclient.Order)
	Resume()
	Busy() bool
	Stop()
}

// Outside is what a Front reaches beside its links.
type Outside interface {
	// Open begins a link; what happens on it is told to the Front with this worker's identifier.
	Open(id scheduler.WorkerID, w discovery.Worker) Link
	// Follow asks the directory anew.
	Follow()
}

// Counts are a Front's totals since its start.
type Counts struct {
	Taken, Served, Refused, Failed, Left uint64
	TurnedAway                           uint64 // refused without being taken
	Attempts, Loads, Asks, Probes        uint64
	Late                                 uint64        // answers that nobody waited for any longer
	Overdue                              uint64        // final answers that the module did not give in time
	Otherwise                            shadow.Counts // what watched settings would have decided otherwise
}

// Front is the state machine of one front end. Its methods are called one at a time, with times that never go
// back.
type Front struct {
	set     Settings
	outside Outside
	log     zerolog.Logger
	module  Module
	watched *shadow.Module // the module, where other settings are watched
	roster  *incarnation.Roster
	shed    loadshed.Shed
	tenancy *tenancy.Tenancy
	late    looplag.Lateness
	now     time.Duration
	timers  timers
	ends    timers   // of calls: fired sooner where the loop is late
	later   []func() // what came back at once; told after the module's turn

	calls     map[scheduler.RequestID]*Call
	lastID    scheduler.RequestID
	attempts  map[*muxclient.Attempt]*attempt
	orders    map[*muxclient.Order]*order
	workers   map[scheduler.WorkerID]*worker
	functions map[scheduler.FunctionID]*function
	zones     map[string]int
	cells     map[string]int
	kinds     map[string]int
	closing   bool
	counts    Counts
}

type attempt struct {
	muxclient.Attempt
	call    *Call
	number  int
	worker  *worker
	sent    time.Duration
	timer   timer
	begun   bool // its answer is on the way to the client
	settled bool // its outcome was told to the module
}

type order struct {
	muxclient.Order
	worker   *worker
	function scheduler.FunctionID
	given    time.Duration
	timer    timer
	settled  bool
}

type worker struct {
	discovery.Worker
	id      scheduler.WorkerID
	link    Link
	state   scheduler.WorkerState
	probes  []time.Duration // asked, oldest first
	down    bool
	retired []Link // of addresses of before, with calls still under way
}

type function struct {
	copy muxframe.Copy
	used time.Duration
	cost tenancy.Cost
}

// nameKept is how long the name of a function is kept after its last call. The module forgets a function
// sooner.
const nameKept = 10 * time.Minute

const sweepEvery = time.Second

// New returns a Front that starts at now and knows no workers.
func New(now time.Duration, set Settings, outside Outside, log zerolog.Logger) *Front {
	longest := time.Duration(0)
	for _, c := range set.Control.Classes {
		longest = max(longest, c.Deadline)
	}
	f := &Front{set: set, outside: outside, late: looplag.New(longest), log: log, roster: incarnation.New(), now: now,
		tenancy: tenancy.New(set.Tenancy),
		calls:   map[scheduler.RequestID]*Call{}, attempts: map[*muxclient.Attempt]*attempt{},
		orders: map[*muxclient.Order]*order{}, workers: map[scheduler.WorkerID]*worker{},
		functions: map[scheduler.FunctionID]*function{}, zones: map[string]int{}, cells: map[string]int{},
		kinds: map[string]int{}}
	for _, z := range set.Zones {
		intern(f.zones, z)
	}
	switch {
	case set.Decide != nil:
		f.module = set.Decide(now, set.Control, f)
	case set.Watch != nil:
		f.watched = shadow.New(now, set.Control, *set.Watch, f, f.wouldDiffer)
		f.module = f.watched
	default:
		f.module = scheduler.New(now, set.Control, f)
	}
	f.timers.set(&timer{at: now + sweepEvery, sweep: true})
	return f
}

// intern numbers names in the order in which they are met.
func intern(table map[string]int, name string) int {
	n, known := table[name]
	if !known {
		n = len(table)
		table[name] = n
	}
	return n
}

// sortedKeys are the keys in order: what follows from a table must not follow from the order of its hashes.
func sortedKeys[K cmp.Ordered, V any](table map[K]V) []K { return slices.Sorted(maps.Keys(table)) }

// Counts returns the totals.
func (f *Front) Counts() Counts {
	if f.watched != nil {
		f.counts.Otherwise = f.watched.Counts()
	}
	return f.counts
}

// wouldDiffer notes that the watched settings would have decided otherwise.
func (f *Front) wouldDiffer(kind string) {
	f.log.Info().Str("otherwise", kind).Msg("the watched settings would have decided otherwise")
}

// InHand is the number of calls that are owed a final answer.
func (f *Front) InHand() (n int) {
	for _, c := range f.calls {
		if c.state == waiting {
			n++
		}
	}
	return n
}

// Idle says whether nothing is under way: neither calls nor answers on their way to clients.
func (f *Front) Idle() bool { return len(f.calls) == 0 && len(f.attempts) == 0 }

// settleLater tells the module what came back within its own turn.
func (f *Front) settleLater() {
	for len(f.later) > 0 {
		next := f.later[0]
		f.later = f.later[1:]
		next()
	}
}

// Arrive takes a call from the client edge, or refuses it at once. One whose client left while it waited in the
// loop's queue is dropped.
func (f *Front) Arrive(now time.Duration, c *Call) {
	f.now = now
	if c.state != fresh {
		return
	}
	c.deadline = c.Since + c.Patience - f.set.Margin - f.late.Lead(now)
	behind := c.queued > 0 && f.shed.Arrived(now, now-c.queued)
	switch {
	case f.closing:
		f.turnAway(c, "this front end is closing")
	case behind:
		f.turnAway(c, "this front end is behind")
	case len(f.calls) >= f.set.MaxCalls:
		f.turnAway(c, "too many calls in hand")
	case c.deadline <= now:
		f.turnAway(c, "no time is left")
	default:
		f.take(c)
	}
	f.settleLater()
}

// Room is how many arrivals may wait for the Front, of which so many wait at now; what finds as many as may is to
// be refused without it.
func (f *Front) Room(now time.Duration, waiting int) int {
	if waiting == 0 {
		f.shed.Empty(now)
	}
	return f.shed.Room()
}

func (f *Front) turnAway(c *Call, why string) {
	f.counts.TurnedAway++
	c.settle(Final{Kind: Refused, Why: why, RetryAfter: f.set.Control.MaxRetryAfter})
}

func (f *Front) take(c *Call) {
	id := FunctionID(c.Copy.Function)
	known := f.functions[id]
	if v := f.tenancy.Arrived(f.now, c.Tenant); v != tenancy.Take {
		f.turnAway(c, v.String())
		return
	}
	switch {
	case known == nil:
		known = &function{copy: c.Copy, used: f.now}
		f.functions[id] = known
	case known.copy.Function != c.Copy.Function: // two names with one hash: made on purpose, or a great chance
		f.turnAway(c, "this function's name cannot be told from another's")
		return
	default:
		known.copy, known.used = c.Copy, f.now
	}
	for f.lastID++; f.calls[f.lastID] != nil || f.lastID == 0; f.lastID++ {
	}
	c.id, c.state, c.fn = f.lastID, waiting, known
	if c.ID == "" {
		c.ID = fmt.Sprintf("%s-%x-%d", f.set.Name, f.set.Began.UnixNano(), c.id)
	}
	if c.Key == "" && f.set.Control.Classes[c.Class].Repeat == scheduler.Keyed {
		c.Key = c.ID // so that at least our own repeats are dropped
	}
	f.calls[c.id] = c
	f.counts.Taken++
	c.timer = timer{at: c.Since + c.Patience - f.set.Margin/2, call: c}
	f.ends.set(&c.timer)
	f.module.Arrive(f.now, scheduler.Request{ID: c.id, Class: c.Class, Tenant: c.Tenant, Function: id,
		Budget: c.deadline - f.now, Cost: c.Cost, MemoryMB: c.Copy.MemoryMB, Lanes: c.Copy.Lanes,
		LoadTime: c.Copy.LoadTime()})
}

// Left takes the news that a call's client is gone. It may come at any time: before the call's own arrival, as the
// loop takes events before arrivals; and after the final answer, when an answer that is still on its way is given
// up. Where the module may not call an attempt back, one that has not left its link is still taken back here.
func (f *Front) Left(now time.Duration, c *Call) {
	f.now = now
	was := c.state
	if was < answered {
		c.state = left
		f.counts.Left++
	}
	if was == waiting {
		f.module.Gone(now, c.id)
	}
	f.settleLater()
	switch a := c.out; {
	case a == nil:
	case a.begun:
		f.giveUp(a, scheduler.Cancelled, "the client left")
	case c.state == left && a.worker.withdraw(a):
		f.ended(a, muxclient.Result{Status: scheduler.Moot, Why: "the client left", Crowd: -1})
	}
	f.forget(c)
	f.settleLater()
}

// forget drops a call once nothing of it is under way.
func (f *Front) forget(c *Call) {
	if c.state >= answered && c.out == nil {
		delete(f.calls, c.id)
		f.ends.stop(&c.timer)
	}
}

// Next is when the next timer is due.
func (f *Front) Next() time.Duration {
	next := f.timers.list[0].at
	if f.ends.Len() > 0 {
		next = min(next, f.ends.list[0].at-f.late.Lead(f.now))
	}
	return next
}

// Behind takes the news that something else of the front end's process came so late to what was due.
func (f *Front) Behind(now, late time.Duration) { f.late.Came(now, late) }

// Tick fires the timers that are due at now.
func (f *Front) Tick(now time.Duration) {
	f.now = now
	if due := f.timers.list[0].at; due < now {
		f.late.Came(now, now-due)
	}
	for {
		t := f.timers.due(now)
		if t == nil {
			t = f.ends.due(now + f.late.Lead(now))
		}
		if t == nil {
			return
		}
		f.fire(t)
		f.settleLater()
	}
}

func (f *Front) fire(t *timer) {
	switch {
	case t.wake:
		f.module.Woke(f.now, t.token)
	case t.sweep:
		f.sweep()
		f.timers.set(&timer{at: f.now + sweepEvery, sweep: true})
	case t.attempt != nil:
		if !t.attempt.settled && !t.attempt.begun {
			f.giveUp(t.attempt, scheduler.Timeout, "nothing heard in time")
		}
	case t.order != nil:
		if !t.order.settled {
			t.order.worker.link.AbandonOrder(&t.order.Order)
			f.orderEnded(t.order, scheduler.Timeout, 0)
		}
	case t.call != nil && t.call.state == waiting:
		f.overdue(t.call)
	}
}

// overdue gives the final answer that the module has not given, as it counts on more time than a loop that is late has
// left. It must never be needed by one that is not.
func (f *Front) overdue(c *Call) {
	f.counts.Overdue++
	f.log.Warn().Str("call", c.ID).Str("function", c.Copy.Function).Int("attempts", c.attempts).Msg("answer overdue")
	f.abort(c, "no answer in time")
}

// abort ends a call against the module's will: refused only where no attempt can have run. The call is over
// before the module is told of its attempt, so that it is not sent again.
func (f *Front) abort(c *Call, why string) {
	if c.state != waiting {
		return
	}
	a, as := c.out, scheduler.Moot
	if a != nil && a.worker.abandon(a) {
		as = scheduler.Cancelled
	}
	c.mayHaveRun(as)
	kind := Refused
	if c.ran {
		kind = Failed
	}
	f.final(c, Final{Kind: kind, Why: why, TimedOut: true, RetryAfter: f.set.Control.MaxRetryAfter})
	f.module.Gone(f.now, c.id)
	if a != nil {
		f.ended(a, muxclient.Result{Status: as, Why: why, Crowd: -1})
	}
}

// Close makes the Front refuse what arrives from now on; what it has goes on.
func (f *Front) Close(now time.Duration) { f.now, f.closing = now, true }

// Abort ends all that is under way at once, each with its final answer.
func (f *Front) Abort(now time.Duration) {
	f.now = now
	for _, id := range sortedKeys(f.calls) {
		f.abort(f.calls[id], "this front end stops")
		f.settleLater()
	}
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		for _, l := range append(w.retired, w.link) {
			l.Stop()
		}
	}
}

// final gives a call its final answer and counts it.
func (f *Front) final(c *Call, answer Final) {
	if !c.settle(answer) {
		return
	}
	f.account(c, answer.Kind)
	switch answer.Kind {
	case Served:
		f.counts.Served++
	case Refused:
		f.counts.Refused++
		f.tell(f.log.Debug(), c, answer)
	case Failed:
		f.counts.Failed++
		f.tell(f.log.Info(), c, answer)
	}
	f.forget(c)
}

// account tells how a call ended that its tenant was let make.
func (f *Front) account(c *Call, kind Kind) {
	end := tenancy.End{Served: kind == Served, Bad: true}
	if c.attempts > 0 {
		end.Work = cmp.Or(c.work, c.fn.cost.Expect())
	}
	switch kind {
	case Served:
		end.Bad = f.now-c.Since > f.set.Control.Classes[c.Class].Aim
	case Failed:
		end.Bad = c.last == scheduler.Timeout || c.last == scheduler.Cancelled // else it is the function's or worker's own fault
	}
	f.tenancy.Ended(f.now, c.Tenant, end)
}

// tell logs a final answer that is not a worker's.
func (f *Front) tell(line *zerolog.Event, c *Call, answer Final) {
	line.Str("call", c.ID).Str("function", c.Copy.Function).Str("class", f.set.Classes[c.Class]).Int("attempts", c.attempts).
		Str("why", answer.Why).Msg(answer.Kind.String())
}
