package rpcframe

import (
	"bytes"
	"errors"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Names on the wire of the errors, and of the only field of an error.
const (
	errorRejected   = "Backoff"
	errorFailed     = "Lost"
	errorMalformed  = "Malformed"
	fieldRetryAfter = "after" // advised delay before a retry, in milliseconds
)

// AppendServed appends the response to a request that was executed. A nil body is sent as an empty body.
func AppendServed(buf []byte, messageID uint32, body []byte) []byte {
	if body == nil {
		body = []byte{}
	}
	return appendResponse(buf, messageID, func(e *msgpack.Encoder) error {
		return errors.Join(e.EncodeNil(), e.EncodeArrayLen(2), e.EncodeBytes(body), e.EncodeMapLen(0))
	})
}

// AppendHeartbeat appends the response to a heartbeat, which contains whether the server is ready.
func AppendHeartbeat(buf []byte, messageID uint32, ready bool) []byte {
	return appendResponse(buf, messageID, func(e *msgpack.Encoder) error {
		return errors.Join(e.EncodeNil(), e.EncodeArrayLen(2), e.EncodeBool(ready), e.EncodeMapLen(0))
	})
}

// AppendRejected appends the response to a request that was not executed and may therefore be sent again. It advises
// the client to wait for retryAfter before it retries, unless retryAfter is 0.
func AppendRejected(buf []byte, messageID uint32, retryAfter time.Duration) []byte {
	if retryAfter <= 0 {
		return AppendError(buf, messageID, errorRejected, "", "")
	}
	return AppendError(buf, messageID, errorRejected, fieldRetryAfter, strconv.FormatInt(retryAfter.Milliseconds(), 10))
}

// AppendFailed appends the response to a request that failed and may have been executed.
func AppendFailed(buf []byte, messageID uint32) []byte {
	return AppendError(buf, messageID, errorFailed, "", "")
}

// AppendMalformed appends the response to a request that violates the protocol.
func AppendMalformed(buf []byte, messageID uint32) []byte {
	return AppendError(buf, messageID, errorMalformed, "", "")
}

// AppendError appends an error response with the given error name. The error has one field, or none if field is empty.
func AppendError(buf []byte, messageID uint32, name, field, value string) []byte {
	return appendResponse(buf, messageID, func(e *msgpack.Encoder) error {
		err := errors.Join(e.EncodeArrayLen(2), e.EncodeString(name))
		if field == "" {
			return errors.Join(err, e.EncodeMapLen(0), e.EncodeNil())
		}
		return errors.Join(err, e.EncodeMapLen(1), e.EncodeString(field), e.EncodeString(value), e.EncodeNil())
	})
}

// appendResponse appends a response. The function encodeOutcome must encode the last two elements of the response: the
// error and the result. Errors are not expected, because the encoder writes to memory.
func appendResponse(buf []byte, messageID uint32, encodeOutcome func(*msgpack.Encoder) error) []byte {
	w := bytes.NewBuffer(buf)
	e := msgpack.NewEncoder(w)
	err := errors.Join(e.EncodeArrayLen(4), e.EncodeUint(typeResponse), e.EncodeUint(uint64(messageID)), encodeOutcome(e))
	if err != nil {
		return buf
	}
	return w.Bytes()
}
