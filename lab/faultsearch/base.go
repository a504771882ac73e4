package faultsearch

import (
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"

	"havencart/lab/fleet"
	"havencart/lab/loadgen"
	"havencart/lab/simulation"
)

// Base is the installation of hunts: 12 workers at about 0.6 of their capacity, 3 front ends.
func Base(lasts time.Duration) simulation.Config {
	return simulation.Config{
		Workers: 12, Cells: 3, FrontEnds: 3, Zones: zones, Worker: fleet.DemoWorker(), Settings: fleet.DemoSettings,
		Store: fleet.DemoStore(),
		Mix: loadgen.Mix{
			Rate: 400, Functions: 12, Zipf: 1.3, Work: 60 * time.Millisecond, WorkSigma: 0.6, Load: 600 * time.Millisecond,
			MemoryMB: 400, Patience: 2 * time.Second, Habit: loadgen.Advised, Retries: 1,
		},
		Duration: lasts, Jitter: 0.3, Seed: 1, LogLevel: zerolog.WarnLevel,
	}
}

func rng(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 1)) }
