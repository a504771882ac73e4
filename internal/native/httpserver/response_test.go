package httpserver

import (
	"encoding/json"
	"testing"
	"time"
)

func TestResponse_EachOutcome_StatusAndHeaders(t *testing.T) {
	setup := startServer(t, nil)
	for _, testCase := range []struct {
		response Response
		status   int
		seconds  string
		ms       string
	}{
		{Response{Outcome: Rejected, Reason: "full", RetryAfter: 1200 * time.Millisecond, Attempts: 2}, 503, "2", "1200"},
		{Response{Outcome: Failed, Reason: "reset", Attempts: 1}, 502, "", ""},
		{Response{Outcome: Failed, TimedOut: true, Attempts: 1}, 504, "", ""},
	} {
		client := setup.dial()
		client.send(postRequest("f", "", ""))
		receive(t, "the request", setup.handler.requests).response <- testCase.response
		response, body := client.read()
		var d Details
		if err := json.Unmarshal([]byte(body), &d); err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != testCase.status || response.Header.Get("Call-Outcome") != string(testCase.response.Outcome) ||
			d.Outcome != testCase.response.Outcome || d.Status != testCase.status || d.Detail != testCase.response.Reason ||
			response.Header.Get("Retry-After") != testCase.seconds || response.Header.Get("Retry-After-Ms") != testCase.ms {
			t.Errorf("%+v: response %v with body %s", testCase.response, response, body)
		}
	}
}
