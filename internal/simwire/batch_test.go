package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"havencart/scheduler"
)

// unhex decodes words of hex digits; the word "+n" stands for n zero bytes.
func unhex(t *testing.T, text string) []byte {
	t.Helper()
	var out []byte
	for _, word := range strings.Fields(text) {
		if n, zeros := strings.CutPrefix(word, "+"); zeros {
			count := 0
			for _, digit := range n {
				count = count*10 + int(digit-'0')
			}
			out = append(out, make([]byte, count)...)
			continue
		}
		raw, err := hex.DecodeString(word)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, raw...)
	}
	return out
}

// frame returns the frame of batch 12 at 60 s with the given records and tail.
func frame(t *testing.T, tail []byte, records ...string) []byte {
	t.Helper()
	var body []byte
	for _, r := range records {
		raw := unhex(t, r)
		if len(raw) > eventSize {
			t.Fatalf("record of %d bytes: %s", len(raw), r)
		}
		body = append(body, append(raw, make([]byte, eventSize-len(raw))...)...)
	}
	head := unhex(t, "0c000000")
	head = binary.LittleEndian.AppendUint64(head, math.Float64bits(60000))
	head = binary.LittleEndian.AppendUint32(head, uint32(4+len(body)+len(tail)))
	head = binary.LittleEndian.AppendUint32(head, uint32(len(records)))
	return append(append(head, body...), tail...)
}

func TestReadBatch_ExampleFrames_Decode(t *testing.T) {
	worker := scheduler.WorkerID(0x0a124a07)<<16 | 0x1f43
	entries := unhex(t, "0000803f 0a124a07 431f 00 0000000000000000 01 0000 0000"+
		" 0000c03f 0a9011f2 6c1f 00 0000000000d4b740 02 0000 0300")
	tests := map[string]struct {
		record string
		tail   []byte
		want   func(Event) bool
	}{
		"request received": {
			"0201 c4913a5d 0000 00000000 010ad2557c000000 0000000000006e40 0000000000002840 0000c043 00000040 00000000 01",
			nil, func(e Event) bool {
				r := e.Request
				return r.ID == 0x5d3a91c4 && r.Function == 0x7c55d20a01 && r.Timeout == 240*time.Millisecond &&
					r.WorkEstimate == 12*time.Millisecond && r.ReplicaMemoryMB == 384 && r.ReplicaConcurrency == 2 && r.LoadTimeEstimate == 0
			},
		},
		"request without a work estimate": {
			"0201 c4913a5d 0000 00000000 010ad2557c000000 0000000000006e40 0000000000002840 0000c043 00000040 00007a44 02",
			nil, func(e Event) bool { return e.Request.WorkEstimate == 0 && e.Request.LoadTimeEstimate == time.Second },
		},
		"attempt ended": {"0401 c4913a5d 0200 0a124a07 431f 01 0000000000803240 01 1a 01 00004040", nil, func(e Event) bool {
			o := e.Outcome
			return o.Attempt == 2 && o.Worker == worker && o.Status == scheduler.OK && o.RequestClosed &&
				o.Latency == 18500*time.Microsecond && o.ColdStart == scheduler.ColdStartTriggered && o.QueueDepth == 3 &&
				len(o.LoadReport) == 1 && o.LoadReport[0] == 3
		}},
		"client disconnected": {"0501 192b6f0e", nil, func(e Event) bool { return e.Request.ID == 0x0e6f2b19 }},
		"response started":    {"0301 c4913a5d 0000000000802240 0a124a07 431f", nil, func(e Event) bool { return e.Request.ID == 0x5d3a91c4 }},
		"timer fired":         {"0601 4d00000000000000", nil, func(e Event) bool { return e.TimerToken == 0x4d }},
		"health checked": {"0701 0a124a07 431f 01 666666666666f63f 01 00004040", nil, func(e Event) bool {
			return e.HealthCheck.Worker == worker && e.HealthCheck.Latency == 1400*time.Microsecond && e.HealthCheck.LoadReport[0] == 3
		}},
		"load ended": {"0a01 0a124a07 431f 03 0000000000008440 010ad2557c000000 02", nil, func(e Event) bool {
			l := e.Load
			return l.Worker == worker && l.Status == scheduler.Overloaded && l.Function == 0x7c55d20a01 && l.Replicas == 2 &&
				l.Latency == 640*time.Millisecond
		}},
		"endpoints changed": {"0101 02 29000000 0300", nil, func(e Event) bool { return e.ListKind == CachedList && e.ListNumber == 3 }},
		"endpoint list": {"0b01 0100 00000000 02000000", entries, func(e Event) bool {
			w := e.Workers
			return len(w) == 2 && w[0].Started == scheduler.UnknownStart && w[0].State == scheduler.Ready &&
				w[1].State == scheduler.Draining && w[1].Started == 6100*time.Millisecond && w[1].Cell == 3 && w[1].Scale == 1.5
		}},
		"datagram":       {"0801 0200 00000000 04000000", []byte("hi 7"), func(Event) bool { return true }},
		"close instance": {"0901", nil, func(e Event) bool { return e.Code == CloseInstance }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b, err := ReadBatch(bytes.NewReader(frame(t, test.tail, test.record)))
			if err != nil {
				t.Fatal(err)
			}
			if b.Number != 12 || b.Clock != time.Minute || len(b.Events) != 1 || !test.want(b.Events[0]) {
				t.Errorf("read %+v", b)
			}
		})
	}
}

func TestReadBatch_MalformedFrame_Fails(t *testing.T) {
	good := frame(t, nil, "0601 4d")
	long := bytes.Clone(good)
	binary.LittleEndian.PutUint32(long[12:], 1<<31)
	overcounted := bytes.Clone(good)
	binary.LittleEndian.PutUint32(overcounted[16:], 2)
	tests := map[string][]byte{
		"truncated header":      good[:11],
		"truncated body":        good[:40],
		"impossible length":     long,
		"too many records":      overcounted,
		"unknown event":         frame(t, nil, "ff01"),
		"offset outside tail":   frame(t, []byte("abc"), "0b01 0000 00000000 01000000"),
		"settings outside tail": frame(t, []byte("abc"), "0001 0000000000000000 02000000 02000000"),
		"unknown outcome":       frame(t, nil, "0401 c4913a5d 0000 0a124a07 431f 0a"),
		"unknown list kind":     frame(t, nil, "0101 04"),
		"list number":           frame(t, nil, "0101 00 00000000 1000"),
		"unknown state":         frame(t, unhex(t, "0000803f 0a124a07 431f 00 +8 04 +4"), "0b01 0000 00000000 01000000"),
		"not a number":          frame(t, nil, "0201 c4913a5d 0000 +12 000000000000f87f"),
		"load report too long":  frame(t, nil, "0701 0a124a07 431f 01 +8 05"),
	}
	for name, raw := range tests {
		if _, err := ReadBatch(bytes.NewReader(raw)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
	if _, err := ReadBatch(bytes.NewReader(nil)); err != io.EOF {
		t.Errorf("end of input: error %v", err)
	}
}

func FuzzReadBatch(f *testing.F) {
	f.Add([]byte{})
	f.Add(append(make([]byte, 12), 4, 0, 0, 0, 0, 0, 0, 0))
	f.Add(append(append(make([]byte, 12), 60, 0, 0, 0, 1, 0, 0, 0, 2, 1), make([]byte, 54)...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, err := ReadBatch(bytes.NewReader(raw))
		if err == nil && b == nil || err != nil && err != io.EOF && !errors.Is(err, ErrMalformed) {
			t.Fatalf("batch %v, error %v", b, err)
		}
	})
}
