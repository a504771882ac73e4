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

// unhex reads hex digits; "+n" stands for n zero bytes.
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

// frame puts records and a tail behind the header of batch 12 at 60 s.
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

func TestReadBatchExamples(t *testing.T) {
	worker := scheduler.WorkerID(0x0a124a07)<<16 | 0x1f43
	entries := unhex(t, "0000803f 0a124a07 431f 00 0000000000000000 01 0000 0000"+
		" 0000c03f 0a9011f2 6c1f 00 0000000000d4b740 02 0000 0300")
	tests := map[string]struct {
		record string
		tail   []byte
		want   func(Event) bool
	}{
		"arrival": {"0201 c4913a5d 0000 00000000 010ad2557c000000 0000000000006e40 0000000000002840 0000c043 00000040 00000000 01",
			nil, func(e Event) bool {
				r := e.Request
				return r.ID == 0x5d3a91c4 && r.Function == 0x7c55d20a01 && r.Timeout == 240*time.Millisecond &&
					r.WorkEstimate == 12*time.Millisecond && r.ReplicaMemoryMB == 384 && r.ReplicaConcurrency == 2 && r.LoadTimeEstimate == 0
			}},
		"arrival without a hint": {"0201 c4913a5d 0000 00000000 010ad2557c000000 0000000000006e40 0000000000002840 0000c043 00000040 00007a44 02",
			nil, func(e Event) bool { return e.Request.WorkEstimate == 0 && e.Request.LoadTimeEstimate == time.Second }},
		"result": {"0401 c4913a5d 0200 0a124a07 431f 01 0000000000803240 01 1a 01 00004040", nil, func(e Event) bool {
			o := e.Outcome
			return o.Attempt == 2 && o.Worker == worker && o.Status == scheduler.OK && o.RequestClosed &&
				o.Latency == 18500*time.Microsecond && o.ColdStart == scheduler.ColdStartTriggered && o.QueueDepth == 3 &&
				len(o.LoadReport) == 1 && o.LoadReport[0] == 3
		}},
		"lapsed": {"0501 192b6f0e", nil, func(e Event) bool { return e.Request.ID == 0x0e6f2b19 }},
		"first":  {"0301 c4913a5d 0000000000802240 0a124a07 431f", nil, func(e Event) bool { return e.Request.ID == 0x5d3a91c4 }},
		"wake":   {"0601 4d00000000000000", nil, func(e Event) bool { return e.Token == 0x4d }},
		"pong": {"0701 0a124a07 431f 01 666666666666f63f 01 00004040", nil, func(e Event) bool {
			return e.Probed.Worker == worker && e.Probed.Latency == 1400*time.Microsecond && e.Probed.LoadReport[0] == 3
		}},
		"load done": {"0a01 0a124a07 431f 03 0000000000008440 010ad2557c000000 02", nil, func(e Event) bool {
			l := e.Loaded
			return l.Worker == worker && l.Status == scheduler.Overloaded && l.Function == 0x7c55d20a01 && l.Replicas == 2 &&
				l.Latency == 640*time.Millisecond
		}},
		"members": {"0101 02 29000000 0300", nil, func(e Event) bool { return e.List == Cached && e.Page == 3 }},
		"directory": {"0b01 0100 00000000 02000000", entries, func(e Event) bool {
			w := e.Workers
			return len(w) == 2 && w[0].Started == scheduler.UnknownStart && w[0].State == scheduler.Ready &&
				w[1].State == scheduler.Draining && w[1].Started == 6100*time.Millisecond && w[1].Cell == 3 && w[1].Scale == 1.5
		}},
		"datagram": {"0801 0200 00000000 04000000", []byte("hi 7"), func(Event) bool { return true }},
		"detach":   {"0901", nil, func(e Event) bool { return e.Code == Detach }},
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

func TestReadBatchRefusesMalformed(t *testing.T) {
	good := frame(t, nil, "0601 4d")
	long := bytes.Clone(good)
	binary.LittleEndian.PutUint32(long[12:], 1<<31)
	crowded := bytes.Clone(good)
	binary.LittleEndian.PutUint32(crowded[16:], 2)
	tests := map[string][]byte{
		"truncated header":    good[:11],
		"truncated body":      good[:40],
		"impossible length":   long,
		"too many records":    crowded,
		"unknown event":       frame(t, nil, "ff01"),
		"offset outside tail": frame(t, []byte("abc"), "0b01 0000 00000000 01000000"),
		"settings past tail":  frame(t, []byte("abc"), "0001 0000000000000000 02000000 02000000"),
		"unknown outcome":     frame(t, nil, "0401 c4913a5d 0000 0a124a07 431f 0a"),
		"unknown list kind":   frame(t, nil, "0101 04"),
		"list number":         frame(t, nil, "0101 00 00000000 1000"),
		"unknown state":       frame(t, unhex(t, "0000803f 0a124a07 431f 00 +8 04 +4"), "0b01 0000 00000000 01000000"),
		"not a number":        frame(t, nil, "0201 c4913a5d 0000 +12 000000000000f87f"),
		"report of five":      frame(t, nil, "0701 0a124a07 431f 01 +8 05"),
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

func TestReplyExample(t *testing.T) {
	want := unhex(t, `0c000000 8d000000 05000000
		0e01 03000000 +18
		0001 c4913a5d 000000002096c040 0a124a07 431f +4
		0401 0000000000407f40 4d00000000000000 +6
		0e01 05000000 +18
		0801 00000000 11000000 +14
		74776f2073657276657273206b6e6f776e`)
	var p Reply
	p.Reset()
	p.For(3)
	p.Send(0x5d3a91c4, 0x0a124a07<<16|0x1f43, 8492250*time.Microsecond)
	p.For(3)
	p.SetTimer(500*time.Millisecond, 0x4d)
	p.For(5)
	p.Log("two servers known")
	var got bytes.Buffer
	if err := p.WriteTo(&got, 12); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", got.Bytes(), want)
	}
}

func TestReplyRecords(t *testing.T) {
	const w, f = scheduler.WorkerID(0x0a124a07<<16 | 0x1f43), scheduler.FunctionID(0x7c55d20a01)
	tests := map[string]struct {
		act  func(*Reply)
		want string
	}{
		"refuse":   {func(p *Reply) { p.Reject(7, 250*time.Millisecond) }, "0101 07000000 0000000000406f40 +10"},
		"fail":     {func(p *Reply) { p.Fail(7) }, "0201 07000000 +18"},
		"cancel":   {func(p *Reply) { p.Cancel(7, 2) }, "0301 07000000 0200 +16"},
		"probe":    {func(p *Reply) { p.CheckHealth(w) }, "0501 0a124a07 431f +16"},
		"follow":   {func(p *Reply) { p.WatchEndpoints() }, "0a01 01 +21"},
		"load":     {func(p *Reply) { p.Load(w, f, 1) }, "0c01 0a124a07 431f 010ad2557c000000 01 +7"},
		"unload":   {func(p *Reply) { p.Unload(w, f) }, "0d01 0a124a07 431f 010ad2557c000000 +8"},
		"internal": {func(p *Reply) { p.InternalError("x") }, "0901 00000000 01000000 +14 78"},
	}
	for name, test := range tests {
		var p Reply
		p.Reset()
		test.act(&p)
		if got, want := append(p.records, p.tail...), unhex(t, test.want); !bytes.Equal(got, want) {
			t.Errorf("%s: got %x, want %x", name, got, want)
		}
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
