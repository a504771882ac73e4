package simwire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"time"

	"havencart/scheduler"
)

// Action codes. Each comment gives the name in the protocol.
const (
	codeSend           = 256 // CALL_OUT
	codeReject         = 257 // TURN_AWAY
	codeFail           = 258 // RESPOND_ERROR
	codeCancel         = 259 // RETRACT
	codeSetTimer       = 260 // SCHEDULE
	codeCheckHealth    = 261 // PROBE
	codeLog            = 264 // PRINT
	codeInternalError  = 265 // INTERNAL_ERROR
	codeWatchEndpoints = 266 // FOLLOW
	codeLoad           = 268 // START_COPY
	codeUnload         = 269 // SHELVE
	codeSelectInstance = 270 // ON_BEHALF
)

// noInstance is the value of Reply.selected before an instance is selected.
const noInstance = -1

// Reply builds the reply to one batch. Reset must be called before the first use and before each reuse. Each action
// belongs to the instance that was selected last.
type Reply struct {
	records  []byte
	tail     []byte // texts, which records refer to by offset
	count    uint32 // number of records
	selected int64  // instance selected last, or noInstance
}

// Reset removes all actions from the reply.
func (p *Reply) Reset() {
	p.records = p.records[:0]
	p.tail = p.tail[:0]
	p.count = 0
	p.selected = noInstance
}

// SelectInstance selects the instance that the following actions belong to.
func (p *Reply) SelectInstance(instance uint32) {
	if p.selected == int64(instance) {
		return
	}
	p.selected = int64(instance)
	binary.LittleEndian.PutUint32(p.addRecord(codeSelectInstance), instance)
}

// Send adds the action that sends a request to a worker. deadline is the simulated time by which the response must
// arrive.
func (p *Reply) Send(r scheduler.RequestID, w scheduler.WorkerID, deadline time.Duration) {
	fields := p.addRecord(codeSend)
	binary.LittleEndian.PutUint32(fields, uint32(r))
	putMillis(fields[4:], deadline)
	putWorker(fields[12:], w)
}

// Reject adds the action that rejects a request and advises the client to retry after the duration retryAfter.
func (p *Reply) Reject(r scheduler.RequestID, retryAfter time.Duration) {
	fields := p.addRecord(codeReject)
	binary.LittleEndian.PutUint32(fields, uint32(r))
	putMillis(fields[4:], retryAfter)
}

// Fail adds the action that responds to a request with an error.
func (p *Reply) Fail(r scheduler.RequestID) {
	binary.LittleEndian.PutUint32(p.addRecord(codeFail), uint32(r))
}

// Cancel adds the action that cancels one attempt of a request.
func (p *Reply) Cancel(r scheduler.RequestID, attempt int) {
	fields := p.addRecord(codeCancel)
	binary.LittleEndian.PutUint32(fields, uint32(r))
	binary.LittleEndian.PutUint16(fields[4:], uint16(attempt))
}

// SetTimer adds the action that requests a TimerFired event with the token after the duration after.
func (p *Reply) SetTimer(after time.Duration, token uint64) {
	fields := p.addRecord(codeSetTimer)
	putMillis(fields, after)
	binary.LittleEndian.PutUint64(fields[8:], token)
}

// CheckHealth adds the action that checks a worker's health.
func (p *Reply) CheckHealth(w scheduler.WorkerID) { putWorker(p.addRecord(codeCheckHealth), w) }

// WatchEndpoints adds the action that subscribes to changes of the endpoint list.
func (p *Reply) WatchEndpoints() { p.addRecord(codeWatchEndpoints)[0] = 1 }

// Load adds the action that orders a worker to load replicas of a function; 0 replicas is a residency query.
func (p *Reply) Load(w scheduler.WorkerID, f scheduler.FunctionID, replicas int) {
	fields := p.addRecord(codeLoad)
	putWorker(fields, w)
	binary.LittleEndian.PutUint64(fields[6:], uint64(f))
	fields[14] = uint8(replicas)
}

// Unload adds the action that orders a worker to unload a function.
func (p *Reply) Unload(w scheduler.WorkerID, f scheduler.FunctionID) {
	fields := p.addRecord(codeUnload)
	putWorker(fields, w)
	binary.LittleEndian.PutUint64(fields[6:], uint64(f))
}

// Log adds the action that writes a line to the simulator's log.
func (p *Reply) Log(text string) { p.addText(codeLog, text) }

// InternalError adds the action that reports an internal error of the selected instance.
func (p *Reply) InternalError(text string) { p.addText(codeInternalError, text) }

// WriteTo writes the reply to w, as the reply to the batch with the given number.
func (p *Reply) WriteTo(w io.Writer, batchNumber uint32) error {
	var header [replyHeaderSize]byte
	binary.LittleEndian.PutUint32(header[0:], batchNumber)
	binary.LittleEndian.PutUint32(header[4:], uint32(countSize+len(p.records)+len(p.tail)))
	binary.LittleEndian.PutUint32(header[8:], p.count)
	for _, part := range [][]byte{header[:], p.records, p.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("write reply %d: %w", batchNumber, err)
		}
	}
	return nil
}

// addRecord appends a record with the given code and zeros in all other fields. It returns the bytes after the code.
func (p *Reply) addRecord(code uint16) []byte {
	start := len(p.records)
	p.records = append(p.records, make([]byte, actionSize)...)
	p.count++
	record := p.records[start:]
	binary.LittleEndian.PutUint16(record, code)
	return record[2:]
}

// addText appends a record that refers to a text, and appends the text to the tail.
func (p *Reply) addText(code uint16, text string) {
	fields := p.addRecord(code)
	binary.LittleEndian.PutUint32(fields, uint32(len(p.tail)))
	binary.LittleEndian.PutUint32(fields[4:], uint32(len(text)))
	p.tail = append(p.tail, text...)
}

// putWorker writes a worker's address in the format that fieldReader.worker reads.
func putWorker(b []byte, w scheduler.WorkerID) {
	binary.BigEndian.PutUint32(b, uint32(w>>16))
	binary.LittleEndian.PutUint16(b[4:], uint16(w))
}

func putMillis(b []byte, d time.Duration) {
	binary.LittleEndian.PutUint64(b, math.Float64bits(toMillis(d)))
}
