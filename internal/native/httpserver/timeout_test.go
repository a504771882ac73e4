package httpserver

import (
	"testing"
	"time"
)

func TestTimeout_EachPhase_SlowClientDisconnected(t *testing.T) {
	short := 50 * time.Millisecond
	t.Run("idle", func(t *testing.T) {
		setup := startServer(t, func(c *Config) { c.IdleTimeout = short })
		setup.dial().expectClosed()
	})
	t.Run("header", func(t *testing.T) {
		setup := startServer(t, func(c *Config) { c.HeaderTimeout = short })
		client := setup.dial()
		client.send("POST /call/f HTTP/1.1\r\nHos")
		if response, _ := client.read(); response.StatusCode != 408 {
			t.Error(response)
		}
		client.expectClosed()
	})
	t.Run("body", func(t *testing.T) {
		setup := startServer(t, func(c *Config) { c.BodyTimeout = short })
		client := setup.dial()
		client.send("POST /call/f HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc")
		if response, _ := client.read(); response.StatusCode != 408 {
			t.Error(response)
		}
		client.expectClosed()
	})
	t.Run("idle with a request in flight", func(t *testing.T) {
		setup := startServer(t, func(c *Config) { c.IdleTimeout = short })
		client := setup.dial()
		client.send(postRequest("f", "", ""))
		request := receive(t, "the request", setup.handler.requests)
		time.Sleep(3 * short) // let the idle timeout expire; a longer sleep would do as well
		request.response <- Response{Outcome: Served, Body: []byte("x")}
		if _, body := client.read(); body != "x" {
			t.Error(body)
		}
	})
}
