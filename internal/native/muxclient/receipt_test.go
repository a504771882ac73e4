package muxclient

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// permitEnd is the end of the permit of the retries in these tests, which begin at time 0.
const permitEnd = time.Minute

// sendRetry connects a client whose clock is at clock, and sends an attempt with a permit, behind which the client sends
// a ping.
func sendRetry(t *testing.T, clock *atomic.Int64) (*fakeWorker, *Client, *eventRecorder, *workerconn.Attempt) {
	t.Helper()
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, func(c *Config) { c.Now = func() time.Duration { return time.Duration(clock.Load()) } })
	worker.acceptAndWelcome(1)
	await(t, "the connection", recorder.connects)
	attempt := newAttempt("retry")
	attempt.NotAfter = permitEnd
	client.Send(attempt)
	worker.readRequest()
	if f := worker.readFrame(); f.Type != muxframe.TypePing {
		t.Fatalf("the worker received %v behind the attempt, want a ping", f.Type)
	}
	return worker, client, recorder, attempt
}

// TestAttemptWithPermit_WorkerAnswersPing_IsReceived checks that the client finds out by itself whether an attempt has
// arrived that must not arrive later.
func TestAttemptWithPermit_WorkerAnswersPing_IsReceived(t *testing.T) {
	var clock atomic.Int64
	worker, client, recorder, attempt := sendRetry(t, &clock)
	if client.IsReceived(attempt) {
		t.Error("the attempt counts as received before the pong")
	}
	worker.write(muxframe.TypePong, 0, nil, "")
	worker.write(muxframe.TypeHealthReport, 0, muxframe.HealthReport{Status: muxframe.StatusOK}, "")
	worker.write(muxframe.TypePing, 0, nil, "")
	if f := worker.readFrame(); f.Type != muxframe.TypePong { // the client has handled the frames before
		t.Fatalf("the worker received %v, want a pong", f.Type)
	}
	if !client.IsReceived(attempt) {
		t.Error("the attempt does not count as received after the pong")
	}
	if len(recorder.attemptEnds) > 0 {
		t.Error("the attempt has ended without a response")
	}
}

// TestAbandon_PermitEndedAndNotReceived_EndsConnection guards against a retry that the network holds and delivers after
// the idempotency key has expired.
func TestAbandon_PermitEndedAndNotReceived_EndsConnection(t *testing.T) {
	var clock atomic.Int64
	worker, client, recorder, attempt := sendRetry(t, &clock)
	other := newAttempt("other")
	client.Send(other)
	worker.readRequest()
	clock.Store(int64(permitEnd))
	if !client.Abandon(attempt) {
		t.Error("an attempt that was written is reported as never sent")
	}
	if r := await(t, "the result of the other attempt", recorder.attemptEnds); r.Status != scheduler.Reset || !strings.Contains(r.Reason, workerconn.ErrNotReceived.Error()) {
		t.Errorf("result %+v, want Reset because the abandoned attempt may not have been received", r)
	}
}

// TestPing_WorkerSendsNoPong_PingsAreBounded guards against growth with each retry on a connection whose worker responds
// to requests but not to pings.
func TestPing_WorkerSendsNoPong_PingsAreBounded(t *testing.T) {
	client, _ := newTestClient(t, startFakeWorker(t), nil)
	client.mu.Lock()
	defer client.mu.Unlock()
	for range 2 * maxPings {
		client.ping()
	}
	if pings := len(client.pings); pings != maxPings {
		t.Errorf("%d pings have no pong, want %d", pings, maxPings)
	}
}
