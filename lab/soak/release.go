package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	maxReleasePart = 0.3 // of the workers, replaced within one release
	releaseTime    = 2 * time.Second
)

// releaseWorkers replaces many workers within a short time.
func releaseWorkers(ctx context.Context, r *run, drawn *draw) {
	count := 1 + int(drawn.rng.Float64()*maxReleasePart*float64(r.config.Workers))
	var replacements sync.WaitGroup
	for range count {
		each := &draw{rng: rand.New(rand.NewPCG(drawn.rng.Uint64(), 0)), length: drawn.length}
		replacements.Go(func() { replaceWorker(ctx, r, each) })
		sleep(ctx, releaseTime/time.Duration(count))
	}
	replacements.Wait()
}
