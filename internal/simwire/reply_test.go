package simwire

import (
	"bytes"
	"testing"
	"time"

	"havencart/scheduler"
)

func TestReply_ExampleFrame_Encodes(t *testing.T) {
	want := unhex(t, `0c000000 8d000000 05000000
		0e01 03000000 +18
		0001 c4913a5d 000000002096c040 0a124a07 431f +4
		0401 0000000000407f40 4d00000000000000 +6
		0e01 05000000 +18
		0801 00000000 11000000 +14
		74776f2073657276657273206b6e6f776e`)
	var p Reply
	p.Reset()
	p.SelectInstance(3)
	p.Send(0x5d3a91c4, 0x0a124a07<<16|0x1f43, 8492250*time.Microsecond)
	p.SelectInstance(3)
	p.SetTimer(500*time.Millisecond, 0x4d)
	p.SelectInstance(5)
	p.Log("two servers known")
	var got bytes.Buffer
	if err := p.WriteTo(&got, 12); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("got  %x\nwant %x", got.Bytes(), want)
	}
}

func TestReply_EachAction_Encodes(t *testing.T) {
	const w, f = scheduler.WorkerID(0x0a124a07<<16 | 0x1f43), scheduler.FunctionID(0x7c55d20a01)
	tests := map[string]struct {
		act  func(*Reply)
		want string
	}{
		"reject":          {func(p *Reply) { p.Reject(7, 250*time.Millisecond) }, "0101 07000000 0000000000406f40 +10"},
		"fail":            {func(p *Reply) { p.Fail(7) }, "0201 07000000 +18"},
		"cancel":          {func(p *Reply) { p.Cancel(7, 2) }, "0301 07000000 0200 +16"},
		"check health":    {func(p *Reply) { p.CheckHealth(w) }, "0501 0a124a07 431f +16"},
		"watch endpoints": {func(p *Reply) { p.WatchEndpoints() }, "0a01 01 +21"},
		"load":            {func(p *Reply) { p.Load(w, f, 1) }, "0c01 0a124a07 431f 010ad2557c000000 01 +7"},
		"unload":          {func(p *Reply) { p.Unload(w, f) }, "0d01 0a124a07 431f 010ad2557c000000 +8"},
		"internal error":  {func(p *Reply) { p.InternalError("x") }, "0901 00000000 01000000 +14 78"},
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
