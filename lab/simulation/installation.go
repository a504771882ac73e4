package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/discovery"
	"havencart/internal/gateway"
	"havencart/lab/baseline"
	"havencart/lab/invariant"
	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/lab/scenario"
	"havencart/scheduler"
)

const (
	defaultNetworkLatency = 200 * time.Microsecond
	defaultDiscoveryLag   = time.Second
	randomStream          = 0x73696d // distinguishes the simulation's random generator from others with the same seed
)

// epoch is the wall-clock time that corresponds to time 0 of the virtual clock.
var epoch = time.Unix(0, 0)

// Simulation is a simulated installation during a run. It implements scenario.Installation.
type Simulation struct {
	cfg       Config
	settings  *gatewayconfig.Settings
	clock     *model.VirtualClock
	rng       *rand.Rand
	network   *model.Network
	store     *model.Store
	workers   []*model.Worker
	frontEnds []*frontEnd
	catalog   *gateway.Catalog
	source    *loadgen.Source

	newScheduler  schedulerConstructor
	workerIndex   map[scheduler.WorkerID]int      // index of each worker in workers
	functionNames map[scheduler.FunctionID]string // names of the functions requested so far, for the oracles

	// Endpoint discovery.
	endpoints         []discovery.Worker
	endpointVersion   int
	listedShare       float64 // share of the workers that the endpoint list contains
	discoveryDown     bool
	extraDiscoveryLag time.Duration

	// Faults of individual workers, by index.
	clockSkew      []time.Duration
	handshakeDelay []time.Duration

	// Records of the run for the Result.
	history  *invariant.History
	trace    *xxhash.Digest
	outcomes map[string]int
	samples  []Sample
	logLines []string
}

// newSimulation creates an installation at time 0 of its virtual clock.
func newSimulation(cfg Config) (*Simulation, error) {
	cfg.NetworkLatency = cmp.Or(cfg.NetworkLatency, defaultNetworkLatency)
	cfg.DiscoveryLag = cmp.Or(cfg.DiscoveryLag, defaultDiscoveryLag)
	settings, err := gatewayconfig.Parse("settings", "name fe\ndirectory file none\n"+cfg.Settings)
	if err != nil {
		return nil, err
	}
	settings.FrontEndCount = cfg.FrontEnds
	sim := &Simulation{
		cfg:            cfg,
		settings:       settings,
		clock:          &model.VirtualClock{},
		rng:            rand.New(rand.NewPCG(cfg.Seed, randomStream)),
		catalog:        gateway.NewCatalog(settings),
		workerIndex:    map[scheduler.WorkerID]int{},
		functionNames:  map[scheduler.FunctionID]string{},
		listedShare:    1,
		clockSkew:      make([]time.Duration, cfg.Workers),
		handshakeDelay: make([]time.Duration, cfg.Workers),
		trace:          xxhash.New(),
		outcomes:       map[string]int{},
	}
	sim.history = invariant.NewHistoryAt(epoch, sim.clock.Now)
	sim.network = model.NewNetwork(sim.clock, model.NetworkConfig{
		Zones:   max(cfg.Zones, scenario.MaxZone(cfg.Faults)),
		Latency: cfg.NetworkLatency,
		Jitter:  cfg.Jitter,
	}, sim.rng)
	sim.store = model.NewStore(sim.clock, cfg.Store)
	sim.addWorkers()
	if sim.newScheduler, err = sim.schedulerConstructor(); err != nil {
		return nil, err
	}
	sim.startFrontEnds()
	sim.source = loadgen.NewSourceForSettings(cfg.Mix, cfg.Duration, settings, cfg.Seed)
	return sim, nil
}

func (s *Simulation) addWorkers() {
	keyCaches := model.NewKeyCaches(s.cfg.Cells)
	for i := range s.cfg.Workers {
		cfg, cell := s.cfg.Worker.ForWorker(i, len(keyCaches))
		w := model.NewWorker(s.clock, cfg, storeFetcher{s}, keyCaches[cell], tracingObserver{s.history, s})
		s.workers = append(s.workers, w)
		s.workerIndex[gateway.WorkerID(cfg.Name)] = i
		s.endpoints = append(s.endpoints, discovery.Worker{
			Name:    cfg.Name,
			Address: cfg.Name + ":1",
			Cell:    cfg.Cell,
			Scale:   1,
			Started: epoch.Add(-w.Uptime()),
			State:   scheduler.Ready,
		})
	}
}

func (s *Simulation) startFrontEnds() {
	for i := range s.cfg.FrontEnds {
		f := &frontEnd{sim: s, number: i, name: fmt.Sprintf("fe-%d", i)}
		s.frontEnds = append(s.frontEnds, f)
		f.start()
	}
}

// storeFetcher gives the workers access to the store.
type storeFetcher struct{ sim *Simulation }

// Fetch implements model.Fetcher.
func (f storeFetcher) Fetch(_ string, work time.Duration, done func(ok bool)) {
	f.sim.store.Fetch(work, done)
}

// Values of Config.Policy, in addition to baseline.Names.
const (
	PolicyDefault   = ""
	PolicyScheduler = "module" // the scheduler
	PolicyOracle    = "oracle" // the best oracle for the scenario
)

// schedulerConstructor creates the scheduler of a front end. A nil constructor selects the real scheduler.
type schedulerConstructor func(time.Duration, scheduler.Settings, scheduler.Actions) gateway.Scheduler

// schedulerConstructor returns the constructor for the configured policy.
func (s *Simulation) schedulerConstructor() (schedulerConstructor, error) {
	switch s.cfg.Policy {
	case PolicyDefault, PolicyScheduler, PolicyOracle: // PolicyOracle occurs only in Check: runBestOracle replaces it
		return nil, nil
	}
	if constructor := baseline.Oracle(s.cfg.Policy, workerEstimator{s}); constructor != nil {
		return constructor, nil
	}
	if constructor := baseline.New(s.cfg.Policy); constructor != nil {
		return constructor, nil
	}
	return nil, fmt.Errorf("no policy %q; allowed: module, oracle, %s", s.cfg.Policy, strings.Join(baseline.Names, ", "))
}

// workerEstimator gives an oracle estimates from the state of the models.
type workerEstimator struct{ sim *Simulation }

// Estimate implements baseline.Estimator.
func (e workerEstimator) Estimate(id scheduler.WorkerID, f scheduler.FunctionID, r scheduler.Request) (load, rest time.Duration, usable bool) {
	w := e.sim.workers[e.sim.workerIndex[id]]
	return w.Estimate(&model.Request{
		Function:    e.sim.functionNames[f],
		MemoryMB:    r.ReplicaMemoryMB,
		Concurrency: r.ReplicaConcurrency,
		LoadTime:    r.LoadTimeEstimate,
		Work:        e.sim.cfg.Mix.Work,
	}, e.sim.store)
}
