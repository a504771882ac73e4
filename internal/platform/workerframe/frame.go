// Package workerframe is the codec of the binary frames that the users' platform defines between front ends and its
// workers, which it calls executors. It is strict: every length is checked before memory is allocated for it, and a
// frame with a wrong mark, code or checksum is an error. It does no I/O except on the reader that it is given.
//
// A frame is, with all numbers big-endian,
//
//	1 byte   mark of the side that wrote it
//	1 byte   code
//	2 bytes  length of the fields
//	4 bytes  length of the body
//	8 bytes  ID
//	         fields, as name=value,name=value
//	         body
//	4 bytes  checksum of fields and body: CRC-32 with the IEEE polynomial
//
// The platform's names of fields are mapped to the standard terms here and nowhere else: see RequestFields, LoadFields
// and ResponseFields.
//
// The texts of this package's errors can reach a client as the reason of a failed request, so they are not changed
// lightly.
package workerframe

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

// Code tells what a frame is for.
type Code byte

// The commands of a front end.
const (
	Request     Code = 16 // one attempt of a request
	Cancel      Code = 17 // nobody waits for the response to a request any longer
	HealthCheck Code = 18 // asks whether the worker is healthy
	LoadReport  Code = 19 // asks for a load report
	Load        Code = 20 // a load order
	Unload      Code = 22 // asks to unload idle replicas
)

// The responses of a worker.
const (
	OK           Code = 64
	NotLoaded    Code = 66 // the request was not executed
	Overloaded   Code = 67 // the request was not executed; of a load order: no memory is left, or the worker drains
	Error        Code = 68 // the request may have been executed; of a load order: a load failed
	AlreadyEnded Code = 69 // the request had ended before: it was not executed
	Healthy      Code = 70
	Unhealthy    Code = 71
)

// The marks of the two sides.
const (
	FromFrontEnd = 165
	FromWorker   = 90
)

const (
	headerSize    = 16 // bytes before the fields
	checksumSize  = 4  // bytes behind the body
	maxFieldsSize = 4 << 10
	// MaxBody bounds the body of a frame, in bytes.
	MaxBody = 1 << 20
)

// ErrMalformed is wrapped by every error about the content of a frame. Nothing behind such a frame can be read.
var ErrMalformed = errors.New("malformed frame")

// Frame is one frame.
type Frame struct {
	Code   Code
	ID     uint64
	Fields string // name=value,name=value
	Body   []byte
}

// Append appends a frame with the mark of the side that writes it. It fails, and returns buffer as it was, if the fields
// or the body are too long.
func Append(buffer []byte, magic byte, frame Frame) ([]byte, error) {
	if len(frame.Fields) > maxFieldsSize || len(frame.Body) > MaxBody {
		return buffer, fmt.Errorf("%w: fields of %d bytes, body of %d", ErrMalformed, len(frame.Fields), len(frame.Body))
	}
	buffer = append(buffer, magic, byte(frame.Code))
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(len(frame.Fields)))
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(len(frame.Body)))
	buffer = binary.BigEndian.AppendUint64(buffer, frame.ID)
	contentStart := len(buffer)
	buffer = append(buffer, frame.Fields...)
	buffer = append(buffer, frame.Body...)
	checksum := crc32.ChecksumIEEE(buffer[contentStart:])
	return binary.BigEndian.AppendUint32(buffer, checksum), nil
}

// Reader reads the frames that one side writes.
type Reader struct {
	source  io.Reader
	magic   byte
	maxBody int // bytes
	// OnFrameStart, if set, is called once the head of a frame was read and before the rest is.
	OnFrameStart func()
}

// NewReader returns a Reader of the frames with a mark, whose bodies have at most maxBody bytes, and never more than
// MaxBody.
func NewReader(source io.Reader, magic byte, maxBody int) *Reader {
	return &Reader{source: source, magic: magic, maxBody: min(maxBody, MaxBody)}
}

// Next reads the next frame. It returns io.EOF if the input ends between frames, an error that wraps io.ErrUnexpectedEOF
// if it ends within one, and an error that wraps ErrMalformed for bytes that are no frame.
func (r *Reader) Next() (Frame, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r.source, header[:]); err != nil {
		return Frame{}, err
	}
	frame := Frame{Code: Code(header[1]), ID: binary.BigEndian.Uint64(header[8:])}
	fieldsLength := int(binary.BigEndian.Uint16(header[2:]))
	bodyLength := binary.BigEndian.Uint32(header[4:])
	switch {
	case header[0] != r.magic:
		return frame, fmt.Errorf("%w: mark %d", ErrMalformed, header[0])
	case !r.isKnownCode(frame.Code):
		return frame, fmt.Errorf("%w: code %d", ErrMalformed, frame.Code)
	case fieldsLength > maxFieldsSize || uint64(bodyLength) > uint64(r.maxBody):
		return frame, fmt.Errorf("%w: fields of %d bytes, body of %d", ErrMalformed, fieldsLength, bodyLength)
	}
	if r.OnFrameStart != nil {
		r.OnFrameStart()
	}
	content, err := r.readContent(frame.Code, fieldsLength+int(bodyLength))
	if err != nil {
		return frame, err
	}
	frame.Fields = string(content[:fieldsLength])
	frame.Body = content[fieldsLength:]
	return frame, nil
}

// readContent reads the fields and the body of a frame, of so many bytes together, and verifies their checksum.
func (r *Reader) readContent(code Code, size int) ([]byte, error) {
	rest := make([]byte, size+checksumSize)
	if _, err := io.ReadFull(r.source, rest); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("frame %d breaks off: %w", code, err)
	}
	content := rest[:size]
	if crc32.ChecksumIEEE(content) != binary.BigEndian.Uint32(rest[size:]) {
		return nil, fmt.Errorf("%w: its check does not fit", ErrMalformed)
	}
	return content, nil
}

// isKnownCode tells whether the side that is read uses a code.
func (r *Reader) isKnownCode(c Code) bool {
	if r.magic == FromFrontEnd {
		return c >= Request && c <= Load || c == Unload
	}
	return c == OK || c >= NotLoaded && c <= Unhealthy
}
