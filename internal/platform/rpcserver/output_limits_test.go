package rpcserver

import (
	"bytes"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/memorybudget"
	"havencart/internal/platform/rpcframe"
)

const writeTimeout = 2 * time.Second

// pipeServer is a server with one connection over a pipe, which holds no bytes: a write of the server waits until the
// client reads.
type pipeServer struct {
	*Server
	handler stubHandler
	client  net.Conn
	toSend  chan []byte // messages that the client sends one after the other
}

// startPipeServer must be called within a synctest bubble. The caller must call stop.
func startPipeServer(maxInFlight int, limits responseLimits) pipeServer {
	return startPipeServerWithMemory(maxInFlight, limits, nil)
}

// startPipeServerWithMemory is startPipeServer with a budget for the memory of requests.
func startPipeServerWithMemory(maxInFlight int, limits responseLimits, requestMemory *memorybudget.Budget) pipeServer {
	local, remote := net.Pipe()
	handler := stubHandler{make(chan *stubRequest, 4*maxInFlight), make(chan string, 4*maxInFlight)}
	server := New(Config{
		Rules: rules, MaxConnections: 4, MaxInFlight: maxInFlight, WriteTimeout: writeTimeout,
		RequestMemory: requestMemory, ResponseMemory: limits.memory(), MaxQueuedBytes: limits.perConnection,
	}, handler, zerolog.Nop())
	server.admit(local)
	toSend := make(chan []byte, 64)
	go func() {
		for raw := range toSend {
			_, _ = remote.Write(raw) // fails once the connection is closed, which each test checks itself
		}
	}()
	return pipeServer{Server: server, handler: handler, client: remote, toSend: toSend}
}

// unwrittenBytes returns the size of the bodies of responses that are queued or being written.
func (s pipeServer) unwrittenBytes() int64 { return s.cfg.ResponseMemory.Counts().Total }

func (s pipeServer) stop() {
	close(s.toSend)
	_ = s.client.Close()
	s.Shutdown()
}

// send sends raw without waiting until the server has read it all.
func (s pipeServer) send(raw []byte) { s.toSend <- raw }

// sendRequests sends requests with the message IDs first to last.
func (s pipeServer) sendRequests(t *testing.T, first, last int) {
	t.Helper()
	var raw []byte
	for id := first; id <= last; id++ {
		raw = append(raw, requestMessage(t, id, "quote", validFields(id))...)
	}
	s.send(raw)
}

// received returns the requests that the handler has received and not returned yet, once the server waits for an event.
func (s pipeServer) received() (requests []*stubRequest) {
	synctest.Wait()
	for len(s.handler.requests) > 0 {
		requests = append(requests, <-s.handler.requests)
	}
	return requests
}

// respondAll serves requests with bodies of size bytes.
func respondAll(requests []*stubRequest, size int) {
	for _, request := range requests {
		request.respond(Response{Kind: Served, Body: make([]byte, size)})
	}
}

// servedMessages returns the encoded responses to the requests with the message IDs first to last.
func servedMessages(first, last, size int) (raw []byte) {
	for id := first; id <= last; id++ {
		raw = rpcframe.AppendServed(raw, uint32(id), make([]byte, size))
	}
	return raw
}

// TestRespond_AllResponsesAtOnce_ConnectionStaysOpen guards against a connection that is closed, with all requests open
// on it, because its responses come together before the writing goroutine gets to write them.
func TestRespond_AllResponsesAtOnce_ConnectionStaysOpen(t *testing.T) {
	for name, test := range map[string]struct{ count, size int }{
		"as many and as large as the protocol permits": {32, rpcframe.MaxBody},
		"few":    {3, rpcframe.MaxBody},
		"small":  {32, 10},
		"medium": {20, 9000},
		"empty":  {32, 0},
		"many":   {200, rpcframe.MaxBody},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limit := int64(test.count * rpcframe.MaxBody)
				server := startPipeServer(test.count, responseLimits{perConnection: limit, total: limit})
				defer server.stop()
				server.sendRequests(t, 1, test.count)
				respondAll(server.received(), test.size)
				synctest.Wait() // the client, which reads nothing so far, is written to
				expect(t, server.client, servedMessages(1, test.count, test.size))
			})
		})
	}
}

// TestRequests_ResponsesNotRead_AreNotReadFurther checks that a client that sends requests and does not read the
// responses cannot make the server queue more than MaxInFlight responses, and is served again once it reads.
func TestRequests_ResponsesNotRead_AreNotReadFurther(t *testing.T) {
	const maxInFlight = 4
	const size = maxBatchBytes // one response a batch
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(maxInFlight, responseLimits{perConnection: 1 << 20, total: 1 << 20})
		defer server.stop()
		accepted := 0
		for id := range 20 {
			server.sendRequests(t, id+1, id+1)
			requests := server.received()
			accepted += len(requests)
			respondAll(requests, size)
		}
		if want := maxInFlight + 1; accepted != want { // one response is being written
			t.Fatalf("%d requests were accepted without a response being read, want %d", accepted, want)
		}
		if got, want := server.unwrittenBytes(), int64((maxInFlight+1)*size); got != want { // with the one being written
			t.Errorf("%d bytes are not written, want %d", got, want)
		}
		expect(t, server.client, servedMessages(1, 1, size))
		requests := server.received()
		if len(requests) != 1 {
			t.Fatalf("%d requests were accepted after one response was read, want 1", len(requests))
		}
	})
}

// TestHeartbeats_ResponsesNotRead_AreNotReadFurther is the same check for heartbeats.
func TestHeartbeats_ResponsesNotRead_AreNotReadFurther(t *testing.T) {
	const maxInFlight, heartbeats = 4, 1000
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(maxInFlight, responseLimits{perConnection: 1, total: 1})
		defer server.stop()
		var raw, want []byte
		for id := range heartbeats {
			raw = append(raw, message(t, 0, id+1, "heartbeat", []any{map[string]string{}})...)
			want = rpcframe.AppendHeartbeat(want, uint32(id+1), true)
		}
		server.send(raw)
		synctest.Wait()
		for _, c := range server.conns.All() {
			if got := len(c.output.messages); got != maxInFlight {
				t.Errorf("%d heartbeat responses are queued, want %d", got, maxInFlight)
			}
		}
		expect(t, server.client, want)
	})
}

// TestCancel_ResponseQueued_MakesRoom checks that a client that cancels requests whose responses are queued may send as
// many new ones, although it reads nothing.
func TestCancel_ResponseQueued_MakesRoom(t *testing.T) {
	const maxInFlight, size = 4, 10
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(maxInFlight, limits)
		defer server.stop()
		server.sendRequests(t, 1, 1)
		respondAll(server.received(), size)
		synctest.Wait() // the response to request 1 is being written
		server.sendRequests(t, 2, 1+maxInFlight)
		respondAll(server.received(), size)
		server.send(append(message(t, 2, "revoke", []int{2, 3, 4, 5}), requestMessage(t, 6, "quote", validFields(6))...))
		requests := server.received()
		if len(requests) != 1 {
			t.Fatalf("%d requests were accepted, want 1", len(requests))
		}
		respondAll(requests, size)
		expect(t, server.client, append(servedMessages(1, 1, size), servedMessages(6, 6, size)...))
		if len(server.handler.cancelled) > 0 {
			t.Errorf("request %s, which had its response, was cancelled", <-server.handler.cancelled)
		}
	})
}

// TestWrite_ClientStopsReading_ClosedAfterTimeout checks that a client that stops reading is disconnected after the
// write timeout, whether or not it continues to send, and that nothing of its responses remains in memory.
func TestWrite_ClientStopsReading_ClosedAfterTimeout(t *testing.T) {
	for name, later := range map[string]int{"client waits": 0, "client continues to send": 8} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const maxInFlight = 4
				server := startPipeServer(maxInFlight, limits)
				defer server.stop()
				server.sendRequests(t, 1, maxInFlight)
				received := server.received()
				respondAll(received[1:], maxBatchBytes)
				synctest.Wait()
				server.sendRequests(t, maxInFlight+1, maxInFlight+later)
				pending := append(received[:1:1], server.received()...)
				time.Sleep(writeTimeout)
				synctest.Wait()
				if got := len(server.handler.cancelled); got != len(pending) {
					t.Errorf("%d requests were cancelled, want the %d without a response", got, len(pending))
				}
				if server.ConnectionCount() != 0 || server.unwrittenBytes() != 0 {
					t.Errorf("%d connections are open and %d bytes not written, want none",
						server.ConnectionCount(), server.unwrittenBytes())
				}
				if got := server.Counts(); got.WriteFailed != 1 || got.ProtocolErrors != 0 {
					t.Errorf("counts are %+v, want one failed write and no protocol error", got)
				}
			})
		})
	}
}

// TestWrite_ClientReadsSlowly_StaysOpen checks that the write timeout applies to each batch: a client that pauses for
// less than the timeout gets all responses, even if it takes longer than the timeout to read them.
func TestWrite_ClientReadsSlowly_StaysOpen(t *testing.T) {
	const count = 8
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(count, limits)
		defer server.stop()
		server.sendRequests(t, 1, count)
		respondAll(server.received(), maxBatchBytes)
		for id := 1; id <= count; id++ {
			time.Sleep(writeTimeout - time.Millisecond)
			expect(t, server.client, servedMessages(id, id, maxBatchBytes))
		}
	})
}

// TestRespond_OverTheLimits_FailedAndOthersServed checks that a response that does not fit is replaced by a failure, and
// that the connection and the other responses on it are kept.
func TestRespond_OverTheLimits_FailedAndOthersServed(t *testing.T) {
	const size = 1000
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(5, responseLimits{perConnection: 2*size + 1, total: 1 << 20})
		defer server.stop()
		server.sendRequests(t, 1, 5)
		requests := server.received()
		respondAll(requests[:1], size)
		synctest.Wait() // the response to request 1 is being written and no longer queued
		respondAll(requests[1:4], size)
		respondAll(requests[4:], 1)
		want := servedMessages(1, 3, size)
		want = rpcframe.AppendFailed(want, 4)
		want = append(want, servedMessages(5, 5, 1)...)
		expect(t, server.client, want)
		if got := server.Counts().ResponsesDropped; got != 1 {
			t.Errorf("%d responses were dropped, want 1", got)
		}
	})
}

// TestShutdown_ResponsesQueued_WrittenFirst checks that a shutdown writes all queued responses, in several batches.
func TestShutdown_ResponsesQueued_WrittenFirst(t *testing.T) {
	const count = 4
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(count, limits)
		server.sendRequests(t, 1, count)
		respondAll(server.received(), maxBatchBytes)
		go server.Shutdown()
		got, err := io.ReadAll(server.client)
		if want := servedMessages(1, count, maxBatchBytes); err != nil || !bytes.Equal(got, want) {
			t.Errorf("read %d bytes, error %v; want the %d bytes of all responses", len(got), err, len(want))
		}
		server.stop()
	})
}

// TestShutdown_ClientReadsSlowly_EndsInTime checks that a client that takes almost the write timeout for each batch does
// not delay a shutdown for as many timeouts as there are batches.
func TestShutdown_ClientReadsSlowly_EndsInTime(t *testing.T) {
	const count = 16
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(count, limits)
		server.sendRequests(t, 1, count)
		respondAll(server.received(), maxBatchBytes)
		readingEnded := make(chan struct{})
		go func() {
			defer close(readingEnded)
			for err := error(nil); err == nil; { // until the connection is closed
				time.Sleep(writeTimeout - time.Millisecond)
				_, err = io.ReadFull(server.client, make([]byte, maxBatchBytes))
			}
		}()
		start := time.Now()
		server.Shutdown()
		// One write may have begun before the connection drained.
		if took, limit := time.Since(start), (maxDrainTimeouts+1)*writeTimeout; took > limit {
			t.Errorf("the shutdown took %v, want at most %v", took, limit)
		}
		<-readingEnded
		server.stop()
	})
}
