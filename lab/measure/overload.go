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

// Point is what a whole installation behind sockets did at a multiple of what its workers can do.
type Point struct {
	Factor  float64
	Offered float64 // calls a second
	Worth   float64 // served in time, a second
	Tally   invariant.Tally
	Breaks  []invariant.Violation
}

// OverloadConfig says what is overloaded.
type OverloadConfig struct {
	Factors            []float64
	Workers, FrontEnds int
	Work               time.Duration // of a call, mean
	Lasts              time.Duration // at each factor; the first quarter, in which copies load, does not count
	Seed               uint64
}

// overloadCores are those of each worker.
const overloadCores = 2

// Overload plays each factor on an installation of its own: emulated workers of two cores, clients that do not
// repeat, three classes. The front ends are real, behind sockets.
func Overload(ctx context.Context, cfg OverloadConfig, tell func(Point)) error {
	capacity := overloadCores * float64(cfg.Workers) / cfg.Work.Seconds()
	for _, factor := range cfg.Factors {
		p, err := cfg.point(ctx, factor, factor*capacity)
		if err != nil {
			return err
		}
		tell(p)
	}
	return nil
}

func (cfg OverloadConfig) point(ctx context.Context, factor, rate float64) (Point, error) {
	w := fleet.DemoWorker()
	w.Cores = overloadCores
	f, err := fleet.Start(fleet.Config{
		Workers: cfg.Workers, Cells: 2, FrontEnds: cfg.FrontEnds, Worker: w,
		Store: model.StoreConfig{Places: 8, Limit: 40}, Settings: fleet.DemoSettings, Tolerance: time.Second, Log: zerolog.Nop(),
	})
	if err != nil {
		return Point{}, err
	}
	defer f.Close()
	f.RunClients(ctx, loadgen.Mix{
		Rate: rate, Functions: 4, Work: cfg.Work, WorkSigma: 0.5, Load: 300 * time.Millisecond, MemoryMB: 300,
		Reply: 500, Patience: 2 * time.Second, Habit: loadgen.Never,
	}, cfg.Lasts, cfg.Seed)
	for _, e := range f.FrontEnds {
		if err := e.Stop(); err != nil {
			return Point{}, err
		}
	}
	p := Point{Factor: factor, Offered: rate}
	p.Breaks, p.Tally = f.Check()
	seconds := f.Score().Seconds
	from := len(seconds) / 4
	for _, s := range seconds[from:] {
		p.Worth += s.Earned / float64(len(seconds)-from)
	}
	return p, ctx.Err()
}
