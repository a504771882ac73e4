package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file keeps what a Controller remembers and the bookkeeping on it; it decides nothing.

// never is a wait without end, short enough to be added to a time.
const never time.Duration = 1e15

// mean is a running mean over about fitWindow samples.
type mean struct {
	value float64
	n     int
}

func (m *mean) add(x float64) {
	m.n = min(m.n+1, fitWindow)
	m.value += (x - m.value) / float64(m.n)
}

func (m *mean) duration(prior time.Duration) time.Duration {
	if m.n == 0 {
		return prior
	}
	return time.Duration(m.value)
}

type worker struct {
	WorkerInfo
	seen   time.Duration // first listed, or last reached by a call of ours
	out    []*request    // attempts out there, oldest first
	sends  []time.Duration
	runs   []mean        // by class
	limit  float64       // calls of ours that it may hold
	cutAt  time.Duration // when limit was last cut
	wait   fading        // beyond a quiet run, as last seen
	waited float64       // the same when it was seen
	noRoom time.Duration // no loads there before this
	gone   time.Duration // when it was told to be gone; 0: it is not
	health []health      // by class
}

// health is what is known of how a worker serves one class.
type health struct {
	heard   time.Duration // last answer
	failed  float64       // share of recent attempts that failed
	suspect bool
	until   time.Duration // when a suspect may be tried again
	backoff time.Duration
}

// replica is the belief that a worker holds the function loaded, or is loading it for us.
type replica struct {
	w       *worker
	f       *function
	out     int
	slots   int           // pipe while loading
	loading bool          // no answer yet since we began the load
	ahead   bool          // ordered while its calls go elsewhere: no reason to hold them
	ordered bool          // a load order is under way; calls wait here until it is answered
	since   time.Duration // when the load began
	used    time.Duration
	done    time.Duration // last outcome
	run     mean          // here
}

type function struct {
	id       FunctionID
	lanes    int
	told     time.Duration // usual load time, where told
	class    int
	held     []*request
	replicas []*replica
	run      mean
	load     mean
	order    []*worker // by this function's own rank
	epoch    int       // of the list of workers that order was made from
	turn     int
	asks     int // answers awaited about standing copies
	asked    time.Duration
	used     time.Duration
	work     fading // taken, in runs' time
}

type request struct {
	Request
	class    *Class
	f        *function
	deadline time.Duration
	aim      time.Duration
	attempts int
	at       *replica // where the attempt out stands; nil while held
	sent     time.Duration
	behind   bool // sent while all lanes were ours
	began    bool // sent to a copy that was not known to stand
	ran      bool // an earlier attempt may have run
	first    time.Duration
	firstOn  WorkerInfo
	over     bool
	streamed bool
	excess   bool // beyond its tenant's share
}

// Controller decides for one front end.
type Scheduler struct {
	set        Settings
	act        Actions
	now        time.Duration
	began      time.Duration
	ticked     time.Duration // last tick
	resumed    time.Duration // last end of a stall of our own
	workers    map[WorkerID]*worker
	list       []*worker // by identifier
	epoch      int
	scales     float64 // mean of the list
	functions  map[FunctionID]*function
	active     []*function // all functions, in the order of before
	requests   map[RequestID]*request
	orders     map[pair]int // copies asked for, by order under way
	runs       []mean       // by class
	quietRun   []time.Duration
	quietAt    []time.Duration
	loads      mean          // load times of all functions
	lost, lent fading        // copies found gone that were counted on, loads of ours
	usual      time.Duration // wait at the middle worker
	ratio      mean          // load times over what was told
	loadTimes  []time.Duration
	arrivals   []time.Duration // in the ration's window
	work       fading          // taken, in runs' time
	asked      fading          // the same without waits
	worth      fading          // of what was taken
	calls      fading          // taken
	waitFade   time.Duration   // memory of waits
	common     float64         // wait at the middle one of the workers met lately
	served     fading          // answers, by which a cold worker's part is guessed
	taken      []taken         // by tenant
	all        float64         // of all tenants, fading as theirs
	arrived    uint64
	over       []float64     // by tenant, of a call that is too many
	loading    int           // loads of ours under way
	failed     int           // loads that failed since one worked
	bar        time.Duration // how long that last kept loads back
	barred     time.Duration // until when it does
	loadSeen   time.Duration
}

type pair struct {
	w WorkerID
	f FunctionID
}

func mix(a, b uint64) uint64 {
	x := a*0x9E3779B97F4A7C15 ^ b
	for range 3 {
		x ^= x >> 31
		x *= 0xBF58476D1CE4E5B9
	}
	return x ^ x>>29
}

// chance is a number from 0 to below 1 drawn by a mix.
func chance(x uint64) float64 { return float64(x>>11) / (1 << 53) }

// oneIn is the value that one in part of them stays under, 0 if there are none.
func oneIn(part int, values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)/part]
}

func recent(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}

// forget drops every belief about what w holds.
func (c *Scheduler) forget(w *worker) {
	for _, f := range c.active {
		if p := f.at(w); p != nil {
			f.drop(p)
		}
	}
}

// without is the list with x taken out of it.
func without[T comparable](list []T, x T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == x })
}

func (f *function) at(w *worker) *replica {
	for _, p := range f.replicas {
		if p.w == w {
			return p
		}
	}
	return nil
}

func (f *function) drop(p *replica) {
	f.replicas = without(f.replicas, p)
}

func (f *function) out() int {
	n := 0
	for _, p := range f.replicas {
		n += p.out
	}
	return n
}

// ranked lists the workers in the order in which every front end would load f.
func (c *Scheduler) ranked(f *function) []*worker {
	if f.epoch != c.epoch {
		f.epoch = c.epoch
		f.order = slices.Clone(c.list)
		slices.SortFunc(f.order, func(a, b *worker) int { return cmp.Compare(c.rankOf(f, a), c.rankOf(f, b)) })
	}
	return f.order
}

// rankOf is lower for workers that come sooner in the order of f: by weighted rendezvous hashing, so that a worker
// comes first for as large a part of the functions as it has of the size that the list tells.
func (c *Scheduler) rankOf(f *function, w *worker) float64 {
	draw := chance(mix(uint64(f.id), uint64(w.ID))) + 0.5/(1<<53)
	return -math.Log1p(-draw) / c.size(w)
}

// size is a worker's size beside the mean one, where the list tells it.
func (c *Scheduler) size(w *worker) float64 {
	if !c.set.ScaleIsCapacity || w.Scale <= 0 || c.scales <= 0 {
		return 1
	}
	return w.Scale / c.scales
}

// waiting says whether some believed copy may take r once it has room.
func (f *function) waiting(c *Scheduler, r *request) bool {
	return slices.ContainsFunc(f.replicas, func(p *replica) bool { return c.usable(p.w, f.class) && c.allowed(r, p.w) })
}

// Started takes the news that a streamed answer began: neither time-out nor deadline holds any longer.
func (c *Scheduler) ResponseStarted(now time.Duration, id RequestID) {
	if r := c.requests[id]; r != nil {
		r.streamed = true
	}
}

// Probed takes the answer to a probe; the module sends none, as a call that may be repeated tells as much.
func (c *Scheduler) HealthChecked(now time.Duration, _ HealthCheckResult) { c.now = now }

func (c *Scheduler) end(r *request) {
	r.over = true
	if r.at == nil {
		r.f.held = without(r.f.held, r)
		delete(c.requests, r.ID)
	}
}

// runOf is the expected time of one run of f.
func (c *Scheduler) runOf(f *function) time.Duration {
	return f.run.duration(c.runOfClass(f.class))
}

// runOfClass is the expected time of one run of a function of a class. A class whose calls wait for less than a
// run is guessed to take would else never be called, and never be known.
func (c *Scheduler) runOfClass(class int) time.Duration {
	return c.runs[class].duration(min(runPrior, c.set.Classes[class].LatencyObjective/runPart))
}

// merge takes a change of the list of workers, or the whole list, and returns the workers whose process is
// not the one that was listed before, or that are not to be sent anything new.
func (c *Scheduler) merge(list []WorkerInfo, whole bool) (changed []*worker) {
	named := map[WorkerID]bool{}
	for _, info := range list {
		named[info.ID] = true
		w := c.workers[info.ID]
		if w == nil {
			w = &worker{}
			c.workers[info.ID] = w
			c.list = append(c.list, w)
		}
		if w.limit == 0 || info.Started > w.Started {
			changed = append(changed, w)
			*w = worker{out: w.out, sends: w.sends, seen: c.now, limit: limitStart,
				runs: make([]mean, len(c.set.Classes)), health: make([]health, len(c.set.Classes))}
		}
		w.WorkerInfo = info
	}
	for _, w := range c.list {
		if whole && !named[w.ID] {
			w.State = Removed
		}
		if w.State != Ready {
			changed = append(changed, w)
		}
		if w.State != Removed {
			w.gone = 0
		} else if w.gone == 0 {
			w.gone = c.now
		}
	}
	c.list = slices.DeleteFunc(c.list, c.past)
	slices.SortFunc(c.list, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	c.scales = 0
	for _, w := range c.list {
		c.scales += w.Scale / float64(len(c.list))
	}
	c.epoch++
	return changed
}

// past forgets a worker that is gone for so long that another process under its name would be warm.
func (c *Scheduler) past(w *worker) bool {
	if w.State != Removed || len(w.out) > 0 || c.now-w.gone < c.set.SlowStartDuration {
		return false
	}
	delete(c.workers, w.ID)
	return true
}

// source is something that works off requests at a rate from some time on.
type source struct{ from, rate float64 }

// drainTime is how long the sources take together for n requests.
func drainTime(sources []source, n float64) time.Duration {
	slices.SortStableFunc(sources, func(a, b source) int { return cmp.Compare(a.from, b.from) })
	rate, at := 0.0, 0.0
	for _, s := range sources {
		done := rate * (s.from - at)
		if done >= n {
			break
		}
		n, at, rate = n-done, s.from, rate+s.rate
	}
	if rate == 0 {
		return never
	}
	return time.Duration(min(at+n/rate, float64(never)))
}

// fading is a count that forgets as it ages.
type fading struct {
	value    float64
	at, last time.Duration // when it was last read, and last learned
}

func (x *fading) now(t, memory time.Duration) float64 {
	x.value *= math.Exp(-float64(t-x.at) / float64(memory))
	x.at = t
	return x.value
}

// perSecond is the rate of what x counts with a memory. A front end that started lately has counted for as long as it
// stands, and a second more, so that its first few say little.
func (c *Scheduler) perSecond(x *fading, memory time.Duration) float64 {
	counted := 1 - math.Exp(-float64(c.now-c.began+lately)/float64(memory))
	return x.now(c.now, memory) / (counted * memory.Seconds())
}

// add counts n more.
func (x *fading) add(t, memory time.Duration, n float64) { x.value = x.now(t, memory) + n }

// learn takes a sample into a fading mean, the more of it the longer ago the last one was.
func (x *fading) learn(t, memory time.Duration, sample float64) {
	part := 1 - math.Exp(-float64(t-x.last)/float64(lately))
	x.value = (1-part)*x.now(t, memory) + part*sample
	x.last = t
}

// healthy counts the ready workers that are not suspect for a class.
func (c *Scheduler) healthy(class int) (n int) {
	for _, w := range c.list {
		if w.State == Ready && !w.health[class].suspect {
			n++
		}
	}
	return n
}

// partOf is the part of its capacity that a worker has so soon after its start.
func (c *Scheduler) partOf(w *worker) float64 {
	if age := c.now - w.Started; w.Started != UnknownStart && age < c.set.SlowStartDuration {
		return c.set.SlowStartFraction + (1-c.set.SlowStartFraction)*max(0, float64(age))/float64(c.set.SlowStartDuration)
	}
	return 1
}

// warmth is how many warm workers the healthy ones of a class amount to.
func (c *Scheduler) warmth(class int) (sum float64) {
	for _, w := range c.list {
		if w.State == Ready && !w.health[class].suspect {
			sum += c.partOf(w)
		}
	}
	return sum
}

// takes counts an arrival of a tenant and returns its share of what this front end took lately.
func (c *Scheduler) takes(tenant int) float64 {
	const kept = 1 - 1.0/shareMemory
	c.arrived++
	c.all = kept*c.all + 1
	x := &c.taken[tenant]
	x.calls, x.at = x.calls*math.Pow(kept, float64(c.arrived-x.at))+1, c.arrived
	if c.all < shareLeast {
		return 0
	}
	return x.calls / c.all
}

// taken are a tenant's calls, fading with each arrival of any since arrival number at.
type taken struct {
	calls float64
	at    uint64
}

func newController(now time.Duration, s Settings, a Actions) *Scheduler {
	return &Scheduler{set: s, act: a, now: now, began: now, ticked: now, waitFade: waitMost, workers: map[WorkerID]*worker{},
		functions: map[FunctionID]*function{}, requests: map[RequestID]*request{}, orders: map[pair]int{},
		runs: make([]mean, len(s.Classes)), quietRun: make([]time.Duration, len(s.Classes)),
		quietAt: make([]time.Duration, len(s.Classes)), taken: make([]taken, len(s.Tenants)),
		over: make([]float64, len(s.Tenants))}
}

// send gives r to the worker of p and keeps the books of it.
func (c *Scheduler) send(r *request, p *replica) {
	f, w := r.f, p.w
	f.held = without(f.held, r)
	r.at, r.sent, r.began, r.behind = p, c.now, p.loading, p.out >= f.lanes
	r.attempts++
	p.out++
	p.used, w.seen = c.now, c.now
	w.out = append(w.out, r)
	w.sends = append(recent(w.sends, c.now-c.set.OverloadWindow), c.now)
	c.act.Send(r.ID, w.ID, 0)
}

// loadOf is the expected time of one load of f.
func (c *Scheduler) loadOf(f *function) time.Duration {
	if f.told > 0 {
		if c.ratio.n == 0 {
			return f.told
		}
		return time.Duration(float64(f.told) * c.ratio.value)
	}
	return f.load.duration(c.loads.duration(loadPrior))
}

// bound says whether only the group that drops its repeats may be sent the request.
func (r *request) bound() bool { return r.ran && r.class.Idempotency == IdempotentByKey }

// quietest is the run time of a class that one in part of the workers with enough answers stays under, 0 if none
// has them.
func (c *Scheduler) quietest(class, part, enough int) time.Duration {
	var runs []float64
	for _, w := range c.list {
		if w.State == Ready && w.runs[class].n >= enough {
			runs = append(runs, w.runs[class].value)
		}
	}
	return time.Duration(oneIn(part, runs))
}

func (r *request) detach() *replica {
	p := r.at
	p.w.out = without(p.w.out, r)
	p.out--
	r.at = nil
	return p
}

// room is how many calls of ours the copy may hold.
func (p *replica) room() int {
	if p.loading {
		return p.slots
	}
	return p.f.lanes
}

// underWay counts the loads of ours that are.
func (c *Scheduler) underWay() (n int) {
	for _, f := range c.active {
		for _, p := range f.replicas {
			if p.loading {
				n++
			}
		}
	}
	return n
}

// bareRun is the expected time of one run of f, without what calls wait.
func (c *Scheduler) bareRun(f *function) time.Duration { return min(c.runOf(f), c.quiet(f.class)) }

// workOf is what r takes of a worker, as far as its aim lets that count.
func (c *Scheduler) workOf(r *request) time.Duration {
	return min(c.bareRun(r.f), r.class.LatencyObjective/2)
}

// count counts an arrival.
func (c *Scheduler) count(r *request) {
	run := float64(c.runOf(r.f))
	r.f.work.add(c.now, shareFade, run)
	c.work.add(c.now, shareFade, run)
	c.asked.add(c.now, shareFade, float64(c.workOf(r)))
	c.worth.add(c.now, shareFade, r.class.PriorityWeight)
	c.calls.add(c.now, shareFade, 1)
}

// meets is how often this front end has a call for a worker, if its calls go to all of them alike.
func (c *Scheduler) meets() time.Duration {
	return time.Duration(float64(shareFade) * float64(len(c.list)) / (1 + c.calls.now(c.now, shareFade)))
}

// waitOf is how long calls at a worker last waited beyond a quiet run, forgotten as it ages.
func (c *Scheduler) waitOf(w *worker) time.Duration {
	return time.Duration(w.wait.now(c.now, c.waitFade))
}

// crosses is 1 for a worker in another zone, else 0.
func (c *Scheduler) crosses(w *worker) int {
	if w.Zone != c.set.Zone {
		return 1
	}
	return 0
}

// met is the wait that one in metPart of the ready workers met last stays under, as it was seen there: of the latest
// metLatest within waitFade, and of all within the last second.
func (c *Scheduler) met() float64 {
	var met []*worker
	for _, w := range c.list {
		if w.State == Ready && w.wait.last > 0 && c.now-w.wait.last < c.waitFade {
			met = append(met, w)
		}
	}
	slices.SortStableFunc(met, func(a, b *worker) int { return cmp.Compare(b.wait.last, a.wait.last) })
	var waits []float64
	for i, w := range met {
		if i < metLatest || c.now-w.wait.last < lately {
			waits = append(waits, w.waited)
		}
	}
	if len(waits) < metLeast {
		return 0
	}
	return oneIn(metPart, waits)
}

// coming says whether a copy of f is being loaded for us.
func (f *function) coming() bool {
	return slices.ContainsFunc(f.replicas, func(p *replica) bool { return p.loading && !p.ahead })
}

// meet returns the function, made known if it was not; functions stand in the order of before.
func (c *Scheduler) meet(id FunctionID, class int) *function {
	f := c.functions[id]
	if f == nil {
		f = &function{id: id, class: class, asked: -never}
		c.functions[id] = f
		c.active = append(c.active, f)
		slices.SortStableFunc(c.active, c.before)
	}
	return f
}

// middle is the wait at the middle one of the ready workers.
func (c *Scheduler) middle() time.Duration {
	var waits []float64
	for _, w := range c.list {
		if w.State == Ready {
			waits = append(waits, w.wait.now(c.now, c.waitFade))
		}
	}
	return time.Duration(oneIn(2, waits))
}

// waitedForLoad says whether the attempt waited for a load, its own or another request's.
func (o *Outcome) waitedForLoad() bool {
	return o.ColdStart == ColdStartTriggered || o.ColdStart == ColdStartAwaited
}

// mayRunAnywhereAgain says whether a repeat at any worker does no harm.
func (cl *Class) mayRunAnywhereAgain() bool {
	return cl.Idempotency == Idempotent || cl.Idempotency == IdempotentByKey && cl.KeyScope == ScopeAll
}
