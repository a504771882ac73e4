package workerclient

import (
	"errors"
	"io"
	"syscall"
	"testing"
	"time"

	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/lab/platformworker"
	"havencart/scheduler"
)

// TestAttempt_EndAfterCompleteWrite_ReportsWhetherItMayHaveExecuted covers the results of an attempt that was
// completely written. A status must not rule out the execution of an attempt that the worker may have executed.
func TestAttempt_EndAfterCompleteWrite_ReportsWhetherItMayHaveExecuted(t *testing.T) {
	respond := func(code workerframe.Code) platformworker.Script {
		return func(c *platformworker.Conn, f workerframe.Frame) { c.Respond(workerframe.Frame{Code: code, ID: f.ID}) }
	}
	corrupted := func(change func(raw []byte) []byte) platformworker.Script {
		return func(c *platformworker.Conn, f workerframe.Frame) {
			raw, _ := workerframe.Append(nil, workerframe.MagicWorker, workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: []byte("x")})
			c.WriteRaw(change(raw))
		}
	}
	for name, test := range map[string]struct {
		script platformworker.Script
		want   scheduler.Status
	}{
		"not loaded":          {respond(workerframe.NotLoaded), scheduler.NotLoaded},
		"overloaded":          {respond(workerframe.Overloaded), scheduler.Overloaded},
		"error":               {respond(workerframe.Error), scheduler.Error},
		"already ended":       {respond(workerframe.AlreadyEnded), scheduler.NotSent},
		"wrong checksum":      {corrupted(func(raw []byte) []byte { raw[len(raw)-1] ^= 1; return raw }), scheduler.Error},
		"not a frame":         {corrupted(func([]byte) []byte { return []byte("this is no frame at all") }), scheduler.Error},
		"body length of 3 GB": {corrupted(func(raw []byte) []byte { raw[4] = 0xb0; return raw }), scheduler.Error},
		"reset":               {func(c *platformworker.Conn, _ workerframe.Frame) { c.Reset() }, scheduler.Error},
		"closed":              {func(c *platformworker.Conn, _ workerframe.Frame) { _ = c.Close() }, scheduler.Error},
		"truncated":           {func(c *platformworker.Conn, _ workerframe.Frame) { c.WriteRaw([]byte{90, 64, 0}); _ = c.Close() }, scheduler.Error},
	} {
		t.Run(name, func(t *testing.T) {
			client, recorder, _ := startWorkerAndClient(t, test.script)
			send(t, client, newAttempt(5))
			if r := <-recorder.attemptEnds; r.Status != test.want {
				t.Errorf("the attempt ended as %+v", r)
			}
		})
	}
}

func TestConnection_WorkerProcessExited_EndsAttemptAsReset(t *testing.T) {
	var server *platformworker.Server
	received := make(chan bool, 1)
	client, recorder, server := startWorkerAndClient(t, func(*platformworker.Conn, workerframe.Frame) { received <- true })
	send(t, client, newAttempt(5))
	<-received
	server.Close()
	if r := <-recorder.attemptEnds; r.Status != scheduler.Reset {
		t.Errorf("an attempt in flight at the exit of the worker process ended as %+v, want Reset", r)
	}
	send(t, client, newAttempt(6))
	if r := <-recorder.attemptEnds; r.Status != scheduler.ConnectFailed {
		t.Errorf("an attempt after the exit of the worker process ended as %+v, want ConnectFailed", r)
	}
}

// TestConnection_MalformedResponse_DoesNotAffectOtherAttempts checks that a malformed response ends only its own
// attempt: each attempt has its own connection until the budget is exhausted.
func TestConnection_MalformedResponse_DoesNotAffectOtherAttempts(t *testing.T) {
	others := make(chan func(), 8)
	client, recorder, server := startWorkerAndClient(t, func(c *platformworker.Conn, f workerframe.Frame) {
		if f.ID == 5 {
			c.WriteRaw([]byte("noise that is no frame"))
			return
		}
		others <- func() { c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID}) }
	})
	for n := range 3 {
		send(t, client, newAttempt(10+n))
	}
	responses := []func(){<-others, <-others, <-others}
	send(t, client, newAttempt(5))
	if r := <-recorder.attemptEnds; r.Status != scheduler.Error {
		t.Errorf("the attempt with the malformed response ended as %+v", r)
	}
	for _, respond := range responses {
		respond()
		if r := <-recorder.attemptEnds; r.Status != scheduler.OK {
			t.Errorf("another attempt ended as %+v", r)
		}
	}
	if server.ConnectionCount() < 4 {
		t.Errorf("%d connections for 4 attempts, want one each", server.ConnectionCount())
	}
}

// TestClose_RequestWasCancelled_ResetsConnection guards against a cancelled request that reaches the worker late: after
// the close, the operating system could still send buffered data once an interrupted network path works again. The
// connection is therefore reset if a request was cancelled on it, and closed normally otherwise.
func TestClose_RequestWasCancelled_ResetsConnection(t *testing.T) {
	for _, cancelled := range []bool{true, false} {
		local, remote := connectedPair(t)
		client, conn := newUnservedConnection(t, local)
		a := newAttempt(5)
		send(t, client, a)
		served := make(chan error, 1)
		client.tasks.Go(func() { served <- conn.serve(local) })
		r := workerframe.NewReader(remote, workerframe.MagicFrontEnd, workerframe.MaxBody)
		if f, err := r.Next(); err != nil || f.ID != 5 {
			t.Fatalf("read frame %+v, error %v; want request 5", f, err)
		}
		if cancelled {
			client.Abandon(a)
		} else {
			raw, _ := workerframe.Append(nil, workerframe.MagicWorker, workerframe.Frame{Code: workerframe.OK, ID: 5})
			if _, err := remote.Write(raw); err != nil {
				t.Fatal(err)
			}
			client.mu.Lock()
			conn.draining = true
			conn.wakeUp()
			client.mu.Unlock()
		}
		if err := <-served; !errors.Is(err, workerconn.ErrIdle) {
			t.Errorf("serve returned %v, want ErrIdle", err)
		}
		if _, err := io.Copy(io.Discard, remote); errors.Is(err, syscall.ECONNRESET) != cancelled {
			t.Errorf("cancelled %v: the worker's read ended with %v", cancelled, err)
		}
	}
}

// TestStop_AttemptInFlight_ResetsConnection checks that the connections of a stopped client are reset, so that the
// operating system sends no buffered request later, when an interrupted network path works again.
func TestStop_AttemptInFlight_ResetsConnection(t *testing.T) {
	local, remote := connectedPair(t)
	client, conn := newUnservedConnection(t, local)
	send(t, client, newAttempt(5))
	served := make(chan error, 1)
	client.tasks.Go(func() { served <- conn.serve(local) })
	r := workerframe.NewReader(remote, workerframe.MagicFrontEnd, workerframe.MaxBody)
	if f, err := r.Next(); err != nil || f.ID != 5 {
		t.Fatalf("read frame %+v, error %v; want request 5", f, err)
	}
	client.Stop()
	if err := <-served; err == nil {
		t.Error("serve returned no error")
	}
	if _, err := io.Copy(io.Discard, remote); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the worker's read ended with %v, want a reset", err)
	}
}

// TestHealthCheck_ConnectionEndsUnanswered_IsSentAgain checks that a health check is sent again on the next connection
// if its connection ends before the response, for example because the worker closes a connection that was idle for a
// long time. Only a worker that accepts no connection leaves the check without a response.
func TestHealthCheck_ConnectionEndsUnanswered_IsSentAgain(t *testing.T) {
	client, recorder, _ := startWorkerAndClient(t, func(c *platformworker.Conn, f workerframe.Frame) {
		if c.Number == 1 {
			c.Reset()
			return
		}
		c.Respond(workerframe.Frame{Code: workerframe.Healthy, ID: f.ID})
	})
	check := &workerconn.HealthCheck{RequestedAt: time.Nanosecond}
	if status := client.CheckHealth(check); status != 0 {
		t.Fatal(status)
	}
	if status := <-recorder.healthChecks; status != scheduler.OK {
		t.Errorf("the health check ended as %v", status)
	}
	if check.ConnectedAt <= check.RequestedAt || check.SentAfter() != check.ConnectedAt {
		t.Errorf("check sent after %v, requested at %v on a connection established at %v", check.SentAfter(), check.RequestedAt, check.ConnectedAt)
	}
}

func TestHealthCheck_WorkerProcessExited_EndsUnanswered(t *testing.T) {
	client, recorder, server := startWorkerAndClient(t, func(*platformworker.Conn, workerframe.Frame) {})
	server.Close()
	if status := client.CheckHealth(&workerconn.HealthCheck{}); status != 0 {
		t.Fatal(status)
	}
	if status := <-recorder.healthChecks; status != scheduler.ConnectFailed {
		t.Errorf("the health check ended as %v", status)
	}
}

// TestAbandonHealthCheck_ConnectionIsNotUsedAgain checks that the connection of an abandoned health check is not used
// for new work: the worker has read the check and does not respond.
func TestAbandonHealthCheck_ConnectionIsNotUsedAgain(t *testing.T) {
	received := make(chan int, 2)
	client, recorder, _ := startWorkerAndClient(t, func(c *platformworker.Conn, f workerframe.Frame) {
		received <- c.Number
		if c.Number == 2 {
			c.Respond(workerframe.Frame{Code: workerframe.Healthy, ID: f.ID})
		}
	})
	check := &workerconn.HealthCheck{}
	client.CheckHealth(check)
	<-received
	client.AbandonHealthCheck(check)
	client.CheckHealth(&workerconn.HealthCheck{})
	if number := <-received; number != 2 {
		t.Errorf("the next health check was sent on connection %d, want 2", number)
	}
	if status := <-recorder.healthChecks; status != scheduler.OK {
		t.Errorf("the next health check ended as %v", status)
	}
}
