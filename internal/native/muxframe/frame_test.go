package muxframe

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

// mustAppend returns an encoded frame. It fails the test if the frame cannot be encoded.
func mustAppend(t testing.TB, frameType Type, streamID uint32, header any, body string) []byte {
	t.Helper()
	raw, err := Append(nil, frameType, streamID, header, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// testRequest returns a header of REQUEST with valid values.
func testRequest() Request {
	return Request{
		Replica: ReplicaSpec{Function: "fare-quote", MemoryMB: 300, Concurrency: 2}, ID: "a-1", Class: "fare",
		IdempotencyKey: "k", TimeoutMillis: 1500, Window: 65536,
	}
}

func TestReader_FramesEncodedByAppend_AreDecoded(t *testing.T) {
	queueDepth := 0
	response := Response{Status: StatusOK, ColdStart: ColdStartTriggered, QueueDepth: &queueDepth, LoadReport: []float64{1, 2.5}}
	raw := mustAppend(t, TypeRequest, 7, testRequest(), "body")
	raw = append(raw, mustAppend(t, TypeResponse, 7, response, "")...)
	raw = append(raw, mustAppend(t, TypePing, 0, nil, "")...)
	reader := NewReader(bytes.NewReader(raw), 0)

	var request Request
	frame, err := reader.Next()
	if err != nil || frame.Type != TypeRequest || frame.StreamID != 7 || string(frame.Body) != "body" {
		t.Fatalf("frame %+v, error %v", frame, err)
	}
	if err := frame.Decode(&request); err != nil || request != testRequest() {
		t.Errorf("request %+v, error %v", request, err)
	}
	var got Response
	if frame, err = reader.Next(); err != nil {
		t.Fatal(err)
	}
	if err := frame.Decode(&got); err != nil || !reflect.DeepEqual(got, response) {
		t.Errorf("response %+v, error %v", got, err)
	}
	if frame, err = reader.Next(); err != nil || frame.Type != TypePing {
		t.Errorf("frame %+v, error %v", frame, err)
	}
	if _, err = reader.Next(); err != io.EOF {
		t.Errorf("error %v at the end of the input, want io.EOF", err)
	}
}

func TestReader_MalformedFrame_IsRejected(t *testing.T) {
	valid := mustAppend(t, TypeRequest, 1, testRequest(), "body")
	longLength := append([]byte{0xff, 0xff, 0xff, 0xff}, valid[4:]...)
	badType := bytes.Clone(valid)
	badType[4] = 99
	badHeader := bytes.Clone(valid)
	badHeader[9], badHeader[10] = 0xff, 0xff
	for name, raw := range map[string][]byte{
		"length above the maximum": longLength, "length below the minimum": {0, 0, 0, 1, 1},
		"unknown type": badType, "header longer than the frame": badHeader,
	} {
		if _, err := NewReader(bytes.NewReader(raw), 1<<20).Next(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := NewReader(bytes.NewReader(valid[:len(valid)-1]), 0).Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("truncated frame: error %v", err)
	}
}

func TestDecode_AmbiguousHeader_IsRejected(t *testing.T) {
	for name, header := range map[string][]byte{
		"duplicate key":       {0xa2, 0x01, 0x01, 0x01, 0x02},
		"indefinite length":   {0xbf, 0x01, 0x01, 0xff},
		"not a map":           {0x01},
		"trailing bytes":      {0xa1, 0x01, 0x01, 0x00},
		"empty":               {},
		"wrong type of value": {0xa1, 0x01, 0x61, 0x61},
	} {
		if err := (Frame{Type: TypeLoadResult, Header: header}).Decode(new(LoadResult)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	laterVersion := []byte{0xa2, 0x01, 0x01, 0x18, 0x63, 0x01} // has key 99, which only a later version could define
	if err := (Frame{Type: TypeLoadResult, Header: laterVersion}).Decode(new(LoadResult)); err != nil {
		t.Errorf("a header with an unknown key was rejected: %v", err)
	}
}

func TestAppend_TooLong_Fails(t *testing.T) {
	if _, err := Append(nil, TypeRequest, 1, nil, make([]byte, MaxFrame)); err == nil {
		t.Error("a frame longer than MaxFrame was encoded")
	}
	if _, err := Append(nil, TypeRequest, 1, Request{ID: strings.Repeat("x", maxHeader)}, nil); err == nil {
		t.Error("a header longer than 65535 bytes was encoded")
	}
}

// TestReader_LengthWithoutFrame_AllocatesLittle guards against memory exhaustion by a peer that announces a large frame
// and does not send it.
func TestReader_LengthWithoutFrame_AllocatesLittle(t *testing.T) {
	r := NewReader(bytes.NewReader([]byte{0, 0xf0, 0, 0, 1}), 0)
	if _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) || cap(r.buffer) > 1<<20 {
		t.Errorf("error %v, %d bytes allocated", err, cap(r.buffer))
	}
}

// FuzzFrames verifies that no input makes Reader panic, and that every decoded message can be encoded and decoded
// again.
func FuzzFrames(f *testing.F) {
	f.Add(mustAppend(f, TypeRequest, 7, testRequest(), "body"))
	f.Add(mustAppend(f, TypeResponse, 7, Response{Status: StatusOK, More: true, Length: 9}, "part"))
	f.Add(mustAppend(f, TypeWelcome, 0, Welcome{Version: 1, Worker: "w", LoadReportFields: []string{"queue"}}, ""))
	f.Add(mustAppend(f, TypeLoadOrder, 3, LoadOrder{Replica: testRequest().Replica, Replicas: 1}, ""))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReader(bytes.NewReader(raw), 1<<16)
		for {
			frame, err := r.Next()
			if err != nil {
				return
			}
			message := map[Type]any{
				TypeHello: new(Hello), TypeWelcome: new(Welcome), TypeRequest: new(Request),
				TypeResponse: new(Response), TypeEnd: new(End), TypeCredit: new(Credit), TypeLoadOrder: new(LoadOrder),
				TypeLoadResult: new(LoadResult), TypeUnload: new(Unload), TypeHealthReport: new(HealthReport),
			}[frame.Type]
			if message == nil || frame.Decode(message) != nil {
				continue
			}
			encoded, err := Append(nil, frame.Type, frame.StreamID, message, frame.Body)
			if err != nil {
				t.Fatal(err)
			}
			decoded, err := NewReader(bytes.NewReader(encoded), 0).Next()
			copied := reflect.New(reflect.TypeOf(message).Elem()).Interface()
			if err != nil || decoded.Decode(copied) != nil {
				t.Fatalf("re-encoded message %+v cannot be decoded: %v", message, err)
			}
		}
	})
}
