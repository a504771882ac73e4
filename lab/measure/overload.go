package measure

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"havencart/lab/fleet"
	"havencart/lab/invariant"
	"havencart/lab/loadgen"
	"havencart/lab/model"
)

// Point is what a whole installation behind sockets did at a multiple of its workers' capacity.
type Point struct {
	Factor     float64
	Offered    float64 // requests a second
	Goodput    float64 // goodput: priority weight of responses in time, a second
	Tally      invariant.Tally
	Violations []invariant.Violation
}

// OverloadConfig describes an overload measurement.
type OverloadConfig struct {
	Factors            []float64
	Workers, FrontEnds int
	Work               time.Duration // of a request, mean
	Duration           time.Duration // at each factor; the first quarter, in which replicas load, does not count
	Seed               uint64
}

const (
	overloadCores = 2 // of each worker
	overloadCells = 2
)

// Overload measures each factor on an installation of its own: emulated workers of two cores, clients that do not
// retry, three classes. The front ends are real, behind sockets. report is called with each measurement.
func Overload(ctx context.Context, cfg OverloadConfig, report func(Point)) error {
	capacity := overloadCores * float64(cfg.Workers) / cfg.Work.Seconds()
	for _, factor := range cfg.Factors {
		p, err := cfg.point(ctx, factor, factor*capacity)
		if err != nil {
			return err
		}
		report(p)
	}
	return nil
}

// point measures one factor. rate is in requests a second.
func (cfg OverloadConfig) point(ctx context.Context, factor, rate float64) (Point, error) {
	w := fleet.DemoWorker()
	w.Cores = overloadCores
	installation, err := fleet.Start(fleet.Config{
		Workers:   cfg.Workers,
		Cells:     overloadCells,
		FrontEnds: cfg.FrontEnds,
		Worker:    w,
		Store:     model.StoreConfig{Concurrency: 8, Limit: 40},
		Settings:  fleet.DemoSettings,
		Tolerance: time.Second,
		Log:       zerolog.Nop(),
	})
	if err != nil {
		return Point{}, err
	}
	defer installation.Close()
	installation.RunClients(ctx, cfg.mix(rate), cfg.Duration, cfg.Seed)
	for _, e := range installation.FrontEnds {
		if err := e.Stop(); err != nil {
			return Point{}, err
		}
	}
	p := Point{Factor: factor, Offered: rate}
	p.Violations, p.Tally = installation.Check()
	seconds := installation.Score().Seconds
	from := len(seconds) / 4
	for _, s := range seconds[from:] {
		p.Goodput += s.Earned / float64(len(seconds)-from)
	}
	return p, ctx.Err()
}

// mix is what the clients ask for.
func (cfg OverloadConfig) mix(rate float64) loadgen.Mix {
	return loadgen.Mix{
		Rate:          rate,
		Functions:     4,
		Work:          cfg.Work,
		WorkSigma:     0.5,
		LoadTime:      300 * time.Millisecond,
		MemoryMB:      300,
		ResponseBytes: 500,
		Timeout:       2 * time.Second,
		RetryPolicy:   loadgen.RetryNever,
	}
}
