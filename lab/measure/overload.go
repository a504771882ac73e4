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

// OverloadSample is the measurement of an installation at one offered load.
type OverloadSample struct {
	LoadFactor float64 // offered load as a multiple of the workers' capacity
	Offered    float64 // offered load in requests per second
	Goodput    float64 // priority weight per second that responses earned, late ones less than those in time
	Tally      invariant.Tally
	Violations []invariant.Violation
}

// OverloadConfig describes an overload measurement.
type OverloadConfig struct {
	LoadFactors        []float64
	Workers, FrontEnds int
	Work               time.Duration // mean work of a request
	// Duration is the length of each measurement. Goodput leaves out the first quarter, in which replicas load.
	Duration time.Duration
	Seed     uint64
}

const (
	overloadCores = 2 // cores of each worker
	overloadCells = 2
)

// Overload measures an installation at each factor of the workers' capacity and calls report with each measurement.
// Every measurement has an installation of its own: emulated workers of two cores, real front ends behind sockets,
// clients that do not retry, and three classes.
func Overload(ctx context.Context, cfg OverloadConfig, report func(OverloadSample)) error {
	capacity := overloadCores * float64(cfg.Workers) / cfg.Work.Seconds()
	for _, factor := range cfg.LoadFactors {
		sample, err := cfg.measureAt(ctx, factor, factor*capacity)
		if err != nil {
			return err
		}
		report(sample)
	}
	return nil
}

// measureAt measures an installation at an offered load of rate requests per second, which is factor times the capacity
// of its workers.
func (cfg OverloadConfig) measureAt(ctx context.Context, factor, rate float64) (OverloadSample, error) {
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
		return OverloadSample{}, err
	}
	defer installation.Close()
	installation.RunClients(ctx, cfg.mix(rate), cfg.Duration, cfg.Seed)
	for _, e := range installation.FrontEnds {
		if err := e.Stop(); err != nil {
			return OverloadSample{}, err
		}
	}
	sample := OverloadSample{LoadFactor: factor, Offered: rate}
	sample.Violations, sample.Tally = installation.Check()
	seconds := installation.Score().Seconds
	from := len(seconds) / 4
	for _, s := range seconds[from:] {
		sample.Goodput += s.Earned / float64(len(seconds)-from)
	}
	return sample, ctx.Err()
}

// mix returns the requests of the clients at a rate in requests per second.
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
