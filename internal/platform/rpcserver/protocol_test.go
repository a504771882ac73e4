package rpcserver

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"havencart/internal/platform/rpcframe"
)

// TestProtocolError_InvalidRequest_MalformedAndClosed tries requests that no well-behaved client sends.
func TestProtocolError_InvalidRequest_MalformedAndClosed(t *testing.T) {
	with := func(name, value string) map[string]string {
		fields := validFields(1)
		if fields[name] = value; value == "" {
			delete(fields, name)
		}
		return fields
	}
	for name, test := range map[string]struct {
		method string
		fields map[string]string
	}{
		"class":          {"none", validFields(1)},
		"no id":          {"quote", with("id", "")},
		"id":             {"quote", with("id", "9B1F03AA5C7E2D41")},
		"key":            {"quote", with("key", "7f3a9c21e0b4d65,")},
		"tenant":         {"quote", with("tenant", "nobody")},
		"no wait":        {"quote", with("wait", "")},
		"negative wait":  {"quote", with("wait", "-1")},
		"huge wait":      {"quote", with("wait", "999999999")},
		"retry":          {"quote", with("retry", "yes")},
		"no once":        {"log", validFields(1)},
		"once":           {"log", with("once", "name=x")},
		"memory":         {"quote", with("attrs", "memory_mb:1e9")},
		"no number":      {"quote", with("attrs", "lanes:NaN")},
		"negative lanes": {"quote", with("attrs", "lanes:-2")},
		"endless lanes":  {"quote", with("attrs", "lanes:Inf")},
	} {
		t.Run(name, func(t *testing.T) {
			handler, address := startServer(t, 4)
			client := connect(t, address)
			write(t, client, requestMessage(t, 1, test.method, test.fields))
			expect(t, client, rpcframe.AppendError(nil, 1, "Malformed", "", ""))
			if more, err := io.ReadAll(client); len(more) > 0 || err != nil {
				t.Errorf("then %q, %v", more, err)
			}
			if len(handler.requests) > 0 {
				t.Error("the request was handled")
			}
		})
	}
}

func TestProtocolError_NumberOrFlood_CancelsAllInFlight(t *testing.T) {
	for name, second := range map[string][]byte{
		"the number again": requestMessage(t, 5, "quote", validFields(2)),
		"a lower number":   requestMessage(t, 4, "quote", validFields(2)),
		"one too many": bytes.Join([][]byte{
			requestMessage(t, 6, "quote", validFields(2)), requestMessage(t, 7, "quote", validFields(3)),
			requestMessage(t, 8, "quote", validFields(4)), requestMessage(t, 9, "quote", validFields(5)),
		}, nil),
		"noise": []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			handler, address := startServer(t, 4)
			client := connect(t, address)
			write(t, client, requestMessage(t, 5, "quote", validFields(1)))
			first := <-handler.requests
			write(t, client, second)
			for <-handler.cancelled != first.ID {
				continue // requests of the second message
			}
			if _, err := io.Copy(io.Discard, client); err != nil && !strings.Contains(err.Error(), "reset") {
				t.Error(err)
			}
		})
	}
}

// TestRejection_IDInUse_KeepsOtherRequests holds that a client whose id another used before keeps its other requests,
// and that one which goes on with such ids is disconnected.
func TestRejection_IDInUse_KeepsOtherRequests(t *testing.T) {
	handler, address := startServer(t, 4)
	client := connect(t, address)
	write(t, client, append(requestMessage(t, 1, "quote", validFields(1)), requestMessage(t, 2, "quote", validFields(255))...))
	request := <-handler.requests
	expect(t, client, rpcframe.AppendError(nil, 2, "Malformed", "", ""))
	request.respond(Response{Kind: Served})
	expect(t, client, rpcframe.AppendServed(nil, 1, nil))
	for n := range maxConsecutiveRejections - 1 {
		write(t, client, requestMessage(t, 3+n, "quote", validFields(255)))
		expect(t, client, rpcframe.AppendError(nil, uint32(3+n), "Malformed", "", ""))
	}
	if more, err := io.ReadAll(client); len(more) > 0 || err != nil {
		t.Errorf("then %q, %v", more, err)
	}
}
