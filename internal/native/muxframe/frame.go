// Package muxframe encodes and decodes the frames of the native protocol between front ends and workers. A frame is
// length-prefixed and has a CBOR header (RFC 8949) and a raw body. The package does no I/O except on the io.Reader
// given to NewReader.
//
// A frame consists of these parts, with all integers in big-endian order:
//
//	4 bytes  length of the rest of the frame
//	1 byte   type
//	4 bytes  stream ID of the attempt or load order; 0 if the frame belongs to neither
//	2 bytes  length of the header
//	         header: one CBOR map with small integers as keys
//	         body: raw bytes up to the end of the frame
//
// docs/protocol.md specifies the meaning of each frame type and the allowed sequences of frames.
//
// The error texts of this package, including the frame type names in them, can reach clients as the reason of a failed
// request. Avoid changing them.
package muxframe

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	prefixSize = 4         // size of the frame length in bytes
	fixedSize  = 1 + 4 + 2 // size of type, stream ID and header length in bytes
	maxHeader  = 1<<16 - 1 // largest header in bytes; its length is encoded in 2 bytes
)

// MaxFrame is the largest frame in bytes, not counting the length prefix.
const MaxFrame = 16 << 20

// ErrMalformed is wrapped by every error about input that is not a valid frame. After such an error nothing more can be
// read from the connection.
var ErrMalformed = errors.New("malformed frame")

// Frame is a frame returned by Reader.Next. Header and Body are valid until the next call of Reader.Next.
type Frame struct {
	Type     Type
	StreamID uint32
	Header   []byte // encoded as CBOR; see Decode
	Body     []byte
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

// mustEncoder returns the encoder of headers, which uses deterministic encoding (RFC 8949, section 4.2.1).
func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// mustDecoder returns the decoder of headers. It rejects encodings that implementations could interpret differently,
// such as duplicate keys and indefinite lengths. It ignores unknown keys, so that a later version may add keys.
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

// Append appends an encoded frame to buffer. The header is one of the message types of this package, or nil for an
// empty header. Append returns an error and the unchanged buffer if the header cannot be encoded or is longer than
// 65535 bytes, or if the frame is longer than MaxFrame.
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

// Reader reads a sequence of frames. It is not safe for concurrent use.
type Reader struct {
	source    io.Reader
	maxLength int    // largest frame in bytes, not counting the length prefix
	buffer    []byte // the most recently read frame, without the length prefix
}

// NewReader returns a Reader that rejects frames longer than maxLength bytes. The limit is MaxFrame if maxLength is not
// between 1 and MaxFrame.
func NewReader(source io.Reader, maxLength int) *Reader {
	if maxLength <= 0 || maxLength > MaxFrame {
		maxLength = MaxFrame
	}
	return &Reader{source: source, maxLength: maxLength}
}

// Next reads the next frame. It returns io.EOF if the input ends between frames, io.ErrUnexpectedEOF if the input ends
// within a frame, and an error that wraps ErrMalformed if the input is not a valid frame.
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

// fill reads size bytes into the buffer. It grows the buffer in steps as bytes arrive, so that a peer that announces a
// large frame without sending it does not cause a large allocation.
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

// parse splits a frame into its parts. raw is the frame without the length prefix and has at least fixedSize bytes.
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

// Decode decodes the header into message, which points to one of the message types of this package.
func (f Frame) Decode(message any) error {
	if err := decoder.Unmarshal(f.Header, message); err != nil {
		return fmt.Errorf("%w: %v: %w", ErrMalformed, f.Type, err)
	}
	return nil
}
