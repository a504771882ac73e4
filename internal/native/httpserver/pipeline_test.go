package httpserver

import (
	"net/http"
	"strings"
	"testing"
)

func TestPipeline_ResponsesOutOfOrder_SentInOrder(t *testing.T) {
	setup := startServer(t, nil)
	client := setup.dial()
	client.send(postRequest("a", "", "1") + postRequest("b", "", "2") + postRequest("c", "", "3"))
	var requests []*stubRequest
	for range 3 {
		requests = append(requests, receive(t, "a request", setup.handler.requests))
	}
	for i := 2; i >= 0; i-- {
		requests[i].response <- Response{Outcome: Served, Body: []byte(requests[i].Function)}
	}
	for _, want := range []string{"a", "b", "c"} {
		if _, body := client.read(); body != want {
			t.Errorf("response body %q, want %q", body, want)
		}
	}
}

// TestPipeline_AboveLimit_NotRead verifies that requests beyond MaxPipelined are not read until a response is sent.
func TestPipeline_AboveLimit_NotRead(t *testing.T) {
	setup := startServer(t, func(c *Config) { c.MaxPipelined = 2 })
	client := setup.dial()
	client.send(strings.Repeat(postRequest("f", "", ""), 5))
	inFlight := []*stubRequest{receive(t, "a request", setup.handler.requests), receive(t, "a request", setup.handler.requests)}
	for received := 2; len(inFlight) > 0; {
		if len(setup.handler.requests) > 0 {
			t.Fatal("more than MaxPipelined requests are in flight")
		}
		inFlight[0].response <- Response{Outcome: Served}
		inFlight = inFlight[1:]
		client.read()
		if received < 5 {
			inFlight = append(inFlight, receive(t, "a request", setup.handler.requests))
			received++
		}
	}
}

func TestExpect_RequestInFlight_ContinueSentAfterResponse(t *testing.T) {
	setup := startServer(t, nil)
	client := setup.dial()
	client.send(postRequest("a", "", ""))
	first := receive(t, "the request", setup.handler.requests)
	client.send("POST /call/b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	first.response <- Response{Outcome: Served, Body: []byte("one")}
	if _, body := client.read(); body != "one" {
		t.Fatalf("first response body %q, want \"one\"", body)
	}
	if response, err := http.ReadResponse(client.reader, nil); err != nil || response.StatusCode != 100 {
		t.Fatalf("response %v, error %v, want 100 Continue", response, err)
	}
	client.send("hi")
	if request := receive(t, "the request", setup.handler.requests); string(request.Body) != "hi" {
		t.Errorf("request body %q, want \"hi\"", request.Body)
	} else {
		request.response <- Response{Outcome: Served}
	}
}
