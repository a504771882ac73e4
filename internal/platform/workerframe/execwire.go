// Package workerframe reads and writes the binary frames that front ends and executors, as the users' platform calls
// its workers, exchange. It is strict: every length is checked before anything is allocated for it, and a frame
// whose mark, code or check is wrong is an error.
package workerframe

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"strconv"
	"strings"
)

// Code says what a frame is for.
type Code byte

// The commands of a front end and the answers of an executor.
const (
	Request     Code = 16
	Cancel      Code = 17
	HealthCheck Code = 18
	LoadReport  Code = 19
	Load        Code = 20
	Unload      Code = 22

	OK           Code = 64
	NotLoaded    Code = 66 // it never ran
	Overloaded   Code = 67 // it never ran; an order: no room, or it drains
	Error        Code = 68 // it may have run; an order: a load failed
	AlreadyEnded Code = 69 // the request was over already: it never ran
	Healthy      Code = 70
	Unhealthy    Code = 71
)

// The marks of the two directions.
const (
	FromFrontEnd = 165
	FromWorker   = 90
)

const (
	headSize  = 16
	checkSize = 4
	maxFields = 4 << 10
	// MaxBody bounds an answer's body.
	MaxBody = 1 << 20
)

// ErrMalformed is wrapped by every error about the content of a frame. Nothing can be read behind such a frame.
var ErrMalformed = errors.New("malformed frame")

// Frame is one frame.
type Frame struct {
	Code   Code
	ID     uint64
	Fields string // name=value,name=value
	Body   []byte
}

// Append appends the frame as mark's side writes it.
func Append(buf []byte, mark byte, f Frame) ([]byte, error) {
	if len(f.Fields) > maxFields || len(f.Body) > MaxBody {
		return buf, fmt.Errorf("%w: fields of %d bytes, body of %d", ErrMalformed, len(f.Fields), len(f.Body))
	}
	buf = append(buf, mark, byte(f.Code))
	buf = binary.BigEndian.AppendUint16(buf, uint16(len(f.Fields)))
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(f.Body)))
	buf = binary.BigEndian.AppendUint64(buf, f.ID)
	from := len(buf)
	buf = append(append(buf, f.Fields...), f.Body...)
	return binary.BigEndian.AppendUint32(buf, crc32.ChecksumIEEE(buf[from:])), nil
}

// Reader reads the frames of one side.
type Reader struct {
	src  io.Reader
	mark byte
	most int // bytes of a body
	// Begun, where set, is called once the head of a frame has come.
	Begun func()
}

// NewReader returns a Reader of the frames that mark's side writes, with bodies of so many bytes at most.
func NewReader(src io.Reader, mark byte, most int) *Reader {
	return &Reader{src: src, mark: mark, most: min(most, MaxBody)}
}

// Next reads the next frame. It returns io.EOF where the input ends between frames.
func (r *Reader) Next() (Frame, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(r.src, head[:]); err != nil {
		return Frame{}, err
	}
	f := Frame{Code: Code(head[1]), ID: binary.BigEndian.Uint64(head[8:])}
	fields, body := int(binary.BigEndian.Uint16(head[2:])), binary.BigEndian.Uint32(head[4:])
	switch {
	case head[0] != r.mark:
		return f, fmt.Errorf("%w: mark %d", ErrMalformed, head[0])
	case !r.known(f.Code):
		return f, fmt.Errorf("%w: code %d", ErrMalformed, f.Code)
	case fields > maxFields || uint64(body) > uint64(r.most):
		return f, fmt.Errorf("%w: fields of %d bytes, body of %d", ErrMalformed, fields, body)
	}
	if r.Begun != nil {
		r.Begun()
	}
	rest := make([]byte, fields+int(body)+checkSize)
	if _, err := io.ReadFull(r.src, rest); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return f, fmt.Errorf("frame %d breaks off: %w", f.Code, err)
	}
	content := rest[:len(rest)-checkSize]
	if crc32.ChecksumIEEE(content) != binary.BigEndian.Uint32(rest[len(content):]) {
		return f, fmt.Errorf("%w: its check does not fit", ErrMalformed)
	}
	f.Fields, f.Body = string(content[:fields]), content[fields:]
	return f, nil
}

func (r *Reader) known(c Code) bool {
	if r.mark == FromFrontEnd {
		return c >= Request && c <= Load || c == Unload
	}
	return c == OK || c >= NotLoaded && c <= Unhealthy
}

// Field is the value of a name among fields.
func Field(fields, name string) (string, bool) {
	for pair := range strings.SplitSeq(fields, ",") {
		if n, value, found := strings.Cut(pair, "="); found && n == name {
			return value, true
		}
	}
	return "", false
}

// Count is the number that a field holds, absent where it is not there.
func Count(fields, name string, absent int) (int, error) {
	text, found := Field(fields, name)
	if !found {
		return absent, nil
	}
	n, err := strconv.ParseUint(text, 10, 31)
	if err != nil {
		return 0, fmt.Errorf("%w: %s is %q", ErrMalformed, name, text)
	}
	return int(n), nil
}

// Values reads a load report, as in inflight:7;util:0.61, in the order of names; one that it lacks is 0.
func ParseLoadReport(report string, names []string) ([]float64, error) {
	values := make([]float64, len(names))
	for pair := range strings.SplitSeq(report, ";") {
		name, text, _ := strings.Cut(pair, ":")
		for i := range names {
			if names[i] != name {
				continue
			}
			x, err := strconv.ParseFloat(text, 64)
			if err != nil || !(x >= 0 && x < 1e12) {
				return nil, fmt.Errorf("%w: report %q", ErrMalformed, report)
			}
			values[i] = x
		}
	}
	return values, nil
}
