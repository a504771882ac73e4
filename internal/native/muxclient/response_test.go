package muxclient

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// TestResponse_OfPreviousIncarnation_EndsNoAttempt guards against responses of a worker's previous incarnation that end
// attempts at its current incarnation at the same address. This could happen if stream IDs were used again.
func TestResponse_OfPreviousIncarnation_EndsNoAttempt(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	client.Send(newAttempt("a"))
	previousID, _ := worker.readRequest()
	previousConn := worker.conn
	_ = previousConn.(*net.TCPConn).CloseWrite() // the worker's side of the previous connection stays open for reading
	if r := await(t, "the result of the first attempt", recorder.attemptEnds); r.Status != scheduler.Reset {
		t.Fatalf("result %+v, want Reset", r)
	}
	client.Send(newAttempt("b"))
	worker.acceptAndWelcome(2)
	currentID, _ := worker.readRequest()
	if currentID == previousID {
		t.Fatal("a stream ID was used again")
	}
	worker.write(muxframe.TypeResponse, previousID, muxframe.Response{Status: muxframe.StatusOK}, "")
	await(t, "a late response", recorder.lateResponses)
	worker.write(muxframe.TypeResponse, currentID, muxframe.Response{Status: muxframe.StatusOK}, "")
	if r := await(t, "the response", recorder.attemptEnds); r.Status != scheduler.OK {
		t.Errorf("result %+v, want OK", r)
	}
}

func TestResponse_UnknownStreamID_BreaksConnection(t *testing.T) {
	worker := startFakeWorker(t)
	_, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	worker.write(muxframe.TypeResponse, 77, muxframe.Response{Status: muxframe.StatusOK}, "")
	if err := await(t, "the disconnect", recorder.disconnects); !errors.Is(err, muxframe.ErrMalformed) {
		t.Errorf("the connection ended with error %v, want ErrMalformed", err)
	}
}

func TestStream_ResponseLongerThanWindow_IsReadWithCredit(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	client.Send(newAttempt("a"))
	streamID, request := worker.readRequest()
	part := strings.Repeat("x", int(request.Window)/2)
	worker.write(muxframe.TypeResponse, streamID, muxframe.Response{Status: muxframe.StatusOK, More: true}, part)
	worker.write(muxframe.TypeData, streamID, nil, part)
	started := await(t, "the start of the response", recorder.responsesStarted)
	got := 0
	for range 2 {
		b, err := started.Response.Stream.Next(context.Background(), testTimeout)
		if err != nil {
			t.Fatal(err)
		}
		got += len(b)
	}
	for credit := 0; credit < int(request.Window); {
		f := worker.readFrame()
		var header muxframe.Credit
		if f.Type == muxframe.TypeCredit && f.Decode(&header) == nil {
			credit += int(header.Bytes)
		}
	}
	worker.write(muxframe.TypeData, streamID, nil, "end")
	worker.write(muxframe.TypeEnd, streamID, muxframe.End{}, "")
	if r := await(t, "the result of the attempt", recorder.attemptEnds); r.Status != scheduler.OK {
		t.Errorf("result %+v, want OK", r)
	}
	b, err := started.Response.Stream.Next(context.Background(), testTimeout)
	if rest, end := started.Response.Stream.Next(context.Background(), testTimeout); string(b) != "end" || err != nil || rest != nil || end != nil {
		t.Errorf("last part %q, error %v, then part %q, error %v; want \"end\", then the end of the stream", b, err, rest, end)
	}
}

// TestStream_SlowReader_DelaysNoOtherRequest verifies that a response that is not being read does not delay other
// requests on the connection as long as the worker stays within the flow control window, and that the connection is
// closed if the worker exceeds the window.
func TestStream_SlowReader_DelaysNoOtherRequest(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	client.Send(newAttempt("slow"))
	client.Send(newAttempt("quick"))
	slow, request := worker.readRequest()
	quick, _ := worker.readRequest()
	worker.write(muxframe.TypeResponse, slow, muxframe.Response{Status: muxframe.StatusOK, More: true},
		strings.Repeat("x", int(request.Window)))
	worker.write(muxframe.TypeResponse, quick, muxframe.Response{Status: muxframe.StatusOK}, "")
	if r := await(t, "the quick response", recorder.attemptEnds); r.Status != scheduler.OK {
		t.Errorf("result %+v, want OK", r)
	}
	worker.write(muxframe.TypeData, slow, nil, "too much")
	if r := await(t, "the disconnect", recorder.attemptEnds); r.Status != scheduler.Reset || !strings.Contains(r.Reason, "allowed") {
		t.Errorf("result %+v, want Reset because the window was exceeded", r)
	}
	started := await(t, "the start of the response", recorder.responsesStarted)
	if _, err := started.Response.Stream.Next(context.Background(), testTimeout); err != nil {
		t.Errorf("the part received before the disconnect was lost: %v", err)
	}
	if _, err := started.Response.Stream.Next(context.Background(), testTimeout); !errors.Is(err, workerconn.ErrIncomplete) {
		t.Errorf("error %v after the disconnect, want ErrIncomplete", err)
	}
}
