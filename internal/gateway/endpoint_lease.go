package gateway

import (
	"time"

	"havencart/internal/decide/endpointlease"
	"havencart/scheduler"
)

// EndpointLeaseChanged handles a change of the lease on the endpoint list. isComplete reports whether the FrontEnd
// has handled all changes of the list that were reported. The lease may be extended only if it has; it may be
// shortened at any time.
func (f *FrontEnd) EndpointLeaseChanged(now time.Duration, lease endpointlease.Lease, isComplete bool) {
	f.now = now
	if isComplete || lease.ValidUntil() < f.lease.ValidUntil() {
		f.lease = lease
		f.guard.SetEndpointLease(lease.ValidUntil())
	}
	f.logLeaseChange()
	if f.listIsConfirmed() {
		f.endOverrides()
		f.endFirstConfirmationWait()
		f.runDeferred()
	}
}

// beginFirstConfirmationWait starts the time in which new work may wait for the first confirmation of the endpoint list.
// Where workers may not be asked, a front end could otherwise use no worker for the first second after each start.
func (f *FrontEnd) beginFirstConfirmationWait() {
	if f.listIsConfirmed() {
		return
	}
	f.awaitsFirstConfirmation = true
	f.timers.add(&timer{kind: firstConfirmationTimer, due: f.now + endpointlease.FirstConfirmationWait})
}

// endFirstConfirmationWait ends that time because the list is confirmed, discovery cannot be reached, or it took too
// long. The work that waited without a health check is sent if the list is confirmed, and else ended.
func (f *FrontEnd) endFirstConfirmationWait() {
	if !f.awaitsFirstConfirmation {
		return
	}
	f.awaitsFirstConfirmation = false
	if f.listIsConfirmed() {
		f.log.Info().Msg("endpoint list confirmed")
	}
	f.logLeaseChange()
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		switch {
		case w.readiness.check != nil: // the response to the health check decides
		case f.listIsConfirmed():
			f.sendWaiting(w)
		default:
			f.endWaiting(w, scheduler.NotSent)
		}
	}
}

// listIsConfirmed reports whether the endpoint lease is valid. While it is, workers that are listed as ready may be
// sent new work without a confirmation of their own.
func (f *FrontEnd) listIsConfirmed() bool { return f.now <= f.lease.ValidUntil() }

// logLeaseChange logs when the lease on the endpoint list ends and when it is valid again. The first confirmation
// at the start is logged by endFirstConfirmationWait.
func (f *FrontEnd) logLeaseChange() {
	if f.awaitsFirstConfirmation {
		return
	}
	if ended := !f.listIsConfirmed(); ended != f.leaseEnded {
		f.leaseEnded = ended
		line := f.log.Info()
		message := "endpoint list confirmed again"
		if ended {
			line = f.log.Warn()
			message = "endpoint list no longer confirmed"
		}
		line.Dur("confirmed-before", f.now-f.lease.ConfirmedAt()).Msg(message)
	}
}
