// Package muxframe is the codec of the protocol between a front end and its workers: length-prefixed frames
// with a CBOR header (RFC 8949) and a raw body. It does no I/O but on the reader that it is given.
//
// A frame is
//
//	4 bytes  length of what follows, big-endian
//	1 byte   type
//	4 bytes  call number, big-endian; 0 where the frame belongs to no call
//	2 bytes  length of the header, big-endian
//	         the header, one CBOR map with small whole numbers as keys
//	         the body, raw, to the end of the frame
//
// docs/protocol.md tells what each frame means and which may follow which.
package muxframe

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

const (
	prefixSize = 4
	fixedSize  = 1 + 4 + 2
	maxHeader  = 1<<16 - 1
)

// MaxFrame is the most that a frame's length may say, in bytes.
const MaxFrame = 16 << 20

// ErrMalformed is wrapped by every error about bytes that are no frame of this protocol.
var ErrMalformed = errors.New("malformed frame")

// Frame is one frame as read. Header and Body are valid until the next call of Reader.Next.
type Frame struct {
	Type     Type
	StreamID uint32
	Header   []byte
	Body     []byte
}

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// mustDecoder refuses what two readers could understand differently: keys given twice, lengths left open.
// Unknown keys are passed over, so that a later version may add some.
func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 4, MaxArrayElements: 64, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Append encodes a frame at the end of dst. A nil header is left out. It fails where header cannot be encoded
// or the frame would be longer than MaxFrame.
func Append(dst []byte, t Type, call uint32, header any, body []byte) ([]byte, error) {
	var raw []byte
	if header != nil {
		var err error
		if raw, err = encoder.Marshal(header); err != nil {
			return dst, fmt.Errorf("encode %v: %w", t, err)
		}
	}
	size := fixedSize + len(raw) + len(body)
	if len(raw) > maxHeader || size > MaxFrame {
		return dst, fmt.Errorf("encode %v: header of %d and body of %d bytes are too long", t, len(raw), len(body))
	}
	dst = binary.BigEndian.AppendUint32(dst, uint32(size))
	dst = append(dst, byte(t))
	dst = binary.BigEndian.AppendUint32(dst, call)
	dst = binary.BigEndian.AppendUint16(dst, uint16(len(raw)))
	dst = append(dst, raw...)
	return append(dst, body...), nil
}

// Reader reads frames one after another.
type Reader struct {
	in   io.Reader
	most int
	buf  []byte
}

// NewReader returns a Reader that refuses frames longer than most bytes; 0 stands for MaxFrame.
func NewReader(in io.Reader, most int) *Reader {
	if most <= 0 || most > MaxFrame {
		most = MaxFrame
	}
	return &Reader{in: in, most: most}
}

// Next reads one frame. It returns io.EOF where the input ends between frames, io.ErrUnexpectedEOF within one,
// and an error that wraps ErrMalformed for bytes that are no frame.
func (r *Reader) Next() (Frame, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r.in, prefix[:]); err != nil {
		return Frame{}, err
	}
	size := int(binary.BigEndian.Uint32(prefix[:]))
	if size < fixedSize || size > r.most {
		return Frame{}, fmt.Errorf("%w: length %d, allowed %d to %d", ErrMalformed, size, fixedSize, r.most)
	}
	if err := r.fill(size); err != nil {
		return Frame{}, err
	}
	return parse(r.buf)
}

// fill reads size bytes in steps, so that a length alone makes no one set aside the memory for it.
func (r *Reader) fill(size int) error {
	const step = 64 << 10
	r.buf = r.buf[:0]
	for len(r.buf) < size {
		from, n := len(r.buf), min(step, size-len(r.buf))
		if cap(r.buf) < from+n {
			r.buf = append(make([]byte, 0, min(size, 2*(from+n))), r.buf...)
		}
		r.buf = r.buf[:from+n]
		if _, err := io.ReadFull(r.in, r.buf[from:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
	}
	return nil
}

func parse(raw []byte) (Frame, error) {
	f := Frame{Type: Type(raw[0]), StreamID: binary.BigEndian.Uint32(raw[1:])}
	n := int(binary.BigEndian.Uint16(raw[5:]))
	rest := raw[fixedSize:]
	if f.Type == 0 || f.Type >= typeEnd {
		return Frame{}, fmt.Errorf("%w: type %d", ErrMalformed, raw[0])
	}
	if n > len(rest) {
		return Frame{}, fmt.Errorf("%w: %v with a header of %d bytes in %d", ErrMalformed, f.Type, n, len(rest))
	}
	f.Header, f.Body = rest[:n], rest[n:]
	return f, nil
}

// Decode reads the header of f into a message, a pointer to one of this package's types.
func (f Frame) Decode(message any) error {
	if err := decoder.Unmarshal(f.Header, message); err != nil {
		return fmt.Errorf("%w: %v: %w", ErrMalformed, f.Type, err)
	}
	return nil
}
