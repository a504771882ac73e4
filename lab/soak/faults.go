package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"havencart/internal/platform/endpointstream"
	"havencart/lab/platformdiscovery"
)

// Times of the faults. Faults begin every meanFaultGap on average and most last up to maxFaultDuration, so that several
// overlap.
const (
	meanFaultGap        = 150 * time.Millisecond
	maxFaultDuration    = 1500 * time.Millisecond
	maxPauseDuration    = 1200 * time.Millisecond
	maxOutageDuration   = 9 * time.Second        // the longest outage of discovery
	maxDrainDuration    = 6 * time.Second        // longest time from the publication of a worker's drain to its removal
	maxDrainNoticeDelay = 800 * time.Millisecond // longest time from the start of a worker's drain to its publication

	// Signals to a front end are sent in series, with up to maxGapInSeries between them.
	maxPausesInSeries  = 3
	maxReloadsInSeries = 4
	maxGapInSeries     = 300 * time.Millisecond
)

// fault is one kind of fault. Its function inject causes the fault, waits and undoes it; when ctx ends, inject undoes
// it and returns early.
type fault struct {
	name   string
	weight int
	inject func(ctx context.Context, r *run, params *faultParams)
}

// faultParams holds the random inputs of one fault.
type faultParams struct {
	rng      *rand.Rand // the fault's own, so that concurrent faults do not change each other's draws
	duration time.Duration
}

// faults lists all kinds of faults with their relative frequencies.
var faults = []fault{
	{"worker silent", 3, withBehavior(neverResponds)},
	{"worker fails", 2, withBehavior(respondsWithError)},
	{"worker overloaded", 1, withBehavior(respondsOverloaded)},
	{"worker breaks off", 2, withBehavior(resetsConnection)},
	{"connects held back", 5, holdConnects},
	{"connections reset", 3, resetConnections},
	{"requests stall", 2, stallForward},
	{"responses stall", 3, stallBackward},
	{"worker replaced", 3, replaceWorker},
	{"worker's address reused", 2, reuseAddress},
	{"clients at full speed", 3, floodFrontEnd},
	{"front end stopped", 5, pauseFrontEnd},
	{"front end killed", 1, killFrontEnd},
	{"front end restarted", 1, restartFrontEnd},
	{"front end reloads", 1, reloadFrontEnd},
	{"crowd", 2, spikeTraffic},
	{"workers released", 1, rolloutWorkers},
	{"endpoint stream breaks off", 1, closeStreamConnections},
	{"discovery silent", 2, discoveryOutage(platformdiscovery.Silent)},
	{"discovery unreachable", 2, discoveryOutage(platformdiscovery.Unreachable)},
}

// pickFault draws a kind of fault, with a probability in proportion to its weight.
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

// withBehavior returns a fault that changes how one worker responds.
func withBehavior(b behavior) func(context.Context, *run, *faultParams) {
	return func(ctx context.Context, r *run, params *faultParams) {
		w := r.pickWorker(params.rng)
		w.setBehavior(b)
		sleep(ctx, params.duration)
		w.setBehavior(respondsNormally)
	}
}

// holdConnects delays the establishment of new connections to one worker.
func holdConnects(ctx context.Context, r *run, params *faultParams) {
	w := r.pickWorker(params.rng)
	if w.proxy.HoldConnects() != nil {
		_ = w.proxy.ReleaseConnects() // the hold failed because the worker was replaced meanwhile
		return
	}
	if params.rng.IntN(2) == 0 {
		w.proxy.ResetConnections() // front ends have to connect again, which the hold delays
	}
	sleep(ctx, params.duration)
	_ = w.proxy.ReleaseConnects() // fails if the worker was replaced meanwhile
}

// resetConnections resets all connections to one worker.
func resetConnections(_ context.Context, r *run, params *faultParams) {
	r.pickWorker(params.rng).proxy.ResetConnections()
}

// stallForward delays what front ends send to one worker.
func stallForward(ctx context.Context, r *run, params *faultParams) {
	w := r.pickWorker(params.rng)
	w.proxy.StallForward()
	sleep(ctx, params.duration)
	w.proxy.ResumeForward()
}

// stallBackward delays what one worker sends to front ends.
func stallBackward(ctx context.Context, r *run, params *faultParams) {
	w := r.pickWorker(params.rng)
	w.proxy.StallBackward()
	sleep(ctx, params.duration)
	w.proxy.ResumeBackward()
}

// replaceWorker replaces a worker by a successor in the same cell. Mostly the worker drains first, which the endpoint
// stream announces a little later; in one of three draws it dies instead, before the stream announces its removal. In
// both cases the stream announces the successor before the removal.
func replaceWorker(ctx context.Context, r *run, params *faultParams) {
	old := r.removeWorker(params.rng)
	if old == nil {
		return // too many workers are already being replaced
	}
	startedAt := time.Now().UnixMilli()
	dies := params.rng.IntN(3) == 0
	if !dies {
		old.draining.Store(true)
		sleep(ctx, time.Duration(params.rng.Float64()*float64(maxDrainNoticeDelay)))
		entry := old.entry
		entry.State = endpointstream.Draining
		r.endpoints.publish(entry)
		sleep(ctx, time.Duration(params.rng.Float64()*float64(maxDrainDuration)))
	}
	if successor := r.addWorker(old.entry.Cell, startedAt, params.rng); successor != nil {
		r.endpoints.publish(successor.entry)
	}
	if dies {
		old.proxy.Close()
		sleep(ctx, params.duration)
	}
	entry := old.entry
	entry.State = endpointstream.Removed
	r.endpoints.publish(entry)
	sleep(ctx, 2*drainGrace)
	old.close()
}

// pauseFrontEnd stops a front end's process with SIGSTOP and continues it with SIGCONT, up to maxPausesInSeries times.
func pauseFrontEnd(ctx context.Context, r *run, params *faultParams) {
	f := r.acquireFrontEnd(params.rng)
	if f == nil {
		return
	}
	defer r.releaseFrontEnd(f)
	for range 1 + params.rng.IntN(maxPausesInSeries) {
		resumed := r.history.Paused(f.index, false)
		r.logf("front end %d paused", f.index)
		f.signal(syscall.SIGSTOP)
		sleep(ctx, min(params.duration, maxPauseDuration))
		f.signal(syscall.SIGCONT)
		r.logf("front end %d resumed", f.index)
		resumed()
		sleep(ctx, time.Duration(params.rng.Float64()*float64(maxGapInSeries)))
	}
}

// killFrontEnd kills a front end's process and starts it again.
func killFrontEnd(_ context.Context, r *run, params *faultParams) {
	if f := r.acquireFrontEnd(params.rng); f != nil {
		resumed := r.history.Paused(f.index, true)
		r.logf("front end %d killed", f.index)
		f.kill()
		r.restart(f, resumed)
	}
}

// reloadFrontEnd has a front end reload its configuration, up to maxReloadsInSeries times.
func reloadFrontEnd(ctx context.Context, r *run, params *faultParams) {
	f := r.acquireFrontEnd(params.rng)
	if f == nil {
		return
	}
	defer r.releaseFrontEnd(f)
	for range 1 + params.rng.IntN(maxReloadsInSeries) {
		if err := f.writeConfig(); err != nil {
			r.history.RecordViolation(err.Error())
			return
		}
		f.signal(syscall.SIGHUP)
		sleep(ctx, time.Duration(params.rng.Float64()*float64(maxGapInSeries)))
	}
}

// closeStreamConnections closes the endpoint stream's connections to all front ends.
func closeStreamConnections(_ context.Context, r *run, _ *faultParams) {
	r.endpoints.closeConnections()
}

// discoveryOutage returns a fault that makes discovery unreachable for all front ends, mostly for longer than
// notifiedAfterOutage.
func discoveryOutage(reach platformdiscovery.Reachability) func(context.Context, *run, *faultParams) {
	return func(ctx context.Context, r *run, params *faultParams) {
		if !r.endpoints.beginOutage(reach) {
			return
		}
		sleep(ctx, time.Duration(params.rng.Float64()*float64(maxOutageDuration)))
		r.endpoints.endOutage()
		r.logf("discovery reachable again")
	}
}
