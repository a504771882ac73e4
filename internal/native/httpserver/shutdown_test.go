package httpserver

import (
	"context"
	"testing"
)

func TestConnections_TooMany_Rejected(t *testing.T) {
	setup := startServer(t, func(c *Config) { c.MaxConnections = 1 })
	first := setup.dial()
	first.send(postRequest("f", "", ""))
	request := receive(t, "the request", setup.handler.requests)
	response, _ := setup.dial().read()
	if response.StatusCode != 503 || response.Header.Get("Call-Outcome") != "refused" {
		t.Error(response)
	}
	request.response <- Response{Outcome: Served}
	first.read()
}

func TestShutdown_RequestsInFlight_ServedBeforeClose(t *testing.T) {
	setup := startServer(t, nil)
	idle := setup.dial() // accepted before busy, and so before the requests on busy are received
	busy := setup.dial()
	busy.send(postRequest("a", "", "") + postRequest("b", "", ""))
	a, b := receive(t, "a request", setup.handler.requests), receive(t, "a request", setup.handler.requests)
	done := make(chan struct{})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	go func() { defer close(done); setup.server.Shutdown(ctx) }()
	idle.expectClosed()
	a.response <- Response{Outcome: Served, Body: []byte("a")}
	b.response <- Response{Outcome: Served, Body: []byte("b")}
	if response, body := busy.read(); body != "a" || response.Close {
		t.Error(response, body)
	}
	if response, body := busy.read(); body != "b" || !response.Close {
		t.Error(response, body)
	}
	busy.expectClosed()
	receive(t, "the end of the shutdown", done)
}
