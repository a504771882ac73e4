package simwire

import (
	"encoding/binary"
	"math"
	"time"

	"havencart/scheduler"
)

// maxLoadReportValues is the maximum number of values in a worker's load report.
const maxLoadReportValues = 4

// fieldReader reads a record field by field and stores the first error, so that the caller can check it once after all
// fields are read. The caller must not read more bytes than the record holds.
type fieldReader struct {
	record []byte
	tail   []byte // variable-length data of the batch, which records refer to by offset
	offset int    // offset of the next field in record
	err    error  // first error
}

func (f *fieldReader) fail(format string, args ...any) {
	if f.err == nil {
		f.err = malformed(format, args...)
	}
}

func (f *fieldReader) next(n int) []byte {
	field := f.record[f.offset : f.offset+n]
	f.offset += n
	return field
}

func (f *fieldReader) u8() uint8   { return f.next(1)[0] }
func (f *fieldReader) u16() uint16 { return binary.LittleEndian.Uint16(f.next(2)) }
func (f *fieldReader) u32() uint32 { return binary.LittleEndian.Uint32(f.next(4)) }
func (f *fieldReader) u64() uint64 { return binary.LittleEndian.Uint64(f.next(8)) }

// skip skips a field of n bytes that the scheduler does not need.
func (f *fieldReader) skip(n int) { f.next(n) }

// f32 reads a single-precision number.
func (f *fieldReader) f32() float64 { return f.checkBounds(float64(math.Float32frombits(f.u32()))) }

// duration reads a time, which the protocol sends as a double-precision number of milliseconds.
func (f *fieldReader) duration() time.Duration {
	return millis(f.checkBounds(math.Float64frombits(f.u64())))
}

// checkBounds returns x if it is within the bounds of validMillis. Otherwise it records an error and returns 0.
func (f *fieldReader) checkBounds(x float64) float64 {
	if !validMillis(x) {
		f.fail("number %v", x)
		return 0
	}
	return x
}

// tailSlice reads an offset into the tail and a count of units of unitSize bytes, and returns that part of the tail. It
// returns nil and records an error if the part is not within the tail.
func (f *fieldReader) tailSlice(unitSize int) []byte {
	offset, count := uint64(f.u32()), uint64(f.u32())
	end := offset + count*uint64(unitSize)
	if end > uint64(len(f.tail)) {
		f.fail("bytes %d to %d lie outside a tail of %d", offset, end, len(f.tail))
		return nil
	}
	return f.tail[offset:end]
}

// worker reads the address of a worker: an IPv4 address in network byte order, followed by the port in little-endian
// order. The worker ID consists of both.
func (f *fieldReader) worker() scheduler.WorkerID {
	address := binary.BigEndian.Uint32(f.next(4))
	port := f.u16()
	return scheduler.WorkerID(address)<<16 | scheduler.WorkerID(port)
}

func (f *fieldReader) function() scheduler.FunctionID { return scheduler.FunctionID(f.u64()) }

// status reads the status of an attempt. The protocol uses the same numbers as scheduler.Status.
func (f *fieldReader) status() scheduler.Status {
	s := scheduler.Status(f.u8())
	if s < scheduler.OK || s > scheduler.NotLoaded {
		f.fail("unknown outcome %d", s)
	}
	return s
}

// loadReport reads the load report of a worker. It returns nil if the worker sent none.
func (f *fieldReader) loadReport() []float64 {
	n := int(f.u8())
	if n == 0 {
		return nil
	}
	if n > maxLoadReportValues {
		f.fail("load report of %d values", n)
		return nil
	}
	values := make([]float64, n)
	for i := range values {
		values[i] = f.f32()
	}
	return values
}
