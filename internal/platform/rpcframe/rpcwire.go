// Package rpcframe reads and writes the MessagePack-RPC messages that clients of the users' platform speak. It is
// strict: every length is checked before anything is allocated for it, and what is not a message as the platform's
// page words it is an error.
package rpcframe

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/vmihailenco/msgpack/v5"
)

// The bounds of a message. One beyond them is malformed.
const (
	MaxBody   = 16 << 10
	maxFields = 16
	maxName   = 64  // bytes of a method's or field's name
	maxValue  = 512 // bytes of a field's value
	maxRevoke = 32  // numbers that one message takes back
)

// ErrMalformed is wrapped by every error about the content of a message.
var ErrMalformed = errors.New("malformed message")

// Revoke is the method that takes requests back.
const MethodCancel = "revoke"

const (
	typeRequest = 0
	typeAnswer  = 1
	typeNotify  = 2
)

// Message is a request or, where Revoked is not nil, a message that takes some back.
type Message struct {
	Number    uint32
	Method    string
	Fields    map[string]string
	Body      []byte // nil where the request has no body, as heartbeats
	Cancelled []uint32
}

// Source is what messages are read from, byte by byte where need be: bufio.Reader is one.
type Source interface {
	io.Reader
	io.ByteScanner
}

// Reader reads messages.
type Reader struct{ dec *msgpack.Decoder }

// NewReader returns a Reader of src.
func NewReader(src Source) *Reader { return &Reader{msgpack.NewDecoder(src)} }

// Next reads the next message. A malformed one returns an error that wraps ErrMalformed, with the Number that it
// has where that could be read: nothing can be read behind it.
func (r *Reader) Next() (Message, error) {
	var m Message
	n, err := r.dec.DecodeArrayLen()
	if err != nil {
		return m, fault("a message", err)
	}
	kind, err := r.number()
	switch {
	case err != nil:
		return m, err
	case kind == typeRequest && n == 4:
		return r.request()
	case kind == typeNotify && n == 3:
		return r.notice()
	}
	return m, malformed("type %d in an array of %d", kind, n)
}

// fault tells input that ended or failed from input that cannot be read.
func fault(what string, err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNetwork(err) {
		return fmt.Errorf("read %s: %w", what, err)
	}
	return malformed("%s: %w", what, err)
}

// isNetwork tells an error of the connection: such an error says whether it is a time-out.
func isNetwork(err error) bool {
	var network interface{ Timeout() bool }
	return errors.As(err, &network) || errors.Is(err, io.ErrClosedPipe)
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

func (r *Reader) number() (uint32, error) {
	n, err := r.dec.DecodeInt64()
	if err != nil {
		return 0, fault("a number", err)
	}
	if n < 0 || n > math.MaxUint32 {
		return 0, malformed("number %d", n)
	}
	return uint32(n), nil
}

func (r *Reader) request() (m Message, err error) {
	if m.Number, err = r.number(); err != nil {
		return m, err
	}
	if m.Method, err = r.text("method", maxName); err != nil {
		return m, err
	}
	n, err := r.dec.DecodeArrayLen()
	if err != nil {
		return m, fault("parameters", err)
	}
	if n != 1 && n != 2 {
		return m, malformed("%d parameters", n)
	}
	if m.Fields, err = r.fields(); err != nil || n == 1 {
		return m, err
	}
	m.Body, err = r.bytes("body", MaxBody)
	return m, err
}

func (r *Reader) notice() (m Message, err error) {
	if m.Method, err = r.text("method", maxName); err != nil {
		return m, err
	}
	if m.Method != MethodCancel {
		return m, malformed("notice %q", m.Method)
	}
	n, err := r.dec.DecodeArrayLen()
	if err != nil {
		return m, fault("parameters", err)
	}
	if n < 1 || n > maxRevoke {
		return m, malformed("%d numbers taken back", n)
	}
	for range n {
		number, err := r.number()
		if err != nil {
			return m, err
		}
		m.Cancelled = append(m.Cancelled, number)
	}
	return m, nil
}

func (r *Reader) fields() (map[string]string, error) {
	n, err := r.dec.DecodeMapLen()
	if err != nil {
		return nil, fault("fields", err)
	}
	if n < 0 || n > maxFields {
		return nil, malformed("%d fields", n)
	}
	fields := make(map[string]string, n)
	for range n {
		name, err := r.text("field", maxName)
		if err != nil {
			return nil, err
		}
		if _, twice := fields[name]; twice {
			return nil, malformed("field %q twice", name)
		}
		if fields[name], err = r.text("value", maxValue); err != nil {
			return nil, err
		}
	}
	return fields, nil
}

// text reads a string; bytes are none.
func (r *Reader) text(what string, most int) (string, error) {
	code, err := r.dec.PeekCode()
	if err != nil {
		return "", fault(what, err)
	}
	if !isString(code) {
		return "", malformed("%s of kind %x", what, code)
	}
	b, err := r.sized(what, most)
	return string(b), err
}

// bytes reads bytes; a string is none.
func (r *Reader) bytes(what string, most int) ([]byte, error) {
	code, err := r.dec.PeekCode()
	if err != nil {
		return nil, fault(what, err)
	}
	if code < 0xc4 || code > 0xc6 {
		return nil, malformed("%s of kind %x", what, code)
	}
	return r.sized(what, most)
}

func isString(code byte) bool { return code >= 0xa0 && code <= 0xbf || code >= 0xd9 && code <= 0xdb }

// sized reads what has its length before it, and allocates only for a length within most.
func (r *Reader) sized(what string, most int) ([]byte, error) {
	n, err := r.dec.DecodeBytesLen()
	if err != nil {
		return nil, fault(what, err)
	}
	if n < 0 || n > most {
		return nil, malformed("%s of %d bytes", what, n)
	}
	b := make([]byte, n)
	if err := r.dec.ReadFull(b); err != nil {
		return nil, fault(what, err)
	}
	return b, nil
}

// AppendServed appends the answer with a body.
func AppendServed(buf []byte, number uint32, body []byte) []byte {
	return appendAnswer(buf, number, func(e *msgpack.Encoder) error {
		return errors.Join(e.EncodeNil(), e.EncodeArrayLen(2), e.EncodeBytes(orEmpty(body)), e.EncodeMapLen(0))
	})
}

// AppendTrue appends the answer of a heartbeat that is well.
func AppendTrue(buf []byte, number uint32, well bool) []byte {
	return appendAnswer(buf, number, func(e *msgpack.Encoder) error {
		return errors.Join(e.EncodeNil(), e.EncodeArrayLen(2), e.EncodeBool(well), e.EncodeMapLen(0))
	})
}

// AppendError appends the answer that is an error of a name, with a field where that has a name.
func AppendError(buf []byte, number uint32, name, field, value string) []byte {
	return appendAnswer(buf, number, func(e *msgpack.Encoder) error {
		err := errors.Join(e.EncodeArrayLen(2), e.EncodeString(name))
		if field == "" {
			return errors.Join(err, e.EncodeMapLen(0), e.EncodeNil())
		}
		return errors.Join(err, e.EncodeMapLen(1), e.EncodeString(field), e.EncodeString(value), e.EncodeNil())
	})
}

func orEmpty(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

// appendAnswer appends an answer whose error and result rest writes. Writing to memory does not fail.
func appendAnswer(buf []byte, number uint32, rest func(*msgpack.Encoder) error) []byte {
	w := bytes.NewBuffer(buf)
	e := msgpack.NewEncoder(w)
	if err := errors.Join(e.EncodeArrayLen(4), e.EncodeUint(typeAnswer), e.EncodeUint(uint64(number)), rest(e)); err != nil {
		return buf
	}
	return w.Bytes()
}
