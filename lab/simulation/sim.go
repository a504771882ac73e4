// Package simulation plays a whole installation in virtual time: the real gateway.Front of each front end with the
// real decision module, over an in-memory transport, against the models of workers and store that run behind
// sockets in lab/worker and lab/functionstore, with the clients of lab/loadgen and the scripts of lab/scenario. It is one
// goroutine; the same seed gives the same run, action for action.
package simulation

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/discovery"
	"havencart/internal/gateway"
	"havencart/internal/native/httpserver"
	"havencart/lab/baseline"
	"havencart/lab/invariant"
	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/lab/scenario"
	"havencart/lab/worker"
	"havencart/scheduler"
)

// Config describes an installation in virtual time.
type Config struct {
	Workers   int
	Cells     int
	FrontEnds int
	Worker    model.WorkerConfig // of each; its name and cell are made
	Store     model.StoreConfig
	Settings  string        // as fleet.Config has it
	Net       time.Duration // one way between front end and worker, and between client and front end; 0: 200 µs
	Jitter    float64       // share of Net that is drawn anew for each message
	Handshake time.Duration // of a worker's connection, beside the round trips
	Zones     int           // in which machines stand, dealt out one by one; as many as Troubles name at the least
	ListLag   time.Duration // mean time from a change to a front end's knowing it; 0: 1 s
	Mix       loadgen.Mix
	Lasts     time.Duration
	Troubles  []scenario.Trouble
	Seed      uint64
	LogLevel  zerolog.Level // of the front ends' lines in Result.Told; the zero value is debug
	Policy    string        // "" or "module", "oracle", or one of baseline.Names
}

// Result is how a run went.
type Result struct {
	Tally  invariant.Tally
	Breaks []invariant.Break
	Score  invariant.Score
	Counts gateway.Counts
	Store  model.StoreTotals
	Trace  uint64 // a hash of every action, answer and time: equal for equal runs
	Seen   map[string]int
	Series []Sample
	Told   []string // troubles and the front ends' logs, as they came; the first few hundred
}

// Sample is the installation at one second.
type Sample struct {
	InHand, Copies, Waiting int    // now
	Served, Refused, Failed uint64 // so far
	Attempts, Loads         uint64
	Fetches                 int
}

// toldMost bounds Result.Told.
const toldMost = 300

// sample notes the installation each second.
func (s *Sim) sample() {
	var x Sample
	for _, f := range s.fronts {
		c := f.counts
		if f.alive {
			x.InHand += f.gate.InFlight()
			c.Add(f.gate.Counts())
		}
		x.Served, x.Refused, x.Failed = x.Served+c.Served, x.Refused+c.Rejected+c.Shed, x.Failed+c.Failed
		x.Attempts, x.Loads = x.Attempts+c.Attempts, x.Loads+c.LoadOrders
	}
	for _, w := range s.workers {
		x.Copies += w.ReplicaCount()
		x.Waiting += w.QueueLength()
	}
	x.Fetches = s.store.Fetches
	s.series = append(s.series, x)
	s.clock.After(time.Second, s.sample)
}

// say keeps a line of what happened.
func (s *Sim) say(text string) {
	if len(s.told) < toldMost {
		s.told = append(s.told, fmt.Sprintf("%7.2fs %s", s.clock.Now().Seconds(), text))
	}
}

// Write takes the front ends' log lines.
func (s *Sim) Write(line []byte) (int, error) {
	s.say(strings.TrimSpace(string(line)))
	return len(line), nil
}

// Sim is a run under way.
type Sim struct {
	cfg     Config
	set     *gatewayconfig.Settings
	clock   *model.VirtualClock
	rng     *rand.Rand
	trace   *xxhash.Digest
	book    *invariant.Book
	store   *model.Store
	workers []*model.Worker
	fronts  []*front
	catalog *gateway.Catalog
	source  *loadgen.Source
	entries []discovery.Worker
	version int // of entries
	part    float64
	down    bool
	lag     time.Duration
	skew    []time.Duration // of the workers' wall clocks
	shakes  []time.Duration // that connections to the workers take longer to set up
	net     *model.Network
	seen    map[string]int
	series  []Sample
	told    []string
	policy  func(time.Duration, scheduler.Settings, scheduler.Actions) gateway.Scheduler

	byID      map[scheduler.WorkerID]int      // in workers
	functions map[scheduler.FunctionID]string // for the oracle
}

var epoch = time.Unix(0, 0)

// Run plays cfg to its end.
func Run(cfg Config) (Result, error) {
	if cfg.Policy == "oracle" {
		return top(cfg)
	}
	return run(cfg)
}

// top is the best run of the oracles that keeps the rules, or the last one.
func top(cfg Config) (best Result, err error) {
	for _, name := range baseline.Oracles() {
		cfg.Policy = name
		r, err := run(cfg)
		if err != nil {
			return r, err
		}
		if len(best.Breaks) > 0 || best.Tally.Asked == 0 || len(r.Breaks) == 0 && r.Score.Service() > best.Score.Service() {
			best = r
		}
	}
	return best, nil
}

func run(cfg Config) (Result, error) {
	s, err := newSim(cfg)
	if err != nil {
		return Result{}, err
	}
	if err := s.play(); err != nil {
		return Result{}, err
	}
	longest := time.Duration(0)
	for _, c := range s.set.Classes {
		longest = max(longest, c.GiveUp)
	}
	s.clock.Run(cfg.Lasts + longest*time.Duration(1+cfg.Mix.Retries) + time.Second) // what is under way ends
	return s.result(), nil
}

// play plays clients and troubles for the time that the day lasts.
func (s *Sim) play() error {
	play := scenario.Begin(s.clock, s, s.cfg.Troubles, s.cfg.Seed, s.say)
	s.clock.After(time.Second, s.sample)
	s.nextCall()
	s.clock.Run(s.cfg.Lasts)
	return play.End()
}

// Check says what of cfg cannot be played.
func Check(cfg Config) (*gatewayconfig.Settings, error) {
	s, err := newSim(cfg)
	if err != nil {
		return nil, err
	}
	return s.set, nil
}

func newSim(cfg Config) (*Sim, error) {
	cfg.Net, cfg.ListLag = cmp.Or(cfg.Net, 200*time.Microsecond), cmp.Or(cfg.ListLag, time.Second)
	set, err := gatewayconfig.Parse("settings", "name fe\ndirectory file none\n"+cfg.Settings)
	if err != nil {
		return nil, err
	}
	set.FrontEnds = cfg.FrontEnds
	s := &Sim{cfg: cfg, set: set, clock: &model.VirtualClock{}, rng: rand.New(rand.NewPCG(cfg.Seed, 0x73696d)), trace: xxhash.New(),
		catalog: gateway.NewCatalog(set), part: 1, seen: map[string]int{},
		byID: map[scheduler.WorkerID]int{}, functions: map[scheduler.FunctionID]string{}}
	s.book = invariant.NewBookOn(epoch, s.clock.Now)
	s.net = model.NewNetwork(s.clock, model.NetworkConfig{Zones: max(cfg.Zones, scenario.Zones(cfg.Troubles)), Latency: cfg.Net,
		Jitter: cfg.Jitter}, s.rng)
	s.skew, s.shakes = make([]time.Duration, cfg.Workers), make([]time.Duration, cfg.Workers)
	s.store = model.NewStore(s.clock, cfg.Store)
	groups := model.NewKeyCaches(cfg.Cells)
	for i := range cfg.Workers {
		wc, cell := cfg.Worker.ForWorker(i, len(groups))
		w := model.NewWorker(s.clock, wc, fetcher{s}, groups[cell], observer{s.book, s})
		s.workers = append(s.workers, w)
		s.byID[gateway.WorkerID(wc.Name)] = i
		s.entries = append(s.entries, discovery.Worker{Name: wc.Name, Address: wc.Name + ":1", Cell: wc.Cell, Scale: 1,
			Started: epoch.Add(-w.Uptime()), State: scheduler.Ready})
	}
	if s.policy, err = s.decide(); err != nil {
		return nil, err
	}
	for i := range cfg.FrontEnds {
		s.fronts = append(s.fronts, &front{sim: s, number: i, name: fmt.Sprintf("fe-%d", i)})
		s.fronts[i].start()
	}
	s.source = loadgen.ForSettings(cfg.Mix, cfg.Lasts, set, cfg.Seed)
	return s, nil
}

// decide makes the front ends' modules.
func (s *Sim) decide() (func(time.Duration, scheduler.Settings, scheduler.Actions) gateway.Scheduler, error) {
	switch s.cfg.Policy {
	case "", "module", "oracle": // top runs each oracle by its name
		return nil, nil
	}
	if make := baseline.Oracle(s.cfg.Policy, truth{s}); make != nil {
		return make, nil
	}
	if make := baseline.New(s.cfg.Policy); make != nil {
		return make, nil
	}
	return nil, fmt.Errorf("no policy %q; allowed: module, oracle, %s", s.cfg.Policy, strings.Join(baseline.Names, ", "))
}

// truth is what an oracle sees.
type truth struct{ s *Sim }

// Estimate implements baseline.Truth.
func (t truth) Estimate(id scheduler.WorkerID, f scheduler.FunctionID, r scheduler.Request) (load, rest time.Duration, may bool) {
	w := t.s.workers[t.s.byID[id]]
	return w.Estimate(t.s.functions[f], r.ReplicaMemoryMB, r.ReplicaConcurrency, r.LoadTimeEstimate, t.s.cfg.Mix.Work, t.s.store)
}

// note adds to the trace what happened now.
func (s *Sim) note(what string, numbers ...uint64) {
	var b []byte
	b = binary.LittleEndian.AppendUint64(b, uint64(s.clock.Now()))
	b = append(b, what...)
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	_, _ = s.trace.Write(b) // a hash never fails
}

// delay is how long one message takes that is not between a front end and a worker.
func (s *Sim) delay() time.Duration { return s.net.Delay() }

func (s *Sim) result() Result {
	terms := invariant.TermsOf(s.set, 2*s.cfg.Net)
	r := Result{Score: s.book.Score(terms.Classes), Store: s.store.StoreTotals, Seen: s.seen, Series: s.series, Told: s.told}
	r.Breaks, r.Tally = s.book.Judge(terms)
	for _, f := range s.fronts {
		if f.alive {
			f.counts.Add(f.gate.Counts())
		}
		r.Counts.Add(f.counts)
	}
	r.Trace = s.trace.Sum64()
	return r
}

// fetcher is the way from the workers to the store.
type fetcher struct{ s *Sim }

// Fetch implements model.Fetcher.
func (f fetcher) Fetch(_ string, work time.Duration, done func(ok bool)) { f.s.store.Fetch(work, done) }

// observer puts what workers see into the book and the trace, and tells links of a fall.
type observer struct {
	*invariant.Book
	s *Sim
}

func (o observer) RequestReceived(w *model.Worker, c *model.Request) {
	o.s.note("received"+w.Config.Name+c.ID, uint64(c.Attempt))
	o.Book.RequestReceived(w, c)
}

func (o observer) ResponseSent(w *model.Worker, c *model.Request, out model.Outcome) {
	o.s.note("answered"+w.Config.Name+c.ID, uint64(out))
	o.Book.ResponseSent(w, c, out)
}

func (o observer) LoadOrderReceived(w *model.Worker, frontEnd, function string, copies int) {
	o.s.note("ordered"+w.Config.Name+frontEnd+function, uint64(copies))
	o.Book.LoadOrderReceived(w, frontEnd, function, copies)
}

func (o observer) WorkerCrashed(w *model.Worker) {
	o.Book.WorkerCrashed(w)
	o.s.clock.After(0, func() { o.s.broke(w) })
}

// broke tells all links that a worker's process has ended.
func (s *Sim) broke(w *model.Worker) {
	for _, f := range s.fronts {
		for _, l := range f.links {
			if l.worker == w {
				l.brokeAt()
			}
		}
	}
}

// nextCall draws the next client's call and sends it at its time.
func (s *Sim) nextCall() {
	at, c, more := s.source.Next()
	if !more {
		return
	}
	n := s.rng.IntN(len(s.fronts))
	s.clock.After(at-s.clock.Now(), func() {
		s.nextCall()
		s.try(c, c.ID, n, 0)
	})
}

// client is one try of a client's call.
type client struct {
	s     *Sim
	call  loadgen.Call
	id    string // of the first try, without the try's number
	try   int
	front *front
	ask   *invariant.Ask
	gate  *gateway.Request
	over  bool
}

// try sends one try of a call to front end n.
func (s *Sim) try(c loadgen.Call, id string, n, try int) {
	t := &client{s: s, call: c, id: id, try: try, front: s.fronts[n%len(s.fronts)]}
	t.call.ID = fmt.Sprintf("%s.%d", id, try)
	if !t.front.alive {
		t.end("unreachable", 0)
		return
	}
	t.ask = s.book.Ask(invariant.Ask{ID: t.call.ID, Class: c.Class, Tenant: c.Tenant, Key: c.Key, FrontEnd: t.front.name,
		Patience: c.Patience})
	since, life := s.clock.Now(), t.front.life
	s.clock.After(s.delay(), func() { t.arrive(since, life) })
	if c.LeaveAfter > 0 {
		s.clock.After(c.LeaveAfter, t.leave)
	}
}

// arrive hands the call to its front end, as the client edge does.
func (t *client) arrive(since time.Duration, life int) {
	if t.over {
		return
	}
	if !t.front.alive || t.front.life != life {
		t.lost()
		return
	}
	c := gateway.NewRequestTo(t.answered)
	c.ID, c.IdempotencyKey, c.StartedAt = t.call.ID, t.call.Key, since
	c.Body = worker.Body(t.call.Work, t.call.Reply)
	err := t.s.catalog.Resolve(&httpserver.Request{Function: t.call.Function, Class: t.call.Class, Tenant: t.call.Tenant,
		Timeout: t.call.Patience, MemoryMB: t.call.MemoryMB, Concurrency: t.call.Lanes, LoadTime: t.call.Load}, c)
	if err != nil {
		panic(err) // the mix is made from the settings
	}
	t.gate = c
	t.s.functions[gateway.FunctionID(c.Replica.Function)] = c.Replica.Function
	t.front.asks = append(t.front.asks, t)
	t.front.arrive(c)
}

// answered takes the final answer within the front end's turn; the client sees it later.
func (t *client) answered(f gateway.FinalResponse) {
	t.s.note("final"+t.call.ID, uint64(f.Kind))
	t.s.clock.After(t.s.delay(), func() {
		if t.over {
			return
		}
		t.s.book.Reply(t.ask, f.Kind.String(), true)
		t.end(f.Kind.String(), f.RetryAfter)
	})
}

// leave is a client that closes early.
func (t *client) leave() {
	if t.over {
		return
	}
	t.over = true
	t.s.book.End(t.ask, true)
	t.s.seen["left"]++
	life := t.front.life
	t.s.clock.After(t.s.delay(), func() {
		if t.front.alive && t.front.life == life && t.gate != nil {
			t.front.do(func(now time.Duration) { t.front.gate.ClientDisconnected(now, t.gate) })
		}
	})
}

// lost is a client whose front end was killed.
func (t *client) lost() {
	if !t.over {
		t.s.book.End(t.ask, false)
		t.end("", 0)
	}
}

// end ends a try, and begins another one if that is the client's habit.
func (t *client) end(outcome string, advice time.Duration) {
	t.over = true
	wait, again := t.call.Again(t.try, outcome, advice)
	if !again || t.call.LeaveAfter > 0 {
		t.s.seen[outcome]++
		return
	}
	t.s.clock.After(wait, func() { t.s.try(t.call, t.id, t.front.number+1, t.try+1) })
}
