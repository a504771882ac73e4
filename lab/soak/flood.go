package soak

import (
	"context"
	"math/rand/v2"
	"sync"

	"havencart/lab/flood"
)

// floodKinds are what the clients of a flood do.
var floodKinds = []flood.Kind{
	flood.Heartbeats, flood.UnknownCancels, flood.CancelledAtOnce, flood.RepeatedID, flood.UnknownClass, flood.HeartbeatsAnew,
	flood.Partial, flood.SlowWriter, flood.ManyFields, flood.Unread, flood.Abandon, flood.Small,
}

// floodSizes are numbers of clients of a flood.
var floodSizes = []int{1, 6, 60}

// floodFrontEnd has clients send to one front end at full speed, write slowly or stop within a message.
func floodFrontEnd(ctx context.Context, r *run, params *faultParams) {
	frontEnd := r.frontEnds[params.rng.IntN(len(r.frontEnds))]
	kind := floodKinds[params.rng.IntN(len(floodKinds))]
	size := floodSizes[params.rng.IntN(len(floodSizes))]
	r.logf("%d clients of kind %s at front end %d", size, kind, frontEnd.index)
	ctx, cancel := context.WithTimeout(ctx, params.duration)
	defer cancel()
	var clients sync.WaitGroup
	for range size {
		config := flood.ClientConfig{
			Address: frontEnd.address, Kind: kind, Timeout: r.profile.deadline(Quote),
			Random: rand.New(rand.NewPCG(params.rng.Uint64(), 0)),
		}
		clients.Go(func() { flood.RunClient(ctx, config) })
	}
	clients.Wait()
}
