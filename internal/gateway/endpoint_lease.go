package gateway

import (
	"time"

	"havencart/internal/decide/endpointlease"
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
		f.runDeferred()
	}
}

// listIsConfirmed reports whether the endpoint lease is valid. While it is, workers that are listed as ready may be
// sent new work without a confirmation of their own.
func (f *FrontEnd) listIsConfirmed() bool { return f.now <= f.lease.ValidUntil() }

// logLeaseChange logs when the lease on the endpoint list ends and when it is valid again.
func (f *FrontEnd) logLeaseChange() {
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
