package muxframe

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

func encode(t testing.TB, kind Type, call uint32, header any, body string) []byte {
	t.Helper()
	raw, err := Append(nil, kind, call, header, []byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func someCall() Request {
	return Request{Replica: ReplicaSpec{Function: "fare-quote", MemoryMB: 300, Concurrency: 2}, ID: "a-1", Class: "fare",
		IdempotencyKey: "k", TimeoutMillis: 1500, Window: 65536}
}

func TestFramesComeBackAsTheyWentIn(t *testing.T) {
	crowd := 0
	answer := Response{Status: StatusOK, ColdStart: ColdStartTriggered, QueueDepth: &crowd, LoadReport: []float64{1, 2.5}}
	raw := encode(t, TypeRequest, 7, someCall(), "body")
	raw = append(raw, encode(t, TypeResponse, 7, answer, "")...)
	raw = append(raw, encode(t, TypePing, 0, nil, "")...)
	r := NewReader(bytes.NewReader(raw), 0)

	var call Request
	f, err := r.Next()
	if err != nil || f.Type != TypeRequest || f.StreamID != 7 || string(f.Body) != "body" {
		t.Fatalf("frame %+v, error %v", f, err)
	}
	if err := f.Decode(&call); err != nil || call != someCall() {
		t.Errorf("call %+v, error %v", call, err)
	}
	var got Response
	if f, err = r.Next(); err != nil {
		t.Fatal(err)
	}
	if err := f.Decode(&got); err != nil || !reflect.DeepEqual(got, answer) {
		t.Errorf("answer %+v, error %v", got, err)
	}
	if f, err = r.Next(); err != nil || f.Type != TypePing {
		t.Errorf("frame %+v, error %v", f, err)
	}
	if _, err = r.Next(); err != io.EOF {
		t.Errorf("error %v at the end", err)
	}
}

func TestBytesThatAreNoFrameAreRefused(t *testing.T) {
	good := encode(t, TypeRequest, 1, someCall(), "body")
	long := append([]byte{0xff, 0xff, 0xff, 0xff}, good[4:]...)
	badType := bytes.Clone(good)
	badType[4] = 99
	badHeader := bytes.Clone(good)
	badHeader[9], badHeader[10] = 0xff, 0xff
	for name, raw := range map[string][]byte{"length over the bound": long, "length under a frame": {0, 0, 0, 1, 1},
		"unknown type": badType, "header longer than the frame": badHeader} {
		if _, err := NewReader(bytes.NewReader(raw), 1<<20).Next(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := NewReader(bytes.NewReader(good[:len(good)-1]), 0).Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("cut short: error %v", err)
	}
}

func TestHeadersThatCanBeReadTwoWaysAreRefused(t *testing.T) {
	for name, header := range map[string][]byte{
		"a key twice":      {0xa2, 0x01, 0x01, 0x01, 0x02},
		"open length":      {0xbf, 0x01, 0x01, 0xff},
		"no map":           {0x01},
		"bytes behind it":  {0xa1, 0x01, 0x01, 0x00},
		"nothing":          {},
		"wrong kind value": {0xa1, 0x01, 0x61, 0x61},
	} {
		if err := (Frame{Type: TypeLoadResult, Header: header}).Decode(new(LoadResult)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	later := []byte{0xa2, 0x01, 0x01, 0x18, 0x63, 0x01} // key 99 of a later version
	if err := (Frame{Type: TypeLoadResult, Header: later}).Decode(new(LoadResult)); err != nil {
		t.Errorf("an unknown key: %v", err)
	}
}

func TestTooLongFramesAreNotMade(t *testing.T) {
	if _, err := Append(nil, TypeRequest, 1, nil, make([]byte, MaxFrame)); err == nil {
		t.Error("a frame over the bound was encoded")
	}
	if _, err := Append(nil, TypeRequest, 1, Request{ID: strings.Repeat("x", maxHeader)}, nil); err == nil {
		t.Error("a header over the bound was encoded")
	}
}

// TestALengthAloneTakesNoMemory guards against a peer that names a large frame and sends nothing of it.
func TestALengthAloneTakesNoMemory(t *testing.T) {
	r := NewReader(bytes.NewReader([]byte{0, 0xf0, 0, 0, 1}), 0)
	if _, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) || cap(r.buf) > 1<<20 {
		t.Errorf("error %v, %d bytes set aside", err, cap(r.buf))
	}
}

// FuzzFrames holds that no bytes make the reader panic, and that what decodes encodes to the same message.
func FuzzFrames(f *testing.F) {
	f.Add(encode(f, TypeRequest, 7, someCall(), "body"))
	f.Add(encode(f, TypeResponse, 7, Response{Status: StatusOK, More: true, Length: 9}, "part"))
	f.Add(encode(f, TypeWelcome, 0, Welcome{Version: 1, Worker: "w", LoadReportFields: []string{"queue"}}, ""))
	f.Add(encode(f, TypeLoadOrder, 3, LoadOrder{Replica: someCall().Replica, Replicas: 1}, ""))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReader(bytes.NewReader(raw), 1<<16)
		for {
			frame, err := r.Next()
			if err != nil {
				return
			}
			message := map[Type]any{TypeHello: new(Hello), TypeWelcome: new(Welcome), TypeRequest: new(Request),
				TypeResponse: new(Response), TypeEnd: new(End), TypeCredit: new(Credit), TypeLoadOrder: new(LoadOrder),
				TypeLoadResult: new(LoadResult), TypeUnload: new(Unload), TypeHealthReport: new(HealthReport)}[frame.Type]
			if message == nil || frame.Decode(message) != nil {
				continue
			}
			again, err := Append(nil, frame.Type, frame.StreamID, message, frame.Body)
			if err != nil {
				t.Fatal(err)
			}
			back, err := NewReader(bytes.NewReader(again), 0).Next()
			twin := reflect.New(reflect.TypeOf(message).Elem()).Interface()
			if err != nil || back.Decode(twin) != nil {
				t.Fatalf("what was decoded does not encode: %+v, %v", message, err)
			}
		}
	})
}
