package simhost

import (
	"bytes"
	"encoding/binary"
	"errors"
	"math"
	"testing"

	"havencart/internal/simwire"
)

// Action codes that the tests look for in a reply.
const (
	codeSend           = 256
	codeInternalError  = 265
	codeSetTimer       = 260
	codeSelectInstance = 270
)

// batchBuilder builds the frame of a batch record by record.
type batchBuilder struct {
	records, tail []byte
	count         uint32
}

func (b *batchBuilder) event(code simwire.EventCode, fields ...any) *batchBuilder {
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

func (b *batchBuilder) selectInstance(i uint32) *batchBuilder {
	return b.event(simwire.SelectInstance, i)
}

func (b *batchBuilder) open(settings string) *batchBuilder {
	at := uint32(len(b.tail))
	b.tail = append(b.tail, settings...)
	return b.event(simwire.OpenInstance, uint64(1), at, uint32(len(settings)))
}

// list defines endpoint list 0 with one ready worker and sends it to the selected instance.
func (b *batchBuilder) list(addr byte) *batchBuilder {
	at := uint32(len(b.tail))
	entry := make([]byte, 24)
	copy(entry[4:], []byte{10, 0, 0, addr, 0x40, 0x1f})
	entry[19] = 1
	b.tail = append(b.tail, entry...)
	b.event(simwire.EndpointList, uint16(0), at, uint32(1))
	return b.event(simwire.EndpointsChanged, uint8(1), uint32(1), uint16(0))
}

func (b *batchBuilder) request(id uint32, class uint16) *batchBuilder {
	return b.event(simwire.RequestReceived, id, class, uint32(0), uint64(7), float64(1000), float64(0), float32(100), float32(2))
}

func (b *batchBuilder) bytes(number uint32, clock float64) []byte {
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

// action is one record of a reply, with the instance that requested the action.
type action struct {
	code     uint16
	instance uint32
	raw      []byte
}

func decodeReplies(t *testing.T, raw []byte) [][]action {
	t.Helper()
	var all [][]action
	for len(raw) > 0 {
		size, count := binary.LittleEndian.Uint32(raw[4:]), binary.LittleEndian.Uint32(raw[8:])
		var one []action
		instance := uint32(0)
		for i := range count {
			rec := raw[12+24*i : 36+24*i]
			code := binary.LittleEndian.Uint16(rec)
			if code == codeSelectInstance {
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

const simpleSettings = `{"classes": [{"repeat": "retryable", "deadline": 1000, "onTime": 100}], "limits": {"maxAttempts": 3},
	"familyInfo": {"keep": 10000, "whenAbsent": "load"}}`

func runHost(t *testing.T, frames ...[]byte) ([][]action, error) {
	t.Helper()
	var out bytes.Buffer
	err := New().Run(bytes.NewReader(bytes.Join(frames, nil)), &out)
	return decodeReplies(t, out.Bytes()), err
}

func sendActions(actions []action) (found []action) {
	for _, a := range actions {
		if a.code == codeSend {
			found = append(found, a)
		}
	}
	return found
}

func TestRun_EmptyBatch_GetsEmptyReply(t *testing.T) {
	got, err := runHost(t, new(batchBuilder).bytes(1, 0))
	if err != nil || len(got) != 1 || len(got[0]) != 0 {
		t.Errorf("replies %v, error %v", got, err)
	}
}

func TestRun_TwoInstances_AreIndependent(t *testing.T) {
	b := new(batchBuilder)
	b.selectInstance(3).open(simpleSettings).list(1)
	b.selectInstance(5).open(simpleSettings).list(2)
	b.selectInstance(3).request(11, 0)
	b.selectInstance(5).request(12, 0)
	got, err := runHost(t, b.bytes(1, 0))
	if err != nil {
		t.Fatal(err)
	}
	s := sendActions(got[0])
	if len(s) != 2 || s[0].instance != 3 || s[0].raw[17] != 1 || s[1].instance != 5 || s[1].raw[17] != 2 {
		t.Errorf("sends %+v: a list number must refer to the entries at the time of the event", s)
	}
}

func TestRun_ReopenedInstance_StartsFresh(t *testing.T) {
	first := new(batchBuilder).selectInstance(3).open(simpleSettings).list(1).bytes(1, 0)
	second := new(batchBuilder).selectInstance(3).event(simwire.CloseInstance).open(simpleSettings).request(11, 0).bytes(2, 5)
	third := new(batchBuilder).selectInstance(3).event(simwire.CloseInstance).bytes(3, 6)
	late := new(batchBuilder).selectInstance(3).event(simwire.TimerFired, uint64(0)).bytes(4, 30)
	got, err := runHost(t, first, second, third, late)
	if err != nil {
		t.Fatal(err)
	}
	if len(sendActions(got[1])) != 0 {
		t.Error("a reopened instance knows the workers of the instance before it")
	}
	if len(got[1]) == 0 || got[1][0].code != codeSetTimer {
		t.Errorf("a reopened instance sets no timer: %+v", got[1])
	}
	if len(got[3]) != 0 {
		t.Errorf("actions for an instance that has ended: %+v", got[3])
	}
}

func TestRun_SchedulerPanic_IsReported(t *testing.T) {
	panics := new(batchBuilder).selectInstance(3).open(simpleSettings).request(11, 9).bytes(1, 0)
	after := new(batchBuilder).selectInstance(3).request(12, 0).bytes(2, 1)
	got, err := runHost(t, panics, after)
	if err != nil {
		t.Fatal(err)
	}
	last := got[0][len(got[0])-1]
	if last.code != codeInternalError || last.instance != 3 || len(got[1]) != 0 {
		t.Errorf("replies %+v", got)
	}
}

func TestRun_MalformedInput_Fails(t *testing.T) {
	tests := map[string][]byte{
		"settings not in JSON":      new(batchBuilder).selectInstance(1).open("{nonsense").bytes(1, 0),
		"event without an instance": new(batchBuilder).request(1, 0).bytes(1, 0),
		"unknown event":             new(batchBuilder).selectInstance(1).event(999).bytes(1, 0),
		"truncated":                 new(batchBuilder).selectInstance(1).bytes(1, 0)[:30],
	}
	for name, raw := range tests {
		if _, err := runHost(t, raw); !errors.Is(err, simwire.ErrMalformed) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
