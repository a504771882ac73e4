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
	Workers        int
	Cells          int
	FrontEnds      int
	Worker         model.WorkerConfig // of each; its name and cell are made
	Store          model.StoreConfig
	Settings       string        // as fleet.Config has it
	NetworkLatency time.Duration // one way between front end and worker, and between client and front end; 0: 200 µs
	Jitter         float64       // share of Net that is drawn anew for each message
	Handshake      time.Duration // of a worker's connection, beside the round trips
	Zones          int           // in which machines stand, dealt out one by one; as many as Troubles name at the least
	DiscoveryLag   time.Duration // mean time from a change to a front end's knowing it; 0: 1 s
	Mix            loadgen.Mix
	Duration       time.Duration
	Faults         []scenario.Fault
	Seed           uint64
	LogLevel       zerolog.Level // of the front ends' lines in Result.Told; the zero value is debug
	Policy         string        // "" or "module", "oracle", or one of baseline.Names
}

// Result is how a run went.
type Result struct {
	Tally      invariant.Tally
	Violations []invariant.Violation
	Score      invariant.Score
	Counts     gateway.Counts
	Store      model.StoreTotals
	Trace      uint64 // a hash of every action, answer and time: equal for equal runs
	Outcomes   map[string]int
	Samples    []Sample
	Log        []string // troubles and the front ends' logs, as they came; the first few hundred
}

// Sample is the installation at one second.
type Sample struct {
	InFlight, Replicas, Queued int    // now
	Served, Rejected, Failed   uint64 // so far
	Attempts, LoadOrders       uint64
	Fetches                    int
}

// toldMost bounds Result.Told.
const maxLogLines = 300

// sample notes the installation each second.
func (s *Simulation) takeSample() {
	var x Sample
	for _, f := range s.fronts {
		c := f.counts
		if f.alive {
			x.InFlight += f.gateway.InFlight()
			c.Add(f.gateway.Counts())
		}
		x.Served, x.Rejected, x.Failed = x.Served+c.Served, x.Rejected+c.Rejected+c.Shed, x.Failed+c.Failed
		x.Attempts, x.LoadOrders = x.Attempts+c.Attempts, x.LoadOrders+c.LoadOrders
	}
	for _, w := range s.workers {
		x.Replicas += w.ReplicaCount()
		x.Queued += w.QueueLength()
	}
	x.Fetches = s.store.Fetches
	s.samples = append(s.samples, x)
	s.clock.After(time.Second, s.takeSample)
}

// say keeps a line of what happened.
func (s *Simulation) log(text string) {
	if len(s.logLines) < maxLogLines {
		s.logLines = append(s.logLines, fmt.Sprintf("%7.2fs %s", s.clock.Now().Seconds(), text))
	}
}

// Write takes the front ends' log lines.
func (s *Simulation) Write(line []byte) (int, error) {
	s.log(strings.TrimSpace(string(line)))
	return len(line), nil
}

// Sim is a run under way.
type Simulation struct {
	cfg               Config
	settings          *gatewayconfig.Settings
	clock             *model.VirtualClock
	rng               *rand.Rand
	trace             *xxhash.Digest
	history           *invariant.History
	store             *model.Store
	workers           []*model.Worker
	fronts            []*frontEnd
	catalog           *gateway.Catalog
	source            *loadgen.Source
	endpoints         []discovery.Worker
	endpointVersion   int // of entries
	listedShare       float64
	discoveryDown     bool
	extraDiscoveryLag time.Duration
	clockSkew         []time.Duration // of the workers' wall clocks
	handshakeDelay    []time.Duration // that connections to the workers take longer to set up
	network           *model.Network
	outcomes          map[string]int
	samples           []Sample
	logLines          []string
	newScheduler      func(time.Duration, scheduler.Settings, scheduler.Actions) gateway.Scheduler

	workerIndex   map[scheduler.WorkerID]int      // in workers
	functionNames map[scheduler.FunctionID]string // for the oracle
}

var epoch = time.Unix(0, 0)

// Run plays cfg to its end.
func Run(cfg Config) (Result, error) {
	if cfg.Policy == "oracle" {
		return runBestOracle(cfg)
	}
	return run(cfg)
}

// top is the best run of the oracles that keeps the rules, or the last one.
func runBestOracle(cfg Config) (best Result, err error) {
	for _, name := range baseline.Oracles() {
		cfg.Policy = name
		r, err := run(cfg)
		if err != nil {
			return r, err
		}
		if len(best.Violations) > 0 || best.Tally.Sent == 0 || len(r.Violations) == 0 && r.Score.Service() > best.Score.Service() {
			best = r
		}
	}
	return best, nil
}

func run(cfg Config) (Result, error) {
	s, err := newSimulation(cfg)
	if err != nil {
		return Result{}, err
	}
	if err := s.runScenario(); err != nil {
		return Result{}, err
	}
	longest := time.Duration(0)
	for _, c := range s.settings.Classes {
		longest = max(longest, c.GiveUp)
	}
	s.clock.Run(cfg.Duration + longest*time.Duration(1+cfg.Mix.Retries) + time.Second) // what is under way ends
	return s.result(), nil
}

// play plays clients and troubles for the time that the day lasts.
func (s *Simulation) runScenario() error {
	play := scenario.Start(s.clock, s, s.cfg.Faults, s.cfg.Seed, s.log)
	s.clock.After(time.Second, s.takeSample)
	s.scheduleNextRequest()
	s.clock.Run(s.cfg.Duration)
	return play.End()
}

// Check says what of cfg cannot be played.
func Check(cfg Config) (*gatewayconfig.Settings, error) {
	s, err := newSimulation(cfg)
	if err != nil {
		return nil, err
	}
	return s.settings, nil
}

func newSimulation(cfg Config) (*Simulation, error) {
	cfg.NetworkLatency, cfg.DiscoveryLag = cmp.Or(cfg.NetworkLatency, 200*time.Microsecond), cmp.Or(cfg.DiscoveryLag, time.Second)
	set, err := gatewayconfig.Parse("settings", "name fe\ndirectory file none\n"+cfg.Settings)
	if err != nil {
		return nil, err
	}
	set.FrontEnds = cfg.FrontEnds
	s := &Simulation{
		cfg: cfg, settings: set, clock: &model.VirtualClock{}, rng: rand.New(rand.NewPCG(cfg.Seed, 0x73696d)), trace: xxhash.New(),
		catalog: gateway.NewCatalog(set), listedShare: 1, outcomes: map[string]int{},
		workerIndex: map[scheduler.WorkerID]int{}, functionNames: map[scheduler.FunctionID]string{},
	}
	s.history = invariant.NewHistoryAt(epoch, s.clock.Now)
	s.network = model.NewNetwork(s.clock, model.NetworkConfig{
		Zones: max(cfg.Zones, scenario.MaxZone(cfg.Faults)), Latency: cfg.NetworkLatency,
		Jitter: cfg.Jitter,
	}, s.rng)
	s.clockSkew, s.handshakeDelay = make([]time.Duration, cfg.Workers), make([]time.Duration, cfg.Workers)
	s.store = model.NewStore(s.clock, cfg.Store)
	groups := model.NewKeyCaches(cfg.Cells)
	for i := range cfg.Workers {
		wc, cell := cfg.Worker.ForWorker(i, len(groups))
		w := model.NewWorker(s.clock, wc, storeFetcher{s}, groups[cell], tracingObserver{s.history, s})
		s.workers = append(s.workers, w)
		s.workerIndex[gateway.WorkerID(wc.Name)] = i
		s.endpoints = append(s.endpoints, discovery.Worker{
			Name: wc.Name, Address: wc.Name + ":1", Cell: wc.Cell, Scale: 1,
			Started: epoch.Add(-w.Uptime()), State: scheduler.Ready,
		})
	}
	if s.newScheduler, err = s.schedulerFactory(); err != nil {
		return nil, err
	}
	for i := range cfg.FrontEnds {
		s.fronts = append(s.fronts, &frontEnd{sim: s, number: i, name: fmt.Sprintf("fe-%d", i)})
		s.fronts[i].start()
	}
	s.source = loadgen.ForSettings(cfg.Mix, cfg.Duration, set, cfg.Seed)
	return s, nil
}

// decide makes the front ends' modules.
func (s *Simulation) schedulerFactory() (func(time.Duration, scheduler.Settings, scheduler.Actions) gateway.Scheduler, error) {
	switch s.cfg.Policy {
	case "", "module", "oracle": // top runs each oracle by its name
		return nil, nil
	}
	if make := baseline.Oracle(s.cfg.Policy, workerTruth{s}); make != nil {
		return make, nil
	}
	if make := baseline.New(s.cfg.Policy); make != nil {
		return make, nil
	}
	return nil, fmt.Errorf("no policy %q; allowed: module, oracle, %s", s.cfg.Policy, strings.Join(baseline.Names, ", "))
}

// truth is what an oracle sees.
type workerTruth struct{ s *Simulation }

// Estimate implements baseline.Truth.
func (t workerTruth) Estimate(id scheduler.WorkerID, f scheduler.FunctionID, r scheduler.Request) (load, rest time.Duration, may bool) {
	w := t.s.workers[t.s.workerIndex[id]]
	return w.Estimate(&model.Request{
		Function:    t.s.functionNames[f],
		MemoryMB:    r.ReplicaMemoryMB,
		Concurrency: r.ReplicaConcurrency,
		LoadTime:    r.LoadTimeEstimate,
		Work:        t.s.cfg.Mix.Work,
	}, t.s.store)
}

// note adds to the trace what happened now.
func (s *Simulation) recordTrace(what string, numbers ...uint64) {
	var b []byte
	b = binary.LittleEndian.AppendUint64(b, uint64(s.clock.Now()))
	b = append(b, what...)
	for _, n := range numbers {
		b = binary.LittleEndian.AppendUint64(b, n)
	}
	_, _ = s.trace.Write(b) // a hash never fails
}

// delay is how long one message takes that is not between a front end and a worker.
func (s *Simulation) networkDelay() time.Duration { return s.network.Delay() }

func (s *Simulation) result() Result {
	terms := invariant.RulesOf(s.settings, 2*s.cfg.NetworkLatency)
	r := Result{Score: s.history.Score(terms.Classes), Store: s.store.StoreTotals, Outcomes: s.outcomes, Samples: s.samples, Log: s.logLines}
	r.Violations, r.Tally = s.history.Check(terms)
	for _, f := range s.fronts {
		if f.alive {
			f.counts.Add(f.gateway.Counts())
		}
		r.Counts.Add(f.counts)
	}
	r.Trace = s.trace.Sum64()
	return r
}

// fetcher is the way from the workers to the store.
type storeFetcher struct{ s *Simulation }

// Fetch implements model.Fetcher.
func (f storeFetcher) Fetch(_ string, work time.Duration, done func(ok bool)) {
	f.s.store.Fetch(work, done)
}

// observer puts what workers see into the book and the trace, and tells links of a fall.
type tracingObserver struct {
	*invariant.History
	s *Simulation
}

func (o tracingObserver) RequestReceived(w *model.Worker, c *model.Request) {
	o.s.recordTrace("received"+w.Config.Name+c.ID, uint64(c.Attempt))
	o.History.RequestReceived(w, c)
}

func (o tracingObserver) ResponseSent(w *model.Worker, c *model.Request, out model.Outcome) {
	o.s.recordTrace("answered"+w.Config.Name+c.ID, uint64(out))
	o.History.ResponseSent(w, c, out)
}

func (o tracingObserver) LoadOrderReceived(w *model.Worker, frontEnd, function string, copies int) {
	o.s.recordTrace("ordered"+w.Config.Name+frontEnd+function, uint64(copies))
	o.History.LoadOrderReceived(w, frontEnd, function, copies)
}

func (o tracingObserver) WorkerCrashed(w *model.Worker) {
	o.History.WorkerCrashed(w)
	o.s.clock.After(0, func() { o.s.workerConnectionsBroke(w) })
}

// broke tells all links that a worker's process has ended.
func (s *Simulation) workerConnectionsBroke(w *model.Worker) {
	for _, f := range s.fronts {
		for _, l := range f.workers {
			if l.worker == w {
				l.breakAtWorker()
			}
		}
	}
}

// nextCall draws the next client's call and sends it at its time.
func (s *Simulation) scheduleNextRequest() {
	at, c, more := s.source.Next()
	if !more {
		return
	}
	n := s.rng.IntN(len(s.fronts))
	s.clock.After(at-s.clock.Now(), func() {
		s.scheduleNextRequest()
		s.sendRequest(c, c.ID, n, 0)
	})
}

// client is one try of a client's call.
type clientAttempt struct {
	s        *Simulation
	request  loadgen.Call
	firstID  string // of the first try, without the try's number
	number   int
	front    *frontEnd
	recorded *invariant.Request
	admitted *gateway.Request
	ended    bool
}

// try sends one try of a call to front end n.
func (s *Simulation) sendRequest(c loadgen.Call, id string, n, try int) {
	t := &clientAttempt{s: s, request: c, firstID: id, number: try, front: s.fronts[n%len(s.fronts)]}
	t.request.ID = fmt.Sprintf("%s.%d", id, try)
	if !t.front.alive {
		t.end("unreachable", 0)
		return
	}
	t.recorded = s.history.RequestSent(invariant.Request{
		ID: t.request.ID, Class: c.Class, Tenant: c.Tenant, IdempotencyKey: c.IdempotencyKey, FrontEnd: t.front.name,
		Timeout: c.Timeout,
	})
	since, life := s.clock.Now(), t.front.incarnation
	s.clock.After(s.networkDelay(), func() { t.reachFrontEnd(since, life) })
	if c.DisconnectAfter > 0 {
		s.clock.After(c.DisconnectAfter, t.disconnect)
	}
}

// arrive hands the call to its front end, as the client edge does.
func (t *clientAttempt) reachFrontEnd(since time.Duration, life int) {
	if t.ended {
		return
	}
	if !t.front.alive || t.front.incarnation != life {
		t.connectionLost()
		return
	}
	c := gateway.NewRequestTo(t.responded)
	c.ID, c.IdempotencyKey, c.StartedAt = t.request.ID, t.request.IdempotencyKey, since
	c.Body = worker.Body(t.request.Work, t.request.ResponseBytes)
	err := t.s.catalog.Resolve(&httpserver.Request{
		Function: t.request.Function, Class: t.request.Class, Tenant: t.request.Tenant,
		Timeout: t.request.Timeout, MemoryMB: t.request.MemoryMB, Concurrency: t.request.Concurrency, LoadTime: t.request.LoadTime,
	}, c)
	if err != nil {
		panic(err) // the mix is made from the settings
	}
	t.admitted = c
	t.s.functionNames[gateway.FunctionID(c.Replica.Function)] = c.Replica.Function
	t.front.requests = append(t.front.requests, t)
	t.front.requestReceived(c)
}

// answered takes the final answer within the front end's turn; the client sees it later.
func (t *clientAttempt) responded(f gateway.FinalResponse) {
	t.s.recordTrace("final"+t.request.ID, uint64(f.Kind))
	t.s.clock.After(t.s.networkDelay(), func() {
		if t.ended {
			return
		}
		t.s.history.ResponseReceived(t.recorded, f.Kind.String(), true)
		t.end(f.Kind.String(), f.RetryAfter)
	})
}

// leave is a client that closes early.
func (t *clientAttempt) disconnect() {
	if t.ended {
		return
	}
	t.ended = true
	t.s.history.RequestEnded(t.recorded, true)
	t.s.outcomes["left"]++
	life := t.front.incarnation
	t.s.clock.After(t.s.networkDelay(), func() {
		if t.front.alive && t.front.incarnation == life && t.admitted != nil {
			t.front.do(func(now time.Duration) { t.front.gateway.ClientDisconnected(now, t.admitted) })
		}
	})
}

// lost is a client whose front end was killed.
func (t *clientAttempt) connectionLost() {
	if !t.ended {
		t.s.history.RequestEnded(t.recorded, false)
		t.end("", 0)
	}
}

// end ends a try, and begins another one if that is the client's habit.
func (t *clientAttempt) end(outcome string, advice time.Duration) {
	t.ended = true
	wait, again := t.request.Retry(t.number, outcome, advice)
	if !again || t.request.DisconnectAfter > 0 {
		t.s.outcomes[outcome]++
		return
	}
	t.s.clock.After(wait, func() { t.s.sendRequest(t.request, t.firstID, t.front.number+1, t.number+1) })
}
