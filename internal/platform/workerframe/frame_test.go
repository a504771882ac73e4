package workerframe

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"
)

func TestReader_AppendedFrames_AreReadBack(t *testing.T) {
	frames := []Frame{{Code: OK, ID: 7, Fields: "peers_in=3,rep=queue:2", Body: []byte("hello")}, {Code: Overloaded, ID: 1<<63 + 5}}
	var raw []byte
	for _, f := range frames {
		var err error
		if raw, err = Append(raw, MagicWorker, f); err != nil {
			t.Fatal(err)
		}
	}
	r := NewReader(bytes.NewReader(raw), MagicWorker, MaxBody)
	for _, want := range frames {
		f, err := r.Next()
		if err != nil || f.Code != want.Code || f.ID != want.ID || f.Fields != want.Fields || !bytes.Equal(f.Body, want.Body) {
			t.Errorf("frame %+v was read back as %+v, error %v", want, f, err)
		}
	}
	if _, err := r.Next(); err != io.EOF {
		t.Errorf("error %v at the end of the input, want io.EOF", err)
	}
	if n, err := Count(frames[0].Fields, "peers_in", 0); n != 3 || err != nil {
		t.Errorf("got peers_in %d, error %v; want 3", n, err)
	}
	if v, err := ParseLoadReport("util:0.5;queue:2", []string{"queue", "inflight"}); err != nil || v[0] != 2 || v[1] != 0 {
		t.Errorf("got load report %v, error %v; want values 2 and 0", v, err)
	}
}

// TestReader_CorruptedFrame_IsMalformed corrupts each part of a valid frame in turn, and also truncates the frame at
// every byte.
func TestReader_CorruptedFrame_IsMalformed(t *testing.T) {
	valid, err := Append(nil, MagicWorker, Frame{Code: OK, ID: 7, Fields: "peers_in=3", Body: []byte("hello")})
	if err != nil {
		t.Fatal(err)
	}
	corrupt := func(change func([]byte)) []byte {
		raw := bytes.Clone(valid)
		change(raw)
		return raw
	}
	for name, raw := range map[string][]byte{
		"wrong magic byte":  corrupt(func(b []byte) { b[0] = MagicFrontEnd }),
		"unknown code":      corrupt(func(b []byte) { b[1] = 65 }),
		"body length 3 GiB": corrupt(func(b []byte) { binary.BigEndian.PutUint32(b[4:], 3<<30) }),
		"fields too long":   corrupt(func(b []byte) { binary.BigEndian.PutUint16(b[2:], 60000) }),
		"corrupted body":    corrupt(func(b []byte) { b[headerSize+12] ^= 1 }),
		"wrong checksum":    corrupt(func(b []byte) { b[len(b)-1] ^= 1 }),
	} {
		if _, err := NewReader(bytes.NewReader(raw), MagicWorker, MaxBody).Next(); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v, want ErrMalformed", name, err)
		}
	}
	for n := 1; n < len(valid); n++ {
		if _, err := NewReader(bytes.NewReader(valid[:n]), MagicWorker, MaxBody).Next(); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("truncated after %d bytes: error %v, want io.ErrUnexpectedEOF", n, err)
		}
	}
}

// FuzzReader checks that arbitrary input causes no panic and that every frame that is read encodes to bytes of the
// input.
func FuzzReader(f *testing.F) {
	valid, _ := Append(nil, MagicWorker, Frame{Code: OK, ID: 7, Fields: "peers_in=3", Body: []byte("hello")})
	f.Add(valid)
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := NewReader(bytes.NewReader(raw), MagicWorker, 1<<16)
		for {
			frame, err := r.Next()
			if err != nil {
				return
			}
			encoded, err := Append(nil, MagicWorker, frame)
			if err != nil || !bytes.Contains(raw, encoded) {
				t.Fatalf("frame %+v was encoded as %x, error %v, which is not part of the input", frame, encoded, err)
			}
			_, _ = Count(frame.Fields, "peers_in", 0)
			_, _ = ParseLoadReport(frame.Fields, []string{"queue"})
		}
	})
}

// TestReader_ReserveBody_CalledBeforeBody checks that memory is asked for before a body is read, and only for frames that
// have one.
func TestReader_ReserveBody_CalledBeforeBody(t *testing.T) {
	var raw []byte
	for _, f := range []Frame{{Code: Healthy, ID: 1, Fields: "rep=queue:2"}, {Code: OK, ID: 2, Body: []byte("hello")}} {
		var err error
		if raw, err = Append(raw, MagicWorker, f); err != nil {
			t.Fatal(err)
		}
	}
	refused := errors.New("no memory")
	r := NewReader(bytes.NewReader(raw), MagicWorker, MaxBody)
	r.ReserveBody = func(size int) error {
		if size != len("hello") {
			t.Errorf("memory was reserved for %d bytes, want %d", size, len("hello"))
		}
		return refused
	}
	if f, err := r.Next(); err != nil || f.ID != 1 {
		t.Errorf("read %+v, error %v; want the frame without a body", f, err)
	}
	if f, err := r.Next(); !errors.Is(err, refused) || f.Body != nil {
		t.Errorf("read %+v, error %v; want the error of ReserveBody", f, err)
	}
}
