package soak

import (
	"context"
	"slices"
	"syscall"
	"time"
)

// Terms of a planned restart. The platform sets them.
const (
	maxKillDeadline     = 3 * time.Second        // longer deadlines count as this when a kill is due
	killMargin          = 700 * time.Millisecond // time from the longest deadline to the kill
	minConnectPeriod    = 200 * time.Millisecond // shortest time for which clients connect after SIGTERM
	connectPeriodSpread = 200 * time.Millisecond // largest random extension of minConnectPeriod
	maxFurtherSignals   = 3                      // most signals sent between the first SIGTERM and the kill
)

// timedSignal is a signal that follows the first SIGTERM after a time.
type timedSignal struct {
	after  time.Duration // counted from the first SIGTERM
	signal syscall.Signal
}

// drawFurtherSignals draws signals to be sent between the first SIGTERM and the kill. They must not change the front
// end's shutdown.
func drawFurtherSignals(params *faultParams, killAfter time.Duration) []timedSignal {
	signals := make([]timedSignal, params.rng.IntN(maxFurtherSignals+1))
	for i := range signals {
		signals[i] = timedSignal{
			after:  time.Duration(params.rng.Float64() * float64(killAfter)),
			signal: []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP}[params.rng.IntN(2)],
		}
	}
	slices.SortFunc(signals, func(a, b timedSignal) int { return int(a.after - b.after) })
	return signals
}

// restartFrontEnd terminates and restarts a front end as the platform does at a planned restart. Clients make new
// connections for a while after SIGTERM, and send requests on open connections until the process ends. A process that
// has not ended after profile.killAfter, the earliest time at which the platform may kill it, is killed, and its unanswered
// requests are lost.
func restartFrontEnd(_ context.Context, r *run, params *faultParams) {
	f := r.acquireFrontEnd(params.rng)
	if f == nil {
		return
	}
	r.logf("front end %d sent SIGTERM", f.index)
	killAfter := r.profile.killAfter()
	signals := drawFurtherSignals(params, killAfter)
	f.expectExit()
	killed := r.history.Terminated(f.index)
	f.signal(syscall.SIGTERM)
	stopConnects := time.AfterFunc(minConnectPeriod+time.Duration(params.rng.Float64()*float64(connectPeriodSpread)), f.refuseConnects)
	defer stopConnects.Stop()
	began := time.Now()
	for _, next := range signals {
		if f.exitsWithin(time.Until(began.Add(next.after))) {
			break
		}
		f.signal(next.signal)
	}
	if !f.exitsWithin(time.Until(began.Add(killAfter))) {
		killed()
		r.logf("front end %d killed as it had not exited after SIGTERM", f.index)
		f.signal(syscall.SIGKILL)
	}
	<-f.exitedChannel()
	resumed := r.history.Paused(f.index, false)
	r.restart(f, resumed)
}

// exitsWithin waits until the process has ended, for d at most, and reports whether it has ended.
func (f *frontEnd) exitsWithin(d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-f.exitedChannel():
		return true
	case <-timer.C:
		return false
	}
}
