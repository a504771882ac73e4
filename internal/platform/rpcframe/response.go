package rpcframe

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Names of errors on the wire, and of the only field that one has.
const (
	errorRejected   = "Backoff"
	errorFailed     = "Lost"
	errorMalformed  = "Malformed"
	fieldRetryAfter = "after" // milliseconds
)

// AppendServed appends the response of a request that was executed. A nil body is sent as an empty one.
func AppendServed(buf []byte, number uint32, body []byte) []byte {
	if body == nil {
		body = []byte{}
	}
	return appendResponse(buf, number, func(e *msgpack.Encoder) error {
		return errors.Join(e.EncodeNil(), e.EncodeArrayLen(2), e.EncodeBytes(body), e.EncodeMapLen(0))
	})
}

// AppendHeartbeat appends the response of a heartbeat, which says whether the server is ready.
func AppendHeartbeat(buf []byte, number uint32, ready bool) []byte {
	return appendResponse(buf, number, func(e *msgpack.Encoder) error {
		return errors.Join(e.EncodeNil(), e.EncodeArrayLen(2), e.EncodeBool(ready), e.EncodeMapLen(0))
	})
}

// AppendRejected appends the response of a request that was not executed and may be sent again: after retryAfter, or
// without such advice if that is 0.
func AppendRejected(buf []byte, number uint32, retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return AppendError(buf, number, errorRejected, "", "")
	}
	return AppendError(buf, number, errorRejected, fieldRetryAfter, strconv.FormatInt(retryAfter.Milliseconds(), 10))
}

// AppendFailed appends the response of a request that may have been executed.
func AppendFailed(buf []byte, number uint32) []byte {
	return AppendError(buf, number, errorFailed, "", "")
}

// AppendMalformed appends the response of a request that breaks the protocol.
func AppendMalformed(buf []byte, number uint32) []byte {
	return AppendError(buf, number, errorMalformed, "", "")
}

// AppendError appends the response that is the error of a name. It carries one field, or none if field is empty.
func AppendError(buf []byte, number uint32, name, field, value string) []byte {
	return appendResponse(buf, number, func(e *msgpack.Encoder) error {
		err := errors.Join(e.EncodeArrayLen(2), e.EncodeString(name))
		if field == "" {
			return errors.Join(err, e.EncodeMapLen(0), e.EncodeNil())
		}
		return errors.Join(err, e.EncodeMapLen(1), e.EncodeString(field), e.EncodeString(value), e.EncodeNil())
	})
}

// appendResponse appends a response whose last two elements, error and result, encodeOutcome writes. Writing to memory
// does not fail.
func appendResponse(buf []byte, number uint32, encodeOutcome func(*msgpack.Encoder) error) []byte {
	w := bytes.NewBuffer(buf)
	e := msgpack.NewEncoder(w)
	err := errors.Join(e.EncodeArrayLen(4), e.EncodeUint(typeResponse), e.EncodeUint(uint64(number)), encodeOutcome(e))
	if err != nil {
		return buf
	}
	return w.Bytes()
}
