package soak

import (
	"context"
	"fmt"
	"os"
	"time"

	"havencart/lab/flood"
)

// floodKinds are what the clients of a flood do.
var floodKinds = []flood.Kind{
	flood.Heartbeats, flood.UnknownCancels, flood.CancelledAtOnce, flood.RepeatedID, flood.UnknownClass, flood.HeartbeatsAnew,
	flood.Partial, flood.SlowWriter, flood.ManyFields, flood.Unread, flood.Abandon, flood.Small,
}

// floodSizes are numbers of clients of a flood.
var floodSizes = []int{1, 6, 60}

// floodExitTimeout is how long the process of a flood may run longer than the flood.
const floodExitTimeout = 2 * time.Second

// floodFrontEnd has clients send to one front end at full speed, write slowly or stop within a message. The clients run in
// a process of their own with one processor, so that they do not delay what this process observes.
func floodFrontEnd(ctx context.Context, r *run, params *faultParams) {
	if r.config.FloodCommand == nil {
		return
	}
	frontEnd := r.frontEnds[params.rng.IntN(len(r.frontEnds))]
	kind := floodKinds[params.rng.IntN(len(floodKinds))]
	size := floodSizes[params.rng.IntN(len(floodSizes))]
	r.logf("%d clients of kind %s at front end %d", size, kind, frontEnd.index)
	command := r.config.FloodCommand()
	command.Args = append(
		command.Args, "--target", frontEnd.address, "--kind", string(kind), "--clients", fmt.Sprint(size),
		"--length", params.duration.String(), "--timeout", r.profile.deadline(Quote).String(), "--seed", fmt.Sprint(params.rng.Uint64()),
	)
	command.Env = append(append(os.Environ(), command.Env...), "GOMAXPROCS=1")
	if err := command.Start(); err != nil {
		r.history.RecordViolation(fmt.Sprintf("a flood did not start: %v", err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, params.duration+floodExitTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = command.Process.Kill() }) // fails if it has ended
	defer stop()
	if err := command.Wait(); err != nil && ctx.Err() == nil {
		r.history.RecordViolation(fmt.Sprintf("a flood ended with %v", err))
	}
}
