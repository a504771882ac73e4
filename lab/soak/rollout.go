package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	maxRolloutShare = 0.3             // largest fraction of the workers that one rollout replaces
	rolloutDuration = 2 * time.Second // time over which the starts of the replacements are spread
)

// rolloutWorkers replaces many workers within a short time, as a rollout of a new release does.
func rolloutWorkers(ctx context.Context, r *run, params *faultParams) {
	count := 1 + int(params.rng.Float64()*maxRolloutShare*float64(r.config.Workers))
	var replacements sync.WaitGroup
	for range count {
		each := &faultParams{rng: rand.New(rand.NewPCG(params.rng.Uint64(), 0)), duration: params.duration}
		replacements.Go(func() { replaceWorker(ctx, r, each) })
		sleep(ctx, rolloutDuration/time.Duration(count))
	}
	replacements.Wait()
}
