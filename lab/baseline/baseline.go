// Package baseline holds other policies beside the decision module, on the same events and actions: what the
// laboratory compares the module with. They keep rule 2 and what follows from the list of workers, and nothing
// else: a run in which they break a rule counts for nothing, as the module's would.
package baseline

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"havencart/internal/gateway"
	"havencart/scheduler"
)

// Names are the policies that New makes.
var Names = []string{"random", "round-robin", "least-out", "two-choices", "rendezvous"}

// New returns what makes a policy by its name, nil for "module" and for a name that is none.
func New(name string) func(time.Duration, scheduler.Settings, scheduler.Actions) gateway.Scheduler {
	pick := map[string]picker{
		"random": random, "round-robin": roundRobin, "least-out": leastInFlight, "two-choices": twoChoices,
		"rendezvous": rendezvous,
	}[name]
	if pick == nil {
		return nil
	}
	return func(now time.Duration, set scheduler.Settings, a scheduler.Actions) gateway.Scheduler {
		return newPolicy(now, set, a, pick)
	}
}

// picker chooses one of the ready workers that a call may go to; there is at least one.
type picker func(p *policy, r *request, among []*worker) *worker

type worker struct {
	info     scheduler.WorkerInfo
	inFlight int
}

type request struct {
	scheduler.Request
	receivedAt      time.Duration
	deadline        time.Duration
	attempts        int
	worker          *worker
	mayHaveExecuted bool
	firstWorker     scheduler.WorkerInfo
	firstAt         time.Duration
	ended           bool
}

// policy sends each call at once to the worker that it picks, and again elsewhere where rule 2 allows it.
type policy struct {
	set        scheduler.Settings
	actions    scheduler.Actions
	pick       picker
	rng        *rand.Rand
	now        time.Duration
	workers    []*worker // by identifier
	requests   map[scheduler.RequestID]*request
	queued     []*request              // no worker could take them
	queueOrder func(a, b *request) int // order in which they are tried again; nil: as they came
	turn       int
}

// tick is how often what is held is tried again.
const retryInterval = 20 * time.Millisecond

func newPolicy(now time.Duration, set scheduler.Settings, a scheduler.Actions, pick picker) *policy {
	p := &policy{
		set: set, actions: a, pick: pick, now: now, requests: map[scheduler.RequestID]*request{},
		rng: rand.New(rand.NewPCG(set.Seed, 0x62617365)),
	}
	a.SetTimer(retryInterval, 0)
	return p
}

// Workers implements gateway.Module, as do the methods that follow.
func (p *policy) WorkersChanged(now time.Duration, list []scheduler.WorkerInfo, whole bool) {
	p.now = now
	named := map[scheduler.WorkerID]bool{}
	for _, info := range list {
		named[info.ID] = true
		if w := p.worker(info.ID); w != nil {
			w.info = info
			continue
		}
		p.workers = append(p.workers, &worker{info: info})
	}
	sort.Slice(p.workers, func(i, j int) bool { return p.workers[i].info.ID < p.workers[j].info.ID })
	for _, w := range p.workers {
		if whole && !named[w.info.ID] {
			w.info.State = scheduler.Removed
		}
	}
	p.retry()
}

func (p *policy) worker(id scheduler.WorkerID) *worker {
	for _, w := range p.workers {
		if w.info.ID == id {
			return w
		}
	}
	return nil
}

func (p *policy) WatchFailed(now time.Duration) { p.now = now; p.actions.SetTimer(time.Second, 1) }

func (p *policy) TimerFired(now time.Duration, token uint64) {
	p.now = now
	if token == 1 {
		p.actions.WatchEndpoints()
		return
	}
	p.actions.SetTimer(retryInterval, 0)
	p.retry()
}

// retry tries what is held again, and gives up what has no time left.
func (p *policy) retry() {
	held := p.queued
	p.queued = nil
	if p.queueOrder != nil {
		slices.SortStableFunc(held, p.queueOrder)
	}
	for _, r := range held {
		switch {
		case r.ended:
		case p.now+2*retryInterval >= r.deadline:
			p.finish(r)
		default:
			p.send(r)
		}
	}
}

func (p *policy) RequestReceived(now time.Duration, in scheduler.Request) {
	p.now = now
	r := &request{Request: in, receivedAt: now, deadline: now + in.Timeout}
	p.requests[in.ID] = r
	p.send(r)
}

// send sends a call to the worker that the policy picks, or keeps it for the next tick.
func (p *policy) send(r *request) {
	var among []*worker
	for _, w := range p.workers {
		if w.info.State == scheduler.Ready && p.allowed(r, w) {
			among = append(among, w)
		}
	}
	if len(among) == 0 {
		p.queued = append(p.queued, r)
		return
	}
	w := p.pick(p, r, among)
	if w == nil {
		p.queued = append(p.queued, r)
		return
	}
	w.inFlight++
	r.worker = w
	r.attempts++
	p.actions.Send(r.ID, w.info.ID, 0)
}

// allowed says whether rule 2 lets a call go to w.
func (p *policy) allowed(r *request, w *worker) bool {
	class := &p.set.Classes[r.Class]
	switch {
	case !r.mayHaveExecuted || class.Idempotency == scheduler.Idempotent:
		return true
	case class.Idempotency == scheduler.NonIdempotent || p.now-r.firstAt >= class.KeyRetention-retryInterval:
		return false
	case class.KeyScope == scheduler.ScopeZone:
		return w.info.Zone == r.firstWorker.Zone
	case class.KeyScope == scheduler.ScopeCell:
		return w.info.Cell == r.firstWorker.Cell
	}
	return true
}

func (p *policy) AttemptEnded(now time.Duration, o scheduler.Outcome) {
	p.now = now
	r := p.requests[o.Request]
	if r == nil || r.worker == nil {
		return
	}
	w := r.worker
	r.worker = nil
	w.inFlight--
	if o.RequestClosed || r.ended {
		r.ended = true
		delete(p.requests, r.ID)
		return
	}
	if slices.Contains([]scheduler.Status{scheduler.Error, scheduler.Timeout, scheduler.Reset, scheduler.Cancelled}, o.Status) && !r.mayHaveExecuted {
		r.mayHaveExecuted, r.firstAt, r.firstWorker = true, now, w.info
	}
	unsafe := r.mayHaveExecuted && p.set.Classes[r.Class].Idempotency == scheduler.NonIdempotent
	switch {
	case unsafe || r.attempts >= p.set.MaxAttempts || now+2*retryInterval >= r.deadline:
		p.finish(r)
	case o.Status == scheduler.NotLoaded && p.set.LoadOrdersAllowed:
		p.actions.Load(w.info.ID, r.Function, 1)
		p.queued = append(p.queued, r)
	default:
		p.queued = append(p.queued, r) // at the next tick: a worker that turned it away is not asked at once
	}
}

// finish gives the final answer: refused where that is harmless.
func (p *policy) finish(r *request) {
	r.ended = true
	delete(p.requests, r.ID)
	class := &p.set.Classes[r.Class]
	if !r.mayHaveExecuted || class.Idempotency == scheduler.Idempotent || class.Idempotency == scheduler.IdempotentByKey && class.KeyScope == scheduler.ScopeAll {
		p.actions.Reject(r.ID, p.set.MaxRetryAfter)
		return
	}
	p.actions.Fail(r.ID)
}

func (p *policy) ClientDisconnected(now time.Duration, id scheduler.RequestID) {
	p.now = now
	if r := p.requests[id]; r != nil {
		r.ended = true
		if r.worker == nil {
			delete(p.requests, id)
		} else if p.set.CancelAllowed {
			p.actions.Cancel(id, r.attempts-1)
		}
	}
}

func (p *policy) LoadEnded(now time.Duration, _ scheduler.LoadResult)            { p.now = now }
func (p *policy) ResponseStarted(now time.Duration, _ scheduler.RequestID)       { p.now = now }
func (p *policy) HealthChecked(now time.Duration, _ scheduler.HealthCheckResult) { p.now = now }
func random(p *policy, _ *request, among []*worker) *worker                      { return among[p.rng.IntN(len(among))] }

func leastInFlight(p *policy, _ *request, among []*worker) *worker {
	p.turn++
	return fewest(among, p.turn)
}

func roundRobin(p *policy, _ *request, among []*worker) *worker {
	p.turn++
	return among[p.turn%len(among)]
}

// fewest is the worker with the fewest calls of ours out, ties rotated.
func fewest(among []*worker, turn int) *worker {
	var best *worker
	for i := range among {
		if w := among[(i+turn)%len(among)]; best == nil || w.inFlight < best.inFlight {
			best = w
		}
	}
	return best
}

// twoChoices is the power of two choices (M. Mitzenmacher, 1996): the less loaded of two drawn at random.
func twoChoices(p *policy, _ *request, among []*worker) *worker {
	a, b := among[p.rng.IntN(len(among))], among[p.rng.IntN(len(among))]
	if b.inFlight < a.inFlight {
		return b
	}
	return a
}

// boundedBy is how far over the mean a worker's load may go in rendezvous.
const loadBound = 1.25

// rendezvous is highest-random-weight hashing (D. Thaler, C. Ravishankar, 1998) with bounded loads (V. Mirrokni
// et al., 2018): the first worker by the function's own order whose load is not over 1.25 times the mean.
func rendezvous(p *policy, r *request, among []*worker) *worker {
	total := 1
	for _, w := range among {
		total += w.inFlight
	}
	bound := math.Ceil(loadBound * float64(total) / float64(len(among)))
	order := slices.Clone(among)
	weight := func(w *worker) uint64 {
		var b [16]byte
		for i := range 8 {
			b[i], b[8+i] = byte(uint64(r.Function)>>(8*i)), byte(uint64(w.info.ID)>>(8*i))
		}
		return xxhash.Sum64(b[:])
	}
	sort.Slice(order, func(i, j int) bool { return weight(order[i]) > weight(order[j]) })
	for _, w := range order {
		if float64(w.inFlight+1) <= bound {
			return w
		}
	}
	return order[0]
}
