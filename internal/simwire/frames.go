// Package simwire reads and writes the frames and the settings of the
// bench's wire. It is strict: a frame that the wire does not allow is an error.
package simwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"havencart/scheduler"
)

// Codes of events, as they stand in a batch.
const (
	OpenInstance = 256 + iota
	Members
	Arrival
	First
	Result
	Lapsed
	Wake
	Pong
	Datagram
	Detach
	LoadDone
	Directory
	For
)

// Codes of actions, as they stand in a reply.
const (
	callOut       = 256
	turnAway      = 257
	respondError  = 258
	retract       = 259
	schedule      = 260
	probe         = 261
	printLine     = 264
	internalError = 265
	follow        = 266
	startCopy     = 268
	shelve        = 269
	onBehalf      = 270
)

const (
	eventSize  = 56
	actionSize = 24
	entrySize  = 24
	maxFrame   = 1 << 30
)

// ErrMalformed is wrapped by every error about the content of a frame.
var ErrMalformed = errors.New("malformed frame")

// ListKind is the kind of a MEMBERS event.
type ListKind uint8

// The kinds of list.
const (
	Delta ListKind = iota
	FullList
	Cached
	ListFailed
)

// Event is one record of a batch; which fields count depends on Code.
type Event struct {
	Code     uint16
	Instance uint32 // FOR
	Seed     uint64 // OPEN_INSTANCE
	Settings []byte // OPEN_INSTANCE
	List     ListKind
	Page     uint16 // MEMBERS, DIRECTORY
	Workers  []scheduler.WorkerInfo
	Request  scheduler.Request           // ARRIVAL; ID alone for FIRST and LAPSED
	Outcome  scheduler.Outcome           // RESULT
	Probed   scheduler.HealthCheckResult // PONG
	Loaded   scheduler.LoadResult        // LOAD_DONE
	Token    uint64                      // WAKE
}

// Batch is a decoded batch.
type Batch struct {
	Number uint32
	Clock  time.Duration
	Events []Event
}

func millis(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

func toMillis(d time.Duration) float64 { return float64(d) / 1e6 }

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// ReadBatch reads the next batch. It returns io.EOF at a clean end of input.
func ReadBatch(r io.Reader) (*Batch, error) {
	var head [20]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, malformed("input ends inside a header")
		}
		return nil, err
	}
	size := binary.LittleEndian.Uint32(head[12:])
	count := binary.LittleEndian.Uint32(head[16:])
	if size < 4 || size > maxFrame {
		return nil, malformed("impossible length %d", size)
	}
	if uint64(count)*eventSize > uint64(size-4) {
		return nil, malformed("%d records do not fit in %d bytes", count, size)
	}
	body, err := readBody(r, int(size-4))
	if err != nil {
		return nil, err
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(head[4:]))
	if !goodMillis(clock) {
		return nil, malformed("clock is %v", clock)
	}
	b := &Batch{Number: binary.LittleEndian.Uint32(head[:]), Clock: millis(clock)}
	records, tail := body[:count*eventSize], body[count*eventSize:]
	b.Events = make([]Event, 0, count)
	for len(records) > 0 {
		e, err := decodeEvent(records[:eventSize], tail)
		if err != nil {
			return nil, err
		}
		b.Events = append(b.Events, e)
		records = records[eventSize:]
	}
	return b, nil
}

// readBody reads n bytes, growing as they come so that a false length costs no memory.
func readBody(r io.Reader, n int) ([]byte, error) {
	var body []byte
	for len(body) < n {
		have, step := len(body), min(n-len(body), 1<<20)
		body = slices.Grow(body, step)[:have+step]
		if _, err := io.ReadFull(r, body[have:]); err != nil {
			return nil, malformed("input ends inside a batch")
		}
	}
	return body, nil
}

func goodMillis(ms float64) bool { return ms > -9e12 && ms < 9e12 }

// fields reads a record field by field and remembers the first trouble.
type fields struct {
	rec, tail []byte
	at        int
	err       error
}

func (f *fields) take(n int) []byte {
	b := f.rec[f.at : f.at+n]
	f.at += n
	return b
}

func (f *fields) u8() uint8   { return f.take(1)[0] }
func (f *fields) u16() uint16 { return binary.LittleEndian.Uint16(f.take(2)) }
func (f *fields) u32() uint32 { return binary.LittleEndian.Uint32(f.take(4)) }
func (f *fields) u64() uint64 { return binary.LittleEndian.Uint64(f.take(8)) }

func (f *fields) number(x float64) float64 {
	if !goodMillis(x) {
		f.fail("number %v", x)
		return 0
	}
	return x
}

func (f *fields) f32() float64 { return f.number(float64(math.Float32frombits(f.u32()))) }

func (f *fields) duration() time.Duration {
	return millis(f.number(math.Float64frombits(f.u64())))
}

func (f *fields) fail(format string, args ...any) {
	if f.err == nil {
		f.err = malformed(format, args...)
	}
}

func (f *fields) tailPart(unit int) []byte {
	offset, length := uint64(f.u32()), uint64(f.u32())
	end := offset + length*uint64(unit)
	if end > uint64(len(f.tail)) {
		f.fail("bytes %d to %d lie outside a tail of %d", offset, end, len(f.tail))
		return nil
	}
	return f.tail[offset:end]
}

func (f *fields) worker() scheduler.WorkerID {
	addr := binary.BigEndian.Uint32(f.take(4))
	return scheduler.WorkerID(addr)<<16 | scheduler.WorkerID(f.u16())
}

func (f *fields) function() scheduler.FunctionID { return scheduler.FunctionID(f.u64()) }

func (f *fields) status() scheduler.Status {
	s := scheduler.Status(f.u8())
	if s < scheduler.OK || s > scheduler.NotLoaded {
		f.fail("unknown outcome %d", s)
	}
	return s
}

func (f *fields) report() []float64 {
	n := int(f.u8())
	if n == 0 {
		return nil
	}
	if n > 4 {
		f.fail("load report of %d values", n)
		return nil
	}
	values := make([]float64, n)
	for i := range values {
		values[i] = f.f32()
	}
	return values
}

// entries reads the workers of a DIRECTORY.
func (f *fields) entries() []scheduler.WorkerInfo {
	raw := f.tailPart(entrySize)
	workers := make([]scheduler.WorkerInfo, 0, len(raw)/entrySize)
	for ; len(raw) >= entrySize; raw = raw[entrySize:] {
		e := fields{rec: raw[:entrySize]}
		w := scheduler.WorkerInfo{Scale: e.f32(), ID: e.worker(), Zone: int(e.u8()), Started: e.duration()}
		if w.Started == 0 {
			w.Started = scheduler.UnknownStart
		}
		w.State = scheduler.WorkerState(e.u8())
		w.Kind, w.Cell = int(e.u16()), int(e.u16())
		if w.State < scheduler.Ready || w.State > scheduler.Removed {
			e.fail("unknown state %d", w.State)
		}
		if e.err != nil {
			f.err = e.err
		}
		workers = append(workers, w)
	}
	return workers
}

func decodeEvent(rec, tail []byte) (Event, error) {
	f := fields{rec: rec, tail: tail}
	e := Event{Code: f.u16()}
	switch e.Code {
	case OpenInstance:
		e.Seed = f.u64()
		e.Settings = f.tailPart(1)
	case Members:
		e.List = ListKind(f.u8())
		if e.List > ListFailed {
			f.fail("unknown kind of list %d", e.List)
		}
		f.u32() // version: lists come in order and without gaps
		e.Page = f.u16()
	case Directory:
		e.Page = f.u16()
		e.Workers = f.entries()
	case Arrival:
		e.Request = f.request()
	case First:
		e.Request.ID = scheduler.RequestID(f.u32())
	case Lapsed:
		e.Request.ID = scheduler.RequestID(f.u32())
	case Result:
		e.Outcome = f.outcome()
	case Wake:
		e.Token = f.u64()
	case Pong:
		e.Probed = scheduler.HealthCheckResult{Worker: f.worker(), Status: f.status(), Latency: f.duration(), LoadReport: f.report()}
	case LoadDone:
		e.Loaded = scheduler.LoadResult{Worker: f.worker(), Status: f.status(), Latency: f.duration()}
		e.Loaded.Function, e.Loaded.Replicas = f.function(), int(f.u8())
	case Datagram:
		f.u16()
		f.tailPart(1)
	case For:
		e.Instance = f.u32()
	case Detach:
	default:
		return e, malformed("unknown event code %d", e.Code)
	}
	if e.Page > 15 {
		f.fail("list number %d", e.Page)
	}
	return e, f.err
}

func (f *fields) request() scheduler.Request {
	r := scheduler.Request{ID: scheduler.RequestID(f.u32()), Class: int(f.u16()), Tenant: int(f.u32())}
	r.Function, r.Timeout, r.WorkEstimate = f.function(), f.duration(), f.duration()
	r.ReplicaMemoryMB, r.ReplicaConcurrency, r.LoadTimeEstimate = f.f32(), max(1, int(f.f32())), millis(f.f32())
	if f.u8()&1 == 0 {
		r.WorkEstimate = 0
	}
	return r
}

func (f *fields) outcome() scheduler.Outcome {
	o := scheduler.Outcome{Request: scheduler.RequestID(f.u32()), Attempt: int(f.u16()), Worker: f.worker()}
	o.Status, o.Latency, o.RequestClosed = f.status(), f.duration(), f.u8() != 0
	note := f.u8()
	o.ColdStart, o.QueueDepth = scheduler.ColdStart(note%8), int(note/8)
	o.LoadReport = f.report()
	if o.ColdStart > scheduler.ColdStartFailed {
		f.fail("unknown note %d", note)
	}
	return o
}

// Reply builds the answer to one batch.
type Reply struct {
	records, tail []byte
	count         uint32
	current       int64
}

// Reset makes the reply empty.
func (p *Reply) Reset() {
	p.records, p.tail, p.count, p.current = p.records[:0], p.tail[:0], 0, -1
}

// record adds an empty record and returns its bytes after the code.
func (p *Reply) record(code uint16) []byte {
	at := len(p.records)
	p.records = append(p.records, make([]byte, actionSize)...)
	binary.LittleEndian.PutUint16(p.records[at:], code)
	p.count++
	return p.records[at+2:]
}

// For makes instance i the one that the next actions are for.
func (p *Reply) For(i uint32) {
	if p.current != int64(i) {
		p.current = int64(i)
		binary.LittleEndian.PutUint32(p.record(onBehalf), i)
	}
}

func putWorker(b []byte, w scheduler.WorkerID) {
	binary.BigEndian.PutUint32(b, uint32(w>>16))
	binary.LittleEndian.PutUint16(b[4:], uint16(w))
}

func putMillis(b []byte, d time.Duration) {
	binary.LittleEndian.PutUint64(b, math.Float64bits(toMillis(d)))
}

// Send adds a CALL_OUT.
func (p *Reply) Send(r scheduler.RequestID, w scheduler.WorkerID, until time.Duration) {
	b := p.record(callOut)
	binary.LittleEndian.PutUint32(b, uint32(r))
	putMillis(b[4:], until)
	putWorker(b[12:], w)
}

// Refuse adds a TURN_AWAY.
func (p *Reply) Reject(r scheduler.RequestID, retryAfter time.Duration) {
	b := p.record(turnAway)
	binary.LittleEndian.PutUint32(b, uint32(r))
	putMillis(b[4:], retryAfter)
}

// Fail adds a RESPOND_ERROR.
func (p *Reply) Fail(r scheduler.RequestID) {
	binary.LittleEndian.PutUint32(p.record(respondError), uint32(r))
}

// Cancel adds a RETRACT.
func (p *Reply) Cancel(r scheduler.RequestID, attempt int) {
	b := p.record(retract)
	binary.LittleEndian.PutUint32(b, uint32(r))
	binary.LittleEndian.PutUint16(b[4:], uint16(attempt))
}

// Wake adds a SCHEDULE.
func (p *Reply) SetTimer(after time.Duration, token uint64) {
	b := p.record(schedule)
	putMillis(b, after)
	binary.LittleEndian.PutUint64(b[8:], token)
}

// Probe adds a PROBE.
func (p *Reply) CheckHealth(w scheduler.WorkerID) { putWorker(p.record(probe), w) }

// Follow adds a FOLLOW that subscribes.
func (p *Reply) WatchEndpoints() { p.record(follow)[0] = 1 }

// Load adds a START_COPY.
func (p *Reply) Load(w scheduler.WorkerID, f scheduler.FunctionID, copies int) {
	b := p.record(startCopy)
	putWorker(b, w)
	binary.LittleEndian.PutUint64(b[6:], uint64(f))
	b[14] = uint8(copies)
}

// Unload adds a SHELVE.
func (p *Reply) Unload(w scheduler.WorkerID, f scheduler.FunctionID) {
	b := p.record(shelve)
	putWorker(b, w)
	binary.LittleEndian.PutUint64(b[6:], uint64(f))
}

func (p *Reply) text(code uint16, s string) {
	b := p.record(code)
	binary.LittleEndian.PutUint32(b, uint32(len(p.tail)))
	binary.LittleEndian.PutUint32(b[4:], uint32(len(s)))
	p.tail = append(p.tail, s...)
}

// Log adds a PRINT.
func (p *Reply) Log(s string) { p.text(printLine, s) }

// InternalError adds an INTERNAL_ERROR.
func (p *Reply) InternalError(s string) { p.text(internalError, s) }

// WriteTo writes the reply to batch number n.
func (p *Reply) WriteTo(w io.Writer, n uint32) error {
	var head [12]byte
	binary.LittleEndian.PutUint32(head[:], n)
	binary.LittleEndian.PutUint32(head[4:], uint32(4+len(p.records)+len(p.tail)))
	binary.LittleEndian.PutUint32(head[8:], p.count)
	for _, part := range [][]byte{head[:], p.records, p.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("write reply %d: %w", n, err)
		}
	}
	return nil
}
