package simwire

import (
	"encoding/binary"
	"math"
	"time"

	"havencart/scheduler"
)

// maxLoadReportValues is the largest number of values in a worker's load report.
const maxLoadReportValues = 4

// fieldReader reads a record field by field and keeps an error until the end. The caller must not read more fields than the
// record holds.
type fieldReader struct {
	record []byte
	tail   []byte // the batch's data of variable length, to which records refer
	offset int    // of the next field in record
	err    error
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

// skip passes over a field that the scheduler does not need.
func (f *fieldReader) skip(n int) { f.next(n) }

// f32 reads a number of single precision.
func (f *fieldReader) f32() float64 { return f.checked(float64(math.Float32frombits(f.u32()))) }

// duration reads a time in milliseconds of double precision.
func (f *fieldReader) duration() time.Duration {
	return millis(f.checked(math.Float64frombits(f.u64())))
}

// checked fails on a number out of bounds and returns 0 instead.
func (f *fieldReader) checked(x float64) float64 {
	if !validMillis(x) {
		f.fail("number %v", x)
		return 0
	}
	return x
}

// tailSlice reads an offset and a count of units of unitSize bytes, and returns that part of the tail.
func (f *fieldReader) tailSlice(unitSize int) []byte {
	offset, count := uint64(f.u32()), uint64(f.u32())
	end := offset + count*uint64(unitSize)
	if end > uint64(len(f.tail)) {
		f.fail("bytes %d to %d lie outside a tail of %d", offset, end, len(f.tail))
		return nil
	}
	return f.tail[offset:end]
}

// worker reads a worker's address: IPv4 in network order, then the port. Together they are its ID.
func (f *fieldReader) worker() scheduler.WorkerID {
	address := binary.BigEndian.Uint32(f.next(4))
	port := f.u16()
	return scheduler.WorkerID(address)<<16 | scheduler.WorkerID(port)
}

func (f *fieldReader) function() scheduler.FunctionID { return scheduler.FunctionID(f.u64()) }

// status reads an attempt's status, which has the scheduler's numbers.
func (f *fieldReader) status() scheduler.Status {
	s := scheduler.Status(f.u8())
	if s < scheduler.OK || s > scheduler.NotLoaded {
		f.fail("unknown outcome %d", s)
	}
	return s
}

// loadReport reads a worker's load report, nil if it sent none.
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
