package rpcserver

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"havencart/internal/platform/rpcframe"
)

// TestProtocolError_InvalidRequest_MalformedAndClosed checks that the server responds to each kind of invalid request
// with an error and closes the connection without passing the request to the handler.
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
		"unknown class":               {"none", validFields(1)},
		"no request ID":               {"quote", with("id", "")},
		"upper-case request ID":       {"quote", with("id", "9B1F03AA5C7E2D41")},
		"malformed function":          {"quote", with("key", "7f3a9c21e0b4d65,")},
		"unknown tenant":              {"quote", with("tenant", "nobody")},
		"no timeout":                  {"quote", with("wait", "")},
		"negative timeout":            {"quote", with("wait", "-1")},
		"timeout above the bound":     {"quote", with("wait", "999999999")},
		"invalid retry flag":          {"quote", with("retry", "yes")},
		"missing idempotency key":     {"log", validFields(1)},
		"malformed idempotency key":   {"log", with("once", "name=x")},
		"memory above the bound":      {"quote", with("attrs", "memory_mb:1e9")},
		"concurrency is not a number": {"quote", with("attrs", "lanes:NaN")},
		"negative concurrency":        {"quote", with("attrs", "lanes:-2")},
		"infinite concurrency":        {"quote", with("attrs", "lanes:Inf")},
	} {
		t.Run(name, func(t *testing.T) {
			handler, address := startServer(t, 4)
			client := connect(t, address)
			write(t, client, requestMessage(t, 1, test.method, test.fields))
			expect(t, client, rpcframe.AppendError(nil, 1, "Malformed", "", ""))
			if more, err := io.ReadAll(client); len(more) > 0 || err != nil {
				t.Errorf("read %q, error %v after the error response; want the end of the connection", more, err)
			}
			if len(handler.requests) > 0 {
				t.Error("the request was handled")
			}
		})
	}
}

// TestProtocolError_InvalidNumberOrExcess_CancelsAllInFlight checks that a protocol violation cancels the requests in
// flight on the connection and closes it.
func TestProtocolError_InvalidNumberOrExcess_CancelsAllInFlight(t *testing.T) {
	for name, second := range map[string][]byte{
		"repeated message ID": requestMessage(t, 5, "quote", validFields(2)),
		"lower message ID":    requestMessage(t, 4, "quote", validFields(2)),
		"too many in flight": bytes.Join([][]byte{
			requestMessage(t, 6, "quote", validFields(2)), requestMessage(t, 7, "quote", validFields(3)),
			requestMessage(t, 8, "quote", validFields(4)), requestMessage(t, 9, "quote", validFields(5)),
		}, nil),
		"not MessagePack": []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			handler, address := startServer(t, 4)
			client := connect(t, address)
			write(t, client, requestMessage(t, 5, "quote", validFields(1)))
			first := <-handler.requests
			write(t, client, second)
			for <-handler.cancelled != first.ID {
				continue // skip the requests of the second write
			}
			if _, err := io.Copy(io.Discard, client); err != nil && !strings.Contains(err.Error(), "reset") {
				t.Error(err)
			}
		})
	}
}

// TestRejection_IDInUse_KeepsOtherRequests checks that the rejection of a request, such as one whose ID is in use by
// another client, leaves the other requests on the connection in flight, and that repeated rejections close the
// connection.
func TestRejection_IDInUse_KeepsOtherRequests(t *testing.T) {
	handler, address := startServer(t, 4)
	client := connect(t, address)
	write(t, client, append(requestMessage(t, 1, "quote", validFields(1)), requestMessage(t, 2, "quote", validFields(255))...))
	request := <-handler.requests
	expect(t, client, rpcframe.AppendError(nil, 2, "Malformed", "", ""))
	request.respond(Response{Kind: Served})
	expect(t, client, rpcframe.AppendServed(nil, 1, nil))
	for n := range testMaxInFlight { // with the one before, one more than may be in flight
		write(t, client, requestMessage(t, 3+n, "quote", validFields(255)))
		expect(t, client, rpcframe.AppendError(nil, uint32(3+n), "Malformed", "", ""))
	}
	if more, err := io.ReadAll(client); len(more) > 0 || err != nil {
		t.Errorf("read %q, error %v after the error response; want the end of the connection", more, err)
	}
}
