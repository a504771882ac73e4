package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	crowdFactor    = 12  // times the usual requests, while there is a crowd
	maxReleasePart = 0.3 // of the workers, replaced within one release
	releaseTime    = 2 * time.Second
)

// crowdFrontEnd has the clients of one front end send many times as much for a while.
func crowdFrontEnd(ctx context.Context, r *run, draw *draw) {
	f := r.frontEnds[draw.rng.IntN(len(r.frontEnds))]
	f.setCrowded(true)
	sleep(ctx, draw.length)
	f.setCrowded(false)
}

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
