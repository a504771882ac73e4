package soak

import (
	"context"
	"slices"
	"syscall"
	"time"
)

// The terms of a planned restart, as the platform has them.
const (
	killAfter           = 3*time.Second + 700*time.Millisecond // after SIGTERM: the longest deadline of the classes, and 0.7 s
	leastConnectsAfter  = 200 * time.Millisecond               // after SIGTERM, until which clients connect anew at least
	spreadConnectsAfter = 200 * time.Millisecond               // and up to so much longer
	maxFurtherSignals   = 3
)

// timedSignal is a signal that follows on SIGTERM.
type timedSignal struct {
	after  time.Duration
	signal syscall.Signal
}

// furtherSignals draws what follows on SIGTERM before the kill: it must change nothing.
func furtherSignals(draw *draw) []timedSignal {
	signals := make([]timedSignal, draw.rng.IntN(maxFurtherSignals+1))
	for i := range signals {
		signals[i] = timedSignal{
			after:  time.Duration(draw.rng.Float64() * float64(killAfter)),
			signal: []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[draw.rng.IntN(2)],
		}
	}
	slices.SortFunc(signals, func(a, b timedSignal) int { return int(a.after - b.after) })
	return signals
}

// restartFrontEnd tells a front end to end, as the platform does at a planned restart: clients connect for a while longer
// and go on sending on open connections until the process has ended, or is killed at the earliest time that the platform
// allows. What it has taken and not answered then is lost.
func restartFrontEnd(_ context.Context, r *run, draw *draw) {
	f := r.acquireFrontEnd(draw.rng)
	if f == nil {
		return
	}
	r.notef("front end %d terminated", f.index)
	signals := furtherSignals(draw)
	f.expectEnd()
	killed := r.history.Terminated(f.index)
	f.signal(syscall.SIGTERM)
	stopConnects := time.AfterFunc(leastConnectsAfter+time.Duration(draw.rng.Float64()*float64(spreadConnectsAfter)), f.refuseConnects)
	defer stopConnects.Stop()
	began := time.Now()
	for _, next := range signals {
		if f.endsWithin(time.Until(began.Add(next.after))) {
			break
		}
		f.signal(next.signal)
	}
	if !f.endsWithin(time.Until(began.Add(killAfter))) {
		killed()
		r.notef("front end %d killed after SIGTERM", f.index)
		f.signal(syscall.SIGKILL)
	}
	<-f.exitedChannel()
	resumed := r.history.Paused(f.index, false)
	r.restart(f, resumed)
}

// endsWithin waits for a time at most, and reports whether the process has ended.
func (f *frontEnd) endsWithin(d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-f.exitedChannel():
		return true
	case <-timer.C:
		return false
	}
}
