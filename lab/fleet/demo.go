package fleet

import (
	"context"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/periodic"
	"havencart/lab/invariant"
	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/lab/scenario"
)

// DemoScenario is a short scenario with several faults.
const DemoScenario = `
at 2s  crash 25% for 2s
at 4s  store-slow factor 3 for 2s
at 5s  hang 10% for 2s
at 7s  deploy 50% over 3s drain 300ms
at 9s  fail 10% rate 0.6 for 1s
`

// DemoSettings are the settings of the demo's front ends.
const DemoSettings = DemoClasses + `tenant palermo
  share 0.8
end
tenant catania
  share 0.2
end
`

// DemoClasses are the demo's settings without tenants: three classes as a scooter service has them.
const DemoClasses = `
keep-alive 10s
max-retry-after 300ms
cold-time 4s
tip-window 1s
class fare-quote      # read-only
  aim 500ms
  give-up 2s
  worth 2
  repeat safe
end
class status-log      # carries a key; the workers of one cell drop a repeat
  aim 1s
  give-up 2s
  worth 2
  repeat keyed
  scope cell
  memory 6s
end
class unlock-charge   # must never run twice
  aim 400ms
  give-up 2s
  worth 6
  repeat unsafe
end
`

// DemoWorker is the configuration of each worker of the demo.
func DemoWorker() model.WorkerConfig {
	return model.WorkerConfig{
		Cores:              4,
		Speed:              1,
		MemoryMB:           4000,
		Queue:              100,
		MaxConcurrentLoads: 4,
		KeepAlive:          10 * time.Second,
		ColdCapacity:       0.2,
		SlowStart:          4 * time.Second,
		OverloadMultiple:   3,
		OverloadWindow:     time.Second,
		KeyRetention:       6 * time.Second,
	}
}

// DemoStore is the configuration of the demo's function store.
func DemoStore() model.StoreConfig {
	return model.StoreConfig{
		Concurrency:    8,
		Limit:          40,
		OutageMultiple: 3,
		OutageAfter:    3 * time.Second,
		OutageDuration: 2 * time.Second,
	}
}

// DemoMix is what the demo's clients ask for, at a mean rate of requests a second.
func DemoMix(rate float64) loadgen.Mix {
	return loadgen.Mix{
		Rate:          rate,
		Functions:     8,
		Work:          40 * time.Millisecond,
		WorkSigma:     0.8,
		LoadTime:      400 * time.Millisecond,
		MemoryMB:      300,
		ResponseBytes: 2000,
		Timeout:       2 * time.Second,
		RetryPolicy:   loadgen.RetryAsAdvised,
		Retries:       1,
	}
}

// Demo is a whole installation with a load and a scenario.
type Demo struct {
	Workers, FrontEnds int
	Mix                loadgen.Mix
	Duration           time.Duration
	Scenario           string   // text of the scenario
	Settings           []string // lines of settings put before DemoSettings
	Seed               uint64
	Log                zerolog.Logger
	Report             func(string) // is called with the progress
}

// Result is the outcome of a Demo.
type Result struct {
	Outcomes   map[string]int // clients' requests by their outcomes, retries counted as one with their request
	Tally      invariant.Tally
	Violations []invariant.Violation
	Score      invariant.Score
}

// Run runs the demo until its time is over or ctx ends.
func (d Demo) Run(ctx context.Context) (Result, error) {
	faults, err := scenario.Parse("script", d.Scenario)
	if err != nil {
		return Result{}, err
	}
	fleet, err := Start(Config{
		Workers:   d.Workers,
		Cells:     3,
		FrontEnds: d.FrontEnds,
		Zones:     scenario.MaxZone(faults),
		Worker:    DemoWorker(),
		Store:     DemoStore(),
		Settings:  strings.Join(append(d.Settings, DemoSettings), "\n"),
		Tolerance: time.Second,
		Log:       d.Log,
	})
	if err != nil {
		return Result{}, err
	}
	defer fleet.Close()
	d.Report("front ends, emulated workers, store and directory run on loopback")
	outcomes, err := d.load(ctx, fleet, faults)
	if err != nil {
		return Result{}, err
	}
	for _, e := range fleet.FrontEnds {
		if err := e.Stop(); err != nil {
			return Result{}, err
		}
	}
	violations, tally := fleet.Check()
	return Result{outcomes, tally, violations, fleet.Score()}, nil
}

// load runs the clients, and beside them the scenario and the report of the progress.
func (d Demo) load(ctx context.Context, f *Fleet, faults []scenario.Fault) (outcomes map[string]int, err error) {
	besides, end := context.WithCancel(ctx)
	defer end()
	scenarioEnded := make(chan error, 1)
	go func() { scenarioEnded <- f.RunScenario(besides, faults, d.Seed, d.Report) }()
	progressEnded := make(chan struct{})
	go func() {
		defer close(progressEnded)
		f.reportProgress(besides, d.Report)
	}()
	outcomes = f.RunClients(ctx, d.Mix, d.Duration, d.Seed)
	end()
	<-progressEnded
	return outcomes, <-scenarioEnded
}

// reportProgress reports the front ends' totals each second.
func (f *Fleet) reportProgress(ctx context.Context, report func(string)) {
	periodic.Run(ctx, time.Second, func() { report(f.progress()) })
}
