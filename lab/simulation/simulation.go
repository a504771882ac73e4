// Package simulation simulates a whole installation in virtual time. Each front end runs the real gateway.FrontEnd with
// the real scheduler. An in-memory transport connects the front ends to the models of the workers and the store, which
// are the models that lab/worker and lab/functionstore run behind sockets. Clients are simulated with lab/loadgen, and
// lab/scenario injects the faults. A simulation is single-threaded: runs with the same seed have the same events.
package simulation

import (
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/config/gatewayconfig"
	"havencart/internal/gateway"
	"havencart/lab/baseline"
	"havencart/lab/invariant"
	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/lab/scenario"
)

// Config configures an installation in virtual time and its run.
type Config struct {
	Workers        int
	Cells          int
	FrontEnds      int
	Worker         model.WorkerConfig // configuration of each worker; its name and cell are generated
	Store          model.StoreConfig
	Settings       string        // settings of the front ends, in the format of fleet.Config.Settings
	NetworkLatency time.Duration // mean one-way latency between any two machines; 0: 200 µs
	Jitter         float64       // largest random deviation of a message from NetworkLatency, as a fraction of it
	Handshake      time.Duration // time to connect to a worker, in addition to the round trips
	Zones          int           // number of zones, raised to the largest zone in Faults; see model.Network.Zone
	DiscoveryLag   time.Duration // mean time until a front end is notified of a change in discovery; 0: 1 s
	Mix            loadgen.Mix
	Duration       time.Duration // time during which clients send new requests
	Faults         []scenario.Fault
	Seed           uint64
	LogLevel       zerolog.Level // lowest level of the front ends' lines in Result.Log; the zero value is debug
	Policy         string        // "" or "module" for the scheduler, "oracle", or one of baseline.Names
}

// Result is the outcome of a run.
type Result struct {
	Tally      invariant.Tally
	Violations []invariant.Violation
	Score      invariant.Score
	Counts     gateway.Counts // sums over all front ends
	Store      model.StoreTotals
	Trace      uint64         // hash of every message and response and of its time; equal runs have equal hashes
	Outcomes   map[string]int // number of requests by outcome; a request and its retries count once
	Samples    []Sample       // one sample per second
	Log        []string       // first lines of the logs of the faults and of the front ends
}

// Sample is the state of the installation at one point in time.
type Sample struct {
	// Current values.
	InFlight, Replicas, Queued int
	// Counts since the start of the run.
	Served, Rejected, Failed uint64
	Attempts, LoadOrders     uint64
	Fetches                  int
}

// Run simulates the installation that cfg describes until all requests have ended.
func Run(cfg Config) (Result, error) {
	if cfg.Policy == PolicyOracle {
		return runBestOracle(cfg)
	}
	return run(cfg)
}

// runBestOracle runs all oracles and returns the result with the best service level among those without violations. If
// all results have violations, it returns the result of the last oracle.
func runBestOracle(cfg Config) (best Result, err error) {
	for _, name := range baseline.Oracles() {
		cfg.Policy = name
		r, err := run(cfg)
		if err != nil {
			return r, err
		}
		if improves(&best, &r) {
			best = r
		}
	}
	return best, nil
}

// improves reports whether the result r of an oracle replaces the best result so far, which may be the zero Result.
func improves(best, r *Result) bool {
	if len(best.Violations) > 0 || best.Tally.Sent == 0 {
		return true
	}
	return len(r.Violations) == 0 && r.Score.Service() > best.Score.Service()
}

func run(cfg Config) (Result, error) {
	s, err := newSimulation(cfg)
	if err != nil {
		return Result{}, err
	}
	if err := s.runScenario(); err != nil {
		return Result{}, err
	}
	s.clock.Run(cfg.Duration + s.maxRequestDuration() + time.Second)
	return s.result(), nil
}

// runScenario runs the clients' load and the faults for the configured duration.
func (s *Simulation) runScenario() error {
	player := scenario.Start(s.clock, s, s.cfg.Faults, s.cfg.Seed, s.log)
	s.clock.After(time.Second, s.recordSample)
	s.scheduleNextRequest()
	s.clock.Run(s.cfg.Duration)
	return player.End()
}

// maxRequestDuration returns the maximum time that a request can take, including all its retries.
func (s *Simulation) maxRequestDuration() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.settings.Classes {
		longest = max(longest, c.Timeout)
	}
	return longest * time.Duration(1+s.cfg.Mix.Retries)
}

// Check returns the front ends' settings, or an error if cfg is invalid.
func Check(cfg Config) (*gatewayconfig.Settings, error) {
	s, err := newSimulation(cfg)
	if err != nil {
		return nil, err
	}
	return s.settings, nil
}
