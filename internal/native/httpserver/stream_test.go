package httpserver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"
)

// stubStream is a Stream whose parts come from the test. Closing it makes Next return an error.
type stubStream chan []byte

func (s stubStream) Next(ctx context.Context, _ time.Duration) ([]byte, error) {
	select {
	case part, ok := <-s:
		if !ok {
			return nil, errors.New("stream failed")
		}
		return part, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func TestStream_UnknownLength_PartsSentImmediately(t *testing.T) {
	setup := startServer(t, nil)
	client := setup.dial()
	client.send(postRequest("f", "", ""))
	stream := make(stubStream, 10)
	receive(t, "the request", setup.handler.requests).response <- Response{Outcome: Served, Stream: stream, Length: -1}
	stream <- []byte("first")
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil || response.TransferEncoding[0] != "chunked" {
		t.Fatal(response, err)
	}
	buf := make([]byte, 5)
	if _, err := io.ReadFull(response.Body, buf); err != nil || string(buf) != "first" {
		t.Fatal(string(buf), err)
	}
	stream <- []byte("second")
	stream <- nil
	if more, err := io.ReadAll(response.Body); err != nil || string(more) != "second" {
		t.Error(string(more), err)
	}
}

// TestStream_Fails_ClientSeesIncompleteResponse verifies that a client can tell that a response is incomplete.
func TestStream_Fails_ClientSeesIncompleteResponse(t *testing.T) {
	for _, length := range []int64{-1, 100} {
		setup := startServer(t, nil)
		client := setup.dial()
		client.send(postRequest("f", "", ""))
		request := receive(t, "the request", setup.handler.requests)
		stream := make(stubStream, 10)
		request.response <- Response{Outcome: Served, Stream: stream, Length: length}
		stream <- []byte("first")
		close(stream)
		response, err := http.ReadResponse(client.reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(response.Body); err == nil {
			t.Error("the client read the incomplete response without an error")
		}
		receive(t, "the cancellation of the request", request.cancelled)
	}
}
