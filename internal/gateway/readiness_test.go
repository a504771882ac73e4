package gateway

import (
	"testing"
	"time"

	"havencart/internal/decide/endpointlease"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// These tests are about new work while the endpoint list is not confirmed.

// leaseRules are those of the platform, with a grace of 500 ms.
var leaseRules = endpointlease.Rules{Silence: 4 * time.Second, Break: 2 * time.Second, Grace: 500 * ms}

// newLeaseHarness returns a harness whose list of so many workers was confirmed last at its start.
func newLeaseHarness(t *testing.T, workers int, change func(*Settings)) *testHarness {
	harness := newHarness(t, workers, func(set *Settings) {
		set.EndpointRules = leaseRules
		set.Scheduler.HealthChecksAllowed = true
		set.Scheduler.ConnectTimeout = 250 * ms
		if change != nil {
			change(set)
		}
	})
	harness.confirmList()
	return harness
}

// confirmList confirms the list as of now.
func (harness *testHarness) confirmList() {
	lease := harness.lease
	lease.Confirm(harness.clock)
	harness.EndpointLeaseChanged(harness.clock, lease, true)
}

// endLease lets the lease on the list end.
func (harness *testHarness) endLease() { harness.advance(5 * time.Second) }

// checkedWorkers are the workers that were asked for their health and have not responded.
func (harness *testHarness) checkedWorkers() (checked []*fakeWorkerClient) {
	for _, worker := range harness.clients {
		if len(worker.healthChecks) > 0 {
			checked = append(checked, worker)
		}
	}
	return checked
}

// respondToHealthCheck has a worker respond to its only health check.
func (harness *testHarness) respondToHealthCheck(worker *fakeWorkerClient, status scheduler.Status) {
	harness.Helper()
	if len(worker.healthChecks) != 1 {
		harness.Fatalf("%s has %d health checks, want one", worker.name, len(worker.healthChecks))
	}
	check := worker.healthChecks[0]
	worker.healthChecks = nil
	harness.HealthChecked(harness.clock, check, status, nil)
}

// onlyChecked is the only worker that was asked for its health.
func (harness *testHarness) onlyChecked() *fakeWorkerClient {
	harness.Helper()
	checked := harness.checkedWorkers()
	if len(checked) != 1 {
		harness.Fatalf("%d workers were asked for their health, want one", len(checked))
	}
	return checked[0]
}

// sentAnywhere counts the attempts that clients of workers have.
func (harness *testHarness) sentAnywhere() (count int) {
	for _, worker := range harness.clients {
		count += len(worker.sent) + len(worker.queued)
	}
	return count
}

func TestSend_ListConfirmed_NobodyIsAsked(t *testing.T) {
	harness := newLeaseHarness(t, 3, nil)
	harness.advance(4 * time.Second)
	request := harness.submit(idempotentClass)
	if _, attempt := harness.sentAttempt(request); attempt.ConfirmedUntil > harness.clock {
		t.Errorf("confirmed until %v by a worker that was not asked", attempt.ConfirmedUntil)
	}
	harness.endWith(request, scheduler.OK)
	harness.wantResponse(request, Served)
	if len(harness.checkedWorkers()) > 0 {
		t.Error("a worker was asked for its health")
	}
}

func TestSend_ListNotConfirmed_WaitsForHealthyWorker(t *testing.T) {
	harness := newLeaseHarness(t, 3, nil)
	harness.endLease()
	request, another := harness.submit(idempotentClass), harness.submit(idempotentClass)
	if harness.sentAnywhere() > 0 {
		t.Fatal("sent before a worker confirmed that it accepts new work")
	}
	askedAt := harness.clock
	harness.advance(10 * ms)
	harness.respondToHealthCheck(harness.onlyChecked(), scheduler.OK)
	_, attempt := harness.sentAttempt(request)
	if want := askedAt + 275*ms; attempt.ConfirmedUntil != want {
		t.Errorf("may be sent until %v, want %v: half of the grace after the worker was asked", attempt.ConfirmedUntil, want)
	}
	harness.endWith(request, scheduler.OK)
	harness.endWith(another, scheduler.OK)
	harness.wantResponse(request, Served)
	harness.wantResponse(another, Served)
}

// A worker that answers a health check as draining gets nothing more until the list is confirmed, and the request goes elsewhere.
func TestSend_WorkerSaysThatItDrains_IsAvoidedUntilListIsConfirmed(t *testing.T) {
	harness := newLeaseHarness(t, 2, nil)
	harness.endLease()
	request := harness.submit(idempotentClass)
	draining := harness.onlyChecked()
	harness.respondToHealthCheck(draining, scheduler.Error)
	if !draining.drained {
		t.Error("the worker that drains may still be sent new work")
	}
	other := harness.onlyChecked()
	if other == draining {
		t.Fatal("the worker that drains is asked again")
	}
	harness.respondToHealthCheck(other, scheduler.OK)
	harness.endWith(request, scheduler.OK)
	harness.wantResponse(request, Served)
	harness.confirmList()
	if draining.drained {
		t.Error("a worker that the confirmed list has as ready is still avoided")
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
				t.Error("sent to a worker that did not confirm that it accepts new work")
			}
			harness.respondToHealthCheck(harness.onlyChecked(), scheduler.OK)
			harness.endWith(request, scheduler.OK)
			harness.wantResponse(request, Served)
		})
	}
}

// A worker in use confirms by what it accepts: it need not be asked.
func TestSend_WorkerAcceptedLately_IsNotAsked(t *testing.T) {
	harness := newLeaseHarness(t, 1, nil)
	harness.endLease()
	request := harness.submit(idempotentClass)
	harness.respondToHealthCheck(harness.onlyChecked(), scheduler.OK)
	harness.endWith(request, scheduler.OK)
	harness.advance(200 * ms)
	second := harness.submit(idempotentClass)
	if len(harness.checkedWorkers()) > 0 || !harness.hasAttempt(second) {
		t.Error("asked again 200 ms after it was healthy")
	}
	harness.endWith(second, scheduler.OK)
	harness.advance(200 * ms)
	harness.submit(idempotentClass)
	harness.onlyChecked()
}

// Where workers may not be asked, what the list no longer confirms is not sent, and the client hears of it at once.
func TestSend_HealthChecksNotAllowed_IsRejected(t *testing.T) {
	harness := newLeaseHarness(t, 2, func(set *Settings) { set.Scheduler.HealthChecksAllowed = false })
	harness.endLease()
	request := harness.submit(idempotentClass)
	harness.wantResponse(request, Rejected)
	if harness.sentAnywhere() > 0 || len(harness.checkedWorkers()) > 0 {
		t.Error("sent, or asked")
	}
}

// A process that starts while discovery is out of reach does not know what changed since its configuration was written.
func TestSend_ListNeverConfirmed_WorkerIsAsked(t *testing.T) {
	harness := newHarness(t, 1, func(set *Settings) {
		set.EndpointRules = leaseRules
		set.Scheduler.HealthChecksAllowed = true
	})
	harness.advance(300 * ms)
	harness.submit(idempotentClass)
	harness.onlyChecked()
}

func TestAwaitingAttempt_ClientLeavesOrTimeEnds_NothingIsSent(t *testing.T) {
	for name, end := range map[string]func(*testHarness, *Request){
		"client leaves": func(harness *testHarness, request *Request) { harness.ClientDisconnected(harness.clock, request) },
		"time ends":     func(harness *testHarness, _ *Request) { harness.advance(3 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			harness := newLeaseHarness(t, 1, nil)
			harness.endLease()
			request := harness.submit(idempotentClass)
			worker := harness.onlyChecked()
			check := worker.healthChecks[0]
			end(harness, request)
			harness.HealthChecked(harness.clock, check, scheduler.OK, nil)
			if harness.sentAnywhere() > 0 || len(harness.attempts) > 0 {
				t.Errorf("%d sent, %d attempts are left", harness.sentAnywhere(), len(harness.attempts))
			}
		})
	}
}

// The list has the worker as draining while its response is waited for, or it moves to another address.
func TestAwaitingAttempt_ListChanges_IsNotSentThere(t *testing.T) {
	harness := newLeaseHarness(t, 1, nil)
	harness.endLease()
	request := harness.submit(idempotentClass)
	worker := harness.onlyChecked()
	check := worker.healthChecks[0]
	harness.listWorkers(1, map[string]scheduler.WorkerState{"w0": scheduler.Draining})
	harness.HealthChecked(harness.clock, check, scheduler.OK, nil)
	if harness.sentAnywhere() > 0 {
		t.Error("sent to a worker that drains")
	}
	harness.advance(3 * time.Second)
	harness.wantResponse(request, Rejected)
}

// An order to load is held like an attempt, a residency query is not: it begins nothing.
func TestLoad_ListNotConfirmed_OnlyQueriesAreSent(t *testing.T) {
	harness := newLeaseHarness(t, 1, nil)
	harness.endWith(harness.submit(idempotentClass), scheduler.OK)
	harness.endLease()
	id, worker := WorkerID("w0"), harness.clients["w0"]
	worker.orders = nil
	harness.Load(id, FunctionID("f"), 0)
	harness.Load(id, FunctionID("f"), 1)
	if len(worker.orders) != 1 || worker.orders[0].Load.Replicas != 0 {
		t.Fatalf("%d orders were sent, want the query", len(worker.orders))
	}
	harness.respondToHealthCheck(worker, scheduler.OK)
	if len(worker.orders) != 2 || worker.orders[1].ConfirmedUntil <= harness.clock {
		t.Errorf("%d orders were sent after the worker was healthy", len(worker.orders))
	}
}

// The worker clients hold the same lease: what waits for its connection when it ends is not sent.
func TestEndpointLeaseChanged_GuardHasIt(t *testing.T) {
	guard := &workerconn.Guard{}
	harness := newLeaseHarness(t, 1, func(set *Settings) { set.Guard = guard })
	queue, batch := workerconn.NewSendQueue[string](), workerconn.WriteBatch[string]{}
	encode := func(buffer []byte, _ workerconn.QueueItem[string]) ([]byte, error) { return append(buffer, 'x'), nil }
	until := harness.lease.Until()
	guard.Renew(until)
	queue.PushAttempt(1, &workerconn.Attempt{})
	queue.NextBatch(guard, until, &batch, encode)
	if len(batch.Bytes) != 1 {
		t.Error("not sent while the lease holds")
	}
	queue.PushAttempt(2, &workerconn.Attempt{})
	queue.PushAttempt(3, &workerconn.Attempt{ConfirmedUntil: until + 1})
	queue.NextBatch(guard, until+1, &batch, encode)
	if len(batch.Bytes) != 1 || len(batch.Expired) != 1 {
		t.Errorf("%d sent and %d not, want the one that its worker confirmed", len(batch.Bytes), len(batch.Expired))
	}
}

// While discovery is out of reach a worker may restart without anybody saying so. One that can be reached only on a new
// connection is sent no more than one that has just started.
func TestSend_WorkerMayHaveRestarted_IsInSlowStart(t *testing.T) {
	const submitted, sentWarm, sentCold = 30, 12, 4
	for name, c := range map[string]struct {
		connectedAfter time.Duration // after the list was confirmed
		want           int
	}{
		"on the connection of before": {-time.Second, sentWarm},
		"on a new connection":         {4500 * ms, sentCold},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newLeaseHarness(t, 1, func(set *Settings) {
				set.Scheduler.SlowStartFraction, set.Scheduler.SlowStartDuration = 0.2, 20*time.Second
				set.Scheduler.OverloadFactor, set.Scheduler.OverloadWindow = 2, 2*time.Second
			})
			confirmedAt := harness.clock
			harness.endLease()
			for range submitted {
				harness.submitTo(idempotentClass, 50)
			}
			worker := harness.onlyChecked()
			worker.healthChecks[0].ConnectedAt = confirmedAt + c.connectedAfter
			harness.respondToHealthCheck(worker, scheduler.OK)
			harness.advance(20 * ms)
			for len(harness.checkedWorkers()) > 0 {
				worker.healthChecks[0].ConnectedAt = confirmedAt + c.connectedAfter
				harness.respondToHealthCheck(worker, scheduler.OK)
			}
			if got := harness.sentAnywhere(); got != c.want {
				t.Errorf("%d requests were sent, want %d", got, c.want)
			}
			harness.confirmList()
			harness.advance(20 * ms)
			if got := harness.sentAnywhere(); got != sentWarm {
				t.Errorf("%d requests were sent once the list was confirmed, want %d", got, sentWarm)
			}
		})
	}
}

// A worker that answered a health check as draining is asked again after a while, and sent nothing before it is healthy.
func TestSend_WorkerSaidThatItDrains_IsAskedAgain(t *testing.T) {
	harness := newLeaseHarness(t, 1, nil)
	harness.endLease()
	harness.submit(idempotentClass)
	draining := harness.onlyChecked()
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second} {
		harness.respondToHealthCheck(draining, scheduler.Error)
		harness.advance(wait - 100*ms)
		harness.submit(idempotentClass)
		if len(harness.checkedWorkers()) > 0 {
			t.Fatalf("asked again within %v", wait)
		}
		harness.advance(1100 * ms) // the next look at it
		harness.submit(idempotentClass)
	}
	if harness.sentAnywhere() > 0 {
		t.Error("sent before it was healthy")
	}
	harness.respondToHealthCheck(draining, scheduler.OK)
	if harness.sentAnywhere() == 0 {
		t.Error("nothing was sent once it was healthy")
	}
}
