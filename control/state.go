package control

import (
	"slices"
	"time"
)

// This file keeps what a Controller remembers and the bookkeeping on it; it decides nothing.

// never is a wait without end, short enough to be added to a time.
const never = 1e15

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
	seen    time.Duration // first listed, or last reached by a call of ours
	out     []*request    // attempts out there, oldest first
	sends   []time.Duration
	heard   time.Duration // last outcome of any attempt
	pace    float64       // run times here over those of a quiet worker
	paced   time.Duration // when pace was last learned
	runs    []mean        // by class
	limit   float64       // calls of ours that it may hold
	cutAt   time.Duration // when limit was last cut
	noRoom  time.Duration // no loads there before this
	failed  float64       // share of recent attempts that failed
	suspect bool
	down    bool // suspect because no connection holds: a probe tells more cheaply than a call
	probing bool
	until   time.Duration // when a suspect may be tried again
	backoff time.Duration
}

// replica is the belief that a worker holds the function loaded, or is loading it for us.
type replica struct {
	w       *worker
	out     int
	slots   int           // pipe while loading
	loading bool          // no answer yet since we began the load
	ordered bool          // a load order is under way; calls wait here until it is answered
	since   time.Duration // when the load began
	used    time.Duration
	done    time.Duration // last outcome
	run     mean          // here
	rest    time.Duration // turned calls away: nothing new before this
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
	taken    int  // requests so far
	round    int  // of asking: 0 none, 1 the first workers, 2 all
	found    bool // a standing copy, in this round
	used     time.Duration
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
	excess   bool // its tenant was over its share
}

// Controller decides for one front end.
type Controller struct {
	set       Settings
	act       Actions
	now       time.Duration
	workers   map[WorkerID]*worker
	list      []*worker // by identifier
	epoch     int
	functions map[FunctionID]*function
	active    []*function // all functions, in the order met
	requests  map[RequestID]*request
	orders    map[pair]int // copies asked for, by order under way
	runs      []mean       // by class
	quietRun  []time.Duration
	quietAt   []time.Duration
	loads     mean // load times where not told
	ratio     mean // load times over what was told
	loadTimes []time.Duration
	farHits   float64         // share of second rounds of asking that found a copy
	loadAfter time.Duration   // no load is begun before this
	loadPause time.Duration   // after the next load that fails, half of it
	arrivals  []time.Duration // in the ration's window
	served    float64         // answers, fading over a second
	servedAt  time.Duration
	taken     []float64 // by tenant, fading
	takenAll  float64
	loading   int     // loads of ours under way
	loadLimit float64 // that may be
	loadQuiet float64 // load time where not told, while the store is quick
	loadCut   time.Duration
	loadSeen  time.Duration
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

func recent(times []time.Duration, from time.Duration) []time.Duration {
	i := 0
	for i < len(times) && times[i] < from {
		i++
	}
	return times[i:]
}

// forget drops every belief about what w holds.
func (c *Controller) forget(w *worker) {
	for _, f := range c.active {
		if p := f.at(w); p != nil {
			f.drop(p)
		}
	}
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
	f.replicas = slices.DeleteFunc(f.replicas, func(x *replica) bool { return x == p })
}

func (f *function) out() int {
	n := 0
	for _, p := range f.replicas {
		n += p.out
	}
	return n
}

// ranked lists the workers in the order in which every front end would load f.
func (c *Controller) ranked(f *function) []*worker {
	if f.epoch != c.epoch {
		f.epoch = c.epoch
		f.order = slices.Clone(c.list)
		slices.SortFunc(f.order, func(a, b *worker) int {
			if mix(uint64(f.id), uint64(a.ID)) < mix(uint64(f.id), uint64(b.ID)) {
				return -1
			}
			return 1
		})
	}
	return f.order
}

// waiting says whether some believed copy may take r once it has room.
func (f *function) waiting(c *Controller, r *request) bool {
	return slices.ContainsFunc(f.replicas, func(p *replica) bool { return c.usable(p.w) && c.allowed(r, p.w) })
}
