package workerclient

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/lab/platformworker"
	"havencart/scheduler"
)

// receivedFrame is a frame that a worker has received, and the worker's end of its connection.
type receivedFrame struct {
	workerframe.Frame
	conn *platformworker.Conn
}

// testTimeout is the longest wait for an event that must happen. A test that waits this long has failed.
const testTimeout = 20 * time.Second

// await returns the next value from events. It fails the test if none arrives within testTimeout.
func await[T any](t *testing.T, event string, events <-chan T) T {
	t.Helper()
	select {
	case received := <-events:
		return received
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", event)
		panic("unreachable")
	}
}

// receiptHarness is a client whose attempts share one connection, and a worker that answers nothing by itself. The
// client's clock stands still until the test moves it.
type receiptHarness struct {
	*testing.T
	client   *Client
	recorder eventRecorder
	clock    atomic.Int64
	frames   chan receivedFrame
}

func newReceiptHarness(t *testing.T, healthChecksAllowed bool) *receiptHarness {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	harness := &receiptHarness{T: t, frames: make(chan receivedFrame, 16)}
	server, err := platformworker.StartFullyScripted(func(c *platformworker.Conn, f workerframe.Frame) {
		harness.frames <- receivedFrame{f, c}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	harness.clock.Store(int64(time.Minute))
	harness.client, harness.recorder = newConfiguredClient(t, server.Address(), 1, func(cfg *Config) {
		cfg.HealthChecksAllowed = healthChecksAllowed
		cfg.Now = func() time.Duration { return time.Duration(harness.clock.Load()) }
	})
	return harness
}

// sendBoth sends two attempts on one connection, of which the second has a permit until permitEnd unless that is 0. It
// returns once the worker has received both.
func (harness *receiptHarness) sendBoth(permitEnd time.Duration) (other, attempt *workerconn.Attempt) {
	harness.Helper()
	other, attempt = newAttempt(5), newAttempt(6)
	attempt.NotAfter = permitEnd
	for _, a := range []*workerconn.Attempt{other, attempt} {
		send(harness.T, harness.client, a)
		harness.nextFrame(workerframe.Request)
	}
	return other, attempt
}

// nextFrame returns the next frame that the worker receives, which must have the given code.
func (harness *receiptHarness) nextFrame(code workerframe.Code) receivedFrame {
	harness.Helper()
	f := await(harness.T, "a frame", harness.frames)
	if f.Code != code {
		harness.Fatalf("the worker received %+v, want code %d", f.Frame, code)
	}
	return f
}

// wantReset checks that the client has reset the connection, which ended the attempt that was not abandoned.
func (harness *receiptHarness) wantReset() {
	harness.Helper()
	if result := await(harness.T, "the other attempt to end", harness.recorder.attemptEnds); result.Status != scheduler.Error {
		harness.Errorf("the other attempt ended as %+v, want Error after the end of its connection", result)
	}
}

// TestAttemptWithPermit_WorkerAnswersHealthCheck_IsReceived checks that the client finds out by itself whether an
// attempt has arrived that must not arrive later.
func TestAttemptWithPermit_WorkerAnswersHealthCheck_IsReceived(t *testing.T) {
	harness := newReceiptHarness(t, true)
	other, attempt := harness.sendBoth(2 * time.Minute)
	check := harness.nextFrame(workerframe.LoadReport)
	if harness.client.IsReceived(attempt) {
		t.Error("the attempt counts as received before the worker has answered anything")
	}
	check.conn.Respond(workerframe.Frame{Code: workerframe.Healthy, ID: check.ID})
	check.conn.Respond(workerframe.Frame{Code: workerframe.OK, ID: other.Number()})
	await(harness.T, "the other attempt to end", harness.recorder.attemptEnds) // the client has handled both responses
	if !harness.client.IsReceived(attempt) {
		t.Error("the attempt does not count as received after the answer to the health check behind it")
	}
	if len(harness.recorder.healthChecks)+len(harness.recorder.lateResponses) > 0 {
		t.Error("the client's own health check was reported to the event loop")
	}
	harness.clock.Store(int64(3 * time.Minute))
	if !harness.client.Abandon(attempt) {
		t.Error("an attempt that the worker has received is reported as never sent")
	}
	harness.nextFrame(workerframe.Cancel)
}

// TestAbandon_PermitEndedAndNotReceived_ResetsSharedConnection guards against a retry that the network holds and
// delivers after the idempotency key has expired.
func TestAbandon_PermitEndedAndNotReceived_ResetsSharedConnection(t *testing.T) {
	for name, healthChecksAllowed := range map[string]bool{"health checks allowed": true, "health checks not allowed": false} {
		t.Run(name, func(t *testing.T) {
			harness := newReceiptHarness(t, healthChecksAllowed)
			_, attempt := harness.sendBoth(2 * time.Minute)
			harness.clock.Store(int64(2 * time.Minute))
			harness.client.Abandon(attempt)
			harness.wantReset()
		})
	}
}

// TestAbandon_NotReceived_ResetsSharedConnectionAfterTimeout guards against an attempt whose client has gone, that the
// network holds on a connection with other requests and delivers later.
func TestAbandon_NotReceived_ResetsSharedConnectionAfterTimeout(t *testing.T) {
	harness := newReceiptHarness(t, true)
	_, attempt := harness.sendBoth(0)
	harness.client.Abandon(attempt)
	harness.nextFrame(workerframe.Cancel)
	harness.nextFrame(workerframe.LoadReport) // stays unanswered
	harness.clock.Add(int64(100 * time.Millisecond))
	harness.wantReset()
}

// TestAbandon_Received_KeepsSharedConnection checks that the cancellation of an attempt that the worker has received
// does not affect the other requests on its connection.
func TestAbandon_Received_KeepsSharedConnection(t *testing.T) {
	for name, healthChecksAllowed := range map[string]bool{"confirmed by a health check": true, "health checks not allowed": false} {
		t.Run(name, func(t *testing.T) {
			harness := newReceiptHarness(t, healthChecksAllowed)
			other, attempt := harness.sendBoth(0)
			harness.client.Abandon(attempt)
			conn := harness.nextFrame(workerframe.Cancel).conn
			if healthChecksAllowed {
				check := harness.nextFrame(workerframe.LoadReport)
				check.conn.Respond(workerframe.Frame{Code: workerframe.Healthy, ID: check.ID})
				check.conn.Respond(workerframe.Frame{Code: workerframe.OK, ID: 999})
				await(harness.T, "the late response", harness.recorder.lateResponses) // the client has handled both responses
			}
			harness.clock.Add(int64(time.Minute))
			conn.Respond(workerframe.Frame{Code: workerframe.OK, ID: other.Number()})
			if result := await(harness.T, "the other attempt to end", harness.recorder.attemptEnds); result.Status != scheduler.OK {
				t.Errorf("the other attempt ended as %+v, want OK", result)
			}
		})
	}
}

// TestRequestReceipt_WorkerAnswersNoHealthCheck_ChecksAreBounded guards against growth with each retry on a connection
// whose worker answers requests but no health checks.
func TestRequestReceipt_WorkerAnswersNoHealthCheck_ChecksAreBounded(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	client, conn := newUnservedConnection(t, local)
	client.mu.Lock()
	defer client.mu.Unlock()
	client.cfg.HealthChecksAllowed = true
	for range 2 * maxReceiptChecks {
		conn.requestReceipt()
	}
	if checks := len(conn.receiptChecks); checks != maxReceiptChecks {
		t.Errorf("%d health checks are unanswered, want %d", checks, maxReceiptChecks)
	}
}
