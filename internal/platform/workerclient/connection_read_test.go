package workerclient

import (
	"fmt"
	"testing"
	"time"

	"havencart/internal/platform/workerframe"
	"havencart/lab/platformworker"
	"havencart/scheduler"
)

// TestRead_ResponseSplitAtEveryByte_IsReceived checks that a response that arrives in two segments is read, wherever it
// is split.
func TestRead_ResponseSplitAtEveryByte_IsReceived(t *testing.T) {
	raw, err := workerframe.Append(nil, workerframe.MagicWorker, workerframe.Frame{Code: workerframe.OK, ID: 5, Fields: "peers_in=3", Body: []byte("answer")})
	if err != nil {
		t.Fatal(err)
	}
	cut := make(chan int, 1)
	client, recorder, _ := startWorkerAndClient(t, func(c *platformworker.Conn, _ workerframe.Frame) {
		i := <-cut
		c.WriteRaw(raw[:i])
		c.WriteRaw(raw[i:])
	})
	for i := range raw {
		cut <- i
		send(t, client, newAttempt(5))
		if r := <-recorder.attemptEnds; r.Status != scheduler.OK || string(r.Response.Body) != "answer" || r.QueueDepth != 3 {
			t.Fatalf("the attempt whose response was split at byte %d ended as %+v", i, r)
		}
	}
}

// TestResponse_UnknownOrRepeatedNumber_IsDropped checks that a response with an unknown number and a repeated response
// do not affect the attempt, and that both are reported as late.
func TestResponse_UnknownOrRepeatedNumber_IsDropped(t *testing.T) {
	client, recorder, server := startWorkerAndClient(t, func(c *platformworker.Conn, f workerframe.Frame) {
		c.Respond(workerframe.Frame{Code: workerframe.OK, ID: 999, Body: []byte("ahead")})
		c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: []byte("right")})
		c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: []byte("again")})
	})
	for n := range 3 {
		send(t, client, newAttempt(5+n))
		if r := <-recorder.attemptEnds; r.Status != scheduler.OK || string(r.Response.Body) != "right" {
			t.Errorf("the attempt ended as %+v", r)
		}
		<-recorder.lateResponses
		<-recorder.lateResponses
	}
	if server.ConnectionCount() != 1 {
		t.Errorf("%d connections, want 1", server.ConnectionCount())
	}
}

// TestResponse_SecondForRejectedAttempt_DoesNotEndNextAttempt guards against matching a repeated rejection to a retry.
// The client sends a rejected request to the same worker again under the same number, and then the worker repeats the
// rejection.
func TestResponse_SecondForRejectedAttempt_DoesNotEndNextAttempt(t *testing.T) {
	for _, code := range []workerframe.Code{workerframe.Overloaded, workerframe.NotLoaded, workerframe.AlreadyEnded, workerframe.Error} {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			type receivedFrame struct {
				c *platformworker.Conn
				f workerframe.Frame
			}
			received := make(chan receivedFrame, 4)
			client, recorder, _ := startWorkerAndClient(t, func(c *platformworker.Conn, f workerframe.Frame) { received <- receivedFrame{c, f} })
			send(t, client, newAttempt(5))
			first := <-received
			first.c.Respond(workerframe.Frame{Code: code, ID: first.f.ID})
			if r := <-recorder.attemptEnds; r.Status != statusOfCode[code] {
				t.Fatalf("the first attempt ended as %+v", r)
			}
			send(t, client, newAttempt(5))
			second := <-received
			first.c.Respond(workerframe.Frame{Code: code, ID: first.f.ID})
			select {
			case <-recorder.lateResponses:
			case r := <-recorder.attemptEnds:
				t.Fatalf("a second response with code %d ended the next attempt as %+v", code, r)
			}
			second.c.Respond(workerframe.Frame{Code: workerframe.OK, ID: second.f.ID})
			if r := <-recorder.attemptEnds; r.Status != scheduler.OK {
				t.Errorf("after a second response with code %d the next attempt ended as %+v", code, r)
			}
			if second.c.Number == first.c.Number {
				t.Errorf("the next attempt was sent on the connection that had responded to its number with code %d", code)
			}
		})
	}
}

// TestResponse_WorkerSendsUnknownNumbersWithoutEnd_ConnectionEnds guards against a worker that takes the processor time of
// all others by responses that nothing awaits.
func TestResponse_WorkerSendsUnknownNumbersWithoutEnd_ConnectionEnds(t *testing.T) {
	ended := make(chan bool, 1)
	client, recorder, _ := startWorkerAndClient(t, func(c *platformworker.Conn, f workerframe.Frame) {
		if f.Code != workerframe.Request {
			return
		}
		raw, err := workerframe.Append(nil, workerframe.MagicWorker, workerframe.Frame{Code: workerframe.OK, ID: f.ID + 1})
		if err != nil {
			t.Error(err)
		}
		const tooMany = 10000
		for range tooMany {
			c.WriteRaw(raw)
		}
		ended <- true
	})
	testEnds := make(chan struct{})
	defer close(testEnds)
	go func() {
		for {
			select {
			case <-recorder.lateResponses:
			case <-testEnds:
				return
			}
		}
	}()
	send(t, client, newAttempt(1))
	<-ended
	select {
	case result := <-recorder.attemptEnds:
		if result.Status != scheduler.Error && result.Status != scheduler.Reset {
			t.Errorf("status %v", result.Status)
		}
	case <-time.After(5 * time.Second):
		t.Error("the connection stays open")
	}
}
