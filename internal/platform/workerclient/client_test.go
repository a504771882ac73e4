package workerclient

import (
	"fmt"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	"havencart/internal/native/muxframe"
	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/lab/platformworker"
	"havencart/scheduler"
)

func TestSend_WorkerResponds_ReportsResponse(t *testing.T) {
	got := make(chan workerframe.Frame, 1)
	client, recorder, _ := startWorkerAndClient(t, func(c *platformworker.Conn, f workerframe.Frame) {
		got <- f
		c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Fields: "peers_in=3,rep=queue:2", Body: []byte("answer")})
	})
	send(t, client, newAttempt(5))
	f, r := <-got, <-recorder.attemptEnds
	class, _ := workerframe.Field(f.Fields, "lane")
	name, _ := workerframe.Field(f.Fields, "name")
	key, _ := workerframe.Field(f.Fields, "dedupe")
	if f.Code != workerframe.Request || f.ID != 5 || class != "fare-quote" || name != "7f3a9c21e0b4d655" ||
		key != "5c0f6e1a2b3d4c59a8b7c6d5e4f30211" || string(f.Body) != "body" {
		t.Errorf("the worker received %+v", f)
	}
	if r.Status != scheduler.OK || string(r.Response.Body) != "answer" || r.QueueDepth != 3 || r.LoadReport[0] != 2 {
		t.Errorf("the attempt ended as %+v", r)
	}
}

func TestLoadOrderAndHealthCheck_WorkerResponds_ReportResult(t *testing.T) {
	got := make(chan workerframe.Frame, 4)
	client, recorder, _ := startWorkerAndClient(t, func(c *platformworker.Conn, f workerframe.Frame) {
		got <- f
		switch f.Code {
		case workerframe.Load:
			c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Fields: "replicas=2"})
		case workerframe.LoadReport:
			c.Respond(workerframe.Frame{Code: workerframe.Healthy, ID: f.ID, Fields: "rep=queue:1"})
		}
	})
	order := &workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 2, Replica: muxframe.ReplicaSpec{Function: "7f3a9c21e0b4d655"}}}
	if s := client.Load(order); s != 0 {
		t.Fatal(s)
	}
	if f := <-got; f.Code != workerframe.Load || f.Fields != "name=7f3a9c21e0b4d655,replicas=2" {
		t.Errorf("the worker received %+v", f)
	}
	if end := <-recorder.loadEnds; end != fmt.Sprint(scheduler.OK, " ", 2) {
		t.Errorf("the load order ended as %s", end)
	}
	client.CheckHealth(&workerconn.HealthCheck{})
	if f, s := <-got, <-recorder.healthChecks; f.Code != workerframe.LoadReport || s != scheduler.OK {
		t.Errorf("the health check %+v ended as %v", f, s)
	}
	client.Unload("7f3a9c21e0b4d655")
	if f := <-got; f.Code != workerframe.Unload || f.ID != 0x7f3a9c21e0b4d655 {
		t.Errorf("the worker received %+v", f)
	}
}

func TestDrain_QueuedAttempt_IsRemovedUnsent(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	silent, err := net.Listen("tcp", "127.0.0.1:0") // no connection is accepted
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	client, _ := newTestClient(t, silent.Addr().String(), 8)
	client.mu.Lock() // add a queued attempt without starting a goroutine that sends it
	client.ensureInitialized()
	conn := newConnection(client)
	client.connections = append(client.connections, conn)
	a := newAttempt(5)
	client.attempts[a] = conn
	conn.queue.PushAttempt(5, a)
	client.mu.Unlock()
	attempts, _ := client.Drain(time.Second)
	if len(attempts) != 1 || attempts[0] != a || client.Abandon(a) {
		t.Errorf("%d attempts were removed, may have been sent: %v; want 1 unsent attempt", len(attempts), client.Abandon(a))
	}
	if r := client.Send(newAttempt(6)); r == nil || r.Status != scheduler.NotSent {
		t.Errorf("an attempt for a draining worker returned %+v, want NotSent", r)
	}
	if s := client.Load(&workerconn.LoadOrder{Load: muxframe.LoadOrder{Replicas: 1}}); s != scheduler.Overloaded {
		t.Errorf("a load order for a draining worker returned %v, want Overloaded", s)
	}
}

func TestAbandon_SentAttempt_CancelsAndDrainsConnection(t *testing.T) {
	got := make(chan workerframe.Frame, 4)
	client, recorder, server := startWorkerAndClient(t, func(c *platformworker.Conn, f workerframe.Frame) {
		got <- f
		if f.ID == 6 {
			c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID})
		}
	})
	a := newAttempt(5)
	send(t, client, a)
	<-got
	if !client.Abandon(a) {
		t.Error("an attempt that was completely written is reported as never sent")
	}
	if f := <-got; f.Code != workerframe.Cancel || f.ID != 5 {
		t.Errorf("the worker received %+v", f)
	}
	send(t, client, newAttempt(6))
	if r := <-recorder.attemptEnds; r.Status != scheduler.OK {
		t.Errorf("the next attempt ended as %+v", r)
	}
	if server.ConnectionCount() != 2 {
		t.Errorf("%d connections, want 2: the connection of a cancelled attempt must not be reused", server.ConnectionCount())
	}
	if client.Busy() {
		t.Error("Busy is true although no work is unfinished")
	}
}

// TestQueuedAttempt_RemovedDuringDial_IsNeverWritten checks that an attempt that is cancelled, abandoned or drained
// while its connection is being dialled is not written once the connection is established.
func TestQueuedAttempt_RemovedDuringDial_IsNeverWritten(t *testing.T) {
	for name, remove := range map[string]func(client *Client, a *workerconn.Attempt) bool{
		"cancelled unsent": func(client *Client, a *workerconn.Attempt) bool { return client.CancelUnsent(a) },
		"abandoned":        func(client *Client, a *workerconn.Attempt) bool { return !client.Abandon(a) },
		"drained": func(client *Client, a *workerconn.Attempt) bool {
			attempts, _ := client.Drain(time.Second)
			return len(attempts) == 1 && attempts[0] == a
		},
	} {
		local, remote := net.Pipe()
		defer func() { _ = remote.Close() }()
		client, conn := newUnservedConnection(t, nil) // not connected, as during a dial
		a := newAttempt(5)
		send(t, client, a)
		if !remove(client, a) || client.Busy() {
			t.Errorf("%s: the attempt was not removed", name)
		}
		if client.CancelUnsent(a) {
			t.Errorf("%s: CancelUnsent removed the attempt again", name)
		}
		conn.netConn = local // the dial succeeds after the removal
		var batch writeBatch
		if conn.nextBatch(local, &batch); len(batch.Bytes) > 0 {
			t.Errorf("%s: %d bytes would be written, want none", name, len(batch.Bytes))
		}
	}
}

func TestConnectionBudget_Exhausted_AttemptsShareConnections(t *testing.T) {
	responses := make(chan func(), 16)
	t.Cleanup(func() { goleak.VerifyNone(t) })
	server, err := platformworker.StartFullyScripted(func(c *platformworker.Conn, f workerframe.Frame) {
		responses <- func() { c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID}) }
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client, recorder := newTestClient(t, server.Address(), 2)
	for n := range 6 {
		send(t, client, newAttempt(10+n))
	}
	for range 6 {
		(<-responses)()
	}
	for range 6 {
		if r := <-recorder.attemptEnds; r.Status != scheduler.OK {
			t.Errorf("an attempt ended as %+v", r)
		}
	}
	if server.ConnectionCount() > 2 {
		t.Errorf("%d connections were opened with a budget of 2", server.ConnectionCount())
	}
}
