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
		t.Errorf("request %+v", request)
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
			t.Fatalf("%+v", r)
		}
	}
	if r := client.Send(newAttempt("third")); r == nil || r.Status != scheduler.ConnectFailed {
		t.Errorf("%+v", r)
	}
}

func TestLoadOrderAndHealthCheck_WorkerResponds_ReportResult(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	client.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 1}})
	f := worker.readFrame()
	worker.write(muxframe.TypeLoadResult, f.StreamID, muxframe.LoadResult{Status: muxframe.StatusOK, Replicas: 1}, "")
	if s := await(t, "the load order's end", recorder.loadEnds); s != scheduler.OK {
		t.Errorf("%v", s)
	}
	client.CheckHealth(&workerconn.HealthCheck{})
	for worker.readFrame().Type != muxframe.TypeHealthCheck {
		continue // pings may come before it
	}
	worker.write(muxframe.TypeHealthReport, 0, muxframe.HealthReport{Status: muxframe.StatusOK}, "")
	if s := await(t, "the health check's end", recorder.healthChecks); s != scheduler.OK {
		t.Errorf("%v", s)
	}
	client.CheckHealth(&workerconn.HealthCheck{})
	worker.reset()
	if s := await(t, "the health check's end", recorder.healthChecks); s != scheduler.ConnectFailed {
		t.Errorf("%v", s)
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
		t.Fatalf("removed: %d attempts, %d load orders", len(attempts), len(orders))
	}
	if r := client.Send(newAttempt("c")); r == nil || r.Status != scheduler.NotSent {
		t.Errorf("an attempt while draining: %+v", r)
	}
	if s := client.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 2}}); s != scheduler.Overloaded {
		t.Errorf("a load order while draining: %v", s)
	}
	worker.acceptAndWelcome(1)
	if f := worker.readFrame(); f.Type != muxframe.TypeLoadOrder {
		t.Errorf("%v was sent, only the residency query may be", f.Type)
	}
	if len(recorder.attemptEnds) != 0 {
		t.Error("the end of a removed attempt was reported")
	}
	client.Resume()
	client.Send(newAttempt("d"))
	if _, c := worker.readRequest(); c.ID != "d" {
		t.Errorf("request %q was sent", c.ID)
	}
}

// A request that is half written while its worker drains is not completed after the grace period.
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
	if r := await(t, "the end", recorder.attemptEnds); r.Status != scheduler.ConnectFailed {
		t.Errorf("%+v", r)
	}
	got, _ := io.Copy(io.Discard, worker.conn)
	if got > 15<<20 {
		t.Errorf("%d bytes were received: the whole request", got)
	}
}

func TestAbandon_QueuedOrSent_ReportsWhetherItMayHaveBeenSent(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	a := newAttempt("a")
	client.Send(a)
	if client.Abandon(a) {
		t.Error("an attempt without a connection may have been sent")
	}
	worker.acceptAndWelcome(1)
	await(t, "the connection", recorder.connects)
	b := newAttempt("b")
	client.Send(b)
	n, c := worker.readRequest()
	if c.ID != "b" {
		t.Fatalf("request %q was sent", c.ID)
	}
	if !client.Abandon(b) {
		t.Error("an attempt that was received was not sent")
	}
	if f := worker.readFrame(); f.Type != muxframe.TypeCancel || f.StreamID != n {
		t.Errorf("the worker received %v %d", f.Type, f.StreamID)
	}
	worker.write(muxframe.TypeResponse, n, muxframe.Response{Status: muxframe.StatusOK}, "late")
	if got := await(t, "a late response", recorder.lateResponses); got != n {
		t.Errorf("late response to %d", got)
	}
	if len(recorder.attemptEnds) != 0 {
		t.Error("the end of an abandoned attempt was reported")
	}
}

// The owner hears of the end of an attempt late, behind other events, and may abandon the attempt in between. A request that
// was executed must not be taken for one that was never sent.
func TestAbandon_EndedAttempt_ReportsWhetherItMayHaveBeenSent(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	await(t, "the connection", recorder.connects)
	answered := newAttempt("answered")
	client.Send(answered)
	n, _ := worker.readRequest()
	worker.write(muxframe.TypeResponse, n, muxframe.Response{Status: muxframe.StatusOK}, "done")
	await(t, "the response", recorder.attemptEnds)
	if !client.Abandon(answered) {
		t.Error("an attempt with a response was never sent")
	}
	broken := newAttempt("broken")
	client.Send(broken)
	worker.readRequest()
	worker.reset()
	await(t, "the disconnect", recorder.attemptEnds)
	if !client.Abandon(broken) {
		t.Error("an attempt whose connection broke was never sent")
	}
	client.Drain(time.Second)
	drained := newAttempt("drained")
	client.Send(drained)
	if client.Abandon(drained) {
		t.Error("a rejected attempt may have been sent")
	}
}
