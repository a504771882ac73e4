package rpcserver

import (
	"encoding/json"
	"testing"
	"time"

	"havencart/internal/platform/rpcframe"
)

func TestRespond_AnyOrder_MatchedByNumber(t *testing.T) {
	handler, address := startServer(t, 4)
	client := connect(t, address)
	write(t, client, append(requestMessage(t, 1, "quote", validFields(1)), requestMessage(t, 2, "quote", validFields(2))...))
	first, second := <-handler.requests, <-handler.requests
	if first.Class != 0 || first.Tenant != 1 || first.Timeout != 900*time.Millisecond || first.MemoryMB != 512 ||
		first.Concurrency != 2 || first.LoadTime != 300*time.Millisecond || string(first.Body) != "body" {
		t.Errorf("handled an unexpected request %+v", first.Request)
	}
	second.respond(Response{Kind: Served, Body: []byte("two")})
	expect(t, client, rpcframe.AppendServed(nil, 2, []byte("two")))
	first.respond(Response{Kind: Rejected, RetryAfter: 250 * time.Millisecond})
	expect(t, client, rpcframe.AppendError(nil, 1, "Backoff", "after", "250"))
	first.respond(Response{Kind: Served}) // discarded: a request has only one final response
	write(t, client, message(t, 0, 3, "heartbeat", []any{map[string]string{}}))
	expect(t, client, rpcframe.AppendHeartbeat(nil, 3, true))
}

// TestRead_SplitOrBatchedSegments_AllServed checks that requests are read whether they arrive in two segments split at
// any byte, in segments of one byte, or several in one segment.
func TestRead_SplitOrBatchedSegments_AllServed(t *testing.T) {
	handler, address := startServer(t, 1)
	client := connect(t, address)
	number := 0
	next := func(n int) (raw []byte) {
		for range n {
			number++
			raw = append(raw, requestMessage(t, number, "quote", validFields(number))...)
		}
		return raw
	}
	served := func(n int) {
		var want []byte
		for i := range n {
			request := <-handler.requests
			if string(request.Body) != "body" {
				t.Fatalf("got body %q", request.Body)
			}
			request.respond(Response{Kind: Served})
			want = rpcframe.AppendServed(want, uint32(number-n+1+i), nil)
		}
		expect(t, client, want)
	}
	for i := range len(requestMessage(t, 1, "quote", validFields(1))) {
		raw := next(1)
		write(t, client, raw[:i])
		write(t, client, raw[i:])
		served(1)
	}
	for _, b := range next(1) {
		write(t, client, []byte{b})
	}
	served(1)
	write(t, client, next(4))
	served(4)
}

// TestCounts_JSON_UsesDocumentedNames checks that the counts are logged under the names that docs/oncall.md lists.
func TestCounts_JSON_UsesDocumentedNames(t *testing.T) {
	logged, err := json.Marshal(Counts{Accepted: 1, Rejected: 2, Evicted: 3, IdleClosed: 4, ProtocolErrors: 5, WriteFailed: 6, RequestsRefused: 7, ResponsesDropped: 8, RequestsUnwanted: 15, Requests: 9, Heartbeats: 10, Cancellations: 11, Pauses: 14, Closed: CloseCounts{closedByClient: 12, closedShutdown: 13}})
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"Accepted":1,"Rejected":2,"Evicted":3,"IdleClosed":4,"ProtocolErrors":5,"WriteFailed":6,"RequestsRefused":7,"ResponsesDropped":8,"RequestsUnwanted":15,"Requests":9,"Heartbeats":10,"Cancellations":11,"Pauses":14,"Closed":{"client":12,"shutdown":13}}`; string(logged) != want {
		t.Errorf("logged %s, want %s", logged, want)
	}
}
