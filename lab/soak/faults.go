package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"havencart/internal/platform/endpointstream"
	"havencart/lab/platformdiscovery"
)

// meanFaultGap is the mean time between the beginnings of two faults; each lasts up to maxFault, so that several overlap.
const (
	meanFaultGap = 150 * time.Millisecond
	maxFault     = 1500 * time.Millisecond
	maxStop      = 1200 * time.Millisecond
	maxOutage    = 9 * time.Second        // of discovery
	maxDrain     = 6 * time.Second        // for which a worker drains
	maxNotice    = 800 * time.Millisecond // until the list has a worker as draining that drains

	// Signals come in series.
	maxStopsInSeries   = 3
	maxReloadsInSeries = 4
	maxGapInSeries     = 300 * time.Millisecond
)

// fault does harm for a time and then undoes it. It returns early when ctx ends, with the harm undone.
type fault struct {
	name   string
	weight int
	play   func(ctx context.Context, r *run, draw *draw)
}

// draw is what one fault draws at random, before it begins.
type draw struct {
	rng    *rand.Rand
	length time.Duration
}

// faults are all kinds, with how often each is drawn.
var faults = []fault{
	{"worker silent", 3, withBehavior(isSilent)},
	{"worker fails", 2, withBehavior(fails)},
	{"worker overloaded", 1, withBehavior(overloaded)},
	{"worker breaks off", 2, withBehavior(breaksOff)},
	{"connects held back", 5, holdConnects},
	{"connections reset", 3, resetConnections},
	{"requests stall", 2, stallForward},
	{"responses stall", 3, stallBackward},
	{"worker replaced", 3, replaceWorker},
	{"front end stopped", 5, stopFrontEnd},
	{"front end killed", 1, killFrontEnd},
	{"front end restarted", 1, restartFrontEnd},
	{"front end reloads", 1, reloadFrontEnd},
	{"crowd", 2, crowdFrontEnd},
	{"workers released", 1, releaseWorkers},
	{"endpoint stream breaks off", 1, breakStream},
	{"discovery silent", 2, discoveryOutage(platformdiscovery.Silent)},
	{"discovery unreachable", 2, discoveryOutage(platformdiscovery.Unreachable)},
}

// pickFault draws a kind of fault.
func pickFault(rng *rand.Rand) fault {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	n := rng.IntN(total)
	for _, f := range faults {
		if n -= f.weight; n < 0 {
			return f
		}
	}
	return faults[0]
}

func withBehavior(b behavior) func(context.Context, *run, *draw) {
	return func(ctx context.Context, r *run, draw *draw) {
		w := r.pickWorker(draw.rng)
		w.set(b)
		sleep(ctx, draw.length)
		w.set(serves)
	}
}

func holdConnects(ctx context.Context, r *run, draw *draw) {
	w := r.pickWorker(draw.rng)
	if w.proxy.HoldConnects() != nil {
		_ = w.proxy.ReleaseConnects() // it was replaced meanwhile
		return
	}
	if draw.rng.IntN(2) == 0 {
		w.proxy.ResetConnections() // so that new ones are needed
	}
	sleep(ctx, draw.length)
	_ = w.proxy.ReleaseConnects() // as above
}

func resetConnections(_ context.Context, r *run, draw *draw) {
	r.pickWorker(draw.rng).proxy.ResetConnections()
}

func stallForward(ctx context.Context, r *run, draw *draw) {
	w := r.pickWorker(draw.rng)
	w.proxy.StallForward()
	sleep(ctx, draw.length)
	w.proxy.ResumeForward()
}

func stallBackward(ctx context.Context, r *run, draw *draw) {
	w := r.pickWorker(draw.rng)
	w.proxy.StallBackward()
	sleep(ctx, draw.length)
	w.proxy.ResumeBackward()
}

// replaceWorker has a worker drain, which the list has a little later, removes it, and starts another one in its cell; on some
// draws the worker dies before the stream tells so, or its successor comes first.
func replaceWorker(ctx context.Context, r *run, draw *draw) {
	old := r.removeWorker(draw.rng)
	if old == nil {
		return // another replacement is under way
	}
	startedAt := time.Now().UnixMilli()
	dies := draw.rng.IntN(3) == 0
	if !dies {
		old.draining.Store(true)
		sleep(ctx, time.Duration(draw.rng.Float64()*float64(maxNotice)))
		entry := old.entry
		entry.State = endpointstream.Draining
		r.endpoints.publish(entry)
		sleep(ctx, time.Duration(draw.rng.Float64()*float64(maxDrain)))
	}
	if successor := r.addWorker(old.entry.Cell, startedAt, draw.rng); successor != nil {
		r.endpoints.publish(successor.entry)
	}
	if dies {
		old.proxy.Close()
		sleep(ctx, draw.length)
	}
	entry := old.entry
	entry.State = endpointstream.Removed
	r.endpoints.publish(entry)
	sleep(ctx, 2*drainGrace)
	old.close()
}

func stopFrontEnd(ctx context.Context, r *run, draw *draw) {
	f := r.acquireFrontEnd(draw.rng)
	if f == nil {
		return
	}
	defer r.release(f)
	for range 1 + draw.rng.IntN(maxStopsInSeries) {
		resumed := r.history.Paused(f.index, false)
		r.notef("front end %d stopped", f.index)
		f.signal(syscall.SIGSTOP)
		sleep(ctx, min(draw.length, maxStop))
		f.signal(syscall.SIGCONT)
		r.notef("front end %d goes on", f.index)
		resumed()
		sleep(ctx, time.Duration(draw.rng.Float64()*float64(maxGapInSeries)))
	}
}

func killFrontEnd(_ context.Context, r *run, draw *draw) {
	if f := r.acquireFrontEnd(draw.rng); f != nil {
		resumed := r.history.Paused(f.index, true)
		r.notef("front end %d killed", f.index)
		f.kill()
		r.restart(f, resumed)
	}
}

func reloadFrontEnd(ctx context.Context, r *run, draw *draw) {
	f := r.acquireFrontEnd(draw.rng)
	if f == nil {
		return
	}
	defer r.release(f)
	for range 1 + draw.rng.IntN(maxReloadsInSeries) {
		if err := f.writeConfig(); err != nil {
			r.history.Fault(err.Error())
			return
		}
		f.signal(syscall.SIGHUP)
		sleep(ctx, time.Duration(draw.rng.Float64()*float64(maxGapInSeries)))
	}
}

func breakStream(_ context.Context, r *run, _ *draw) { r.endpoints.breakOff() }

// discoveryOutage puts discovery out of reach of all front ends, mostly for longer than until they count as notified.
func discoveryOutage(reach platformdiscovery.Reachability) func(context.Context, *run, *draw) {
	return func(ctx context.Context, r *run, draw *draw) {
		if !r.endpoints.beginOutage(reach) {
			return
		}
		sleep(ctx, time.Duration(draw.rng.Float64()*float64(maxOutage)))
		r.endpoints.endOutage()
		r.notef("discovery within reach again")
	}
}
