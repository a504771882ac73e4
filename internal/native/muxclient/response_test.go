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

// A worker restarted under its address: responses of its former incarnation, with stream IDs of then, must not end attempts
// of now.
func TestResponse_OfFormerIncarnation_EndsNoAttempt(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	client.Send(newAttempt("a"))
	formerID, _ := worker.readRequest()
	formerConn := worker.conn
	_ = formerConn.(*net.TCPConn).CloseWrite() // the worker's end of the old connection lives on
	if r := await(t, "the end", recorder.attemptEnds); r.Status != scheduler.Reset {
		t.Fatalf("%+v", r)
	}
	client.Send(newAttempt("b"))
	worker.acceptAndWelcome(2)
	currentID, _ := worker.readRequest()
	if currentID == formerID {
		t.Fatal("a stream ID was used again")
	}
	worker.write(muxframe.TypeResponse, formerID, muxframe.Response{Status: muxframe.StatusOK}, "")
	await(t, "a late response", recorder.lateResponses)
	worker.write(muxframe.TypeResponse, currentID, muxframe.Response{Status: muxframe.StatusOK}, "")
	if r := await(t, "the response", recorder.attemptEnds); r.Status != scheduler.OK {
		t.Errorf("%+v", r)
	}
}

func TestResponse_UnknownStreamID_BreaksConnection(t *testing.T) {
	worker := startFakeWorker(t)
	_, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	worker.write(muxframe.TypeResponse, 77, muxframe.Response{Status: muxframe.StatusOK}, "")
	if err := await(t, "the disconnect", recorder.disconnects); !errors.Is(err, muxframe.ErrMalformed) {
		t.Errorf("%v", err)
	}
}

func TestStream_ResponseLongerThanWindow_IsReadWithCredit(t *testing.T) {
	worker := startFakeWorker(t)
	client, recorder := newTestClient(t, worker, nil)
	worker.acceptAndWelcome(1)
	client.Send(newAttempt("a"))
	n, request := worker.readRequest()
	part := strings.Repeat("x", int(request.Window)/2)
	worker.write(muxframe.TypeResponse, n, muxframe.Response{Status: muxframe.StatusOK, More: true}, part)
	worker.write(muxframe.TypeData, n, nil, part)
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
		var in muxframe.Credit
		if f.Type == muxframe.TypeCredit && f.Decode(&in) == nil {
			credit += int(in.Bytes)
		}
	}
	worker.write(muxframe.TypeData, n, nil, "end")
	worker.write(muxframe.TypeEnd, n, muxframe.End{}, "")
	if r := await(t, "the end", recorder.attemptEnds); r.Status != scheduler.OK {
		t.Errorf("%+v", r)
	}
	b, err := started.Response.Stream.Next(context.Background(), testTimeout)
	if rest, end := started.Response.Stream.Next(context.Background(), testTimeout); string(b) != "end" || err != nil || rest != nil || end != nil {
		t.Errorf("last part %q %v, then %q %v", b, err, rest, end)
	}
}

// Nobody reads one response, and the worker sends no more than the window allows: another request on the connection gets its
// response meanwhile. A worker that sends more loses the connection.
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
		t.Errorf("%+v", r)
	}
	worker.write(muxframe.TypeData, slow, nil, "too much")
	if r := await(t, "the disconnect", recorder.attemptEnds); r.Status != scheduler.Reset || !strings.Contains(r.Reason, "allowed") {
		t.Errorf("%+v", r)
	}
	started := await(t, "the start of the response", recorder.responsesStarted)
	if _, err := started.Response.Stream.Next(context.Background(), testTimeout); err != nil {
		t.Errorf("what was received before the disconnect is lost: %v", err)
	}
	if _, err := started.Response.Stream.Next(context.Background(), testTimeout); !errors.Is(err, workerconn.ErrIncomplete) {
		t.Errorf("the disconnect shows as %v", err)
	}
}
