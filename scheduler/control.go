package scheduler

// Every decision of havencart is in this file; its interface (settings, events, actions) is types.go.
//
// The design, per function: a short pipe of requests at every worker believed warm, the rest held here, and a
// load on a cold worker only when draining what is held would take the warm ones longer than a load plus one
// run. docs/design.md tells what was kept, what was changed, and when each exception acts.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Tuned values. None belongs to one deployment.
const (
	tick        = 20 * time.Millisecond  // how often held work is looked at without an event
	fitWindow   = 20                     // samples that a mean remembers
	runPrior    = 150 * time.Millisecond // of a run, before any answer, and no more than this part of the aim
	runPart     = 4
	loadPrior   = time.Second            // of a load, before any is seen
	probeIdle   = 60 * time.Second       // twelve times the 5 s of the design's source
	stallTicks  = 3                      // ticks late that tell of a stall of our own
	askWait     = 30 * time.Millisecond  // how long a request waits for word of standing copies
	lately      = time.Second            // what was just heard or seen speaks for so long
	askFirst    = 5                      // workers asked, the first by rank
	shareFade   = 10 * time.Second       // memory of a function's part of the work
	shareDoubt  = 10                     // calls as if of other functions, while few were taken
	placesEach  = 3.0                    // times the workers that a function's part of the work would fill
	loadsMost   = 8                      // loads of ours under way at once
	barAfter    = 3                      // loads failed, and none worked, until all are kept back
	barFirst    = 100 * time.Millisecond // for so long, doubled by each that fails then
	barMost     = 2 * time.Second
	loadNews    = 3 * time.Second        // how long the last load speaks for a request that would need one
	servedFade  = 10 * time.Second       // memory of the rate of answers
	shareMemory = 300                    // arrivals by which a tenant's share is judged
	shareLeast  = 100                    // of them that it takes to judge
	shareOver   = 1.2                    // times its share that a tenant may take
	suspectAt   = 0.3                    // share of recent attempts failed that makes a worker suspect
	failWeight  = 0.2                    // of one more attempt in that share
	backoffMin  = 500 * time.Millisecond // before a suspect is tried again, doubled by each failure
	backoffMax  = 16 * time.Second
	quietFirst  = 6 * time.Second        // before a silent worker is tried again: each try costs a late call
	quietFloor  = 300 * time.Millisecond // silence that is never held against a worker
	quietRuns   = 3                      // silence beyond it, in runs of the call that waits
	coldPart    = 0.8                    // of the load that would push a cold worker over, for chance
	coldCrowd   = 6.0                    // times what a worker is sent in the mean, that one is wanted for
	coldLeast   = 4.0                    // calls in a window that a cold worker may get of all front ends
	limitStart  = 12.0                   // calls of ours at one worker, until crowding or room is seen
	limitCut    = 0.9                    // of them left after a slow run, or after a call was turned away
	limitPause  = 100 * time.Millisecond // between two cuts of a limit
	slowAt      = 2.5                    // quiet runs that calls wait beyond their own at a slow worker
	waitLeast   = time.Second            // after which a wait that was seen is old news, at least
	waitMost    = 10 * time.Second       // and at most, where a front end seldom meets a worker
	waitMeets   = 15                     // meetings of a worker after which it is, between the two
	crossCost   = 0.5                    // of a call more at a worker in another zone
	metPart     = 2                      // the wait that one in so many workers met stays under is all's
	metLatest   = 16                     // workers met last that count for it, besides those met lately
	metLeast    = 4                      // workers that must have been met for that
	waitPart    = 0.25                   // of what a call may wait and be in time, that calls wait at most
	pushedFade  = 10 * time.Second       // memory of what loads pushed out
	pushedMost  = 3.0                    // loads that one load may cost others, at most
	quietPart   = 4                      // the run that one worker in so many stays under is a quiet worker's
	quietLeast  = 3                      // answers of a worker that count for it
	quietFor    = 500 * time.Millisecond // how long the run of a quiet worker stands
	quietRise   = 400                    // part of a rise of that run that is believed each time
)

// roomByRank is the part of a worker's room that requests of each rank may fill.
var roomByRank = [...]float64{1, 0.5, 0.35}

// New returns the Controller of a front end that starts now with nothing known.
func New(now time.Duration, s Settings, a Actions) *Scheduler {
	c := newController(now, s, a)
	if s.WatchOnStart {
		a.WatchEndpoints()
	}
	a.SetTimer(tick, 0)
	return c
}

// Workers takes a change of the list of workers, or the whole list.
func (c *Scheduler) WorkersChanged(now time.Duration, list []WorkerInfo, whole bool) {
	c.now = now
	for _, w := range c.merge(list, whole) {
		c.forget(w) // a process that started anew, drains or is gone holds nothing for us
	}
	c.dispatchAll()
}

// ListFailed takes the news that the list of workers could not be had.
func (c *Scheduler) WatchFailed(now time.Duration) {
	c.now = now
	c.act.SetTimer(time.Second, 1)
}

// Woke takes a wake-up: the tick, or the time to ask for the list again.
func (c *Scheduler) TimerFired(now time.Duration, token uint64) {
	c.now = now
	if token == 1 {
		c.act.WatchEndpoints()
		return
	}
	c.act.SetTimer(tick, 0)
	if c.now-c.ticked > stallTicks*tick {
		c.resumed = c.now
	}
	c.ticked = c.now
	for _, w := range c.list {
		if c.now-c.resumed > stallTicks*tick { // guards against taking our own standing still for theirs
			c.watch(w)
		}
	}
	c.waitFade = min(waitMost, max(waitLeast, waitMeets*c.meets()))
	c.usual, c.common, c.loading = c.middle(), c.met(), c.underWay()
	keep := c.active[:0]
	for _, f := range c.active {
		f.replicas = slices.DeleteFunc(f.replicas, func(p *replica) bool {
			return p.out == 0 && !p.loading && now-p.used >= c.set.ReplicaIdleTimeout
		})
		c.giveUp(f)
		if len(f.held)+len(f.replicas)+f.asks == 0 && now-f.used > 2*probeIdle {
			delete(c.functions, f.id)
			continue
		}
		keep = append(keep, f)
	}
	c.active = keep
	c.dispatchAll()
}

// Arrive takes on a request.
func (c *Scheduler) RequestReceived(now time.Duration, in Request) {
	c.now = now
	f := c.meet(in.Function, in.Class)
	f.lanes, f.told, f.used = max(1, in.ReplicaConcurrency), in.LoadTimeEstimate, now
	cl := &c.set.Classes[in.Class]
	r := &request{Request: in, class: cl, f: f, deadline: now + in.Timeout, aim: now + cl.LatencyObjective}
	r.excess = in.Tenant < len(c.taken) && c.excess(in.Tenant)
	c.requests[in.ID] = r
	if c.set.LoadRateWindow > 0 {
		c.arrivals = append(recent(c.arrivals, now-c.set.LoadRateWindow), now)
	}
	c.count(r)
	f.held = append(f.held, r)
	if c.tooMany(r) {
		c.finish(r)
		return
	}
	c.dispatch(f)
	c.settle(f)
	if r.at == nil && c.tooLate(r, 0) {
		c.finish(r)
	}
}

// Outcome takes the end of an attempt.
func (c *Scheduler) AttemptEnded(now time.Duration, o Outcome) {
	c.now = now
	r := c.requests[o.Request]
	if r == nil || r.at == nil {
		return
	}
	p := r.detach()
	c.learn(r, p, o)
	p.done = r.sent + o.Latency
	if r.over = r.over || o.RequestClosed; r.over {
		delete(c.requests, r.ID)
	} else {
		c.again(r, p.w, o.Status)
	}
	c.dispatchAll() // the room that came free goes to the most worth held
}

// Gone takes the news that a client left: nothing is owed any longer, and what is out is work for nobody.
func (c *Scheduler) ClientDisconnected(now time.Duration, id RequestID) {
	c.now = now
	if r := c.requests[id]; r != nil {
		if r.at != nil && c.set.CancelAllowed && !r.streamed {
			c.act.Cancel(r.ID, r.attempts-1)
		}
		c.end(r)
	}
}

// Loaded takes the answer to an order, or to the question how many copies stand.
func (c *Scheduler) LoadEnded(now time.Duration, l LoadResult) {
	c.now = now
	key := pair{l.Worker, l.Function}
	count, asked := c.orders[key]
	f, w := c.functions[l.Function], c.workers[l.Worker]
	delete(c.orders, key)
	if !asked || w == nil {
		return
	}
	if l.Status == ConnectFailed || l.Status == Reset {
		c.lose(w)
	}
	if f == nil {
		return
	}
	p := f.at(w)
	if count == 0 {
		f.asks = max(0, f.asks-1)
		if l.Replicas > 0 && p == nil && w.State == Ready {
			f.replicas = append(f.replicas, &replica{w: w, f: f, used: now})
		}
	} else if p != nil && p.ordered {
		p.ordered, p.loading, p.used = false, false, now
		if l.Status == OK {
			if l.Latency > askWait { // else it stood
				c.learnLoad(f, l.Latency)
			}
		} else {
			w.noRoom = c.now + lately
			f.drop(p)
		}
		if l.Status == Timeout {
			c.judge(w, f.class, false)
		}
	}
	c.dispatch(f)
}

// learn takes from an outcome what it tells of the function, the copy and the worker.
func (c *Scheduler) learn(r *request, p *replica, o Outcome) {
	w, f := p.w, r.f
	silent := w.health[f.class].heard < r.sent
	if o.Status == OK || o.Status == Overloaded || o.Status == NotLoaded || o.Status == Error {
		w.health[f.class].heard = c.now
	}
	if !r.began && (o.Status == NotLoaded || o.waitedForLoad()) {
		c.lost.add(c.now, pushedFade, 1)
	}
	switch o.Status {
	case OK:
		p.used = c.now
		c.served.add(c.now, servedFade, 1)
		c.judge(w, f.class, true)
		start := r.sent
		if r.behind {
			start = max(start, p.done)
		}
		run := max(time.Millisecond, r.sent+o.Latency-start) // guards every rate against a run of no time
		if o.waitedForLoad() || o.ColdStart == ColdStartUnknown && r.began {
			if r.began {
				c.learnLoad(f, max(0, run-c.runOf(f)))
			}
		} else {
			w.runs[f.class].add(float64(run))
			c.measure(w, f.class, run)
			p.run.add(float64(run))
			f.run.add(float64(run))
			c.runs[f.class].add(float64(run))
		}
		p.loading = false
	case Overloaded:
		if r.began || c.set.ReportsQueueDepth && o.QueueDepth < f.lanes { // no copy, and no memory for one
			w.noRoom = c.now + lately
			f.drop(p)
		} else {
			c.cut(w)
			w.waited = float64(2 * (c.price(f) + c.runOf(f))) // a load is sooner
			w.wait = fading{w.waited, c.now, c.now}
		}
	case NotLoaded:
		f.drop(p)
		if o.ColdStart == ColdStartFailed {
			c.loadFailed()
		}
	case ConnectFailed, Reset:
		c.lose(w)
	case Error:
		if r.began { // guards against a load that is awaited for ever, and counts against all others
			f.drop(p)
		}
		switch {
		case o.ColdStart == ColdStartFailed:
			f.drop(p)
			c.loadFailed()
		case !r.began || f.run.n > 0: // else it may be the function's own fault, as of one that nobody has
			c.judge(w, f.class, false)
		}
	case NotSent:
		if p.loading && p.out == 0 { // the call that was to begin its load never left
			f.drop(p)
		}
	case Timeout, Cancelled: // calls called back tell of a wait as well
		if p.loading {
			f.drop(p)
		}
		if waited := o.Latency; !r.began {
			if silent && waited > c.patience(r) {
				c.suspect(w, f.class, quietFirst, "unanswered")
			} else if waited > c.waitOf(w) { // else its client was in a hurry
				c.measure(w, f.class, waited)
			}
		}
	}
}

// lose takes a worker's connection or process for gone. It guards against a death that the list tells late.
func (c *Scheduler) lose(w *worker) {
	c.forget(w) // a dead process holds nothing
	for k := range w.health {
		c.suspect(w, k, backoffMin, "lost")
	}
}

// measure learns how long calls at a worker wait beyond a quiet run, and by it how many of ours it may hold.
// It guards against crowding by whatever cause: neighbours, other front ends' calls, a cold or dying worker,
// more lanes than cores.
func (c *Scheduler) measure(w *worker, class int, took time.Duration) {
	quiet := float64(c.quiet(class))
	wait := max(0, float64(took)-quiet)
	w.wait.learn(c.now, c.waitFade, wait)
	w.waited = w.wait.value
	if w.wait.value > slowAt*quiet {
		c.cut(w)
	} else if float64(len(w.out)) >= w.limit-2 {
		w.limit += 1 / w.limit
	}
}

func (c *Scheduler) cut(w *worker) {
	if c.now-w.cutAt > limitPause {
		w.cutAt = c.now
		w.limit = max(1, limitCut*min(w.limit, float64(len(w.out)+1)))
	}
}

// quiet is the run time of a class at the quieter workers: what a cold worker would need once loaded.
func (c *Scheduler) quiet(class int) time.Duration {
	if c.quietAt[class] == 0 || c.now-c.quietAt[class] > quietFor {
		run := c.quietest(class, quietPart, quietLeast)
		if run == 0 {
			return c.runOfClass(class)
		}
		if old := c.quietRun[class]; old > 0 && run > old {
			run = old + (run-old)/quietRise // guards against taking an overload of all workers for the usual
		}
		c.quietRun[class], c.quietAt[class] = run, c.now
	}
	return c.quietRun[class]
}

// loadFailed learns that a load failed. Several, with none that worked between, keep loads back, then let one
// through at a time. It guards against a store that has stopped: a call whose load it refuses at once goes to
// the next worker at once, and so many fetches keep it down. It would harm where a few workers fail each load
// they begin: the others' loads wait too.
func (c *Scheduler) loadFailed() {
	if c.failed++; c.failed >= barAfter && c.now >= c.barred {
		c.bar = min(barMost, max(barFirst, 2*c.bar))
		c.barred = c.now + c.bar/2 + time.Duration(mix(c.set.Seed, uint64(c.now))%uint64(c.bar))
	}
}

// learnLoad takes the time of a load.
func (c *Scheduler) learnLoad(f *function, took time.Duration) {
	c.failed, c.bar = 0, 0
	c.loadSeen, c.loading = c.now, max(0, c.loading-1)
	if f.told > 0 {
		c.ratio.add(float64(took) / float64(f.told))
	}
	f.load.add(float64(took))
	c.loads.add(float64(took))
}

// again decides what becomes of a request whose attempt ended without an answer: rule 2 is kept here.
func (c *Scheduler) again(r *request, w *worker, s Status) {
	if s == Error || s == Timeout || s == Reset || s == Cancelled {
		if !r.ran {
			r.ran, r.first, r.firstOn = true, r.sent, w.WorkerInfo
		}
		if r.class.Idempotency == NonIdempotent {
			c.finish(r)
			return
		}
	}
	expired := r.bound() && c.now-r.first >= r.class.KeyRetention
	if expired || r.attempts >= c.set.MaxAttempts || c.tooLate(r, 0) {
		c.finish(r)
		return
	}
	r.f.held = append([]*request{r}, r.f.held...)
}

// allowed says whether rule 2 lets the request go to w.
func (c *Scheduler) allowed(r *request, w *worker) bool {
	if !r.ran || r.class.Idempotency == Idempotent {
		return true
	}
	if r.class.Idempotency == NonIdempotent || c.now-r.first >= r.class.KeyRetention-tick {
		return false
	}
	return r.class.KeyScope == ScopeAll || r.class.KeyScope == ScopeZone && w.Zone == r.firstOn.Zone ||
		r.class.KeyScope == ScopeCell && w.Cell == r.firstOn.Cell
}

// tooLate says whether a request that starts after wait cannot be answered before its client gives up.
func (c *Scheduler) tooLate(r *request, wait time.Duration) bool {
	return c.now+wait+max(tick, c.runOf(r.f))+2*c.set.Resolution >= r.deadline
}

// finish gives a held request its final answer: refused where that is harmless, failed otherwise.
func (c *Scheduler) finish(r *request) {
	if !r.ran || r.class.mayRunAnywhereAgain() {
		c.act.Reject(r.ID, c.set.MaxRetryAfter)
	} else {
		c.act.Fail(r.ID)
	}
	c.end(r)
}

// giveUp answers at once what cannot be served in time any more.
func (c *Scheduler) giveUp(f *function) {
	out := f.out()
	for i, r := range slices.Clone(f.held) {
		wait, all := c.drain(f, i+out, 0), c.drain(f, i+out, 1)
		if wait == never { // no copy can be used: a load is the way
			wait = 0
			if c.now-c.loadSeen < loadNews {
				wait = c.loadOf(f)
			}
			all = wait
		}
		if c.tooLate(r, wait) || c.short(r, all) ||
			r.bound() && c.now-r.first >= r.class.KeyRetention-tick {
			c.finish(r)
		}
	}
}

// short says whether a held request would be late after wait and finds no room. It guards against working off
// in an overload what is worth little then; it acts when no copy is being loaded or asked for, and a run of
// the class was seen: by a guess alone, a burst at the start is given up that a fast worker soon works off.
func (c *Scheduler) short(r *request, wait time.Duration) bool {
	late := r.excess || c.runs[r.f.class].n > 0 && c.now+wait+c.runOf(r.f) > r.aim
	return late && wait > 0 && !r.f.coming() && !c.asking(r.f) && c.pickWarm(r.f, r, never) == nil
}

// tooMany draws a lot by which an arrival is refused at once: while calls wait at all workers met lately, as
// many are taken as the most urgent class could still wait behind, the more of a class the more it is worth
// for its work, unless a copy is known where the wait is short. A wait of a quiet run at most counts as none:
// runs differ by as much. It guards against an overload of all, where each call taken makes others late. It
// would harm where only those in use are slow.
func (c *Scheduler) tooMany(r *request) bool {
	dear := 1.0 // worth for work, beside what else is asked for
	if c.worth.value > 0 {
		dear = r.class.PriorityWeight / float64(c.workOf(r)) * c.asked.value / c.worth.value
	}
	most := max(waitPart*float64(c.slack())*dear, float64(c.quiet(r.f.class)))
	if chance(mix(c.set.Seed, uint64(r.ID)))*c.common <= most {
		return false
	}
	p := c.pickWarm(r.f, r, time.Duration(most))
	return p == nil || c.now-p.w.wait.last > c.waitFade
}

// slack is what calls of the most urgent class that is in use may wait and be in time.
func (c *Scheduler) slack() time.Duration {
	least := never
	for i, cl := range c.set.Classes {
		if c.runs[i].n > 0 {
			least = min(least, cl.LatencyObjective-min(c.quiet(i), cl.LatencyObjective/2))
		}
	}
	return least
}

// before orders functions by the worth of their class: what frees room goes to the most worth that is held.
func (c *Scheduler) before(a, b *function) int {
	return cmp.Compare(c.set.Classes[b.class].PriorityWeight, c.set.Classes[a.class].PriorityWeight)
}

func (c *Scheduler) dispatchAll() {
	for _, f := range c.active {
		c.dispatch(f)
	}
}

// dispatch fills the warm pipes of f from what is held, and weighs a load for the rest.
func (c *Scheduler) dispatch(f *function) {
	if len(f.held) == 0 {
		return
	}
	slices.SortStableFunc(f.held, func(a, b *request) int { return c.rank(a) - c.rank(b) })
	for _, r := range slices.Clone(f.held) {
		if p := c.pickWarm(f, r, c.price(f)+c.runOf(f)+c.usual); p != nil {
			c.send(r, p)
		} else if !r.ran {
			break
		} else if r.bound() && !f.waiting(c, r) {
			c.lend(f, r, c.pickCold(f, r, 0), 1)
		}
	}
	if len(f.held) > 0 {
		c.weigh(f)
	}
}

// rank orders what is held: in share and still in time first, then late, then beyond its tenant's share.
func (c *Scheduler) rank(r *request) int {
	switch {
	case r.excess:
		return 2
	case c.now+c.runOf(r.f) > r.aim:
		return 1
	}
	return 0
}

// weigh is the design's comparison: what is held goes to a cold worker only where that returns sooner.
func (c *Scheduler) weigh(f *function) {
	r := f.held[0]
	if !slices.ContainsFunc(f.replicas, func(p *replica) bool { return c.usable(p.w, f.class) }) {
		if !c.ask(f) {
			c.lend(f, r, c.pickCold(f, r, 0), f.lanes)
		}
		return
	}
	if w := c.pickCold(f, r, 0); w != nil {
		n, run := len(f.held)+f.out(), c.bareRun(f)
		there := c.waitOf(w) + run
		if c.drain(f, n, 0) > c.loadOf(f)+there || c.drain(f, n, 1) > c.price(f)+max(there, c.usual+run) {
			if !c.ask(f) {
				c.lend(f, r, w, 0)
			}
			return
		}
	}
	if f.coming() {
		return
	}
	if w := c.pickCold(f, r, probeIdle); w != nil { // the design's probe of a worker not reached for long
		c.lend(f, r, w, 1)
		return
	}
	for _, r := range slices.Clone(f.held) { // no load helps, however long the wait
		if p := c.pickWarm(f, r, never); p != nil {
			c.send(r, p)
		}
	}
}

// price is the time of a load of f and, as in the design's source, of loading again what it pushes out: as
// often as copies that we counted on were found gone for each load of ours.
func (c *Scheduler) price(f *function) time.Duration {
	again := min(pushedMost, c.lost.now(c.now, pushedFade)/max(1, c.lent.now(c.now, pushedFade)))
	return time.Duration(float64(c.loadOf(f)) * (1 + again))
}

// drain is how long the believed copies of f need for n requests, loads under way counted, and by share what
// others have there.
func (c *Scheduler) drain(f *function, n int, share time.Duration) time.Duration {
	var sources []source
	run, load := c.runOf(f), c.loadOf(f)
	for _, p := range f.replicas {
		if !c.usable(p.w, f.class) {
			continue
		}
		wait := share * c.waitOf(p.w)
		here := float64(max(run/4, p.run.duration(run)-wait)) // its mean run has the wait in it
		s := source{rate: min(float64(f.lanes), p.w.limit) / here, from: float64(wait)}
		if p.loading {
			s.from = float64(max(0, p.since+load-c.now))
		}
		sources = append(sources, s)
	}
	return drainTime(sources, float64(max(1, n)))
}

// pickWarm is the scheduler's pick among the copies with room: fewest requests out, ties rotated. There is
// none where calls wait beyond within, or longer than the client of r will. That guards against work for
// nobody when clients are impatient and their retries fill the queues.
func (c *Scheduler) pickWarm(f *function, r *request, within time.Duration) *replica {
	var best *replica
	least := math.Inf(1)
	run := float64(c.runOf(f))
	left := min(r.aim, r.deadline) - c.now - c.bareRun(f)
	if left < 0 {
		left += max(0, r.deadline-r.aim)
	}
	n := len(f.replicas)
	for i := range n {
		p := f.replicas[(f.turn+i)%n]
		if p.ordered || p.out >= p.room() || c.waitOf(p.w) > min(within, left) || !c.usable(p.w, f.class) ||
			!c.allowed(r, p.w) ||
			r.class.Idempotency == NonIdempotent && p.w.health[f.class].suspect || !c.roomFor(p.w, r) {
			continue
		}
		cost := float64(len(p.w.out)+1) + float64(c.waitOf(p.w))/run + crossCost*float64(c.crosses(p.w))
		if cost < least {
			best, least = p, cost
		}
	}
	f.turn++
	return best
}

// pickCold chooses the worker that loads f. Every front end ranks the workers of a function alike, so that
// without a word between them they load it in the same places. The first that is no busier than the middle
// worker is taken (a silent one looks idle), and a suspect when nothing else is left.
func (c *Scheduler) pickCold(f *function, r *request, idle time.Duration) *worker {
	var best *worker
	ready, least := c.healthy(f.class), never
	for _, w := range c.near(f) {
		wait := max(c.usual, c.waitOf(w))
		if w.State == Ready && c.now >= w.noRoom && f.at(w) == nil && c.allowed(r, w) && c.roomFor(w, r) &&
			(!w.health[f.class].suspect || ready == 0 || r.bound()) &&
			c.now-w.seen >= idle && wait < least {
			best, least = w, wait
		}
	}
	return best
}

// near lists the workers in the order in which this front end would load f: the ranks, begun at its own place
// among as many of the first as the calls of all front ends need.
func (c *Scheduler) near(f *function) []*worker {
	order := c.ranked(f)
	n := c.places(f)
	if n < 2 {
		return order
	}
	own := int(mix(uint64(f.id), uint64(c.set.FrontEndIndex+1)) % uint64(n))
	near := slices.Concat(order[own:n], order[:own])
	slices.SortStableFunc(near, func(a, b *worker) int { return c.crosses(a) - c.crosses(b) })
	return append(near, order[n:]...)
}

// places is over how many first ranks the calls of all front ends for f should go. Many front ends have one
// call at a time each and no backlog to weigh, but what one takes is a sample of what all take: a function
// with a part of the work needs that part of the workers, several times over, as others are there too. It
// would harm where memory is short, and where a front end's clients want what no other's do.
func (c *Scheduler) places(f *function) int {
	run := float64(c.runOf(f)) // the first call says nothing of how many follow
	share := max(0, f.work.now(c.now, shareFade)-run) / (c.work.now(c.now, shareFade) + shareDoubt*run)
	return min(len(c.list), int(math.Ceil(max(1, placesEach*share*float64(len(c.list))))))
}

// settle orders f loaded at this front end's own place, while its calls go on to the copies that stand.
func (c *Scheduler) settle(f *function) {
	n := c.places(f)
	if n < 2 || !c.set.LoadOrdersAllowed {
		return
	}
	for _, w := range c.near(f)[:n] {
		if w.State != Ready || c.now < w.noRoom || w.health[f.class].suspect ||
			c.waitOf(w) > c.usual+c.quiet(f.class) {
			continue
		}
		if f.at(w) == nil {
			c.lend(f, nil, w, 0)
		}
		return
	}
}

// ask finds copies that others loaded before a load is begun: it acts when no worker is believed warm, or
// waits at the warm ones call for a load, and costs a few milliseconds where a load costs hundreds. It asks
// the workers where every front end would load f, and says whether to wait for answers.
func (c *Scheduler) ask(f *function) bool {
	if !c.set.LoadOrdersAllowed || c.now-f.asked < lately {
		return c.asking(f)
	}
	f.asked, f.asks = c.now, 0 // what was not answered by now says nothing
	order := c.near(f)
	for _, w := range order[:min(askFirst, len(order))] {
		_, busy := c.orders[pair{w.ID, f.id}]
		if w.State == Ready && !w.health[f.class].suspect && !busy && f.at(w) == nil {
			f.asks++
			c.orders[pair{w.ID, f.id}] = 0
			c.act.Load(w.ID, f.id, 0)
		}
	}
	return f.asks > 0
}

// asking says whether word of standing copies of f may still come.
func (c *Scheduler) asking(f *function) bool { return f.asks > 0 && c.now-f.asked < askWait }

// lend starts a load of f on a cold worker for r and the requests that follow it, up to slots of them, or two
// or one by the worker's pace where slots is 0.
func (c *Scheduler) lend(f *function, r *request, w *worker, slots int) {
	if w == nil || c.loading >= loadsMost || c.failed >= barAfter && (c.now < c.barred || c.loading > 0) {
		return
	}
	if slots == 0 && c.waitOf(w) <= c.quiet(f.class)/5 { // no slower, but for noise
		slots = 2
	}
	p := &replica{w: w, f: f, loading: true, slots: max(1, slots), since: c.now, used: c.now}
	if c.set.AnswersNotLoaded || r == nil {
		key := pair{w.ID, f.id}
		if _, busy := c.orders[key]; busy || !c.set.LoadOrdersAllowed || !c.ration() {
			return
		}
		p.ordered, p.ahead, c.orders[key] = true, r == nil, 1
		c.act.Load(w.ID, f.id, 1)
	} else {
		c.send(r, p)
	}
	c.loading++
	c.lent.add(c.now, pushedFade, 1)
	f.replicas = append(f.replicas, p)
}

// ration keeps rule 5: orders to load in the window stay within what is free plus a share of the calls taken.
func (c *Scheduler) ration() bool {
	if c.set.LoadRateWindow <= 0 {
		return true
	}
	from, edge := c.now-c.set.LoadRateWindow, max(tick, c.set.Resolution) // its ends are not ours to judge
	c.loadTimes, c.arrivals = recent(c.loadTimes, from-edge), recent(c.arrivals, from+edge)
	if float64(len(c.loadTimes)+1) > c.set.LoadRateBurst+c.set.LoadRatePerRequest*float64(len(c.arrivals)) {
		return false
	}
	c.loadTimes = append(c.loadTimes, c.now)
	return true
}

// roomFor says whether w may hold r as well. What ranks lower finds less room: where workers are short, worth
// that can still be had in time, and tenants within their share, come first over all functions.
func (c *Scheduler) roomFor(w *worker, r *request) bool {
	return float64(len(w.out)) < max(1, w.limit*roomByRank[c.rank(r)]) && c.roomCold(w, r)
}

// roomCold keeps rule 4: a cold worker is sent less than would push it over if every front end sent it as
// much. What it could do warm is guessed from what the warm ones serve this front end. Where its part is
// less than a call, a call goes by lot, drawn anew in each window, and the lot falls the more often the fewer
// front ends have a call for that worker when it does: as many as this one's own calls of the function tell,
// and at most coldCrowd times as many as for a worker in the mean. It would harm where more had one that each
// sees seldom: functions are spread so that none wants a third of a worker at one.
func (c *Scheduler) roomCold(w *worker, r *request) bool {
	age := c.now - w.Started
	if w.Started == UnknownStart || age >= c.set.SlowStartDuration || c.set.OverloadWindow <= 0 {
		return true
	}
	w.sends = recent(w.sends, c.now-c.set.OverloadWindow)
	part, window := c.partOf(w), c.set.OverloadWindow.Seconds()
	calls := c.perSecond(&c.served, servedFade) / max(part, c.warmth(r.f.class)) * c.size(w) * window
	wanted := c.perSecond(&r.f.work, shareFade) / float64(c.runOf(r.f)) * window
	budget := coldPart * c.set.OverloadFactor * part * max(calls, min(1/coldCrowd, calls/min(1, wanted)))
	budget = max(budget, coldLeast/float64(max(1, c.set.FrontEndCount)))
	lot := mix(mix(c.set.Seed, uint64(w.ID)), uint64(age/c.set.OverloadWindow))
	return float64(len(w.sends)) < math.Floor(budget+chance(lot))
}

// excess counts an arrival and says whether it lies beyond its tenant's share: of the calls of a tenant that
// takes more of this front end than its share, as many as are too many.
func (c *Scheduler) excess(tenant int) bool {
	part := c.takes(tenant)
	if allowed := shareOver * c.set.Tenants[tenant].Share; part > allowed {
		c.over[tenant] += 1 - allowed/part
	}
	if c.over[tenant] < 1 {
		return false
	}
	c.over[tenant]--
	return true
}

// judge counts an attempt for or against a worker, for each class by itself: one may be deaf to one class and
// serve the others. One that fails many is suspect, whatever makes it fail: it is passed over, and tried
// again with one call at a time after a pause that doubles.
func (c *Scheduler) judge(w *worker, class int, good bool) {
	h := &w.health[class]
	if !good {
		h.failed += (1 - h.failed) * failWeight
		if h.failed >= suspectAt {
			c.suspect(w, class, backoffMin, "fails")
		}
		return
	}
	h.failed *= 1 - failWeight
	if h.suspect {
		h.failed *= 0.6
		h.until = c.now
		if h.failed < suspectAt {
			h.suspect, h.backoff = false, 0
		}
	}
}

func (c *Scheduler) suspect(w *worker, class int, first time.Duration, why string) {
	h := &w.health[class]
	if h.suspect && c.now < h.until {
		return
	}
	if !h.suspect {
		c.act.Log(fmt.Sprintf("worker %x suspect for class %d: %s, failed %.2f, out %d",
			w.ID, class, why, h.failed, len(w.out)))
	}
	h.backoff = min(backoffMax, max(first, 2*h.backoff))
	h.suspect, h.until, h.failed = true, c.now+h.backoff, max(h.failed, 0.5)
}

// usable says whether w may be sent a call of a class now; a suspect whose pause is over takes one at a time.
func (c *Scheduler) usable(w *worker, class int) bool {
	h := &w.health[class]
	return w.State == Ready && (!h.suspect || c.now >= h.until && len(w.out) == 0)
}

// patience is how long a call of r may stay unanswered before that says anything of its worker.
func (c *Scheduler) patience(r *request) time.Duration {
	return quietFloor + quietRuns*c.runOf(r.f) + c.usual
}

// watch looks for silence: a worker that has taken calls of a class and for long answers none of them, be it
// hung, cut off, standing still or deaf to that class. Calls that may run twice are called back and go on.
func (c *Scheduler) watch(w *worker) {
	for _, r := range slices.Clone(w.out) {
		h := &w.health[r.f.class]
		load := c.loadOf(r.f) // a copy believed to stand may have been pushed out
		switch {
		case h.suspect:
			load = 0
		case r.began:
			load *= 2
		}
		if r.streamed || c.now-max(r.sent, h.heard) <= c.patience(r)+load {
			continue
		}
		c.suspect(w, r.f.class, quietFirst, "silent")
		repeatable := r.class.Idempotency != NonIdempotent &&
			r.attempts < c.set.MaxAttempts && !c.tooLate(r, 0)
		if c.set.CancelAllowed && repeatable && !r.over {
			c.act.Cancel(r.ID, r.attempts-1)
		}
	}
}
