package rpcframe

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Digits of the hexadecimal identifiers in a request.
const (
	idDigits             = 16
	idempotencyKeyDigits = 32
)

// retryFlag is the only value that the field of a retry may have.
const retryFlag = "1"

// timeoutBits bounds a timeout in milliseconds, which is below 2 to this power.
const timeoutBits = 31

// Request is a request whose fields are well-formed. Whether its class and tenant exist and its values are within the
// deployment's bounds is for the server to check.
type Request struct {
	ID             string // 16 lower-case hexadecimal digits
	Class          string
	Function       string        // 16 lower-case hexadecimal digits
	IdempotencyKey string        // 32 lower-case hexadecimal digits, empty without one
	Tenant         OptionalText  // the tenant's name
	Timeout        time.Duration // how long the client waits for the response, above 0
	Attributes     []Attribute   // in the client's order; a later one of the same kind takes precedence
	Body           []byte        // never nil
}

// Attribute is one property of a request's function.
type Attribute struct {
	Kind  AttributeKind
	Value float64 // finite, 0 or more, in the unit of its kind
	text  string
}

// String returns the attribute as the client wrote it.
func (a Attribute) String() string { return a.text }

// AttributeKind says what an Attribute measures.
type AttributeKind int

// The kinds of attributes. Those of other names are ignored.
const (
	AttributeMemory       AttributeKind = iota + 1 // memory of one replica, in megabytes
	AttributeConcurrency                           // requests that one replica executes at a time
	AttributeLoadTime                              // duration of a load, in milliseconds
	AttributeWorkEstimate                          // expected duration of this request's execution, in milliseconds
)

// attributeKinds are the kinds by their names on the wire.
var attributeKinds = map[string]AttributeKind{
	"memory_mb": AttributeMemory,
	"lanes":     AttributeConcurrency,
	"load_ms":   AttributeLoadTime,
	"cost":      AttributeWorkEstimate,
	"hint":      AttributeWorkEstimate,
}

// Request checks the fields of a message that is a request of a class. Its errors wrap ErrMalformed.
func (m *Message) Request() (Request, error) {
	params := m.Params
	request := Request{
		ID: params.ID, Class: m.Method, Function: params.Function, IdempotencyKey: params.IdempotencyKey,
		Tenant: params.Tenant, Body: m.Body,
	}
	switch {
	case m.Body == nil:
		return Request{}, malformed("no body")
	case !isHex(params.ID, idDigits):
		return Request{}, malformed("id %q", params.ID)
	case !isHex(params.Function, idDigits):
		return Request{}, malformed("key %q", params.Function)
	case params.IdempotencyKey != "" && !isHex(params.IdempotencyKey, idempotencyKeyDigits):
		return Request{}, malformed("once %q", params.IdempotencyKey)
	case params.Retry.Present && params.Retry.Value != retryFlag:
		return Request{}, malformed("retry %q", params.Retry.Value)
	}
	millis, err := strconv.ParseUint(params.Timeout, 10, timeoutBits)
	if err != nil || millis == 0 {
		return Request{}, malformed("wait %q", params.Timeout)
	}
	request.Timeout = time.Duration(millis) * time.Millisecond
	request.Attributes, err = parseAttributes(params.Attributes)
	return request, err
}

// parseAttributes reads name:value;name:value. Values of unknown names must be numbers as well.
func parseAttributes(text string) ([]Attribute, error) {
	if text == "" {
		return nil, nil
	}
	var attributes []Attribute
	for pair := range strings.SplitSeq(text, ";") {
		name, number, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(number, 64)
		if err != nil || !isFiniteNonNegative(value) {
			return nil, malformed("attrs %q", pair)
		}
		if kind, known := attributeKinds[name]; known {
			attributes = append(attributes, Attribute{kind, value, pair})
		}
	}
	return attributes, nil
}

// isFiniteNonNegative is false for NaN too.
func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// isHex reports whether text has just so many lower-case hexadecimal digits.
func isHex(text string, digits int) bool {
	if len(text) != digits {
		return false
	}
	for _, char := range []byte(text) {
		isDigit := char >= '0' && char <= '9'
		isLetter := char >= 'a' && char <= 'f'
		if !isDigit && !isLetter {
			return false
		}
	}
	return true
}
