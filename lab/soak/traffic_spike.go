package soak

import "context"

// trafficSpikeFactor multiplies the clients' request rate during a traffic spike.
const trafficSpikeFactor = 12

// spikeTraffic raises the request rate of one front end's clients by trafficSpikeFactor for the fault's duration.
func spikeTraffic(ctx context.Context, r *run, params *faultParams) {
	f := r.frontEnds[params.rng.IntN(len(r.frontEnds))]
	f.setTrafficSpike(true)
	sleep(ctx, params.duration)
	f.setTrafficSpike(false)
}
