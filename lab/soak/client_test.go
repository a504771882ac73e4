package soak

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"havencart/internal/platform/rpcframe"
)

// The responses are encoded as a front end encodes them.
func TestOutcomeOf_EachResponse_IsRecognized(t *testing.T) {
	const id = "0000000000000007"
	for name, c := range map[string]struct {
		raw    []byte
		want   Outcome
		echoed bool
	}{
		"served":                {rpcframe.AppendServed(nil, 7, echo(id)), Served, true},
		"served something else": {rpcframe.AppendServed(nil, 7, []byte("other")), Served, false},
		"served nothing":        {rpcframe.AppendServed(nil, 7, nil), Served, false},
		"rejected":              {rpcframe.AppendRejected(nil, 7, time.Second), Rejected, false},
		"failed":                {rpcframe.AppendFailed(nil, 7), Failed, false},
		"malformed":             {rpcframe.AppendMalformed(nil, 7), Failed, false},
	} {
		decoder := msgpack.NewDecoder(bytes.NewReader(c.raw))
		decoder.UseLooseInterfaceDecoding(true)
		answer, err := decoder.DecodeSlice()
		if err != nil {
			t.Fatal(err)
		}
		if number, isNumber := asInt(answer[1]); !isNumber || number != 7 {
			t.Errorf("%s: number %v", name, answer[1])
		}
		if outcome, echoed := outcomeOf(answer[2], answer[3], id); outcome != c.want || echoed != c.echoed {
			t.Errorf("%s: %v, echoed %t", name, outcome, echoed)
		}
	}
}

// A second response to one request is noted too, one to a cancelled request is not.
func TestNoteAnswer_SecondResponse_IsNoted(t *testing.T) {
	history := NewHistory()
	history.Sent(Request{ID: "a"})
	conn := &clientConn{history: history, lastNumber: 2, open: map[int]string{1: "a"}, answered: map[int]string{}}
	for range 2 {
		if err := conn.noteAnswer([]any{int64(1), int64(1), nil, []any{string(echo("a"))}}); err != nil {
			t.Error(err)
		}
	}
	if err := conn.noteAnswer([]any{int64(1), int64(2), nil, []any{}}); err != nil {
		t.Error(err)
	}
	if answers := len(history.requests["a"].Answers); answers != 2 {
		t.Errorf("%d responses are noted, 2 were received", answers)
	}
}

// A request that is sent on a connection whose end was noted a moment before is noted as lost with it.
func TestSend_ConnectionHasEnded_RequestIsLost(t *testing.T) {
	near, far := net.Pipe()
	history := NewHistory()
	conn := newClientConn(history, near)
	_ = far.Close()
	<-conn.ended
	history.Sent(Request{ID: "late"})
	conn.send(conn.nextNumber(), "late", []any{0})
	if request := history.requests["late"]; request.Lost < request.SentAt || request.Lost == 0 {
		t.Errorf("sent at %v, connection lost at %v", request.SentAt, request.Lost)
	}
	if open := conn.openCount(); open > 0 {
		t.Errorf("%d requests wait for responses", open)
	}
}
