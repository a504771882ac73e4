package httpserver

import (
	"net"
	"strings"
	"testing"
)

func TestDisconnect_RequestsInFlight_Cancelled(t *testing.T) {
	f := startServer(t, nil)
	c := f.dial()
	c.send(strings.Repeat(postRequest("f", "", ""), 10))
	var requests []*stubRequest
	for range 10 {
		requests = append(requests, receive(t, "a request", f.handler.requests))
	}
	for i := range 3 {
		requests[i].response <- Response{Outcome: Served}
		c.read()
	}
	_ = c.Close()
	for _, request := range requests[3:] {
		receive(t, "the request to be cancelled", request.cancelled)
	}
	for _, request := range requests[:3] {
		select {
		case <-request.cancelled:
			t.Error("a request with a response was cancelled")
		default:
		}
	}
}

func TestDisconnect_HalfClosed_CancelledOrServed(t *testing.T) {
	for _, waits := range []bool{false, true} {
		f := startServer(t, func(c *Config) { c.KeepHalves = waits })
		c := f.dial()
		c.send(postRequest("f", "", ""))
		request := receive(t, "the request", f.handler.requests)
		_ = c.Conn.(*net.TCPConn).CloseWrite()
		if !waits {
			receive(t, "the request to be cancelled", request.cancelled)
			continue
		}
		request.response <- Response{Outcome: Served, Body: []byte("x")}
		if _, body := c.read(); body != "x" {
			t.Errorf("response %q", body)
		}
		c.expectClosed()
	}
}
