package rpcserver

import (
	"bytes"
	"testing"
	"testing/synctest"

	"havencart/internal/decide/memoryshare"
	"havencart/internal/memorybudget"
	"havencart/internal/platform/rpcframe"
)

// startWithRequestMemory starts a server with a budget for the memory of requests. It must be called within a synctest
// bubble. The caller must call stop.
func startWithRequestMemory(bytes int64) pipeServer {
	return startPipeServerWithMemory(32, limits, memorybudget.New(bytes, memoryshare.WorkerResponseThresholds()))
}

// largeRequest returns an encoded request with a body of the maximum size.
func largeRequest(t *testing.T, id int) []byte {
	t.Helper()
	return message(t, 0, id, "quote", []any{validFields(id), bytes.Repeat([]byte{1}, rpcframe.MaxBody)})
}

// TestRequest_NoMemory_PassedOnWithoutBody guards against requests that take memory before a limit applies to them.
func TestRequest_NoMemory_PassedOnWithoutBody(t *testing.T) {
	const size = RequestOverhead + rpcframe.MaxBody
	synctest.Test(t, func(t *testing.T) {
		server := startWithRequestMemory(4 * size) // of which one connection may hold half
		defer server.stop()
		for id := 1; id <= 3; id++ {
			server.send(largeRequest(t, id))
		}
		requests := server.received()
		if len(requests) != 3 {
			t.Fatalf("%d requests were passed on, want 3", len(requests))
		}
		for i, request := range requests {
			if hasMemory := i < 2; (request.Memory != nil) != hasMemory || (len(request.Body) > 0) != hasMemory {
				t.Errorf("request %d has memory: %t, and a body of %d bytes; want both: %t", i+1, request.Memory != nil, len(request.Body), hasMemory)
			}
		}
		if got := server.Counts().RequestsRefused; got != 1 {
			t.Errorf("%d requests were counted as refused, want 1", got)
		}
		requests[2].respond(Response{Kind: Rejected})
		expect(t, server.client, rpcframe.AppendRejected(nil, 3, 0))
		requests[0].Memory.Release()
		server.send(largeRequest(t, 4))
		if next := server.received(); len(next) != 1 || next[0].Memory == nil {
			t.Errorf("%d requests were passed on after one was released, want one with memory", len(next))
		}
	})
}

// TestRequest_EachEnd_ReservationHasOneOwner checks that the memory of a request stays reserved until its Handler
// releases it, even if the connection ends, and that a message that does not reach the Handler keeps none.
func TestRequest_EachEnd_ReservationHasOneOwner(t *testing.T) {
	const size = RequestOverhead + rpcframe.MaxBody
	withField := func(id int, name, value string) []byte {
		fields := validFields(id)
		fields[name] = value
		return message(t, 0, id, "quote", []any{fields, make([]byte, rpcframe.MaxBody)})
	}
	for name, test := range map[string]struct {
		raw  []byte
		held int64
	}{
		"request in flight":           {largeRequest(t, 1), size},
		"refused by the handler":      {withField(1, "id", rejectedID), 0},
		"violates the protocol":       {withField(1, "wait", "-1"), 0},
		"heartbeat with a body":       {message(t, 0, 1, "heartbeat", []any{map[string]string{}, make([]byte, rpcframe.MaxBody)}), 0},
		"breaks off within its body":  {largeRequest(t, 1)[:rpcframe.MaxBody/2], 0},
		"message ID that is not used": {append(largeRequest(t, 2), largeRequest(t, 1)...), size},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := startWithRequestMemory(16 * size)
				server.send(test.raw)
				requests := server.received()
				go func() { // discards the error responses
					for buffer := make([]byte, 64); ; {
						if _, err := server.client.Read(buffer); err != nil {
							return
						}
					}
				}()
				synctest.Wait()
				server.stop()
				if got := server.cfg.RequestMemory.Counts().Total; got != test.held {
					t.Errorf("%d bytes are reserved after the end of the connection, want %d", got, test.held)
				}
				for _, request := range requests {
					request.Memory.Release()
				}
				if got := server.cfg.RequestMemory.Counts().Total; got != 0 {
					t.Errorf("%d bytes are reserved after all requests were released, want none", got)
				}
			})
		})
	}
}
