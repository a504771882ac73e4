package httpserver

import (
	"encoding/json"
	"testing"
	"time"
)

func TestResponse_EachOutcome_StatusAndHeaders(t *testing.T) {
	f := startServer(t, nil)
	for _, x := range []struct {
		response Response
		status   int
		seconds  string
		ms       string
	}{
		{Response{Outcome: Rejected, Reason: "full", RetryAfter: 1200 * time.Millisecond, Attempts: 2}, 503, "2", "1200"},
		{Response{Outcome: Failed, Reason: "reset", Attempts: 1}, 502, "", ""},
		{Response{Outcome: Failed, TimedOut: true, Attempts: 1}, 504, "", ""},
	} {
		c := f.dial()
		c.send(postRequest("f", "", ""))
		receive(t, "the request", f.handler.requests).response <- x.response
		response, body := c.read()
		var d Details
		if err := json.Unmarshal([]byte(body), &d); err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != x.status || response.Header.Get("Call-Outcome") != string(x.response.Outcome) ||
			d.Outcome != x.response.Outcome || d.Status != x.status || d.Detail != x.response.Reason ||
			response.Header.Get("Retry-After") != x.seconds || response.Header.Get("Retry-After-Ms") != x.ms {
			t.Errorf("%+v: %v %s", x.response, response, body)
		}
	}
}
