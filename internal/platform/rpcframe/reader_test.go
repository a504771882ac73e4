package rpcframe

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func encode(t testing.TB, v any) []byte {
	t.Helper()
	raw, err := msgpack.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// encodedRequest returns an encoded valid request.
func encodedRequest(t testing.TB) []byte {
	return encode(t, []any{0, 7, "call", []any{map[string]string{"id": "9b1f03aa5c7e2d41", "wait": "1500"}, []byte{1, 2}}})
}

func readMessage(raw []byte) (Message, error) {
	return NewReader(bufio.NewReader(bytes.NewReader(raw))).Next()
}

func TestNext_ValidMessages_Read(t *testing.T) {
	message, err := readMessage(encodedRequest(t))
	if err != nil || message.MessageID != 7 || message.Method != "call" || message.Params.Timeout != "1500" ||
		!bytes.Equal(message.Body, []byte{1, 2}) {
		t.Errorf("read %+v, error %v", message, err)
	}
	message, err = readMessage(encode(t, []any{2, "revoke", []any{7, 9}}))
	if err != nil || len(message.Cancelled) != 2 || message.Cancelled[1] != 9 {
		t.Errorf("read %+v, error %v", message, err)
	}
	message, err = readMessage(encode(t, []any{0, 8, "heartbeat", []any{map[string]string{}}}))
	if err != nil || message.Method != "heartbeat" || message.Body != nil {
		t.Errorf("read %+v, error %v", message, err)
	}
	message, err = readMessage(encode(t, []any{0, 8, "call", []any{map[string]string{}, []byte{}}}))
	if err != nil || message.Body == nil || len(message.Body) != 0 {
		t.Errorf("request with an empty body: read %+v, error %v", message, err)
	}
}

func TestNext_InvalidMessages_Malformed(t *testing.T) {
	fields := map[string]string{}
	many := map[string]string{}
	for i := range 2 * maxFields {
		many[string(rune('a'+i))] = ""
	}
	for name, raw := range map[string][]byte{
		"map instead of array":      encode(t, map[string]int{"a": 1}),
		"response":                  encode(t, []any{1, 7, nil, nil}),
		"too few elements":          encode(t, []any{0, 7, "call"}),
		"too many elements":         encode(t, []any{0, 7, "call", []any{fields, []byte{}}, 1}),
		"negative message ID":       encode(t, []any{0, -7, "call", []any{fields, []byte{}}}),
		"message ID of 2^40":        encode(t, []any{0, 1 << 40, "call", []any{fields, []byte{}}}),
		"string as message ID":      encode(t, []any{0, "7", "call", []any{fields, []byte{}}}),
		"string as body":            encode(t, []any{0, 7, "call", []any{fields, "body"}}),
		"number as field value":     encode(t, []any{0, 7, "call", []any{map[string]int{"wait": 5}, []byte{}}}),
		"too many fields":           encode(t, []any{0, 7, "call", []any{many, []byte{}}}),
		"body too large":            encode(t, []any{0, 7, "call", []any{fields, make([]byte, MaxBody+1)}}),
		"body length of 60 MB":      append(encode(t, []any{0, 7, "call"})[:8], 0x92, 0x80, 0xc6, 3, 0x93, 0x87, 0),
		"repeated field":            append([]byte{0x94, 0, 7, 0xa1, 'c', 0x92, 0x82}, []byte{0xa1, 'a', 0xa1, 'b', 0xa1, 'a', 0xa1, 'b'}...),
		"unknown notification":      encode(t, []any{2, "cancel", []any{7}}),
		"too many requests revoked": encode(t, []any{2, "revoke", make([]int, 300)}),
	} {
		if name == "body length of 60 MB" {
			raw[0] = 0x94
		}
		if message, err := readMessage(raw); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: read %+v, error %v, want ErrMalformed", name, message, err)
		}
	}
	good := encodedRequest(t)
	for n := range len(good) {
		if _, err := readMessage(good[:n]); !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("truncated after %d bytes: error %v, want the end of the input", n, err)
		}
	}
}

// fieldCount counts the named fields of a request with a decoder that is independent of Reader. It returns 0 for a
// cancellation.
func fieldCount(t *testing.T, raw []byte) int {
	t.Helper()
	message, err := msgpack.NewDecoder(bytes.NewReader(raw)).DecodeSlice()
	if err != nil {
		t.Fatalf("the reader accepted %x, which cannot be decoded: %v", raw, err)
	}
	if len(message) != 4 {
		return 0
	}
	return len(message[3].([]any)[0].(map[string]any))
}

// FuzzNext checks that arbitrary input causes no panic, that accepted messages are within the bounds, and that errors
// either wrap ErrMalformed or report the end of the input.
func FuzzNext(f *testing.F) {
	f.Add(encodedRequest(f))
	f.Fuzz(func(t *testing.T, raw []byte) {
		message, err := readMessage(raw)
		if err == nil && (len(message.Body) > MaxBody || fieldCount(t, raw) > maxFields || len(message.Cancelled) > maxCancelled) {
			t.Fatalf("accepted a message that exceeds the bounds: %+v", message)
		}
		if err != nil && !errors.Is(err, ErrMalformed) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatal(err)
		}
	})
}

// TestNext_NoMemoryForBody_SkipsBody guards against bodies that are read into memory before anything counts them.
func TestNext_NoMemoryForBody_SkipsBody(t *testing.T) {
	body := bytes.Repeat([]byte{1}, MaxBody)
	request := encode(t, []any{0, 7, "call", []any{map[string]string{"id": "9b1f03aa5c7e2d41", "key": "9b1f03aa5c7e2d41", "wait": "1500"}, body}})
	raw := append(append([]byte{}, request...), request...)
	reader := NewReader(bufio.NewReader(bytes.NewReader(raw)))
	var sizes []int
	reader.ReserveBody = func(size int) bool {
		sizes = append(sizes, size)
		return len(sizes) > 1
	}
	message, err := reader.Next()
	if err != nil || !message.BodySkipped || message.Body != nil || message.MessageID != 7 {
		t.Errorf("read message %d with %d bytes, skipped %t, error %v; want its body skipped", message.MessageID, len(message.Body), message.BodySkipped, err)
	}
	if parsed, err := message.Request(); err != nil || parsed.Timeout == 0 {
		t.Errorf("request without its body is %+v, error %v; want it valid", parsed, err)
	}
	message, err = reader.Next()
	if err != nil || message.BodySkipped || !bytes.Equal(message.Body, body) {
		t.Errorf("the message after it has %d bytes, skipped %t, error %v; want its whole body", len(message.Body), message.BodySkipped, err)
	}
	if len(sizes) != 2 || sizes[0] != MaxBody || sizes[1] != MaxBody {
		t.Errorf("memory was reserved for bodies of %v bytes, want two of %d", sizes, MaxBody)
	}
}

// TestNext_InputEndsInSkippedBody_IsNoViolation checks that a client that disconnects within a body that is skipped does
// not count as one that violates the protocol.
func TestNext_InputEndsInSkippedBody_IsNoViolation(t *testing.T) {
	raw := encode(t, []any{0, 7, "call", []any{map[string]string{}, make([]byte, MaxBody)}})
	for _, missing := range []int{1, MaxBody} {
		reader := NewReader(bufio.NewReader(bytes.NewReader(raw[:len(raw)-missing])))
		reader.ReserveBody = func(int) bool { return false }
		if _, err := reader.Next(); err == nil || errors.Is(err, ErrMalformed) {
			t.Errorf("%d bytes missing: error %v, want that the input ended", missing, err)
		}
	}
}
