package workerframe

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"
)

func TestReader_FramesOfAppend_AreReadBack(t *testing.T) {
	frames := []Frame{{Code: OK, ID: 7, Fields: "peers_in=3,rep=queue:2", Body: []byte("hello")}, {Code: Overloaded, ID: 1<<63 + 5}}
	var raw []byte
	for _, f := range frames {
		var err error
		if raw, err = Append(raw, FromWorker, f); err != nil {
			t.Fatal(err)
		}
	}
	r := NewReader(bytes.NewReader(raw), FromWorker, MaxBody)
	for _, want := range frames {
		f, err := r.Next()
		if err != nil || f.Code != want.Code || f.ID != want.ID || f.Fields != want.Fields || !bytes.Equal(f.Body, want.Body) {
			t.Errorf("%+v came back as %+v, %v", want, f, err)
		}
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
	if n, err := Count(frames[0].Fields, "peers_in", 0); n != 3 || err != nil {
		t.Errorf("peers_in is %d, %v", n, err)
	}
	if v, err := ParseLoadReport("util:0.5;queue:2", []string{"queue", "inflight"}); err != nil || v[0] != 2 || v[1] != 0 {
		t.Errorf("report read as %v, %v", v, err)
	}
}

// TestReader_DamagedFrame_IsMalformed damages a valid frame in each of its parts.
func TestReader_DamagedFrame_IsMalformed(t *testing.T) {
	valid, err := Append(nil, FromWorker, Frame{Code: OK, ID: 7, Fields: "peers_in=3", Body: []byte("hello")})
	if err != nil {
		t.Fatal(err)
	}
	damage := func(change func([]byte)) []byte {
		raw := bytes.Clone(valid)
		change(raw)
		return raw
	}
	for name, raw := range map[string][]byte{
		"mark":        damage(func(b []byte) { b[0] = FromFrontEnd }),
		"code":        damage(func(b []byte) { b[1] = 65 }),
		"3 GB":        damage(func(b []byte) { binary.BigEndian.PutUint32(b[4:], 3<<30) }),
		"many fields": damage(func(b []byte) { binary.BigEndian.PutUint16(b[2:], 60000) }),
		"body":        damage(func(b []byte) { b[headerSize+12] ^= 1 }),
		"check":       damage(func(b []byte) { b[len(b)-1] ^= 1 }),
	} {
		if _, err := NewReader(bytes.NewReader(raw), FromWorker, MaxBody).Next(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	for n := 1; n < len(valid); n++ {
		if _, err := NewReader(bytes.NewReader(valid[:n]), FromWorker, MaxBody).Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut off after %d bytes: error %v", n, err)
		}
	}
}

func FuzzReader(f *testing.F) {
	valid, _ := Append(nil, FromWorker, Frame{Code: OK, ID: 7, Fields: "peers_in=3", Body: []byte("hello")})
	f.Add(valid)
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReader(bytes.NewReader(raw), FromWorker, 1<<16)
		for {
			frame, err := r.Next()
			if err != nil {
				return
			}
			encoded, err := Append(nil, FromWorker, frame)
			if err != nil || !bytes.Contains(raw, encoded) {
				t.Fatalf("%+v is written as %x, %v", frame, encoded, err)
			}
			_, _ = Count(frame.Fields, "peers_in", 0)
			_, _ = ParseLoadReport(frame.Fields, []string{"queue"})
		}
	})
}
