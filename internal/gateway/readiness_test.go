package gateway

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"havencart/internal/decide/endpointlease"
	"havencart/internal/discovery"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// The tests in this file check how new work is sent while the endpoint list is not confirmed.

// leaseRules are the platform's rules, with a grace of 500 ms.
var leaseRules = endpointlease.Rules{
	NotifiedAfterSilence:      4 * time.Second,
	NotifiedAfterInterruption: 2 * time.Second,
	DrainGrace:                500 * ms,
}

// newLeaseHarness returns a harness whose endpoint list was last confirmed at its start.
func newLeaseHarness(t *testing.T, workers int, change func(*Settings)) *testHarness {
	harness := newHarness(t, workers, func(settings *Settings) {
		settings.EndpointRules = leaseRules
		settings.Scheduler.HealthChecksAllowed = true
		settings.Scheduler.ConnectTimeout = 250 * ms
		if change != nil {
			change(settings)
		}
	})
	harness.confirmList()
	return harness
}

// confirmList confirms the endpoint list as of now.
func (harness *testHarness) confirmList() {
	lease := harness.lease
	lease.Confirm(harness.clock)
	harness.EndpointLeaseChanged(harness.clock, lease, true)
}

// endLease advances the clock past the end of the lease on the endpoint list.
func (harness *testHarness) endLease() { harness.advance(5 * time.Second) }

// checkedWorkers returns the workers with a health check in flight.
func (harness *testHarness) checkedWorkers() (checked []*fakeWorkerClient) {
	for _, worker := range harness.clients {
		if len(worker.healthChecks) > 0 {
			checked = append(checked, worker)
		}
	}
	return checked
}

// respondToHealthCheck makes a worker respond to its only health check in flight.
func (harness *testHarness) respondToHealthCheck(worker *fakeWorkerClient, status scheduler.Status) {
	harness.Helper()
	if len(worker.healthChecks) != 1 {
		harness.Fatalf("%s has %d health checks, want one", worker.name, len(worker.healthChecks))
	}
	check := worker.healthChecks[0]
	worker.healthChecks = nil
	harness.HealthChecked(harness.clock, check, status, nil)
}

// onlyChecked returns the only worker with a health check in flight.
func (harness *testHarness) onlyChecked() *fakeWorkerClient {
	harness.Helper()
	checked := harness.checkedWorkers()
	if len(checked) != 1 {
		harness.Fatalf("%d workers have a health check in flight, want one", len(checked))
	}
	return checked[0]
}

// sentAnywhere returns the number of attempts that worker clients have.
func (harness *testHarness) sentAnywhere() (count int) {
	for _, worker := range harness.clients {
		count += len(worker.sent) + len(worker.queued)
	}
	return count
}

func TestSend_ListConfirmed_NoHealthCheck(t *testing.T) {
	harness := newLeaseHarness(t, 3, nil)
	harness.advance(4 * time.Second)
	request := harness.submit(idempotentClass)
	if _, attempt := harness.sentAttempt(request); attempt.ConfirmedUntil > harness.clock {
		t.Errorf("confirmed until %v by a worker without a health check", attempt.ConfirmedUntil)
	}
	harness.endWith(request, scheduler.OK)
	harness.wantResponse(request, Served)
	if len(harness.checkedWorkers()) > 0 {
		t.Error("a health check was sent")
	}
}

func TestSend_ListNotConfirmed_WaitsForHealthyWorker(t *testing.T) {
	harness := newLeaseHarness(t, 3, nil)
	harness.endLease()
	request, another := harness.submit(idempotentClass), harness.submit(idempotentClass)
	if harness.sentAnywhere() > 0 {
		t.Fatal("an attempt was sent before a worker confirmed that it accepts new work")
	}
	askedAt := harness.clock
	harness.advance(10 * ms)
	harness.respondToHealthCheck(harness.onlyChecked(), scheduler.OK)
	_, attempt := harness.sentAttempt(request)
	if want := askedAt + 275*ms; attempt.ConfirmedUntil != want {
		t.Errorf("may be sent until %v, want %v: half of the grace after the health check was sent", attempt.ConfirmedUntil, want)
	}
	harness.endWith(request, scheduler.OK)
	harness.endWith(another, scheduler.OK)
	harness.wantResponse(request, Served)
	harness.wantResponse(another, Served)
}

// TestSend_WorkerReportsDraining_IsAvoidedUntilListIsConfirmed checks that a worker that responds to a health check
// that it is draining is sent no new work until the endpoint list is confirmed. The request is sent to another
// worker.
func TestSend_WorkerReportsDraining_IsAvoidedUntilListIsConfirmed(t *testing.T) {
	harness := newLeaseHarness(t, 2, nil)
	harness.endLease()
	request := harness.submit(idempotentClass)
	draining := harness.onlyChecked()
	harness.respondToHealthCheck(draining, scheduler.Error)
	if !draining.drained {
		t.Error("the draining worker may still be sent new work")
	}
	other := harness.onlyChecked()
	if other == draining {
		t.Fatal("the draining worker was sent another health check")
	}
	harness.respondToHealthCheck(other, scheduler.OK)
	harness.endWith(request, scheduler.OK)
	harness.wantResponse(request, Served)
	harness.confirmList()
	if draining.drained {
		t.Error("a worker that is ready in the confirmed list is still drained")
	}
}

func TestSend_WorkerDoesNotAnswerHealthCheck_RequestGoesElsewhere(t *testing.T) {
	for name, end := range map[string]func(*testHarness, *fakeWorkerClient){
		"no response": func(harness *testHarness, _ *fakeWorkerClient) { harness.advance(250 * ms) },
		"no connection": func(harness *testHarness, w *fakeWorkerClient) {
			harness.respondToHealthCheck(w, scheduler.ConnectFailed)
		},
		"no room": func(harness *testHarness, w *fakeWorkerClient) { harness.respondToHealthCheck(w, scheduler.NotSent) },
	} {
		t.Run(name, func(t *testing.T) {
			harness := newLeaseHarness(t, 2, nil)
			harness.endLease()
			request := harness.submit(idempotentClass)
			end(harness, harness.onlyChecked())
			if harness.sentAnywhere() > 0 {
				t.Error("an attempt was sent to a worker that did not confirm that it accepts new work")
			}
			harness.respondToHealthCheck(harness.onlyChecked(), scheduler.OK)
			harness.endWith(request, scheduler.OK)
			harness.wantResponse(request, Served)
		})
	}
}

// TestSend_WorkerAcceptedRecently_NoHealthCheck checks that a worker that has recently accepted new work needs no
// health check.
func TestSend_WorkerAcceptedRecently_NoHealthCheck(t *testing.T) {
	harness := newLeaseHarness(t, 1, nil)
	harness.endLease()
	request := harness.submit(idempotentClass)
	harness.respondToHealthCheck(harness.onlyChecked(), scheduler.OK)
	harness.endWith(request, scheduler.OK)
	harness.advance(200 * ms)
	second := harness.submit(idempotentClass)
	if len(harness.checkedWorkers()) > 0 || !harness.hasAttempt(second) {
		t.Error("a health check was sent, or no attempt, 200 ms after the worker was healthy")
	}
	harness.endWith(second, scheduler.OK)
	harness.advance(200 * ms)
	harness.submit(idempotentClass)
	harness.onlyChecked()
}

// TestSend_HealthChecksNotAllowed_IsRejected checks that, if health checks are not allowed and the endpoint list is not
// confirmed, nothing is sent and the request is rejected immediately.
func TestSend_HealthChecksNotAllowed_IsRejected(t *testing.T) {
	harness := newLeaseHarness(t, 2, func(settings *Settings) { settings.Scheduler.HealthChecksAllowed = false })
	harness.endLease()
	request := harness.submit(idempotentClass)
	harness.wantResponse(request, Rejected)
	if harness.sentAnywhere() > 0 || len(harness.checkedWorkers()) > 0 {
		t.Error("an attempt or a health check was sent")
	}
}

// TestSend_ListNeverConfirmed_HealthCheckIsSent checks a process that starts while discovery is unreachable. It does
// not know what has changed since its configuration was written.
func TestSend_ListNeverConfirmed_HealthCheckIsSent(t *testing.T) {
	harness := newHarness(t, 1, func(settings *Settings) {
		settings.EndpointRules = leaseRules
		settings.Scheduler.HealthChecksAllowed = true
	})
	harness.submit(idempotentClass) // at the start already
	worker := harness.onlyChecked()
	if harness.sentAnywhere() > 0 {
		t.Error("an attempt was sent by a list of unknown age")
	}
	worker.healthChecks = nil
	harness.advance(300 * ms)
	harness.submit(idempotentClass)
	harness.onlyChecked()
}

// TestSend_ListNeverConfirmed_HealthChecksNotAllowed_WaitsBriefly checks that a process that starts and may not ask the
// workers holds its first requests until discovery confirms the list, and rejects them if that does not happen soon.
func TestSend_ListNeverConfirmed_HealthChecksNotAllowed_WaitsBriefly(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(*testHarness)
		served  bool
	}{
		"list confirmed":   {func(harness *testHarness) { harness.advance(time.Second); harness.confirmList() }, true},
		"discovery silent": {func(harness *testHarness) { harness.advance(endpointlease.FirstConfirmationWait) }, false},
		"discovery refused": {func(harness *testHarness) {
			harness.WatchFailed(harness.clock, fmt.Errorf("dial: %w", discovery.ErrUnreachable))
		}, false},
		"stream moves to another address": {func(harness *testHarness) {
			harness.WatchFailed(harness.clock, errors.New("closed"))
			harness.advance(1500 * ms)
			harness.confirmList()
		}, true},
		"list changes to draining": {func(harness *testHarness) {
			harness.listWorkers(1, map[string]scheduler.WorkerState{"w0": scheduler.Draining})
			harness.confirmList()
			harness.advance(2 * time.Second)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t, 1, func(settings *Settings) { settings.EndpointRules = leaseRules })
			var requests []*Request
			for class := idempotentClass; class <= nonIdempotentClass; class++ {
				request := harness.submit(class)
				harness.wantResponse(request, 0)
				requests = append(requests, request)
			}
			if harness.sentAnywhere() > 0 {
				t.Fatal("an attempt was sent by a list of unknown age")
			}
			test.happens(harness)
			if !test.served && harness.sentAnywhere() > 0 {
				t.Error("an attempt was sent by a list that was not confirmed")
			}
			for _, request := range requests {
				if !test.served {
					harness.wantResponse(request, Rejected)
					continue
				}
				harness.endWith(request, scheduler.OK)
				harness.wantResponse(request, Served)
			}
		})
	}
}

// TestAwaitingAttempt_ClientDisconnectsOrDeadlinePasses_NothingIsSent guards against an attempt that begins after its
// client has gone, because it was neither sent nor held by a worker client when the client disconnected.
func TestAwaitingAttempt_ClientDisconnectsOrDeadlinePasses_NothingIsSent(t *testing.T) {
	for name, end := range map[string]func(*testHarness, *Request){
		"client disconnects": func(harness *testHarness, request *Request) { harness.ClientDisconnected(harness.clock, request) },
		"connection ends":    func(harness *testHarness, request *Request) { harness.RequestAbandoned(harness.clock, request) },
		"deadline passes":    func(harness *testHarness, _ *Request) { harness.advance(3 * time.Second) },
		"request has expired": func(harness *testHarness, request *Request) {
			request.delivery.expire()
			harness.RequestExpired(harness.clock, request)
		},
	} {
		for _, mayCancel := range []bool{true, false} {
			for class := idempotentClass; class <= nonIdempotentClass; class++ {
				t.Run(fmt.Sprintf("%s, may cancel %v, class %d", name, mayCancel, class), func(t *testing.T) {
					harness := newLeaseHarness(t, 1, func(s *Settings) { s.Scheduler.CancelAllowed = mayCancel })
					harness.endLease()
					request := harness.submit(class)
					worker := harness.onlyChecked()
					check := worker.healthChecks[0]
					end(harness, request)
					harness.HealthChecked(harness.clock, check, scheduler.OK, nil)
					if harness.sentAnywhere() > 0 || len(harness.attempts) > 0 {
						t.Errorf("%d attempts sent and %d in flight, want none", harness.sentAnywhere(), len(harness.attempts))
					}
				})
			}
		}
	}
}

// TestAwaitingAttempt_FirstConfirmationAwaited_ClientDisconnects_NothingIsSent is the same check for attempts that wait
// for discovery, as workers may not be asked.
func TestAwaitingAttempt_FirstConfirmationAwaited_ClientDisconnects_NothingIsSent(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		harness := newHarness(t, 1, func(settings *Settings) {
			settings.EndpointRules = leaseRules
			settings.Scheduler.CancelAllowed = mayCancel
		})
		gone, stays := harness.submit(idempotentClass), harness.submit(idempotentClass)
		harness.ClientDisconnected(harness.clock, gone)
		harness.confirmList()
		if got := harness.sentAnywhere(); got != 1 {
			t.Errorf("may cancel %v: %d attempts were sent, want 1", mayCancel, got)
		}
		harness.endWith(stays, scheduler.OK)
		harness.wantResponse(stays, Served)
	}
}

// TestAwaitingAttempt_ManyClientsDisconnect_AreNotKept checks that clients that send and give up while a worker is asked
// cannot make the front end keep their requests, and that the request of a client that stays is sent.
func TestAwaitingAttempt_ManyClientsDisconnect_AreNotKept(t *testing.T) {
	for _, mayCancel := range []bool{true, false} {
		harness := newLeaseHarness(t, 1, func(s *Settings) { s.Scheduler.CancelAllowed = mayCancel })
		harness.endLease()
		stays := harness.submit(idempotentClass)
		worker := harness.onlyChecked()
		for range 1000 {
			harness.ClientDisconnected(harness.clock, harness.submit(idempotentClass))
		}
		if got := len(harness.workers[stays.current.worker.id].readiness.waiting.attempts); got != 1 {
			t.Errorf("may cancel %v: %d attempts are kept, want 1", mayCancel, got)
		}
		harness.respondToHealthCheck(worker, scheduler.OK)
		harness.endWith(stays, scheduler.OK)
		harness.wantResponse(stays, Served)
	}
}

// TestAwaitingAttempt_ListChanges_IsNotSentThere checks an endpoint list that changes the worker's state to draining
// while the response to the health check is awaited.
func TestAwaitingAttempt_ListChanges_IsNotSentThere(t *testing.T) {
	harness := newLeaseHarness(t, 1, nil)
	harness.endLease()
	request := harness.submit(idempotentClass)
	worker := harness.onlyChecked()
	check := worker.healthChecks[0]
	harness.listWorkers(1, map[string]scheduler.WorkerState{"w0": scheduler.Draining})
	harness.HealthChecked(harness.clock, check, scheduler.OK, nil)
	if harness.sentAnywhere() > 0 {
		t.Error("an attempt was sent to a draining worker")
	}
	harness.advance(3 * time.Second)
	harness.wantResponse(request, Rejected)
}

// TestLoad_ListNotConfirmed_OnlyQueriesAreSent checks that a load order is held like an attempt. A residency query is
// not held, because it does not start any work.
func TestLoad_ListNotConfirmed_OnlyQueriesAreSent(t *testing.T) {
	harness := newLeaseHarness(t, 1, nil)
	harness.endWith(harness.submit(idempotentClass), scheduler.OK)
	harness.endLease()
	id, worker := WorkerID("w0"), harness.clients["w0"]
	worker.orders = nil
	harness.Load(id, FunctionID("f"), 0)
	harness.Load(id, FunctionID("f"), 1)
	if len(worker.orders) != 1 || worker.orders[0].Load.Replicas != 0 {
		t.Fatalf("%d orders were sent, want only the residency query", len(worker.orders))
	}
	harness.respondToHealthCheck(worker, scheduler.OK)
	if len(worker.orders) != 2 || worker.orders[1].ConfirmedUntil <= harness.clock {
		t.Errorf("%d orders were sent after the worker was healthy, want 2, the second one confirmed by the worker", len(worker.orders))
	}
}

// TestEndpointLeaseChanged_GuardIsUpdated checks that worker clients apply the same lease: an attempt that waits for a
// connection when the lease ends is not sent.
func TestEndpointLeaseChanged_GuardIsUpdated(t *testing.T) {
	guard := &workerconn.WriteGuard{}
	harness := newLeaseHarness(t, 1, func(settings *Settings) { settings.Guard = guard })
	queue, batch := workerconn.NewSendQueue[string](), workerconn.WriteBatch[string]{}
	encode := func(buffer []byte, _ workerconn.QueueItem[string]) ([]byte, error) { return append(buffer, 'x'), nil }
	until := harness.lease.ValidUntil()
	guard.RenewSendLease(until)
	queue.PushAttempt(1, &workerconn.Attempt{})
	queue.NextBatch(guard, until, &batch, encode)
	if len(batch.Bytes) != 1 {
		t.Error("the attempt was not sent while the lease was valid")
	}
	queue.PushAttempt(2, &workerconn.Attempt{})
	queue.PushAttempt(3, &workerconn.Attempt{ConfirmedUntil: until + 1})
	queue.NextBatch(guard, until+1, &batch, encode)
	if len(batch.Bytes) != 1 || len(batch.Expired) != 1 {
		t.Errorf("%d sent and %d expired, want only the attempt that its worker confirmed to be sent", len(batch.Bytes), len(batch.Expired))
	}
}

// TestSend_WorkerMayHaveRestarted_IsInSlowStart guards against overloading a worker that restarted without a report
// while discovery was unreachable. A worker that is reachable only on a new connection is sent no more requests than
// one that has just started.
func TestSend_WorkerMayHaveRestarted_IsInSlowStart(t *testing.T) {
	const submitted, sentWarm, sentCold = 30, 12, 4
	for name, test := range map[string]struct {
		connectedAfter time.Duration // since the list was confirmed
		want           int
	}{
		"on the existing connection": {-time.Second, sentWarm},
		"on a new connection":        {4500 * ms, sentCold},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newLeaseHarness(t, 1, func(settings *Settings) {
				settings.Scheduler.SlowStartFraction, settings.Scheduler.SlowStartDuration = 0.2, 20*time.Second
				settings.Scheduler.OverloadFactor, settings.Scheduler.OverloadWindow = 2, 2*time.Second
			})
			confirmedAt := harness.clock
			harness.endLease()
			for range submitted {
				harness.submitTo(idempotentClass, 50)
			}
			worker := harness.onlyChecked()
			worker.healthChecks[0].ConnectedAt = confirmedAt + test.connectedAfter
			harness.respondToHealthCheck(worker, scheduler.OK)
			harness.advance(20 * ms)
			for len(harness.checkedWorkers()) > 0 {
				worker.healthChecks[0].ConnectedAt = confirmedAt + test.connectedAfter
				harness.respondToHealthCheck(worker, scheduler.OK)
			}
			if got := harness.sentAnywhere(); got != test.want {
				t.Errorf("%d requests were sent, want %d", got, test.want)
			}
			harness.confirmList()
			harness.advance(20 * ms)
			if got := harness.sentAnywhere(); got != sentWarm {
				t.Errorf("%d requests were sent once the list was confirmed, want %d", got, sentWarm)
			}
		})
	}
}

// TestSend_WorkerReportedDraining_IsCheckedAgain checks that a worker that reported itself as draining is checked again
// after a delay, and is sent no work before it is healthy.
func TestSend_WorkerReportedDraining_IsCheckedAgain(t *testing.T) {
	harness := newLeaseHarness(t, 1, nil)
	harness.endLease()
	harness.submit(idempotentClass)
	draining := harness.onlyChecked()
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		harness.respondToHealthCheck(draining, scheduler.Error)
		harness.advance(wait - 100*ms)
		harness.submit(idempotentClass)
		if len(harness.checkedWorkers()) > 0 {
			t.Fatalf("a health check was sent again within %v", wait)
		}
		harness.advance(1100 * ms) // until the next sweep
		harness.submit(idempotentClass)
	}
	if harness.sentAnywhere() > 0 {
		t.Error("an attempt was sent before the worker was healthy")
	}
	harness.respondToHealthCheck(draining, scheduler.OK)
	if harness.sentAnywhere() == 0 {
		t.Error("no attempt was sent after the worker was healthy")
	}
}
