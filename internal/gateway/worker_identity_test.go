package gateway

import (
	"testing"
	"time"

	"havencart/scheduler"
)

// TestSend_WorkerMayBeAnotherProcess_KeyedRequestNotRetriedThere guards against a keyed request that is executed twice
// because, while discovery was unreachable, a new process in another cell came up at the address of a worker that had
// gone, and was taken for it. Only a connection that is older than the last confirmation shows that it is the same one.
func TestSend_WorkerMayBeAnotherProcess_KeyedRequestNotRetriedThere(t *testing.T) {
	for name, test := range map[string]struct {
		startedInOutage bool          // the list was never confirmed
		silence         time.Duration // time from the last confirmation, or from the start, to the request
		reconnected     bool          // the workers are reachable on new connections only when the request is retried
		wantRetry       bool
	}{
		"on the existing connection":             {false, 5 * time.Second, false, true},
		"on a new connection":                    {false, 5 * time.Second, true, false},
		"on a new connection, 2 s after a break": {false, 2500 * ms, true, false},
		"the front end started in the outage":    {true, time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 3, func(settings *Settings) { // w0 and w2 are in one cell
				settings.EndpointRules = leaseRules
				settings.Scheduler.HealthChecksAllowed = true
				settings.Scheduler.ConnectTimeout = 250 * ms
			})
			connectedAt := harness.clock - time.Second
			if test.startedInOutage {
				connectedAt = harness.clock + 1
			} else {
				harness.confirmList()
				harness.interruptStream()
			}
			harness.advance(test.silence)
			request := harness.submit(keyedClass)
			harness.respondToHealthChecks(connectedAt)
			if !harness.hasAttempt(request) {
				t.Fatal("the request was not sent")
			}
			if test.reconnected {
				connectedAt = harness.clock
			}
			harness.endWith(request, scheduler.Error)
			harness.respondToHealthChecks(connectedAt)
			harness.advance(20 * ms)
			harness.respondToHealthChecks(connectedAt)
			if got := harness.hasAttempt(request); got != test.wantRetry {
				t.Errorf("retried: %v, want %v", got, test.wantRetry)
			}
			if violations := harness.Counts().Violations.Total(); violations > 0 {
				t.Errorf("%d violations were prevented by the guard; the scheduler must know", violations)
			}
		})
	}
}

// interruptStream reports that the endpoint stream broke off after the last confirmation.
func (harness *testHarness) interruptStream() {
	lease := harness.lease
	lease.Interrupt()
	harness.EndpointLeaseChanged(harness.clock, lease, true)
}

// respondToHealthChecks makes all workers respond to the health checks in flight, and to those that follow at once, on
// connections that were established at the given time.
func (harness *testHarness) respondToHealthChecks(connectedAt time.Duration) {
	for checked := harness.checkedWorkers(); len(checked) > 0; checked = harness.checkedWorkers() {
		for _, worker := range checked {
			worker.healthChecks[0].ConnectedAt = connectedAt
			harness.respondToHealthCheck(worker, scheduler.OK)
		}
	}
}
