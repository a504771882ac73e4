package control

// Every decision of havencart is in this file; its interface (settings, events, actions) is types.go.
//
// The design, per function: a short pipe of requests at every worker believed warm, the rest held here, and
// a load on a cold worker only when draining what is held would take the warm ones longer than a load plus one
// run. docs/design.md tells what was kept, what was changed, and when each exception acts.

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"time"
)

// Tuned values. None belongs to one deployment.
const (
	tick         = 20 * time.Millisecond  // how often held work is looked at without an event
	pipeSpare    = 1                      // requests in a pipe beyond the lanes of the copy
	fitWindow    = 20                     // samples that a mean remembers
	runPrior     = 150 * time.Millisecond // of a run, before any answer
	loadPrior    = time.Second            // of a load, before any is seen
	probeIdle    = 60 * time.Second       // twelve times the 5 s of the design's source
	askWait      = 30 * time.Millisecond  // how long a request waits for word of standing copies
	askAgain     = time.Second            // after which a function's workers may be asked anew
	askFirst     = 3                      // workers asked before all others
	farWorth     = 0.15                   // share of rounds that find a copy at the others, below which they are left out
	farWeight    = 0.1                    // of one more round in that share
	farTry       = 8                      // of so many rounds one is made all the same
	fullPause    = 150 * time.Millisecond // a copy that turned a call away rests
	loadPauseMin = 100 * time.Millisecond
	loadPauseMax = 1600 * time.Millisecond
	loadsStart   = 8.0 // loads of ours under way at once
	loadsLeast   = 2.0
	loadSlow     = 2.5                    // times the usual that make a load slow
	loadSettle   = 300 * time.Millisecond // between two cuts of the loads under way
	loadNews     = 3 * time.Second        // how long the time of the last load is believed when a request is given up for it
	proofAge     = time.Second            // a copy that answered within this is not doubted for another's miss
	roomPause    = time.Second            // a worker without room for a copy gets no load
	suspectAt    = 0.3                    // share of recent attempts failed that makes a worker suspect
	failWeight   = 0.2                    // of one more attempt in that share
	backoffMin   = 500 * time.Millisecond // before a suspect is tried again, doubled by each failure
	backoffMax   = 8 * time.Second
	quietFloor   = 700 * time.Millisecond // silence that is never held against a worker
	quietRuns    = 4                      // silence beyond it, in runs of the call that waits
	coldPart     = 0.6                    // of the load that would push a cold worker over, for chance
	limitStart   = 12.0                   // calls of ours at one worker, until crowding or room is seen
	limitFull    = 0.7                    // of them left after a call was turned away
	limitSlow    = 0.9                    // of them left after a slow run
	limitPause   = 50 * time.Millisecond  // between two cuts
	slowAt       = 2.5                    // times the run of a quiet worker that make a worker slow
	paceWeight   = 0.15                   // of one more run in a worker's pace
	paceFade     = 5 * time.Second        // after which a pace is old news
	quietFor     = 500 * time.Millisecond // how long the run of a quiet worker stands
	quietRise    = 40                     // part of a rise of that run that is believed each time
	crowded      = 1.5                    // a worker with this many times the mean out is no first choice for loads
)

// New returns the Controller of a front end that starts now with nothing known.
func New(now time.Duration, s Settings, a Actions) *Controller {
	c := &Controller{set: s, act: a, now: now, workers: map[WorkerID]*worker{},
		functions: map[FunctionID]*function{}, requests: map[RequestID]*request{}, orders: map[pair]int{},
		runs: make([]mean, len(s.Classes)), quietRun: make([]time.Duration, len(s.Classes)),
		quietAt: make([]time.Duration, len(s.Classes)), taken: make([]float64, len(s.Tenants)), servedAt: now, farHits: 1, loadLimit: loadsStart}
	if s.AskForWorkers {
		a.Follow()
	}
	a.Wake(tick, 0)
	return c
}

// Workers takes a change of the list of workers, or the whole list.
func (c *Controller) Workers(now time.Duration, list []WorkerInfo, whole bool) {
	c.now = now
	named := map[WorkerID]bool{}
	for _, info := range list {
		named[info.ID] = true
		w := c.workers[info.ID]
		if w == nil {
			w = c.fresh(info)
			c.workers[info.ID] = w
			c.list = append(c.list, w)
		} else if info.Started > w.Started {
			c.forget(w) // a new process holds nothing, and what was held against the old one is void
			out, sends := w.out, w.sends
			*w = *c.fresh(info)
			w.out, w.sends = out, sends
		}
		w.WorkerInfo = info
	}
	for _, w := range c.list {
		if whole && !named[w.ID] {
			w.State = Gone
		}
		if w.State != Ready {
			c.forget(w)
		}
	}
	slices.SortFunc(c.list, func(a, b *worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	c.epoch++
	c.dispatchAll()
}

func (c *Controller) fresh(info WorkerInfo) *worker {
	return &worker{WorkerInfo: info, seen: c.now, heard: c.now, limit: limitStart, pace: 1,
		runs: make([]mean, len(c.set.Classes))}
}

// ListFailed takes the news that the list of workers could not be had.
func (c *Controller) ListFailed(now time.Duration) {
	c.now = now
	c.act.Wake(time.Second, 1)
}

// Woke takes a wake-up: the tick, or the time to ask for the list again.
func (c *Controller) Woke(now time.Duration, token uint64) {
	c.now = now
	if token == 1 {
		c.act.Follow()
		return
	}
	c.act.Wake(tick, 0)
	for _, w := range c.list {
		c.watch(w)
	}
	c.loading = 0
	keep := c.active[:0]
	for _, f := range c.active {
		f.replicas = slices.DeleteFunc(f.replicas, func(p *replica) bool {
			return p.out == 0 && !p.loading && !p.ordered && now-p.used >= c.set.KeepAlive
		})
		for _, p := range f.replicas {
			if p.loading || p.ordered {
				c.loading++
			}
		}
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
func (c *Controller) Arrive(now time.Duration, in Request) {
	c.now = now
	f := c.functions[in.Function]
	if f == nil {
		f = &function{id: in.Function, class: in.Class}
		c.functions[in.Function] = f
		c.active = append(c.active, f)
	}
	f.lanes, f.told, f.used = max(1, in.Lanes), in.LoadTime, now
	f.taken++
	cl := &c.set.Classes[in.Class]
	r := &request{Request: in, class: cl, f: f, deadline: now + in.Budget, aim: now + cl.Aim}
	r.excess = c.overShare(in.Tenant)
	c.requests[in.ID] = r
	if c.set.LoadWindow > 0 {
		c.arrivals = append(recent(c.arrivals, now-c.set.LoadWindow), now)
	}
	f.held = append(f.held, r)
	c.dispatch(f)
	if r.at == nil && c.tooLate(r, 0) {
		c.finish(r)
	}
}

// Started takes the news that a streamed answer began: neither time-out nor deadline holds any longer.
func (c *Controller) Started(now time.Duration, id RequestID) {
	if r := c.requests[id]; r != nil {
		r.streamed = true
	}
}

// Gone takes the news that a client left: nothing is owed any longer.
func (c *Controller) Gone(now time.Duration, id RequestID) {
	c.now = now
	if r := c.requests[id]; r != nil {
		c.end(r)
	}
}

// Outcome takes the end of an attempt.
func (c *Controller) Outcome(now time.Duration, o Outcome) {
	c.now = now
	r := c.requests[o.Request]
	if r == nil || r.at == nil {
		return
	}
	p := r.at
	p.w.out = slices.DeleteFunc(p.w.out, func(x *request) bool { return x == r })
	p.out--
	r.at = nil
	c.learn(r, p, o)
	p.done = now
	if o.Closed {
		r.over = true
	}
	if r.over {
		delete(c.requests, r.ID)
	} else {
		c.again(r, p.w, o.Status)
	}
	c.dispatch(r.f)
}

// Probed takes the answer to a probe of a worker that could not be reached.
func (c *Controller) Probed(now time.Duration, a Probed) {
	c.now = now
	if w := c.workers[a.Worker]; w != nil && w.probing {
		w.probing = false
		c.judge(w, a.Status == OK)
	}
}

// Loaded takes the answer to an order, or to the question how many copies stand.
func (c *Controller) Loaded(now time.Duration, l Loaded) {
	c.now = now
	key := pair{l.Worker, l.Function}
	count, asked := c.orders[key]
	f, w := c.functions[l.Function], c.workers[l.Worker]
	delete(c.orders, key)
	if !asked || f == nil || w == nil {
		return
	}
	p := f.at(w)
	if count == 0 {
		f.asks--
		if l.Copies > 0 && p == nil && w.State == Ready {
			f.replicas = append(f.replicas, &replica{w: w, used: now})
			f.found = true
		}
		if f.asks == 0 && f.round == 2 {
			c.farHits *= 1 - farWeight
			if f.found {
				c.farHits += farWeight
			}
		}
	} else if p != nil && p.ordered {
		p.ordered, p.loading, p.used = false, false, now
		if l.Status == OK {
			c.learnLoad(f, l.Latency)
		} else {
			w.noRoom = c.now + roomPause
			f.drop(p)
			if l.Status == Error {
				c.loadFailed()
			}
		}
		if l.Status == ConnectFailed || l.Status == Reset || l.Status == Timeout {
			c.judge(w, false)
		}
	}
	c.dispatch(f)
}

// learn takes from an outcome what it tells of the function, the copy and the worker.
func (c *Controller) learn(r *request, p *replica, o Outcome) {
	w, f := p.w, r.f
	silent := w.heard < r.sent
	if o.Status == OK || o.Status == Full || o.Status == Miss || o.Status == Error {
		w.heard = c.now
	}
	switch o.Status {
	case OK:
		p.used = c.now
		c.countServed()
		c.judge(w, true)
		start := r.sent
		if r.behind {
			start = max(start, p.done)
		}
		run := c.now - start
		if o.Warmth == BeganLoad || o.Warmth == WaitedForLoad || o.Warmth == WarmthUnknown && r.began {
			if r.began {
				c.learnLoad(f, max(0, run-f.run.duration(c.runs[f.class].duration(runPrior))))
			}
		} else {
			w.runs[f.class].add(float64(run))
			c.measure(w, f.class, run)
			p.run.add(float64(run))
			f.run.add(float64(run))
			c.runs[f.class].add(float64(run))
		}
		p.loading = false
	case Full:
		if r.began || c.set.TellsCrowd && o.Crowd < f.lanes { // no memory for a copy, and none stands any more
			w.noRoom = c.now + roomPause
			f.drop(p)
		} else {
			p.rest = c.now + fullPause
			c.cut(w, limitFull)
		}
	case Miss:
		f.drop(p)
		c.doubt(f)
		if o.Warmth == LoadFailed {
			c.loadFailed()
		}
	case ConnectFailed, Reset:
		w.down = true
		c.forget(w) // guards against a death that the list tells late: a dead process holds nothing
		c.judge(w, false)
	case Error:
		if o.Warmth == LoadFailed {
			f.drop(p)
			c.loadFailed()
		} else {
			c.judge(w, false)
		}
	case Timeout:
		if p.loading {
			f.drop(p)
		}
		if !r.began {
			c.measure(w, f.class, c.now-r.sent)
			if silent { // one slow call proves little where others were answered meanwhile
				c.judge(w, false)
			}
		}
	}
}

// measure keeps a worker's pace and, by it, how many calls of ours it may hold. It guards against crowding,
// whatever the cause: neighbours, other front ends' calls, a cold start, more lanes than cores.
func (c *Controller) measure(w *worker, class int, run time.Duration) {
	ratio := min(float64(run)/float64(max(time.Millisecond, c.quiet(class))), 10)
	w.pace = c.paceOf(w) + paceWeight*(ratio-c.paceOf(w))
	w.paced = c.now
	if w.pace > slowAt {
		c.cut(w, limitSlow)
	} else if float64(len(w.out)) >= w.limit-2 {
		w.limit += 1 / w.limit
	}
}

func (c *Controller) cut(w *worker, by float64) {
	if c.now-w.cutAt > limitPause {
		w.cutAt = c.now
		w.limit = max(1, by*min(w.limit, float64(len(w.out)+1)))
	}
}

// paceOf is a worker's pace, forgotten as it ages so that a slow worker is tried again.
func (c *Controller) paceOf(w *worker) float64 {
	return 1 + (w.pace-1)*math.Exp(-float64(c.now-w.paced)/float64(paceFade))
}

// quiet is the run time of a class at the quieter workers: what a cold worker would need once loaded.
func (c *Controller) quiet(class int) time.Duration {
	if c.quietAt[class] == 0 || c.now-c.quietAt[class] > quietFor {
		var runs []float64
		for _, w := range c.list {
			if w.State == Ready && w.runs[class].n >= 3 {
				runs = append(runs, w.runs[class].value)
			}
		}
		if len(runs) == 0 {
			return c.runs[class].duration(runPrior)
		}
		slices.Sort(runs)
		run := time.Duration(runs[len(runs)/4])
		if old := c.quietRun[class]; old > 0 && run > old {
			run = old + (run-old)/quietRise // guards against taking an overload of all workers for the usual
		}
		c.quietRun[class], c.quietAt[class] = run, c.now
	}
	return c.quietRun[class]
}

// doubt drops what f's copies have not proved lately. It guards against copies that went void together, by a
// re-release or for want of memory: the workers are asked again instead of being tried one after the other.
func (c *Controller) doubt(f *function) {
	for _, p := range slices.Clone(f.replicas) {
		if p.out == 0 && !p.loading && !p.ordered && c.now-p.done > proofAge {
			f.drop(p)
		}
	}
	f.asked = -never
}

// loadFailed slows loads down. It guards against a store that refuses or stands still: each load that fails
// doubles the pause before this front end begins another, and the first that succeeds ends it.
func (c *Controller) loadFailed() {
	if c.now >= c.loadAfter {
		c.loadPause = min(loadPauseMax, max(loadPauseMin, 2*c.loadPause))
		c.loadAfter = c.now + c.loadPause
	}
}

// learnLoad takes the time of a load, and by it sets how many this front end has under way. It guards against a
// crowded store, which makes every load slow, and against loads that push each other's copies out.
func (c *Controller) learnLoad(f *function, took time.Duration) {
	c.loadPause, c.loadSeen, c.loading = 0, c.now, max(0, c.loading-1)
	usual := c.loadQuiet
	if f.told > 0 {
		usual = float64(f.told)
		c.ratio.add(float64(took) / usual)
	} else if usual == 0 || float64(took) < usual {
		c.loadQuiet = float64(took)
	} else {
		c.loadQuiet += (float64(took) - usual) / fitWindow
	}
	if usual > 0 && float64(took) > loadSlow*usual {
		if c.now-c.loadCut > loadSettle {
			c.loadLimit, c.loadCut = max(loadsLeast, c.loadLimit*limitFull), c.now
		}
	} else if c.loadLimit < loadsStart {
		c.loadLimit += 1 / c.loadLimit
	}
	f.load.add(float64(took))
	c.loads.add(float64(took))
}

// runOf is the expected time of one run of f.
func (c *Controller) runOf(f *function) time.Duration {
	return f.run.duration(c.runs[f.class].duration(runPrior))
}

// loadOf is the expected time of one load of f.
func (c *Controller) loadOf(f *function) time.Duration {
	if f.told > 0 {
		if c.ratio.n == 0 {
			return f.told
		}
		return time.Duration(float64(f.told) * c.ratio.value)
	}
	return f.load.duration(c.loads.duration(loadPrior))
}

// again decides what becomes of a request whose attempt ended without an answer: rule 2 is kept here.
func (c *Controller) again(r *request, w *worker, s Status) {
	if s == Error || s == Timeout || s == Reset || s == Cancelled {
		if !r.ran {
			r.ran, r.first, r.firstOn = true, r.sent, w.WorkerInfo
		}
		if r.class.Repeat == Unsafe {
			c.finish(r)
			return
		}
	}
	if r.attempts >= c.set.MaxAttempts || c.tooLate(r, 0) || r.bound() && c.now-r.first >= r.class.Memory {
		c.finish(r)
		return
	}
	r.f.held = append([]*request{r}, r.f.held...)
}

// bound says whether only the group that drops its repeats may be sent the request.
func (r *request) bound() bool { return r.ran && r.class.Repeat == Keyed }

// allowed says whether rule 2 lets the request go to w.
func (c *Controller) allowed(r *request, w *worker) bool {
	if !r.ran || r.class.Repeat == Safe {
		return true
	}
	if r.class.Repeat == Unsafe || c.now-r.first >= r.class.Memory-tick {
		return false
	}
	switch r.class.Scope {
	case ScopeZone:
		return w.Zone == r.firstOn.Zone
	case ScopeCell:
		return w.Cell == r.firstOn.Cell && w.Zone == r.firstOn.Zone
	}
	return true
}

// tooLate says whether a request that starts after wait cannot be answered before its client gives up.
func (c *Controller) tooLate(r *request, wait time.Duration) bool {
	return c.now+wait+max(tick, c.runOf(r.f)/2)+2*c.set.Resolution >= r.deadline
}

// finish gives a held request its final answer: refused where that is harmless, failed otherwise.
func (c *Controller) finish(r *request) {
	if !r.ran || r.class.Repeat == Safe || r.class.Repeat == Keyed && r.class.Scope == ScopeAll {
		c.act.Refuse(r.ID, min(c.set.MaxRetryAfter, c.loadOf(r.f)))
	} else {
		c.act.Fail(r.ID)
	}
	c.end(r)
}

func (c *Controller) end(r *request) {
	r.over = true
	if r.at == nil {
		r.f.held = slices.DeleteFunc(r.f.held, func(x *request) bool { return x == r })
		delete(c.requests, r.ID)
	}
}

// giveUp answers at once what cannot be served in time any more.
func (c *Controller) giveUp(f *function) {
	var lost []*request
	out := f.out()
	for i, r := range f.held {
		wait := time.Duration(0)
		if f.run.n > 0 && len(f.replicas) > 0 {
			wait = c.drain(f, i+out)
		} else if len(f.replicas) == 0 && c.now-c.loadSeen < loadNews {
			wait = c.loadOf(f)
		}
		if c.tooLate(r, wait) || r.bound() && c.now-r.first >= r.class.Memory-tick {
			lost = append(lost, r)
		}
	}
	for _, r := range lost {
		c.finish(r)
	}
}

func (c *Controller) dispatchAll() {
	for _, f := range c.active {
		if len(f.held) > 0 {
			c.dispatch(f)
		}
	}
}

// dispatch fills the warm pipes of f from what is held, and weighs a load for the rest.
func (c *Controller) dispatch(f *function) {
	if len(f.held) == 0 {
		return
	}
	slices.SortStableFunc(f.held, func(a, b *request) int { return c.rank(a) - c.rank(b) })
	for _, r := range slices.Clone(f.held) {
		if p := c.pickWarm(f, r); p != nil {
			c.send(r, p)
		} else if !r.ran {
			break
		} else if r.bound() && !f.waiting(c, r) {
			if w := c.pickCold(f, r); w != nil {
				c.lend(f, r, w, 1)
			}
		}
	}
	if len(f.held) > 0 {
		c.weigh(f)
	}
}

// rank orders what is held: in share and still in time first, then late, then beyond its tenant's share.
func (c *Controller) rank(r *request) int {
	switch {
	case r.excess:
		return 2
	case c.now+c.runOf(r.f)/2 > r.aim:
		return 1
	}
	return 0
}

// weigh is the design's comparison: what is held goes to a cold worker only where that returns sooner.
func (c *Controller) weigh(f *function) {
	r := f.held[0]
	live, loading := 0, 0
	for _, p := range f.replicas {
		if c.usable(p.w) {
			live++
			if p.loading || p.ordered {
				loading++
			}
		}
	}
	if live == 0 {
		if c.ask(f) {
			return
		}
		if w := c.pickCold(f, r); w != nil {
			c.lend(f, r, w, f.lanes+pipeSpare)
		}
		return
	}
	run, load := min(c.runOf(f), c.quiet(f.class)), c.loadOf(f)
	if c.drain(f, len(f.held)+f.out()) > load+run {
		if w := c.pickCold(f, r); w != nil {
			slots := 1
			if c.paceOf(w) <= 1.2 {
				slots = 2
			}
			c.lend(f, r, w, slots)
		}
		return
	}
	if loading > 0 {
		return
	}
	for _, w := range c.ranked(f) { // the design's probe of a worker none of ours reached for long
		if w.State == Ready && !w.suspect && c.now-w.seen >= probeIdle && f.at(w) == nil && c.roomCold(w) {
			c.lend(f, r, w, 1)
			return
		}
	}
}

// drain is how long the believed copies of f need for n requests, loads under way counted.
func (c *Controller) drain(f *function, n int) time.Duration {
	type source struct{ from, rate float64 }
	var sources []source
	run, load := c.runOf(f), c.loadOf(f)
	for _, p := range f.replicas {
		if !c.usable(p.w) {
			continue
		}
		s := source{rate: min(float64(f.lanes), p.w.limit) / float64(max(time.Millisecond, p.run.duration(run)))}
		if p.loading || p.ordered {
			s.from = float64(max(0, p.since+load-c.now))
		}
		sources = append(sources, s)
	}
	sort.SliceStable(sources, func(i, j int) bool { return sources[i].from < sources[j].from })
	left, rate, at := float64(max(1, n)), 0.0, 0.0
	for _, s := range sources {
		if done := rate * (s.from - at); done >= left {
			break
		} else {
			left -= done
		}
		at, rate = s.from, rate+s.rate
	}
	if rate == 0 {
		return time.Duration(never)
	}
	return time.Duration(min(at+left/rate, never))
}

// pickWarm is the scheduler's pick among the copies with room: fewest requests out, ties rotated.
func (c *Controller) pickWarm(f *function, r *request) *replica {
	var best *replica
	least := math.Inf(1)
	n := len(f.replicas)
	for i := range n {
		p := f.replicas[(f.turn+i)%n]
		room := f.lanes + pipeSpare
		if p.loading {
			room = p.slots
		}
		if p.ordered || p.out >= room || c.now < p.rest || !c.usable(p.w) || !c.allowed(r, p.w) ||
			p.w.suspect && r.class.Repeat == Unsafe || !c.roomFor(p.w) {
			continue
		}
		cost := float64(len(p.w.out) + 1)
		if pace := c.paceOf(p.w); pace > slowAt {
			cost *= pace // a worker seen to be slow counts what it holds as many times
		}
		if cost < least {
			best, least = p, cost
		}
	}
	f.turn++
	return best
}

// pickCold chooses the worker that loads f. Every front end ranks the workers of a function alike, so that
// without a word between them they load it in the same places; a worker with far more out than most is passed
// over, and a suspect taken only when nothing else is left.
func (c *Controller) pickCold(f *function, r *request) *worker {
	var second, last *worker
	ready, out := 0, 0
	for _, w := range c.list {
		if w.State == Ready && !w.suspect {
			ready++
			out += len(w.out)
		}
	}
	most := crowded*float64(out)/float64(max(1, ready)) + 2
	for _, w := range c.ranked(f) {
		if w.State != Ready || c.now < w.noRoom || f.at(w) != nil || !c.allowed(r, w) || !c.roomFor(w) {
			continue
		}
		if !w.suspect && float64(len(w.out)) <= most {
			return w
		}
		if !w.suspect && (second == nil || len(w.out) < len(second.out)) {
			second = w
		}
		if last == nil || w.until < last.until {
			last = w
		}
	}
	if second != nil {
		return second
	}
	if ready == 0 || r.bound() {
		return last
	}
	return nil
}

// ask finds copies that others loaded before a load is begun: it acts when no worker is believed warm, and
// costs a few milliseconds where a load costs hundreds. The workers where every front end would load f are asked
// first, the others only while asking them finds enough to be worth its price. It says whether an answer is worth waiting for.
func (c *Controller) ask(f *function) bool {
	if !c.set.MayOrder {
		return false
	}
	if f.asks > 0 {
		return c.now-f.asked < askWait
	}
	if c.now-f.asked >= askAgain || f.round == 0 {
		f.round = 0
	} else if f.round == 2 || c.farHits < farWorth && f.turn%farTry != 0 {
		return false
	}
	order := c.ranked(f)
	first := min(askFirst, len(order))
	if f.round == 0 {
		order = order[:first]
	} else {
		order = order[first:]
	}
	f.round, f.asked, f.found = f.round+1, c.now, false
	for _, w := range order {
		if _, busy := c.orders[pair{w.ID, f.id}]; w.State == Ready && !w.suspect && !busy {
			f.asks++
			c.orders[pair{w.ID, f.id}] = 0
			c.act.Load(w.ID, f.id, 0)
		}
	}
	return f.asks > 0
}

// lend starts a load of f on the cold worker w for r and the requests that follow it, up to slots of them.
func (c *Controller) lend(f *function, r *request, w *worker, slots int) {
	most := c.loadLimit
	if f.taken == 1 {
		most /= 2 // what is called for the first time waits for what is known to be wanted
	}
	if c.now < c.loadAfter || float64(c.loading) >= most {
		return
	}
	c.loading++
	if c.loadPause > 0 {
		if r.class.Repeat == Unsafe && !c.set.MissAnswered {
			return // not at stake while loads fail: a safe call tries first
		}
		c.loadAfter = c.now + c.loadPause // one at a time until one succeeds
	}
	p := &replica{w: w, loading: true, slots: slots, since: c.now, used: c.now}
	if c.set.MissAnswered {
		if _, busy := c.orders[pair{w.ID, f.id}]; busy || !c.set.MayOrder || !c.ration() {
			return
		}
		p.ordered = true
		c.orders[pair{w.ID, f.id}] = 1
		c.act.Load(w.ID, f.id, 1)
		f.replicas = append(f.replicas, p)
		return
	}
	f.replicas = append(f.replicas, p)
	c.send(r, p)
}

// ration keeps rule 5: orders to load in the window stay within what is free plus a share of the calls taken.
func (c *Controller) ration() bool {
	if c.set.LoadWindow <= 0 {
		return true
	}
	from := c.now - c.set.LoadWindow
	c.loadTimes, c.arrivals = recent(c.loadTimes, from), recent(c.arrivals, from)
	if float64(len(c.loadTimes)+1) > c.set.LoadFree+c.set.LoadShare*float64(len(c.arrivals)) {
		return false
	}
	c.loadTimes = append(c.loadTimes, c.now)
	return true
}

func (c *Controller) send(r *request, p *replica) {
	f, w := r.f, p.w
	f.held = slices.DeleteFunc(f.held, func(x *request) bool { return x == r })
	r.at, r.sent, r.began, r.behind = p, c.now, p.loading, p.out >= f.lanes
	r.attempts++
	p.out++
	p.used, w.seen = c.now, c.now
	w.out = append(w.out, r)
	w.sends = append(recent(w.sends, c.now-c.set.TipWindow), c.now)
	c.act.Send(r.ID, w.ID, 0)
}

// roomFor says whether w may hold another call of ours.
func (c *Controller) roomFor(w *worker) bool {
	return float64(len(w.out)) < w.limit && c.roomCold(w)
}

// roomCold keeps rule 4: a cold worker is sent less than would push it over if every front end sent it as
// much. What it could do warm is guessed from what the warm ones serve this front end; a first call in each
// window always goes.
func (c *Controller) roomCold(w *worker) bool {
	age := c.now - w.Started
	if w.Started == LongAgo || age >= c.set.ColdTime {
		return true
	}
	w.sends = recent(w.sends, c.now-c.set.TipWindow)
	ready := 0
	for _, x := range c.list {
		if x.State == Ready && !x.suspect {
			ready++
		}
	}
	part := c.set.ColdFrom + (1-c.set.ColdFrom)*max(0, float64(age))/float64(c.set.ColdTime)
	rate := c.fadeServed() / float64(max(1, ready))
	budget := coldPart * c.set.TipMultiple * part * rate * c.set.TipWindow.Seconds()
	return float64(len(w.sends)) < max(1, math.Floor(budget))
}

const servedFade = 3 * time.Second

func (c *Controller) countServed() { c.served = c.fadeServed()*servedFade.Seconds() + 1 }

// fadeServed is the rate of answers, a second, over the last few seconds.
func (c *Controller) fadeServed() float64 {
	c.served *= math.Exp(-float64(c.now-c.servedAt) / float64(servedFade))
	c.servedAt = c.now
	return c.served / servedFade.Seconds()
}

// overShare counts an arrival and says whether its tenant takes more than its share of this front end.
func (c *Controller) overShare(tenant int) bool {
	if tenant >= len(c.taken) {
		return false
	}
	const memory = 300
	for i := range c.taken {
		c.taken[i] *= 1 - 1.0/memory
	}
	c.taken[tenant]++
	c.takenAll = c.takenAll*(1-1.0/memory) + 1
	return c.takenAll > memory/3 && c.taken[tenant] > 1.5*c.set.Tenants[tenant].Share*c.takenAll
}

// judge counts an attempt for or against a worker. A worker that fails many is suspect, whatever makes it
// fail: it is passed over, and tried again with one call at a time after a pause that doubles.
func (c *Controller) judge(w *worker, good bool) {
	if good {
		w.failed *= 1 - failWeight
		if w.suspect {
			w.failed *= 0.6
			w.until = c.now
			if w.failed < suspectAt {
				w.suspect, w.down, w.backoff = false, false, 0
			}
		}
		return
	}
	w.failed += (1 - w.failed) * failWeight
	if w.failed < suspectAt && !w.down {
		return
	}
	c.suspicion(w, "fails")
}

func (c *Controller) suspicion(w *worker, why string) {
	if w.suspect && c.now < w.until {
		return
	}
	if !w.suspect {
		c.act.Log(fmt.Sprintf("worker %x suspect: %s, failed %.2f, out %d", w.ID, why, w.failed, len(w.out)))
	}
	w.backoff = min(backoffMax, max(backoffMin, 2*w.backoff))
	w.suspect, w.until, w.failed = true, c.now+w.backoff, max(w.failed, 0.5)
}

// usable says whether w may be sent a call now; a suspect whose pause is over takes one at a time.
func (c *Controller) usable(w *worker) bool {
	return w.State == Ready && (!w.suspect || !w.down && c.now >= w.until && len(w.out) == 0)
}

// watch looks for silence: a worker that has taken calls and for long answers none of them, be it hung, cut
// off or standing still. Calls that may run twice are called back and go elsewhere.
func (c *Controller) watch(w *worker) {
	if w.suspect && w.down && !w.probing && c.now >= w.until && w.State == Ready {
		if c.set.MayProbe {
			w.probing = true
			c.act.Probe(w.ID)
		} else {
			w.down = false
		}
	}
	if len(w.out) == 0 {
		return
	}
	var late []*function // with calls that should have been answered long since, were their copies warm
	silent := false
	for _, r := range w.out {
		patience := quietFloor + quietRuns*c.runOf(r.f)
		if wait := c.now - max(r.sent, w.heard); wait > patience && !r.streamed {
			silent = silent || wait > patience+2*c.loadOf(r.f)
			if !r.began && !slices.Contains(late, r.f) {
				late = append(late, r.f)
			}
		}
	}
	if !silent && len(late) < 3 { // one copy may have been pushed out and be loading again, three rarely
		return
	}
	c.suspicion(w, fmt.Sprint("silent ", silent, len(late)))
	if !c.set.MayCancel {
		return
	}
	for _, r := range slices.Clone(w.out) {
		if r.class.Repeat != Unsafe && !r.over && r.attempts < c.set.MaxAttempts && !c.tooLate(r, 0) {
			c.act.Cancel(r.ID, r.attempts-1)
		}
	}
}
