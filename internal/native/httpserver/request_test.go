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
		t.Error("no time of receipt")
	}
	got.ReceivedAt = time.Time{}
	want := Request{
		Function: "fare quote", Class: "fare", Tenant: "t", IdempotencyKey: `a "b`, ID: "x", Timeout: 1500 * time.Millisecond,
		WorkEstimate: 20 * time.Millisecond, MemoryMB: 300, Concurrency: 2, LoadTime: time.Second, Body: []byte("hello"),
	}
	if fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", want) {
		t.Errorf("%+v", got)
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
		t.Errorf("body %q", request.Body)
	} else {
		request.response <- Response{Outcome: Served}
	}
	client.read()
}

// TestRequest_Invalid_ProblemDetails holds that no invalid request reaches the Handler, and that the connection stays
// open where it can.
func TestRequest_Invalid_ProblemDetails(t *testing.T) {
	setup := startServer(t, nil)
	for name, testCase := range map[string]struct {
		request string
		status  int
		closes  bool
	}{
		"no request path":    {"GET /elsewhere HTTP/1.1\r\nHost: h\r\n\r\n", 404, false},
		"method":             {"GET /call/f HTTP/1.1\r\nHost: h\r\n\r\n", 405, false},
		"no function":        {postRequest("", "", ""), 400, false},
		"a slash":            {postRequest("a%2Fb", "", ""), 400, false},
		"timeout":            {postRequest("f", "Call-Patience: soon\r\n", ""), 400, false},
		"a header twice":     {postRequest("f", "Call-Class: a\r\nCall-Class: b\r\n", ""), 400, false},
		"no such class":      {postRequest("f", "Call-Class: none\r\n", "body"), 400, false},
		"concurrency":        {postRequest("f", "Call-Lanes: 0\r\n", ""), 400, false},
		"memory":             {postRequest("f", "Call-Memory: NaN\r\n", ""), 400, false},
		"expectation":        {postRequest("f", "Expect: much\r\n", ""), 417, true},
		"body too long":      {postRequest("f", "", strings.Repeat("x", 1001)), 413, true},
		"chunks too long":    {chunkedRequest("3e9\r\n" + strings.Repeat("x", 1001) + "\r\n0\r\n\r\n"), 413, true},
		"header too long":    {"POST /call/f HTTP/1.1\r\nHost: " + strings.Repeat("h", 20000), 431, true},
		"no HTTP":            {"\x16\x03\x01 hello\r\n\r\n", 400, true},
		"two lengths":        {"POST /call/f HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, true},
		"an unread bad body": {postRequest("a%2Fb", "", "body"), 400, true},
	} {
		t.Run(name, func(t *testing.T) {
			client := setup.dial()
			client.T = t
			client.send(testCase.request)
			response, body := client.read()
			if response.StatusCode != testCase.status || response.Header.Get("Call-Outcome") != "invalid" ||
				response.Close != testCase.closes {
				t.Errorf("%v %s", response, body)
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
		t.Error("an invalid request was handled")
	}
}

// FuzzParseRequest holds that no bytes make the parser panic, and that what it accepts is within the bounds.
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
			t.Fatalf("accepted %+v", request)
		}
	})
}
