package rpcframe

import (
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Source is the input of a Reader. The decoder reads single bytes from it, so it should be buffered. A bufio.Reader
// implements Source.
type Source interface {
	io.Reader
	io.ByteScanner
}

// Reader reads messages from one client's connection. It is not safe for concurrent use.
type Reader struct {
	source  Source
	decoder *msgpack.Decoder
	// ReserveBody, if not nil, is called with the size of a body in bytes before memory is allocated for the body. If it
	// returns false, the body is skipped, and Message.BodySkipped is set.
	ReserveBody func(size int) bool
}

// NewReader returns a Reader that reads from source.
func NewReader(source Source) *Reader {
	return &Reader{source: source, decoder: msgpack.NewDecoder(source)}
}

// Next reads the next message. If the message is malformed, the error wraps ErrMalformed, and the returned message has
// its MessageID set if that could be read. Nothing more can be read after a malformed message. Other errors come from the
// source.
func (r *Reader) Next() (Message, error) {
	length, err := r.decoder.DecodeArrayLen()
	if err != nil {
		return Message{}, readError("a message", err)
	}
	messageType, err := r.readNumber()
	switch {
	case err != nil:
		return Message{}, err
	case messageType == typeRequest && length == 4:
		return r.readRequest()
	case messageType == typeNotification && length == 3:
		return r.readCancellation()
	}
	return Message{}, malformed("type %d in an array of %d", messageType, length)
}

// readError wraps an error of the decoder. The result wraps ErrMalformed unless the input ended or could not be read.
func readError(what string, err error) error {
	if isEndOfInput(err) || isNetworkError(err) {
		return fmt.Errorf("read %s: %w", what, err)
	}
	return malformed("%s: %w", what, err)
}

func isEndOfInput(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
}

// isNetworkError reports whether err is an error of the connection. Such errors are net.Error values, which are
// recognized by their Timeout method, or the error of a closed pipe.
func isNetworkError(err error) bool {
	var network interface{ Timeout() bool }
	return errors.As(err, &network) || errors.Is(err, io.ErrClosedPipe)
}

func (r *Reader) readNumber() (uint32, error) {
	number, err := r.decoder.DecodeInt64()
	if err != nil {
		return 0, readError("a number", err)
	}
	if number < 0 || number > math.MaxUint32 {
		return 0, malformed("number %d", number)
	}
	return uint32(number), nil
}

// readRequest reads the elements that follow the type of a request: its message ID, its method and an array of its
// fields and, for most methods, its body.
func (r *Reader) readRequest() (message Message, err error) {
	if message.MessageID, err = r.readNumber(); err != nil {
		return message, err
	}
	if message.Method, err = r.readString("method", maxNameSize); err != nil {
		return message, err
	}
	length, err := r.decoder.DecodeArrayLen()
	if err != nil {
		return message, readError("parameters", err)
	}
	if length != 1 && length != 2 {
		return message, malformed("%d parameters", length)
	}
	if message.Params, err = r.readParams(); err != nil {
		return message, err
	}
	if length == 2 {
		message.Body, message.BodySkipped, err = r.readBody()
	}
	return message, err
}

// readBody reads a value of MessagePack's binary type of at most MaxBody bytes, or skips it if ReserveBody refuses
// memory for it. A string is malformed.
func (r *Reader) readBody() (body []byte, skipped bool, err error) {
	const what = "body"
	code, err := r.decoder.PeekCode()
	if err != nil {
		return nil, false, readError(what, err)
	}
	if !msgpcode.IsBin(code) {
		return nil, false, malformed("%s of kind %x", what, code)
	}
	length, err := r.readLength(what, MaxBody)
	if err != nil {
		return nil, false, err
	}
	if r.ReserveBody != nil && !r.ReserveBody(length) {
		return nil, true, r.skip(what, length)
	}
	body, err = r.readBytes(what, length)
	return body, false, err
}

// skip reads length bytes without keeping them.
func (r *Reader) skip(what string, length int) error {
	if _, err := io.CopyN(io.Discard, r.source, int64(length)); err != nil {
		return readError(what, err)
	}
	return nil
}

// readCancellation reads the elements that follow the type of a notification. The only valid notification cancels
// requests.
func (r *Reader) readCancellation() (message Message, err error) {
	if message.Method, err = r.readString("method", maxNameSize); err != nil {
		return message, err
	}
	if message.Method != MethodCancel {
		return message, malformed("notification %q", message.Method)
	}
	count, err := r.decoder.DecodeArrayLen()
	if err != nil {
		return message, readError("parameters", err)
	}
	if count < 1 || count > maxCancelled {
		return message, malformed("%d requests cancelled", count)
	}
	for range count {
		messageID, err := r.readNumber()
		if err != nil {
			return message, err
		}
		message.Cancelled = append(message.Cancelled, messageID)
	}
	return message, nil
}

// readParams reads the named fields of a request.
func (r *Reader) readParams() (Params, error) {
	count, err := r.decoder.DecodeMapLen()
	if err != nil {
		return Params{}, readError("fields", err)
	}
	if count < 0 || count > maxFields {
		return Params{}, malformed("%d fields", count)
	}
	var params Params
	seen := make(map[string]bool, count)
	for range count {
		name, err := r.readString("field", maxNameSize)
		if err != nil {
			return Params{}, err
		}
		if seen[name] {
			return Params{}, malformed("field %q twice", name)
		}
		seen[name] = true
		value, err := r.readString("value", maxValueSize)
		if err != nil {
			return Params{}, err
		}
		params.set(name, value)
	}
	return params, nil
}

// readString reads a MessagePack string of at most limit bytes. A value of the binary type is malformed.
func (r *Reader) readString(what string, limit int) (string, error) {
	code, err := r.decoder.PeekCode()
	if err != nil {
		return "", readError(what, err)
	}
	if !msgpcode.IsString(code) {
		return "", malformed("%s of kind %x", what, code)
	}
	raw, err := r.readLengthPrefixed(what, limit)
	return string(raw), err
}

// readLengthPrefixed reads a value that is preceded by its length, which must be at most limit.
func (r *Reader) readLengthPrefixed(what string, limit int) ([]byte, error) {
	length, err := r.readLength(what, limit)
	if err != nil {
		return nil, err
	}
	return r.readBytes(what, length)
}

// readLength reads the length of a value. It returns an error if the length is above limit.
func (r *Reader) readLength(what string, limit int) (int, error) {
	length, err := r.decoder.DecodeBytesLen()
	if err != nil {
		return 0, readError(what, err)
	}
	if length < 0 || length > limit {
		return 0, malformed("%s of %d bytes", what, length)
	}
	return length, nil
}

func (r *Reader) readBytes(what string, length int) ([]byte, error) {
	raw := make([]byte, length)
	if err := r.decoder.ReadFull(raw); err != nil {
		return nil, readError(what, err)
	}
	return raw, nil
}
