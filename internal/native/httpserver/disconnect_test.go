package httpserver

import (
	"net"
	"strings"
	"testing"
)

func TestDisconnect_RequestsInFlight_Cancelled(t *testing.T) {
	setup := startServer(t, nil)
	client := setup.dial()
	client.send(strings.Repeat(postRequest("f", "", ""), 10))
	var requests []*stubRequest
	for range 10 {
		requests = append(requests, receive(t, "a request", setup.handler.requests))
	}
	for i := range 3 {
		requests[i].response <- Response{Outcome: Served}
		client.read()
	}
	_ = client.Close()
	for _, request := range requests[3:] {
		receive(t, "the cancellation of the request", request.cancelled)
	}
	for _, request := range requests[:3] {
		select {
		case <-request.cancelled:
			t.Error("a request whose response was sent has been cancelled")
		default:
		}
	}
}

func TestDisconnect_HalfClosed_CancelledOrServed(t *testing.T) {
	for _, keepHalfClosed := range []bool{false, true} {
		setup := startServer(t, func(c *Config) { c.KeepHalfClosed = keepHalfClosed })
		client := setup.dial()
		client.send(postRequest("f", "", ""))
		request := receive(t, "the request", setup.handler.requests)
		_ = client.Conn.(*net.TCPConn).CloseWrite()
		if !keepHalfClosed {
			receive(t, "the cancellation of the request", request.cancelled)
			continue
		}
		request.response <- Response{Outcome: Served, Body: []byte("x")}
		if _, body := client.read(); body != "x" {
			t.Errorf("response body %q, want \"x\"", body)
		}
		client.expectClosed()
	}
}
