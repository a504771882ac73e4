// Package workerframe is the codec of the binary frames that the users' platform defines between front ends and
// workers. The platform calls its workers executors. Decoding is strict: every length is checked before memory is
// allocated for it, and a frame with a wrong magic byte, code or checksum is an error. The package does no I/O except
// on the reader that is passed to NewReader.
//
// A frame has the following layout. All numbers are big-endian.
//
//	1 byte   magic byte, which identifies the side that wrote the frame
//	1 byte   code
//	2 bytes  length of the fields
//	4 bytes  length of the body
//	8 bytes  ID
//	         fields, formatted as name=value,name=value
//	         body
//	4 bytes  checksum of the fields and the body: CRC-32 with the IEEE polynomial
//
// RequestFields, LoadFields and ResponseFields map the platform's field names to the terms used in the rest of this
// code base. The platform's field names appear in no other package.
//
// A client can receive the error texts of this package as the reason for a failed request, so treat them as part of the
// interface. In these texts, mark stands for the magic byte.
package workerframe

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"slices"
)

// Code is the type of a frame.
type Code byte

// Codes of the frames that a front end sends.
const (
	Request     Code = 16 // one attempt of a request
	Cancel      Code = 17 // cancels a request whose response is no longer needed
	HealthCheck Code = 18 // requests the worker's health state
	LoadReport  Code = 19 // requests a load report together with the health state
	Load        Code = 20 // orders the worker to load replicas, or queries its residency
	Unload      Code = 22 // requests that the idle replicas of a function are unloaded
)

// Codes of the responses that a worker sends.
const (
	OK           Code = 64
	NotLoaded    Code = 66 // the request was not executed
	Overloaded   Code = 67 // the request was not executed; for a load order: the worker is out of memory or draining
	Error        Code = 68 // the request may have been executed; for a load order: a load failed
	AlreadyEnded Code = 69 // the request had already ended, so this attempt was not executed
	Healthy      Code = 70
	Unhealthy    Code = 71
)

// Magic bytes of the two sides.
const (
	MagicFrontEnd = 165
	MagicWorker   = 90
)

const (
	headerSize    = 16      // bytes that precede the fields
	checksumSize  = 4       // bytes that follow the body
	maxFieldsSize = 4 << 10 // bytes
	// MaxBody is the maximum size of a frame's body in bytes.
	MaxBody = 1 << 20
)

// ErrMalformed is wrapped by every error about the content of a frame. After such an error the position of the next
// frame is unknown, so nothing more can be read from the stream.
var ErrMalformed = errors.New("malformed frame")

// Frame is a decoded frame, without its magic byte, lengths and checksum.
type Frame struct {
	Code   Code
	ID     uint64
	Fields string // formatted as name=value,name=value
	Body   []byte
}

// Append appends the encoded frame to buffer, with the magic byte of the side that writes it. If the fields or the body
// are too long, it returns buffer unchanged and an error that wraps ErrMalformed.
func Append(buffer []byte, magic byte, frame Frame) ([]byte, error) {
	if len(frame.Fields) > maxFieldsSize || len(frame.Body) > MaxBody {
		return buffer, fmt.Errorf("%w: fields of %d bytes, body of %d", ErrMalformed, len(frame.Fields), len(frame.Body))
	}
	buffer = slices.Grow(buffer, headerSize+len(frame.Fields)+len(frame.Body)+checksumSize)
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

// Reader reads the frames that one side writes to a connection.
type Reader struct {
	source  io.Reader
	magic   byte
	maxBody int // bytes
	// ReserveBody, if set, is called with the size of a body in bytes, unless that is 0, before memory is allocated for the
	// body. Next returns its error.
	ReserveBody func(size int) error
	// OnFrameStart, if set, is called after the header of a frame has been read and memory for its body was reserved, and
	// before its fields and body are read.
	OnFrameStart func()
}

// NewReader returns a Reader that accepts frames with the given magic byte and with bodies of at most maxBody bytes. A
// maxBody above MaxBody is reduced to MaxBody.
func NewReader(source io.Reader, magic byte, maxBody int) *Reader {
	return &Reader{source: source, magic: magic, maxBody: min(maxBody, MaxBody)}
}

// Next reads the next frame. It returns io.EOF if the input ends between two frames, an error that wraps
// io.ErrUnexpectedEOF if the input ends within a frame, and an error that wraps ErrMalformed if the input is not a
// valid frame.
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
	if r.ReserveBody != nil && bodyLength > 0 {
		if err := r.ReserveBody(int(bodyLength)); err != nil {
			return frame, err
		}
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

// readContent reads the fields and the body of a frame, size bytes in total, and verifies their checksum.
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

// isKnownCode reports whether the sending side uses the code.
func (r *Reader) isKnownCode(c Code) bool {
	if r.magic == MagicFrontEnd {
		return c >= Request && c <= Load || c == Unload
	}
	return c == OK || c >= NotLoaded && c <= Unhealthy
}
