package simhost

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"testing"

	"havencart/internal/simwire"
)

// Codes that the tests look for in a reply.
const (
	callOut       = 256
	internalError = 265
	schedule      = 260
	onBehalf      = 270
)

// batch builds frames record by record.
type batch struct {
	records, tail []byte
	count         uint32
}

func (b *batch) event(code uint16, fields ...any) *batch {
	var rec bytes.Buffer
	for _, f := range append([]any{code}, fields...) {
		if err := binary.Write(&rec, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	b.records = append(b.records, append(rec.Bytes(), make([]byte, 56-rec.Len())...)...)
	b.count++
	return b
}

func (b *batch) on(i uint32) *batch { return b.event(simwire.For, i) }

func (b *batch) open(settings string) *batch {
	at := uint32(len(b.tail))
	b.tail = append(b.tail, settings...)
	return b.event(simwire.OpenInstance, uint64(1), at, uint32(len(settings)))
}

// list defines page 0 with one ready worker and gives it to the instance.
func (b *batch) list(addr byte) *batch {
	at := uint32(len(b.tail))
	entry := make([]byte, 24)
	copy(entry[4:], []byte{10, 0, 0, addr, 0x40, 0x1f})
	entry[19] = 1
	b.tail = append(b.tail, entry...)
	b.event(simwire.Directory, uint16(0), at, uint32(1))
	return b.event(simwire.Members, uint8(1), uint32(1), uint16(0))
}

func (b *batch) arrival(id uint32, class uint16) *batch {
	return b.event(simwire.Arrival, id, class, uint32(0), uint64(7), float64(1000), float64(0), float32(100), float32(2))
}

func (b *batch) bytes(number uint32, clock float64) []byte {
	var out bytes.Buffer
	for _, x := range []any{number, math.Float64bits(clock), uint32(4 + len(b.records) + len(b.tail)), b.count} {
		if err := binary.Write(&out, binary.LittleEndian, x); err != nil {
			panic(err)
		}
	}
	out.Write(b.records)
	out.Write(b.tail)
	return out.Bytes()
}

// action is one record of a reply with the instance it is for.
type action struct {
	code     uint16
	instance uint32
	raw      []byte
}

func replies(t *testing.T, raw []byte) [][]action {
	t.Helper()
	var all [][]action
	for len(raw) > 0 {
		size, count := binary.LittleEndian.Uint32(raw[4:]), binary.LittleEndian.Uint32(raw[8:])
		var one []action
		instance := uint32(0)
		for i := range count {
			rec := raw[12+24*i : 36+24*i]
			code := binary.LittleEndian.Uint16(rec)
			if code == onBehalf {
				instance = binary.LittleEndian.Uint32(rec[2:])
				continue
			}
			one = append(one, action{code, instance, rec})
		}
		all = append(all, one)
		raw = raw[8+size:]
	}
	return all
}

const plain = `{"classes": [{"repeat": "retryable", "deadline": 1000, "onTime": 100}], "limits": {"maxAttempts": 3},
	"familyInfo": {"keep": 10000, "whenAbsent": "load"}}`

func play(t *testing.T, frames ...[]byte) ([][]action, error) {
	t.Helper()
	var out bytes.Buffer
	err := New().Run(bytes.NewReader(bytes.Join(frames, nil)), &out)
	return replies(t, out.Bytes()), err
}

func sends(actions []action) (found []action) {
	for _, a := range actions {
		if a.code == callOut {
			found = append(found, a)
		}
	}
	return found
}

func TestEmptyBatchIsAnswered(t *testing.T) {
	got, err := play(t, new(batch).bytes(1, 0))
	if err != nil || len(got) != 1 || len(got[0]) != 0 {
		t.Errorf("replies %v, error %v", got, err)
	}
}

func TestInstancesAreKeptApart(t *testing.T) {
	b := new(batch).on(3).open(plain).list(1).on(5).open(plain).list(2).on(3).arrival(11, 0).on(5).arrival(12, 0)
	got, err := play(t, b.bytes(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	s := sends(got[0])
	if len(s) != 2 || s[0].instance != 3 || s[0].raw[17] != 1 || s[1].instance != 5 || s[1].raw[17] != 2 {
		t.Errorf("sends %+v: a list number must mean the entries that it had when the event came", s)
	}
}

func TestRestartWithinOneBatchForgets(t *testing.T) {
	first := new(batch).on(3).open(plain).list(1).bytes(1, 0)
	second := new(batch).on(3).event(simwire.Detach).open(plain).arrival(11, 0).bytes(2, 5)
	third := new(batch).on(3).event(simwire.Detach).bytes(3, 6)
	late := new(batch).on(3).event(simwire.Wake, uint64(0)).bytes(4, 30)
	got, err := play(t, first, second, third, late)
	if err != nil {
		t.Fatal(err)
	}
	if len(sends(got[1])) != 0 {
		t.Error("a new life knows the workers of the old one")
	}
	if len(got[1]) == 0 || got[1][0].code != schedule {
		t.Errorf("a new life sets no timer: %+v", got[1])
	}
	if len(got[3]) != 0 {
		t.Errorf("actions for an instance that has ended: %+v", got[3])
	}
}

func TestPanicIsReported(t *testing.T) {
	got, err := play(t, new(batch).on(3).open(plain).arrival(11, 9).bytes(1, 0), new(batch).on(3).arrival(12, 0).bytes(2, 1))
	if err != nil {
		t.Fatal(err)
	}
	last := got[0][len(got[0])-1]
	if last.code != internalError || last.instance != 3 || len(got[1]) != 0 {
		t.Errorf("replies %+v", got)
	}
}

func TestBadInputEndsTheRun(t *testing.T) {
	tests := map[string][]byte{
		"settings that are no JSON": new(batch).on(1).open("{nonsense").bytes(1, 0),
		"event without an instance": new(batch).arrival(1, 0).bytes(1, 0),
		"unknown event":             new(batch).on(1).event(999).bytes(1, 0),
		"truncated":                 new(batch).on(1).bytes(1, 0)[:30],
	}
	for name, raw := range tests {
		if _, err := play(t, raw); !errors.Is(err, simwire.ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
