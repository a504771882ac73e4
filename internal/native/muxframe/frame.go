// Package muxframe is the codec of our own protocol between a front end and a worker: length-prefixed frames with a CBOR
// header (RFC 8949) and a raw body. It does no I/O except on the reader that it is given.
//
// A frame is, with all numbers big-endian,
//
//	4 bytes  length of what follows
//	1 byte   type
//	4 bytes  stream ID; 0 if the frame belongs to no request or load order
//	2 bytes  length of the header
//	         header: one CBOR map with small integers as keys
//	         body: raw bytes, to the end of the frame
//
// docs/protocol.md specifies what each frame means and which may follow which.
//
// The texts of this package's errors, with the names of frame types in them, can reach a client as the reason of a
// failed request, so they are not changed lightly.
package muxframe

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	prefixSize = 4         // bytes of a frame's length
	fixedSize  = 1 + 4 + 2 // bytes of type, stream ID and length of the header
	maxHeader  = 1<<16 - 1 // bytes
)

// MaxFrame is the largest length that a frame may have, in bytes, without the length itself.
const MaxFrame = 16 << 20

// ErrMalformed is wrapped by every error about bytes that are no frame of this protocol. Nothing behind them can be read.
var ErrMalformed = errors.New("malformed frame")

// Frame is one frame as read. Header and Body are valid until the next call of Reader.Next.
type Frame struct {
	Type     Type
	StreamID uint32
	Header   []byte // CBOR; see Decode
	Body     []byte
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// mustEncoder returns the encoder of headers. Its encoding is deterministic (RFC 8949, section 4.2.1).
func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// mustDecoder returns the decoder of headers. It rejects what two implementations could understand differently: duplicate
// keys and indefinite lengths. Unknown keys are ignored, so that a later version may add some.
func mustDecoder() cbor.DecMode {
	options := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  4,
		MaxArrayElements: 64,
		MaxMapPairs:      64,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// Append appends an encoded frame to buffer. The header is one of this package's messages, or nil for none. Append fails,
// and returns buffer as it was, if the header cannot be encoded, is longer than 65535 bytes, or the frame is longer than
// MaxFrame.
func Append(buffer []byte, frameType Type, streamID uint32, header any, body []byte) ([]byte, error) {
	var encodedHeader []byte
	if header != nil {
		var err error
		if encodedHeader, err = encoder.Marshal(header); err != nil {
			return buffer, fmt.Errorf("encode %v: %w", frameType, err)
		}
	}
	size := fixedSize + len(encodedHeader) + len(body)
	if len(encodedHeader) > maxHeader || size > MaxFrame {
		return buffer, fmt.Errorf("encode %v: header of %d and body of %d bytes are too long", frameType, len(encodedHeader), len(body))
	}
	buffer = binary.BigEndian.AppendUint32(buffer, uint32(size))
	buffer = append(buffer, byte(frameType))
	buffer = binary.BigEndian.AppendUint32(buffer, streamID)
	buffer = binary.BigEndian.AppendUint16(buffer, uint16(len(encodedHeader)))
	buffer = append(buffer, encodedHeader...)
	return append(buffer, body...), nil
}

// Reader reads frames one after another. One goroutine may use it at a time.
type Reader struct {
	source    io.Reader
	maxLength int    // bytes of a frame, without its length
	buffer    []byte // the frame read last, without its length
}

// NewReader returns a Reader that rejects frames longer than maxLength bytes; 0 stands for MaxFrame.
func NewReader(source io.Reader, maxLength int) *Reader {
	if maxLength <= 0 || maxLength > MaxFrame {
		maxLength = MaxFrame
	}
	return &Reader{source: source, maxLength: maxLength}
}

// Next reads one frame. It returns io.EOF if the input ends between frames, io.ErrUnexpectedEOF if it ends within one, and
// an error that wraps ErrMalformed for bytes that are no frame.
func (r *Reader) Next() (Frame, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r.source, prefix[:]); err != nil {
		return Frame{}, err
	}
	size := int(binary.BigEndian.Uint32(prefix[:]))
	if size < fixedSize || size > r.maxLength {
		return Frame{}, fmt.Errorf("%w: length %d, allowed %d to %d", ErrMalformed, size, fixedSize, r.maxLength)
	}
	if err := r.fill(size); err != nil {
		return Frame{}, err
	}
	return parse(r.buffer)
}

// fill reads size bytes into the buffer. It allocates memory in steps as bytes arrive, so that a peer that only sends a
// large length causes no large allocation.
func (r *Reader) fill(size int) error {
	const step = 64 << 10
	r.buffer = r.buffer[:0]
	for len(r.buffer) < size {
		start := len(r.buffer)
		end := start + min(step, size-start)
		if cap(r.buffer) < end {
			r.buffer = append(make([]byte, 0, min(size, 2*end)), r.buffer...)
		}
		r.buffer = r.buffer[:end]
		if _, err := io.ReadFull(r.source, r.buffer[start:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

// parse splits a frame without its length, which has at least fixedSize bytes.
func parse(raw []byte) (Frame, error) {
	frame := Frame{Type: Type(raw[0]), StreamID: binary.BigEndian.Uint32(raw[1:])}
	headerLength := int(binary.BigEndian.Uint16(raw[5:]))
	rest := raw[fixedSize:]
	if !frame.Type.isKnown() {
		return Frame{}, fmt.Errorf("%w: type %d", ErrMalformed, raw[0])
	}
	if headerLength > len(rest) {
		return Frame{}, fmt.Errorf("%w: %v with a header of %d bytes in %d", ErrMalformed, frame.Type, headerLength, len(rest))
	}
	frame.Header = rest[:headerLength]
	frame.Body = rest[headerLength:]
	return frame, nil
}

// Decode decodes the header into message, a pointer to one of this package's messages.
func (f Frame) Decode(message any) error {
	if err := decoder.Unmarshal(f.Header, message); err != nil {
		return fmt.Errorf("%w: %v: %w", ErrMalformed, f.Type, err)
	}
	return nil
}
