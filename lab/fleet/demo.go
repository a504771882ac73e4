package fleet

import (
	"context"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"havencart/lab/invariant"
	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/lab/scenario"
)

// DemoDay is a short bad day.
const DemoDay = `
at 2s  crash 25% for 2s
at 4s  store-slow factor 3 for 2s
at 5s  hang 10% for 2s
at 7s  deploy 50% over 3s drain 300ms
at 9s  fail 10% rate 0.6 for 1s
`

// DemoSettings are those of the demo's front ends.
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

// DemoWorker is one emulated worker of the demo.
func DemoWorker() model.WorkerConfig {
	return model.WorkerConfig{
		Cores: 4, Speed: 1, MemoryMB: 4000, Queue: 100, MaxConcurrentLoads: 4, KeepAlive: 10 * time.Second,
		ColdCapacity: 0.2, SlowStart: 4 * time.Second, OverloadMultiple: 3, OverloadWindow: time.Second, KeyRetention: 6 * time.Second,
	}
}

// DemoStore is the demo's function store.
func DemoStore() model.StoreConfig {
	return model.StoreConfig{Places: 8, Limit: 40, OutageMultiple: 3, OutageAfter: 3 * time.Second, OutageDuration: 2 * time.Second}
}

// Demo is a whole installation with a load and a script of troubles.
type Demo struct {
	Workers, FrontEnds int
	Mix                loadgen.Mix
	Lasts              time.Duration
	Script             string
	Set                []string // lines of settings put before DemoSettings
	Seed               uint64
	Log                zerolog.Logger
	Tell               func(string) // what happens, as it happens
}

// Result is how a Demo went.
type Result struct {
	Seen   map[string]int // clients' calls by how they ended, with their repeats counted as one
	Tally  invariant.Tally
	Breaks []invariant.Violation
	Score  invariant.Score
}

// Run plays the demo until its time or ctx is over.
func (d Demo) Run(ctx context.Context) (Result, error) {
	troubles, err := scenario.Parse("script", d.Script)
	if err != nil {
		return Result{}, err
	}
	f, err := Start(Config{
		Workers: d.Workers, Cells: 3, FrontEnds: d.FrontEnds, Zones: scenario.MaxZone(troubles), Worker: DemoWorker(),
		Store:    DemoStore(),
		Settings: strings.Join(append(d.Set, DemoSettings), "\n"), Tolerance: time.Second, Log: d.Log,
	})
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	d.Tell("front ends, emulated workers, store and directory run on loopback")
	played := make(chan error, 1)
	day, end := context.WithCancel(ctx)
	defer end()
	go func() { played <- f.RunScenario(day, troubles, d.Seed, d.Tell) }()
	watched := make(chan struct{})
	go func() { defer close(watched); f.reportProgress(day, d.Tell) }()
	seen := f.RunClients(ctx, d.Mix, d.Lasts, d.Seed)
	end()
	<-watched
	if err := <-played; err != nil {
		return Result{}, err
	}
	for _, e := range f.FrontEnds {
		if err := e.Stop(); err != nil {
			return Result{}, err
		}
	}
	breaks, tally := f.Check()
	return Result{seen, tally, breaks, f.Score()}, nil
}

// DemoMix is what the demo's clients ask for.
func DemoMix(rate float64) loadgen.Mix {
	return loadgen.Mix{
		Rate: rate, Functions: 8, Work: 40 * time.Millisecond, WorkSigma: 0.8, Load: 400 * time.Millisecond,
		MemoryMB: 300, Reply: 2000, Patience: 2 * time.Second, Habit: loadgen.Advised, Retries: 1,
	}
}

// watch tells the front ends' totals each second.
func (f *Fleet) reportProgress(ctx context.Context, tell func(string)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			tell(f.progress())
		}
	}
}
