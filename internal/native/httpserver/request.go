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

// pathPrefix is what the path of every request begins with; the function's name follows.
const pathPrefix = "/call/"

// Headers of a request. Their names are the service's interface to its clients; Request has the terms used elsewhere.
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

// Bounds of what a request may say.
const (
	maxNameBytes   = 256 // of names and keys
	maxDuration    = 24 * time.Hour
	maxConcurrency = 1000
)

// requestError says why a request is invalid, and the status of the response. Its text is sent to the client.
type requestError struct {
	status int
	reason string
}

// Error returns the reason.
func (e *requestError) Error() string { return e.reason }

func badRequest(format string, args ...any) *requestError {
	return &requestError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// parse checks what a request's header says. Its errors are of type *requestError.
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

// parseHeaders stores the headers' values. The first error in this order is the one that the client gets.
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

// isFinitePositive is false for NaN too.
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

// singleValue returns the value of a header that may be given once, empty if it is not given.
func singleValue(h http.Header, name string) (string, error) {
	switch values := h.Values(name); len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	}
	return "", badRequest("%s is given more than once", name)
}

// unquote removes the quotes that the draft of Idempotency-Key asks for: its value is a string of structured fields (RFC
// 9651, section 3.3.3). A value without them is taken as it is.
func unquote(key string) string {
	if !isQuoted(key) {
		return key
	}
	return strings.NewReplacer(`\"`, `"`, `\\`, `\`).Replace(key[1 : len(key)-1])
}

func isQuoted(text string) bool {
	return len(text) >= 2 && text[0] == '"' && text[len(text)-1] == '"'
}

// parseDuration reads 1500, which are milliseconds, or 1.5s.
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

// ParseRequest reads one request with its body from in, within bounds in bytes. It is for tests of arbitrary input; a
// connection reads with deadlines besides.
func ParseRequest(in io.Reader, maxHeader, maxBody int) (*Request, error) {
	r, err := http.ReadRequest(bufio.NewReader(&headerLimit{in: in, remaining: maxHeader}))
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
