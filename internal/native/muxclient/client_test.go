package muxclient

import (
	"fmt"
	"io"
	"testing"
	"time"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

func TestSend_WorkerResponds_ReportsResponse(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	client.Send(newAttempt("a"))
	client.Send(newAttempt("b"))
	worker.acceptAndWelcome(1)
	first, _ := worker.readRequest()
	second, request := worker.readRequest()
	if request.ID != "b" || request.TimeoutMillis < 1000 {
		t.Errorf("request %+v, want ID b and a timeout of at least 1000 ms", request)
	}
	queueDepth := 3
	worker.write(muxframe.TypeResponse, second, muxframe.Response{Status: muxframe.StatusOK, QueueDepth: &queueDepth, RunMillis: 12.5}, "out")
	if r := await(t, "a response", recorder.attemptEnds); r.Status != scheduler.OK || string(r.Response.Body) != "out" || r.QueueDepth != 3 ||
		r.RunTime != 12500*time.Microsecond {
		t.Errorf("result %+v", r)
	}
	worker.write(muxframe.TypeResponse, first, muxframe.Response{Status: muxframe.StatusNotLoaded}, "")
	if r := await(t, "a response", recorder.attemptEnds); r.Status != scheduler.NotLoaded || r.QueueDepth != -1 {
		t.Errorf("result %+v", r)
	}
}

func TestSend_FullQueue_IsRejected(t *testing.T) {
	worker := startFakeWorker(t)
	client, _ := newTestClient(t, worker, func(c *Config) { c.MaxQueue = 2 })
	for i := range 2 {
		if r := client.Send(newAttempt(fmt.Sprint(i))); r != nil {
			t.Fatalf("an attempt was rejected although the queue is not full: %+v", r)
		}
	}
	if r := client.Send(newAttempt("third")); r == nil || r.Status != scheduler.ConnectFailed {
		t.Errorf("an attempt with a full queue: %+v, want ConnectFailed", r)
	}
}

func TestLoadOrderAndHealthCheck_WorkerResponds_ReportResult(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	client.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 1}})
	f := worker.readFrame()
	worker.write(muxframe.TypeLoadResult, f.StreamID, muxframe.LoadResult{Status: muxframe.StatusOK, Replicas: 1}, "")
	if s := await(t, "the result of the load order", recorder.loadEnds); s != scheduler.OK {
		t.Errorf("load order: status %v, want OK", s)
	}
	client.CheckHealth(&workerconn.HealthCheck{})
	for worker.readFrame().Type != muxframe.TypeHealthCheck {
		continue // pings may be received before it
	}
	worker.write(muxframe.TypeHealthReport, 0, muxframe.HealthReport{Status: muxframe.StatusOK}, "")
	if s := await(t, "the result of the health check", recorder.healthChecks); s != scheduler.OK {
		t.Errorf("health check: status %v, want OK", s)
	}
	client.CheckHealth(&workerconn.HealthCheck{})
	worker.reset()
	if s := await(t, "the result of the health check", recorder.healthChecks); s != scheduler.ConnectFailed {
		t.Errorf("health check on a broken connection: status %v, want ConnectFailed", s)
	}
}

func TestDrain_QueuedWork_IsRemovedUnsent(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	a, b := newAttempt("a"), newAttempt("b")
	client.Send(a)
	client.Send(b)
	client.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 1}})
	client.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 0}})
	attempts, orders := client.Drain(time.Second)
	if len(attempts) != 2 || attempts[0] != a || len(orders) != 1 {
		t.Fatalf("Drain removed %d attempts and %d load orders, want 2 and 1", len(attempts), len(orders))
	}
	if r := client.Send(newAttempt("c")); r == nil || r.Status != scheduler.NotSent {
		t.Errorf("an attempt while draining: %+v", r)
	}
	if s := client.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 2}}); s != scheduler.Overloaded {
		t.Errorf("a load order while draining: %v", s)
	}
	worker.acceptAndWelcome(1)
	if f := worker.readFrame(); f.Type != muxframe.TypeLoadOrder {
		t.Errorf("the worker received %v, want the residency query", f.Type)
	}
	if len(recorder.attemptEnds) != 0 {
		t.Error("the result of a removed attempt was reported")
	}
	client.Resume()
	client.Send(newAttempt("d"))
	if _, request := worker.readRequest(); request.ID != "d" {
		t.Errorf("the worker received request %q, want \"d\"", request.ID)
	}
}

// TestDrain_BlockedWrite_EndsWithGracePeriod verifies that a request that is partly written when its worker starts to
// drain is not completed after the grace period.
func TestDrain_BlockedWrite_EndsWithGracePeriod(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	await(t, "the connection", recorder.connects)
	big := newAttempt("big")
	big.Body = make([]byte, 15<<20)
	client.Send(big)
	_, _ = io.ReadFull(worker.conn, make([]byte, 100))
	client.Drain(10 * time.Millisecond)
	if r := await(t, "the result of the attempt", recorder.attemptEnds); r.Status != scheduler.ConnectFailed {
		t.Errorf("result %+v, want ConnectFailed", r)
	}
	got, _ := io.Copy(io.Discard, worker.conn)
	if got > 15<<20 {
		t.Errorf("the worker received %d further bytes, which is the whole request", got)
	}
}

func TestAbandon_QueuedOrSent_ReportsWhetherItMayHaveBeenSent(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	a := newAttempt("a")
	client.Send(a)
	if client.Abandon(a) {
		t.Error("an attempt queued without a connection was reported as possibly sent")
	}
	worker.acceptAndWelcome(1)
	await(t, "the connection", recorder.connects)
	b := newAttempt("b")
	client.Send(b)
	streamID, request := worker.readRequest()
	if request.ID != "b" {
		t.Fatalf("the worker received request %q, want \"b\"", request.ID)
	}
	if !client.Abandon(b) {
		t.Error("an attempt that the worker received was reported as not sent")
	}
	if f := worker.readFrame(); f.Type != muxframe.TypeCancel || f.StreamID != streamID {
		t.Errorf("the worker received %v for stream ID %d, want cancel for %d", f.Type, f.StreamID, streamID)
	}
	worker.write(muxframe.TypeResponse, streamID, muxframe.Response{Status: muxframe.StatusOK}, "late")
	if got := await(t, "a late response", recorder.lateResponses); got != streamID {
		t.Errorf("late response to stream ID %d, want %d", got, streamID)
	}
	if len(recorder.attemptEnds) != 0 {
		t.Error("the result of an abandoned attempt was reported")
	}
}

// TestAbandon_EndedAttempt_ReportsWhetherItMayHaveBeenSent guards against taking an executed request for one that was
// never sent. The event loop handles the result of an attempt after the events before it, and may abandon the attempt
// before it handles the result.
func TestAbandon_EndedAttempt_ReportsWhetherItMayHaveBeenSent(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	await(t, "the connection", recorder.connects)
	completed := newAttempt("completed")
	client.Send(completed)
	streamID, _ := worker.readRequest()
	worker.write(muxframe.TypeResponse, streamID, muxframe.Response{Status: muxframe.StatusOK}, "done")
	await(t, "the response", recorder.attemptEnds)
	if !client.Abandon(completed) {
		t.Error("an attempt with a response was reported as not sent")
	}
	broken := newAttempt("broken")
	client.Send(broken)
	worker.readRequest()
	worker.reset()
	await(t, "the disconnect", recorder.attemptEnds)
	if !client.Abandon(broken) {
		t.Error("an attempt that was sent before the connection broke was reported as not sent")
	}
	client.Drain(time.Second)
	drained := newAttempt("drained")
	client.Send(drained)
	if client.Abandon(drained) {
		t.Error("a rejected attempt was reported as possibly sent")
	}
}
