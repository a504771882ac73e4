package soak

import "context"

// crowdFactor is how many times the usual requests clients send while there is a crowd.
const crowdFactor = 12

// crowdFrontEnd has the clients of one front end send many times as much for a while.
func crowdFrontEnd(ctx context.Context, r *run, draw *draw) {
	f := r.frontEnds[draw.rng.IntN(len(r.frontEnds))]
	f.setCrowded(true)
	sleep(ctx, draw.length)
	f.setCrowded(false)
}
