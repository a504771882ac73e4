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

// DemoScenario is a short scenario with several kinds of faults.
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

// DemoClasses are the demo's settings without tenants. They define three request classes of a scooter rental service.
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

// DemoWorker returns the configuration of each worker of the demo.
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

// DemoStore returns the configuration of the demo's function store.
func DemoStore() model.StoreConfig {
	return model.StoreConfig{
		Concurrency:    8,
		Limit:          40,
		OutageMultiple: 3,
		OutageAfter:    3 * time.Second,
		OutageDuration: 2 * time.Second,
	}
}

// DemoMix returns the mix of requests of the demo's clients, at a mean rate in requests per second.
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

// Demo configures a run of a whole installation with client load and a fault scenario.
type Demo struct {
	Workers, FrontEnds int
	Mix                loadgen.Mix
	Duration           time.Duration
	Scenario           string   // text of the scenario
	Settings           []string // lines that precede DemoSettings in the front ends' settings
	Seed               uint64
	Log                zerolog.Logger
	ReportProgress     func(string) // receives progress lines: faults, and the totals each second; not nil
}

// Result is the outcome of a Demo.
type Result struct {
	Outcomes   map[string]int // number of client requests by outcome; a request and its retries count as one
	Tally      invariant.Tally
	Violations []invariant.Violation
	Score      invariant.Score
}

// Run runs the demo for its duration, or until ctx ends, and checks the invariants.
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
	d.ReportProgress("front ends, emulated workers, function store and discovery are running on loopback")
	outcomes, err := d.runLoad(ctx, fleet, faults)
	if err != nil {
		return Result{}, err
	}
	for _, fe := range fleet.FrontEnds {
		if err := fe.Stop(); err != nil {
			return Result{}, err
		}
	}
	violations, tally := fleet.Check()
	return Result{outcomes, tally, violations, fleet.Score()}, nil
}

// runLoad runs the clients. The scenario and the progress reports run in the background until the clients have ended.
func (d Demo) runLoad(ctx context.Context, f *Fleet, faults []scenario.Fault) (outcomes map[string]int, err error) {
	background, cancel := context.WithCancel(ctx)
	defer cancel()
	scenarioEnded := make(chan error, 1)
	go func() { scenarioEnded <- f.RunScenario(background, faults, d.Seed, d.ReportProgress) }()
	progressEnded := make(chan struct{})
	go func() {
		defer close(progressEnded)
		f.reportProgress(background, d.ReportProgress)
	}()
	outcomes = f.RunClients(ctx, d.Mix, d.Duration, d.Seed)
	cancel()
	<-progressEnded
	return outcomes, <-scenarioEnded
}

// reportProgress reports the front ends' totals each second until ctx ends.
func (f *Fleet) reportProgress(ctx context.Context, report func(string)) {
	periodic.Run(ctx, time.Second, func() { report(f.formatTotals()) })
}
