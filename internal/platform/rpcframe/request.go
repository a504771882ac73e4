package rpcframe

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Lengths of the identifiers in a request, in hexadecimal digits.
const (
	idDigits             = 16
	idempotencyKeyDigits = 32
)

// retryFlag is the only valid value of the field that marks a retry.
const retryFlag = "1"

// timeoutBits is the number of bits of a timeout in milliseconds: a timeout must be below 2^31 ms.
const timeoutBits = 31

// Request is a request with well-formed fields. The server must check that the class and the tenant exist and that the
// values are within the bounds of the deployment.
type Request struct {
	ID             string // 16 lower-case hexadecimal digits
	Class          string
	Function       string         // 16 lower-case hexadecimal digits
	IdempotencyKey string         // 32 lower-case hexadecimal digits, or empty if the request has none
	Tenant         OptionalString // name of the tenant
	Timeout        time.Duration  // time for which the client waits for the response; above 0
	Attributes     []Attribute    // in the order sent; among attributes of the same kind the last takes precedence
	Body           []byte         // nil if it was skipped, otherwise not nil, may be empty
}

// Attribute is a property of a request or of its function.
type Attribute struct {
	Kind  AttributeKind
	Value float64 // finite and non-negative, in the unit of the kind
	text  string  // as sent by the client
}

// String returns the attribute in the form that the client sent.
func (a Attribute) String() string { return a.text }

// AttributeKind is the property that an Attribute describes.
type AttributeKind int

// The kinds of attributes. Attributes with unknown names are ignored.
const (
	AttributeMemory       AttributeKind = iota + 1 // memory of a replica, in megabytes
	AttributeConcurrency                           // number of requests that a replica executes at a time
	AttributeLoadTime                              // duration of loading a replica, in milliseconds
	AttributeWorkEstimate                          // expected execution time of this request, in milliseconds
)

// attributeKinds maps the names on the wire to the kinds of attributes.
var attributeKinds = map[string]AttributeKind{
	"memory_mb": AttributeMemory,
	"lanes":     AttributeConcurrency,
	"load_ms":   AttributeLoadTime,
	"cost":      AttributeWorkEstimate,
	"hint":      AttributeWorkEstimate,
}

// Request validates the fields of a message whose method is the name of a class. Its errors wrap ErrMalformed.
func (m *Message) Request() (Request, error) {
	params := m.Params
	request := Request{
		ID: params.ID, Class: m.Method, Function: params.Function, IdempotencyKey: params.IdempotencyKey,
		Tenant: params.Tenant, Body: m.Body,
	}
	switch {
	case m.Body == nil && !m.BodySkipped:
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

// parseAttributes parses attributes in the format name:value;name:value. The values of attributes with unknown names
// must be valid numbers too.
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

// isFiniteNonNegative reports whether x is finite and not negative. NaN is not finite.
func isFiniteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// isHex reports whether text consists of exactly the given number of lower-case hexadecimal digits.
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
