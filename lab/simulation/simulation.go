// Package simulation runs a whole installation in virtual time: the real gateway.FrontEnd of each front end with the
// real scheduler, over an in-memory transport, against the models of workers and store that run behind sockets in
// lab/worker and lab/functionstore, with the clients of lab/loadgen and the faults of lab/scenario. It is one
// goroutine; the same seed gives the same run, event for event.
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

// Config describes an installation in virtual time.
type Config struct {
	Workers        int
	Cells          int
	FrontEnds      int
	Worker         model.WorkerConfig // of each; its name and cell are generated
	Store          model.StoreConfig
	Settings       string        // as fleet.Config has them
	NetworkLatency time.Duration // one way, between any two machines; 0: 200 µs
	Jitter         float64       // share of the latency that is drawn anew for each message
	Handshake      time.Duration // of a worker's connection, beside the round trips
	Zones          int           // that machines are assigned to, round robin; at least as many as Faults name
	DiscoveryLag   time.Duration // mean time from a change until a front end learns of it; 0: 1 s
	Mix            loadgen.Mix
	Duration       time.Duration // of the clients' load
	Faults         []scenario.Fault
	Seed           uint64
	LogLevel       zerolog.Level // of the front ends' lines in Result.Log; the zero value is debug
	Policy         string        // "" or "module", "oracle", or one of baseline.Names
}

// Result is the outcome of a run.
type Result struct {
	Tally      invariant.Tally
	Violations []invariant.Violation
	Score      invariant.Score
	Counts     gateway.Counts // of all front ends
	Store      model.StoreTotals
	Trace      uint64         // a hash of every message, response and time: equal for equal runs
	Outcomes   map[string]int // of the clients' requests, their retries counted as one
	Samples    []Sample       // one a second
	Log        []string       // the first lines of the faults and of the front ends' logs
}

// Sample is the state of the installation at one second.
type Sample struct {
	// Now.
	InFlight, Replicas, Queued int
	// Since the start.
	Served, Rejected, Failed uint64
	Attempts, LoadOrders     uint64
	Fetches                  int
}

// Run simulates cfg until every request has ended.
func Run(cfg Config) (Result, error) {
	if cfg.Policy == PolicyOracle {
		return runBestOracle(cfg)
	}
	return run(cfg)
}

// runBestOracle returns the run of the oracle with the best service among those without violations, or that of the
// last oracle where all have some.
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

// improves reports whether a run of an oracle takes the place of the best one so far, or of none.
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
	s.clock.Run(cfg.Duration + s.longestRequest() + time.Second)
	return s.result(), nil
}

// runScenario runs the clients' load and the faults for their duration.
func (s *Simulation) runScenario() error {
	player := scenario.Start(s.clock, s, s.cfg.Faults, s.cfg.Seed, s.log)
	s.clock.After(time.Second, s.recordSample)
	s.scheduleNextRequest()
	s.clock.Run(s.cfg.Duration)
	return player.End()
}

// longestRequest is how long a request can take with all its retries.
func (s *Simulation) longestRequest() time.Duration {
	longest := time.Duration(0)
	for _, c := range s.settings.Classes {
		longest = max(longest, c.Timeout)
	}
	return longest * time.Duration(1+s.cfg.Mix.Retries)
}

// Check reports why cfg cannot be run, or returns the front ends' settings.
func Check(cfg Config) (*gatewayconfig.Settings, error) {
	s, err := newSimulation(cfg)
	if err != nil {
		return nil, err
	}
	return s.settings, nil
}
