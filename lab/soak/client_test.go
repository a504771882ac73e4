package soak

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"havencart/internal/platform/rpcframe"
)

// The responses are encoded with the front end's own encoder.
func TestOutcomeOf_EachResponse_IsRecognized(t *testing.T) {
	const id = "0000000000000007"
	for name, testCase := range map[string]struct {
		raw         []byte
		want        Outcome
		bodyMatches bool
	}{
		"served":              {rpcframe.AppendServed(nil, 7, responseBody(id)), Served, true},
		"served another body": {rpcframe.AppendServed(nil, 7, []byte("other")), Served, false},
		"served without body": {rpcframe.AppendServed(nil, 7, nil), Served, false},
		"rejected":            {rpcframe.AppendRejected(nil, 7, time.Second), Rejected, false},
		"failed":              {rpcframe.AppendFailed(nil, 7), Failed, false},
		"malformed":           {rpcframe.AppendMalformed(nil, 7), Failed, false},
	} {
		decoder := msgpack.NewDecoder(bytes.NewReader(testCase.raw))
		decoder.UseLooseInterfaceDecoding(true)
		response, err := decoder.DecodeSlice()
		if err != nil {
			t.Fatal(err)
		}
		if number, isNumber := asInt(response[1]); !isNumber || number != 7 {
			t.Errorf("%s: request number %v, want 7", name, response[1])
		}
		if outcome, bodyMatches := outcomeOf(response[2], response[3], id); outcome != testCase.want || bodyMatches != testCase.bodyMatches {
			t.Errorf("%s: outcome %v, body matches %t", name, outcome, bodyMatches)
		}
	}
}

// A second response to a request is recorded, so that the checker can report it. A response to a cancelled request is
// not recorded.
func TestRecordResponse_SecondResponse_IsRecorded(t *testing.T) {
	history := NewHistory()
	history.Sent(Request{ID: "a"})
	conn := &clientConn{history: history, lastNumber: 2, open: map[int]string{1: "a"}, completed: map[int]string{}}
	for range 2 {
		if err := conn.recordResponse([]any{int64(1), int64(1), nil, []any{string(responseBody("a"))}}); err != nil {
			t.Error(err)
		}
	}
	if err := conn.recordResponse([]any{int64(1), int64(2), nil, []any{}}); err != nil {
		t.Error(err)
	}
	if answers := len(history.requests["a"].Responses); answers != 2 {
		t.Errorf("%d responses recorded, want 2", answers)
	}
}

// A request that is sent just after the end of its connection was recorded is recorded as having lost its connection.
func TestSend_ConnectionHasEnded_RequestIsLost(t *testing.T) {
	near, far := net.Pipe()
	history := NewHistory()
	conn := newClientConn(history, near)
	_ = far.Close()
	<-conn.ended
	history.Sent(Request{ID: "late"})
	conn.send(conn.nextRequestNumber(), "late", []any{0})
	if request := history.requests["late"]; request.ConnectionLostAt < request.SentAt || request.ConnectionLostAt == 0 {
		t.Errorf("sent at %v, connection lost at %v", request.SentAt, request.ConnectionLostAt)
	}
	if open := conn.openCount(); open > 0 {
		t.Errorf("%d requests are open, want 0", open)
	}
}
