package gateway

import (
	"time"

	"havencart/internal/decide/endpointlease"
)

// EndpointLeaseChanged takes the lease on the endpoint list. isWhole is whether all that was reported of the list was taken
// in: only then may the lease become longer.
func (f *FrontEnd) EndpointLeaseChanged(now time.Duration, lease endpointlease.Lease, isWhole bool) {
	f.now = now
	if isWhole || lease.Until() < f.lease.Until() {
		f.lease = lease
		f.guard.SetEndpointLease(lease.Until())
	}
	f.logLeaseChange()
	if f.listIsConfirmed() {
		f.endOverrides()
		f.runDeferred()
	}
}

// listIsConfirmed reports whether workers may be sent new work because the endpoint list has them as ready.
func (f *FrontEnd) listIsConfirmed() bool { return f.now <= f.lease.Until() }

// logLeaseChange logs that the lease on the endpoint list has ended, or holds again.
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
