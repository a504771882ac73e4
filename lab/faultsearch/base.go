package faultsearch

import (
	"time"

	"github.com/rs/zerolog"

	"havencart/lab/fleet"
	"havencart/lab/loadgen"
	"havencart/lab/simulation"
)

// BaseConfig returns the configuration of the installation that searches use. It has 12 workers, which are loaded to
// about 0.6 of their capacity, and 3 front ends. Clients send requests for the given duration.
func BaseConfig(duration time.Duration) simulation.Config {
	return simulation.Config{
		Workers:   12,
		Cells:     3,
		FrontEnds: 3,
		Zones:     zoneCount,
		Worker:    fleet.DemoWorker(),
		Store:     fleet.DemoStore(),
		Settings:  fleet.DemoSettings,
		Mix: loadgen.Mix{
			Rate:        400,
			Functions:   12,
			Zipf:        1.3,
			Work:        60 * time.Millisecond,
			WorkSigma:   0.6,
			LoadTime:    600 * time.Millisecond,
			MemoryMB:    400,
			Timeout:     2 * time.Second,
			RetryPolicy: loadgen.RetryAsAdvised,
			Retries:     1,
		},
		Duration: duration,
		Jitter:   0.3,
		Seed:     1,
		LogLevel: zerolog.WarnLevel,
	}
}
