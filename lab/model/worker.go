package model

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// WorkerConfig describes one emulated worker.
type WorkerConfig struct {
	Name, Cell         string
	Cores              float64
	Speed              float64 // of a core, 1 is the yardstick
	MemoryMB           float64
	Queue              int           // calls that may wait
	MaxConcurrentLoads int           // and twice as many may wait
	KeepAlive          time.Duration // an idle copy is unloaded after this
	MissAnswers        bool          // answers Miss where a function is not loaded, else it loads
	ScalesOut          bool          // starts another copy by itself when all lanes are taken
	CancelStopsWork    bool          // a cancel stops work that runs
	ColdCapacity       float64       // share of its capacity that it starts with, 0 for a warm start always
	SlowStart          time.Duration // and is warm after
	OverloadMultiple   float64       // sent more than this many times what it can do
	OverloadWindow     time.Duration // for so long, it falls over
	KeyRetention       time.Duration // how long its cell remembers a key
}

// Call is one attempt of a call at a worker.
type Request struct {
	ID, FrontEnd, Class, IdempotencyKey string
	Attempt                             int
	Function                            string
	MemoryMB                            float64
	Concurrency                         int
	LoadTime                            time.Duration // a load of the function, alone
	Work                                time.Duration // of this call, on one core at speed 1
	Deadline                            time.Duration // nobody waits after this
}

// Outcome is how a worker answers.
type Outcome int

// The outcomes.
const (
	OK Outcome = iota + 1
	Failed
	Overloaded
	NotLoaded
)

// Warmth is what an answer tells of the copy.
type ColdStart int

// The notes of an answer.
const (
	ColdStartUnknown ColdStart = iota
	WarmStart
	ColdStartTriggered
	ColdStartAwaited
	ColdStartFailed
)

// Answer is a worker's answer to a Call.
type Response struct {
	Outcome    Outcome
	ColdStart  ColdStart
	QueueDepth int // calls of the function held on arrival
	Waiting    int // calls waiting now: its load report
	RunTime    time.Duration
}

// Fetcher fetches artefacts for loads.
type Fetcher interface {
	Fetch(function string, work time.Duration, done func(ok bool))
}

// Observer is told what the worker sees and does. It is called within the Clock.
type Observer interface {
	// Received tells of an attempt that arrived, before anything becomes of it.
	RequestReceived(w *Worker, c *Request)
	// Answered tells how an attempt is answered.
	ResponseSent(w *Worker, c *Request, o Outcome)
	// Ran tells that a call's effect took place, at the end of its run.
	RequestExecuted(w *Worker, c *Request)
	// Ordered tells of an order to load that arrived.
	LoadOrderReceived(w *Worker, frontEnd, function string, copies int)
	// Fell tells that the worker fell over.
	WorkerCrashed(w *Worker)
}

// Group is the memory of keys that the workers of one cell share.
type KeyCache struct{ executedAt map[string]time.Duration }

// Numbered is the configuration of worker i, from 0, of an installation with so many cells; the cell's index, from
// 0, comes with it. Workers are dealt out to cells one by one.
func (c WorkerConfig) ForWorker(i, cells int) (numbered WorkerConfig, cell int) {
	cell = i % cells
	c.Name, c.Cell = fmt.Sprintf("worker-%d", i+1), fmt.Sprintf("cell-%d", cell+1)
	return c, cell
}

// Groups returns an empty Group for each of so many cells, for one at the least.
func NewKeyCaches(cells int) (list []*KeyCache) {
	for range max(1, cells) {
		list = append(list, NewGroup())
	}
	return list
}

// NewGroup returns an empty Group.
func NewGroup() *KeyCache { return &KeyCache{executedAt: map[string]time.Duration{}} }

// Worker is the model of one worker process.
type Worker struct {
	Config   WorkerConfig
	clock    Clock
	store    Fetcher
	keys     *KeyCache
	observer Observer

	cpu           *ProcessorSharing
	replicas      []*replica
	loads         []*load // under way and waiting, oldest first
	queue         []*attempt
	running       []*attempt
	recentWork    []arrival // while cold, for the tip-over
	incarnation   int
	startedAt     time.Duration
	up            bool
	draining      bool
	slowdown      float64
	failures      Sampler
	paused        bool
	hung          bool
	stopSlowStart func()
}

type replica struct {
	function     string
	memoryMB     float64
	concurrency  int
	busy         int
	idleSince    time.Duration
	cancelUnload func()
	invalid      bool // of a release that is over: unloaded as soon as it is idle
}

type load struct {
	function    string
	memoryMB    float64
	concurrency int
	duration    time.Duration
	started     bool
	orders      []*loadOrder
}

type loadOrder struct {
	replicas int
	reply    func(Outcome, int)
}

type attempt struct {
	*Request
	reply      func(Response)
	queueDepth int
	coldStart  ColdStart
	job        *Job
	replica    *replica
	startedAt  time.Duration // of its run
	abandoned  bool
}

type arrival struct {
	at   time.Duration
	work time.Duration
}

// NewWorker returns a worker that runs since long ago.
func NewWorker(c Clock, cfg WorkerConfig, store Fetcher, group *KeyCache, seen Observer) *Worker {
	w := &Worker{
		Config: cfg, clock: c, store: store, keys: group, observer: seen, slowdown: 1, up: true, incarnation: 1,
		startedAt: -time.Hour,
	}
	w.cpu = NewProcessorSharing(c, cfg.Cores)
	w.updateSpeed()
	return w
}

// Life counts the starts of the worker's process.
func (w *Worker) Incarnation() int { return w.incarnation }

// Up says whether the process runs.
func (w *Worker) Up() bool { return w.up }

// Uptime is how long the process runs.
func (w *Worker) Uptime() time.Duration { return w.clock.Now() - w.startedAt }

// Waiting is the number of calls that wait here.
func (w *Worker) QueueLength() int { return len(w.queue) }

// Copies is the number of copies that stand loaded.
func (w *Worker) ReplicaCount() int { return len(w.replicas) }

// Work is the processor time spent so far.
func (w *Worker) ProcessorTime() time.Duration { return w.cpu.Used }

// part is the share of its capacity that the worker has now.
func (w *Worker) capacityShare() float64 {
	if w.Config.ColdCapacity <= 0 || w.Config.SlowStart <= 0 {
		return 1
	}
	age := min(1, float64(w.Uptime())/float64(w.Config.SlowStart))
	return w.Config.ColdCapacity + (1-w.Config.ColdCapacity)*age
}

// Cold says whether the worker is still warming.
func (w *Worker) Cold() bool { return w.Config.ColdCapacity > 0 && w.Uptime() < w.Config.SlowStart }

// pace sets the speed of the cores by all that slows them.
func (w *Worker) updateSpeed() {
	speed := w.Config.Speed * w.capacityShare() / w.slowdown
	if w.paused || w.hung || !w.up {
		speed = 0
	}
	w.cpu.SetSpeed(speed)
	if w.stopSlowStart != nil {
		w.stopSlowStart()
		w.stopSlowStart = nil
	}
	if w.up && w.Cold() {
		w.stopSlowStart = w.clock.After(w.Config.SlowStart/20, func() { w.stopSlowStart = nil; w.updateSpeed() })
	}
}

// Handle takes a call; reply is called once, unless the worker dies or hangs.
func (w *Worker) Handle(c *Request, reply func(Response)) {
	w.observer.RequestReceived(w, c)
	if !w.up {
		return
	}
	if w.crashesFromOverload(c.Work) {
		return
	}
	k := &attempt{Request: c, reply: reply, queueDepth: w.inFlight(c.Function)}
	switch {
	case w.hung: // taken, never answered
		w.queue = append(w.queue, k)
	case w.draining:
		w.respond(k, Overloaded)
	case w.failures.Next():
		w.respond(k, Failed)
	case c.IdempotencyKey != "" && w.hasExecuted(c.IdempotencyKey):
		k.coldStart = WarmStart
		w.respond(k, OK)
	default:
		w.dispatch(k)
	}
}

func (w *Worker) respond(k *attempt, o Outcome) {
	w.observer.ResponseSent(w, k.Request, o)
	if !k.abandoned {
		k.abandoned = true
		a := Response{Outcome: o, ColdStart: k.coldStart, QueueDepth: k.queueDepth, Waiting: len(w.queue)}
		if k.job != nil {
			a.RunTime = w.clock.Now() - k.startedAt
		}
		k.reply(a)
	}
}

// held counts the calls of a function here.
func (w *Worker) inFlight(function string) (n int) {
	for _, k := range w.queue {
		if k.Function == function {
			n++
		}
	}
	for _, k := range w.running {
		if k.Function == function {
			n++
		}
	}
	return n
}

// tips counts work that arrives while the worker is cold, and says whether it fell over.
func (w *Worker) crashesFromOverload(work time.Duration) bool {
	if !w.Cold() || w.Config.OverloadWindow <= 0 {
		w.recentWork = nil
		return false
	}
	now := w.clock.Now()
	w.recentWork = append(w.recentWork, arrival{now, work})
	total := time.Duration(0)
	w.recentWork = slices.DeleteFunc(w.recentWork, func(a arrival) bool { return a.at <= now-w.Config.OverloadWindow })
	for _, a := range w.recentWork {
		total += a.work
	}
	if float64(total) <= w.Config.OverloadMultiple*w.Capacity()*float64(w.Config.OverloadWindow) {
		return false
	}
	w.observer.WorkerCrashed(w)
	w.Crash()
	return true
}

// Capacity is the work that the worker can do now, in cores at speed 1.
func (w *Worker) Capacity() float64 { return w.Config.Cores * w.Config.Speed * w.capacityShare() }

func (w *Worker) hasExecuted(key string) bool {
	at, ran := w.keys.executedAt[key]
	return ran && w.clock.Now()-at < w.Config.KeyRetention
}

// place finds a lane for a call, or a place to wait, or begins a load.
func (w *Worker) dispatch(k *attempt) {
	for _, c := range w.replicas {
		if c.function == k.Function && !c.invalid && c.busy < c.concurrency {
			w.execute(k, c)
			return
		}
	}
	stands, coming := w.replicaCounts(k.Function)
	if stands+coming == 0 {
		if w.Config.MissAnswers {
			w.respond(k, NotLoaded)
			return
		}
		k.coldStart = ColdStartTriggered
		if len(w.queue) >= w.Config.Queue || !w.enqueueLoad(k.Function, k.MemoryMB, k.Concurrency, k.LoadTime, nil) {
			w.respond(k, Overloaded)
			return
		}
	} else if stands == 0 {
		k.coldStart = ColdStartAwaited
	}
	if len(w.queue) >= w.Config.Queue {
		w.respond(k, Overloaded)
		return
	}
	w.queue = append(w.queue, k)
	if w.Config.ScalesOut && coming == 0 && stands > 0 && w.queuedFor(k.Function) > k.Concurrency {
		w.enqueueLoad(k.Function, k.MemoryMB, k.Concurrency, k.LoadTime, nil)
	}
}

func (w *Worker) queuedFor(function string) (n int) {
	for _, k := range w.queue {
		if k.Function == function {
			n++
		}
	}
	return n
}

func (w *Worker) replicaCounts(function string) (stands, coming int) {
	for _, c := range w.replicas {
		if c.function == function && !c.invalid {
			stands++
		}
	}
	for _, l := range w.loads {
		if l.function == function {
			coming++
		}
	}
	return stands, coming
}

// run puts a call on a lane of a copy.
func (w *Worker) execute(k *attempt, c *replica) {
	k.startedAt = w.clock.Now()
	if k.coldStart == ColdStartUnknown {
		k.coldStart = WarmStart
	}
	c.busy++
	if c.cancelUnload != nil {
		c.cancelUnload()
		c.cancelUnload = nil
	}
	k.replica = c
	w.running = append(w.running, k)
	k.job = w.cpu.Add(k.Work, func() { w.executed(k) })
}

// ran ends a run: the effect took place.
func (w *Worker) executed(k *attempt) {
	w.running = slices.DeleteFunc(w.running, func(x *attempt) bool { return x == k })
	if k.IdempotencyKey == "" || !w.hasExecuted(k.IdempotencyKey) { // a repeat that ran beside the first has no second effect
		w.observer.RequestExecuted(w, k.Request)
	}
	if k.IdempotencyKey != "" {
		w.keys.executedAt[k.IdempotencyKey] = w.clock.Now()
	}
	w.release(k.replica)
	w.respond(k, OK)
	w.dispatchQueued(k.Function)
}

func (w *Worker) release(c *replica) {
	c.busy--
	if c.busy == 0 {
		w.startIdle(c)
	}
}

// rest begins a copy's idle time.
func (w *Worker) startIdle(c *replica) {
	if c.invalid {
		w.removeReplica(c)
		return
	}
	c.idleSince = w.clock.Now()
	if c.cancelUnload != nil {
		c.cancelUnload()
	}
	c.cancelUnload = w.clock.After(w.Config.KeepAlive, func() { w.removeReplica(c) })
}

func (w *Worker) removeReplica(c *replica) {
	if c.cancelUnload != nil {
		c.cancelUnload()
	}
	w.replicas = slices.DeleteFunc(w.replicas, func(x *replica) bool { return x == c })
}

// next gives free lanes of a function to the calls that wait for it.
func (w *Worker) dispatchQueued(function string) {
	for i := 0; i < len(w.queue); {
		k := w.queue[i]
		if k.Function != function {
			i++
			continue
		}
		if k.abandoned || w.clock.Now() >= k.Deadline {
			w.queue = slices.Delete(w.queue, i, i+1)
			continue
		}
		at := slices.IndexFunc(w.replicas, func(c *replica) bool {
			return c.function == function && !c.invalid && c.busy < c.concurrency
		})
		if at < 0 {
			return
		}
		w.queue = slices.Delete(w.queue, i, i+1)
		w.execute(k, w.replicas[at])
	}
}

// Cancel tells that nobody waits for an attempt; waiting work is dropped.
func (w *Worker) Cancel(id string, number int) {
	same := func(k *attempt) bool { return k.ID == id && k.Attempt == number }
	w.queue = slices.DeleteFunc(w.queue, func(k *attempt) bool {
		k.abandoned = k.abandoned || same(k)
		return same(k) && !w.hung
	})
	for _, k := range slices.Clone(w.running) {
		if !same(k) {
			continue
		}
		k.abandoned = true
		if w.Config.CancelStopsWork {
			w.cpu.Remove(k.job)
			w.running = slices.DeleteFunc(w.running, func(x *attempt) bool { return x == k })
			w.release(k.replica)
			w.dispatchQueued(k.Function)
		}
	}
}

// load begins a load or lines it up; false where memory or places are short.
func (w *Worker) enqueueLoad(function string, memory float64, lanes int, took time.Duration, o *loadOrder) bool {
	if len(w.loads) >= 3*w.Config.MaxConcurrentLoads || !w.makeRoom(memory) {
		return false
	}
	l := &load{function: function, memoryMB: memory, concurrency: max(1, lanes), duration: took}
	if o != nil {
		l.orders = append(l.orders, o)
	}
	w.loads = append(w.loads, l)
	w.startLoads()
	return true
}

// room makes room for a copy by unloading idle ones, the one idle longest first.
func (w *Worker) makeRoom(memory float64) bool {
	used := memory
	for _, c := range w.replicas {
		used += c.memoryMB
	}
	for _, l := range w.loads {
		used += l.memoryMB
	}
	for used > w.Config.MemoryMB {
		var oldest *replica
		for _, c := range w.replicas {
			if c.busy == 0 && (oldest == nil || c.idleSince < oldest.idleSince) {
				oldest = c
			}
		}
		if oldest == nil {
			return false
		}
		used -= oldest.memoryMB
		w.removeReplica(oldest)
	}
	return true
}

// fetchPart is the share of a load's time that is the fetch; the rest is the start, which takes no core.
const fetchShare = 0.6

func (w *Worker) startLoads() {
	for i, l := range w.loads {
		if i >= w.Config.MaxConcurrentLoads || l.started {
			continue
		}
		l.started = true
		life := w.incarnation
		fetch := time.Duration(fetchShare * float64(l.duration))
		w.store.Fetch(l.function, fetch, func(ok bool) {
			if life != w.incarnation || !w.up {
				return
			}
			if !ok {
				w.clock.After(0, func() { w.loadEnded(life, l, false) }) // never within Fetch itself
				return
			}
			w.clock.After(l.duration-fetch, func() { w.loadEnded(life, l, true) })
		})
	}
}

// loadDone takes the end of a load.
func (w *Worker) loadEnded(life int, l *load, ok bool) {
	if life != w.incarnation || !w.up || w.hung || !slices.Contains(w.loads, l) {
		return
	}
	w.loads = slices.DeleteFunc(w.loads, func(x *load) bool { return x == l })
	if ok {
		c := &replica{function: l.function, memoryMB: l.memoryMB, concurrency: l.concurrency}
		w.replicas = append(w.replicas, c)
		w.startIdle(c)
	}
	stands, coming := w.replicaCounts(l.function)
	for _, o := range l.orders {
		if ok {
			o.reply(OK, stands)
		} else {
			o.reply(Failed, stands)
		}
	}
	if !ok && stands+coming == 0 {
		w.failQueued(l.function)
	}
	w.dispatchQueued(l.function)
	w.startLoads()
}

// strand answers the calls whose load failed.
func (w *Worker) failQueued(function string) {
	var lost []*attempt
	w.queue = slices.DeleteFunc(w.queue, func(k *attempt) bool {
		if k.Function == function {
			lost = append(lost, k)
			return true
		}
		return false
	})
	for _, k := range lost {
		k.coldStart = ColdStartFailed
		w.respond(k, NotLoaded)
	}
}

// Order takes an order to hold copies of a function; reply is called once, unless the worker dies or hangs.
func (w *Worker) HandleLoadOrder(frontEnd, function string, copies int, memory float64, lanes int, took time.Duration,
	reply func(Outcome, int),
) {
	w.observer.LoadOrderReceived(w, frontEnd, function, copies)
	if !w.up || w.hung {
		return
	}
	stands, coming := w.replicaCounts(function)
	switch {
	case copies == 0:
		reply(OK, stands)
		return
	case w.draining:
		reply(Overloaded, stands)
		return
	case stands >= copies:
		for _, c := range w.replicas {
			if c.function == function && c.busy == 0 && !c.invalid {
				w.startIdle(c)
			}
		}
		reply(OK, stands)
		return
	}
	o := &loadOrder{replicas: copies, reply: reply}
	if stands+coming >= copies {
		for _, l := range w.loads {
			if l.function == function {
				l.orders = append(l.orders, o)
				return
			}
		}
	}
	if !w.enqueueLoad(function, memory, lanes, took, o) {
		reply(Overloaded, stands)
	}
}

// Unload unloads the idle copies of a function.
func (w *Worker) Unload(function string) {
	for _, c := range slices.Clone(w.replicas) {
		if c.function == function && c.busy == 0 {
			w.removeReplica(c)
		}
	}
}

// Die ends the process; what it held is gone, its former runs have no effect any longer.
func (w *Worker) Crash() {
	w.up = false
	w.incarnation++
	w.cpu.Clear()
	for _, c := range w.replicas {
		if c.cancelUnload != nil {
			c.cancelUnload()
		}
	}
	w.replicas, w.loads, w.queue, w.running, w.recentWork = nil, nil, nil, nil, nil
	w.draining, w.hung, w.paused, w.slowdown, w.failures = false, false, false, 1, Sampler{}
	w.updateSpeed()
}

// Start starts the process anew, cold and empty.
func (w *Worker) Start() {
	if w.up {
		w.Crash()
	}
	w.up, w.startedAt = true, w.clock.Now()
	w.updateSpeed()
}

// Drain makes the worker turn new calls and orders away.
func (w *Worker) SetDraining(on bool) { w.draining = on }

// Hang makes the worker take everything and answer nothing; ended, it goes on as if nothing had been.
func (w *Worker) SetHung(on bool) {
	if w.hung == on || !w.up {
		return
	}
	w.hung = on
	w.updateSpeed()
	if on {
		return
	}
	waiting := w.queue
	w.queue = nil
	for _, k := range waiting {
		if !k.abandoned && w.clock.Now() < k.Deadline {
			w.dispatch(k)
		}
	}
	for _, l := range slices.Clone(w.loads) {
		if l.started { // its end passed unseen
			w.loadEnded(w.incarnation, l, true)
		}
	}
}

// Pause makes the worker stand still.
func (w *Worker) SetPaused(on bool) { w.paused = on; w.updateSpeed() }

// Slow makes all work take factor times as long; 1 ends it.
func (w *Worker) SetSlowdown(factor float64) { w.slowdown = max(1, factor); w.updateSpeed() }

// Fail makes the worker fail a share of its calls at once.
func (w *Worker) SetFailureShare(share float64) { w.failures = Sampler{Share: share} }

// Flush voids the copies of a function, or of all if it is empty, as a new release does; those at work end first.
func (w *Worker) InvalidateReplicas(function string) {
	w.invalidate(func(f string) bool { return function == "" || f == function })
}

// ReRelease voids the copies of a share of the functions, the same ones at each worker that is given the salt.
func (w *Worker) InvalidateShare(share float64, salt string) {
	w.invalidate(func(f string) bool { return float64(xxhash.Sum64String(salt+f)) < share*math.MaxUint64 })
}

func (w *Worker) invalidate(match func(function string) bool) {
	for _, c := range slices.Clone(w.replicas) {
		if !match(c.function) {
			continue
		}
		c.invalid = true
		if c.busy == 0 {
			w.removeReplica(c)
		}
	}
}

// Estimate is how long a call that came now would wait for a load, and how long it would take beside that, by all
// that the worker and the store hold; false where it would not be answered, or would push a cold worker over. It
// is for oracles: no front end sees this.
func (w *Worker) Estimate(function string, memory float64, lanes int, load, work time.Duration,
	store *Store,
) (wait, rest time.Duration, may bool) {
	speed := w.Config.Speed * w.capacityShare() / w.slowdown
	if !w.up || w.hung || w.draining || w.paused || w.failures.Share > 0 || len(w.queue) >= w.Config.Queue {
		return 0, 0, false
	}
	if w.Cold() && w.Config.OverloadWindow > 0 {
		total := work
		for _, a := range w.recentWork {
			total += a.work
		}
		if float64(total) > oracleOverloadShare*w.Config.OverloadMultiple*w.Capacity()*float64(w.Config.OverloadWindow) {
			return 0, 0, false
		}
	}
	left := float64(work)
	for _, j := range w.cpu.jobs {
		left += j.remaining
	}
	for _, k := range w.queue {
		left += float64(k.Work)
	}
	run := time.Duration(max(float64(work)/speed, left/(speed*w.Config.Cores)))
	wait, lane := w.estimateReplicaWait(function, memory, load, work, speed, store)
	return wait, lane + run, true
}

// tipPart is the part of what would push a cold worker over that an oracle fills.
const oracleOverloadShare = 0.6

// laneWait is how long a call waits for a lane of its function: where none stands, for a load, at the pace that
// the store has now, and as the copy that it pushes out must be loaded again, for that one too.
func (w *Worker) estimateReplicaWait(function string, memory float64, load, work time.Duration, speed float64,
	store *Store,
) (wait, lane time.Duration) {
	free, all, ahead := 0, 0, w.queuedFor(function)
	used := memory
	for _, c := range w.replicas {
		used += c.memoryMB
		if c.function == function && !c.invalid {
			free += c.concurrency - c.busy
			all += c.concurrency
		}
	}
	switch {
	case free > ahead:
		return 0, 0
	case all > 0:
		return 0, time.Duration(float64(ahead+1) / float64(all) * float64(work) / speed)
	}
	pace := max(1, float64(store.shared.Len()+1)/store.cfg.Places)
	if rate := store.shared.speed; rate > 0 {
		pace /= rate
	} else {
		pace *= 10
	}
	took := time.Duration(float64(load) * (fetchShare*pace + 1 - fetchShare))
	for _, l := range w.loads {
		used += l.memoryMB
		if l.function == function { // under way: half of it is over, on the mean
			return took / 2, time.Duration(float64(ahead) / float64(l.concurrency) * float64(work) / speed)
		}
	}
	if store.outages > 0 || 2*store.shared.Len() > store.cfg.Limit {
		return time.Hour, 0 // nothing more is asked of a store that is near its limit
	}
	took += took * time.Duration(len(w.loads)/max(1, w.Config.MaxConcurrentLoads))
	if used > w.Config.MemoryMB {
		return 2 * took, 0
	}
	return took, 0
}
