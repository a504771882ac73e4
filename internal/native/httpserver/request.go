package httpserver

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// pathPrefix is the path of every request up to the function name.
const pathPrefix = "/call/"

// Names of the request headers. They are part of the interface to clients and must not change; the fields of Request
// have the terms that the rest of the code uses.
const (
	headerClass          = "Call-Class"
	headerTenant         = "Call-Tenant"
	headerID             = "Call-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Call-Patience"
	headerWorkEstimate   = "Call-Cost"
	headerLoadTime       = "Call-Load"
	headerMemory         = "Call-Memory"
	headerConcurrency    = "Call-Lanes"
	headerExpect         = "Expect"
)

// Upper bounds of the values in request headers.
const (
	maxNameBytes   = 256 // bytes of a function name or of a header that holds a name, an ID or a key
	maxDuration    = 24 * time.Hour
	maxConcurrency = 1000
)

// requestError is the error of an invalid request. Its status code and reason are sent to the client.
type requestError struct {
	status int
	reason string
}

// Error returns the reason.
func (e *requestError) Error() string { return e.reason }

func badRequest(format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// parse returns the request described by the path and headers of r, without the body. Its errors are of type
// *requestError.
func parse(r *http.Request, receivedAt time.Time) (*Request, error) {
	name, hasPrefix := strings.CutPrefix(r.URL.EscapedPath(), pathPrefix)
	if !hasPrefix {
		return nil, &requestError{http.StatusNotFound, "calls go to /call/FUNCTION"}
	}
	if r.Method != http.MethodPost {
		return nil, &requestError{http.StatusMethodNotAllowed, "calls are made by POST"}
	}
	function, err := url.PathUnescape(name)
	if err != nil || !isFunctionName(function) {
		return nil, badRequest("%q names no function: 1 to %d bytes without a slash", name, maxNameBytes)
	}
	request := &Request{Function: function, ReceivedAt: receivedAt}
	if err := request.parseHeaders(r.Header); err != nil {
		return nil, err
	}
	return request, nil
}

func isFunctionName(name string) bool {
	return name != "" && len(name) <= maxNameBytes && !strings.ContainsAny(name, "/\x00")
}

// parseHeaders sets the fields that come from headers. It returns the first error, which is sent to the client.
func (r *Request) parseHeaders(h http.Header) error {
	if err := r.parseNames(h); err != nil {
		return err
	}
	if err := r.parseDurations(h); err != nil {
		return err
	}
	if err := r.parseMemory(h); err != nil {
		return err
	}
	return r.parseConcurrency(h)
}

func (r *Request) parseNames(h http.Header) error {
	for _, field := range []struct {
		name  string
		value *string
	}{
		{headerClass, &r.Class},
		{headerTenant, &r.Tenant},
		{headerID, &r.ID},
		{headerIdempotencyKey, &r.IdempotencyKey},
	} {
		text, err := singleValue(h, field.name)
		if err != nil {
			return err
		}
		if len(text) > maxNameBytes {
			return badRequest("%s is longer than %d bytes", field.name, maxNameBytes)
		}
		*field.value = text
	}
	r.IdempotencyKey = unquote(r.IdempotencyKey)
	return nil
}

func (r *Request) parseDurations(h http.Header) error {
	for _, field := range []struct {
		name  string
		value *time.Duration
	}{
		{headerTimeout, &r.Timeout},
		{headerWorkEstimate, &r.WorkEstimate},
		{headerLoadTime, &r.LoadTime},
	} {
		text, err := singleValue(h, field.name)
		if err != nil {
			return err
		}
		if *field.value, err = parseDuration(field.name, text); err != nil {
			return err
		}
	}
	return nil
}

func (r *Request) parseMemory(h http.Header) error {
	text, err := singleValue(h, headerMemory)
	if err != nil || text == "" {
		return err
	}
	megabytes, err := strconv.ParseFloat(text, 64)
	if err != nil || !isFinitePositive(megabytes) {
		return badRequest("%s: found %q, allowed are megabytes above 0", headerMemory, text)
	}
	r.MemoryMB = megabytes
	return nil
}

// isFinitePositive reports whether x is finite and greater than 0. It returns false for NaN.
func isFinitePositive(x float64) bool { return x > 0 && !math.IsInf(x, 1) }

func (r *Request) parseConcurrency(h http.Header) error {
	text, err := singleValue(h, headerConcurrency)
	if err != nil || text == "" {
		return err
	}
	concurrency, err := strconv.Atoi(text)
	if err != nil || concurrency < 1 || concurrency > maxConcurrency {
		return badRequest("%s: found %q, allowed are 1 to %d", headerConcurrency, text, maxConcurrency)
	}
	r.Concurrency = concurrency
	return nil
}

// singleValue returns the value of a header, or "" if the header is absent. It returns an error if the header is
// repeated.
func singleValue(h http.Header, name string) (string, error) {
	switch values := h.Values(name); len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", badRequest("%s is given more than once", name)
}

// unquote removes the quotes around an idempotency key. The draft of the Idempotency-Key header defines its value as a
// string of structured fields (RFC 9651, section 3.3.3). A value without quotes is returned unchanged.
func unquote(key string) string {
	if !isQuoted(key) {
		return key
	}
	return strings.NewReplacer(`\"`, `"`, `\\`, `\`).Replace(key[1 : len(key)-1])
}

func isQuoted(text string) bool {
	return len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"'
}

// parseDuration parses a duration such as 1.5s; a number without a unit, such as 1500, is in milliseconds. It returns 0
// for an empty text.
func parseDuration(name, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	withUnit := text
	if _, err := strconv.Atoi(text); err == nil {
		withUnit += "ms"
	}
	duration, err := time.ParseDuration(withUnit)
	if err != nil || duration <= 0 || duration > maxDuration {
		return 0, badRequest("%s: found %q, allowed are milliseconds or a time as 1.5s, up to a day", name, withUnit)
	}
	return duration, nil
}

// readBody reads a request's body of at most limit bytes.
func readBody(r *http.Request, limit int) ([]byte, error) {
	if r.ContentLength > int64(limit) {
		return nil, bodyTooLarge(limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, bodyTooLarge(limit)
	}
	return body, nil
}

func bodyTooLarge(limit int) error {
	return &requestError{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body may have %d bytes", limit)}
}

// ParseRequest reads one request with its body from source. The header may have maxHeader bytes and the body maxBody
// bytes. ParseRequest exists for fuzz tests; connections also apply read deadlines.
func ParseRequest(source io.Reader, maxHeader, maxBody int) (*Request, error) {
	r, err := http.ReadRequest(bufio.NewReader(&headerLimit{source: source, remaining: maxHeader}))
	if err != nil {
		return nil, err
	}
	request, err := parse(r, time.Time{})
	if err != nil {
		return nil, err
	}
	request.Body, err = readBody(r, maxBody)
	return request, err
}
