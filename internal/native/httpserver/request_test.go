package httpserver

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

func TestRequest_AllHeaders_Decoded(t *testing.T) {
	setup := startServer(t, nil)
	client := setup.dial()
	client.send(postRequest("fare%20quote", "Call-Class: fare\r\nCall-Tenant: t\r\nCall-Patience: 1500\r\nCall-Cost: 20ms\r\n"+
		"Idempotency-Key: \"a \\\"b\"\r\nCall-Id: x\r\nCall-Memory: 300\r\nCall-Lanes: 2\r\nCall-Load: 1s\r\n", "hello"))
	request := receive(t, "the request", setup.handler.requests)
	got := *request.Request
	if got.ReceivedAt.IsZero() {
		t.Error("ReceivedAt is not set")
	}
	got.ReceivedAt = time.Time{}
	want := Request{
		Function: "fare quote", Class: "fare", Tenant: "t", IdempotencyKey: `a "b`, ID: "x", Timeout: 1500 * time.Millisecond,
		WorkEstimate: 20 * time.Millisecond, MemoryMB: 300, Concurrency: 2, LoadTime: time.Second, Body: []byte("hello"),
	}
	if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		t.Errorf("request %+v, want %+v", got, want)
	}
	request.response <- Response{Outcome: Served, ContentType: "text/x", Body: []byte("out"), Worker: "w\r\nX: y", Attempts: 1}
	response, body := client.read()
	if response.StatusCode != 200 || body != "out" || response.Header.Get("Call-Outcome") != "served" ||
		response.Header.Get("X") != "" {
		t.Errorf("%v %q", response, body)
	}
}

func TestRequest_ChunkedBody_Read(t *testing.T) {
	setup := startServer(t, nil)
	client := setup.dial()
	client.send(chunkedRequest("3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"))
	if request := receive(t, "the request", setup.handler.requests); string(request.Body) != "abcde" {
		t.Errorf("request body %q, want \"abcde\"", request.Body)
	} else {
		request.response <- Response{Outcome: Served}
	}
	client.read()
}

// TestRequest_Invalid_ProblemDetails verifies that an invalid request does not reach the Handler, and that the
// connection stays open where the start of the next request can still be found.
func TestRequest_Invalid_ProblemDetails(t *testing.T) {
	setup := startServer(t, nil)
	for name, testCase := range map[string]struct {
		request string
		status  int
		closes  bool
	}{
		"unknown path":       {"GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n", 404, false},
		"wrong method":       {"GET /call/f HTTP/1.1\r\nHost: h\r\n\r\n", 405, false},
		"empty function":     {postRequest("", "", ""), 400, false},
		"slash in function":  {postRequest("a%2Fb", "", ""), 400, false},
		"bad timeout":        {postRequest("f", "Call-Patience: soon\r\n", ""), 400, false},
		"repeated header":    {postRequest("f", "Call-Class: a\r\nCall-Class: b\r\n", ""), 400, false},
		"unknown class":      {postRequest("f", "Call-Class: none\r\n", "body"), 400, false},
		"bad concurrency":    {postRequest("f", "Call-Lanes: 0\r\n", ""), 400, false},
		"bad memory":         {postRequest("f", "Call-Memory: NaN\r\n", ""), 400, false},
		"bad expectation":    {postRequest("f", "Expect: much\r\n", ""), 417, true},
		"body too long":      {postRequest("f", "", strings.Repeat("x", 1001)), 413, true},
		"chunk too long":     {chunkedRequest("3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n"), 413, true},
		"header too long":    {"POST /call/f HTTP/1.1\r\nHost: " + strings.Repeat("h", 20000), 431, true},
		"not HTTP":           {"\x16\x03\x01 hello\r\n\r\n", 400, true},
		"conflicting length": {"POST /call/f HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, true},
		"body left unread":   {postRequest("a%2Fb", "", "body"), 400, true},
	} {
		t.Run(name, func(t *testing.T) {
			client := setup.dial()
			client.T = t
			client.send(testCase.request)
			response, body := client.read()
			if response.StatusCode != testCase.status || response.Header.Get("Call-Outcome") != "invalid" ||
				response.Close != testCase.closes {
				t.Errorf("response %v with body %s, want status %d, close %t", response, body, testCase.status, testCase.closes)
			}
			if testCase.closes {
				return
			}
			client.send(postRequest("f", "", ""))
			receive(t, "the next request", setup.handler.requests).response <- Response{Outcome: Served}
			client.read()
		})
	}
	if len(setup.handler.requests) != 0 {
		t.Error("an invalid request reached the Handler")
	}
}

// FuzzParseRequest verifies that no input makes the parser panic, and that every accepted request is within the limits.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(postRequest("fare-quote", "Call-Class: fare\r\nCall-Patience: 1.5s\r\nIdempotency-Key: \"k\"\r\n", "body")))
	f.Add([]byte(chunkedRequest("3\r\nabc\r\n0\r\n\r\n")))
	f.Fuzz(func(t *testing.T, raw []byte) {
		request, err := ParseRequest(bytes.NewReader(raw), 4096, 100)
		if err != nil {
			return
		}
		if request.Function == "" || len(request.Body) > 100 || request.Timeout < 0 || request.Concurrency < 0 ||
			!(request.MemoryMB >= 0) {
			t.Fatalf("accepted an invalid request: %+v", request)
		}
	})
}
