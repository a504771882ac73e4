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
			t.Errorf("response %q, want %q", body, want)
		}
	}
}

// TestPipeline_BeyondBound_NotRead holds that what a client sends beyond the bound stays unread until a response is sent.
func TestPipeline_BeyondBound_NotRead(t *testing.T) {
	setup := startServer(t, func(c *Config) { c.MaxPipelined = 2 })
	client := setup.dial()
	client.send(strings.Repeat(postRequest("f", "", ""), 5))
	inFlight := []*stubRequest{receive(t, "a request", setup.handler.requests), receive(t, "a request", setup.handler.requests)}
	for received := 2; len(inFlight) > 0; {
		if len(setup.handler.requests) > 0 {
			t.Fatal("more requests in flight than allowed")
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

func TestExpect_RequestsInFlight_ContinueSentBehindThem(t *testing.T) {
	setup := startServer(t, nil)
	client := setup.dial()
	client.send(postRequest("a", "", ""))
	first := receive(t, "the request", setup.handler.requests)
	client.send("POST /call/b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	first.response <- Response{Outcome: Served, Body: []byte("one")}
	if _, body := client.read(); body != "one" {
		t.Fatalf("%q", body)
	}
	if response, err := http.ReadResponse(client.in, nil); err != nil || response.StatusCode != 100 {
		t.Fatalf("%v %v", response, err)
	}
	client.send("hi")
	if request := receive(t, "the request", setup.handler.requests); string(request.Body) != "hi" {
		t.Errorf("body %q", request.Body)
	} else {
		request.response <- Response{Outcome: Served}
	}
}
