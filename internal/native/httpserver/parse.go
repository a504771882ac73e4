package httpserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// nameBytes bounds names and keys.
const nameBytes = 256

// problem is why a request is no call, with the status to answer.
type problem struct {
	status int
	why    string
}

// Error is what is wrong.
func (p *problem) Error() string { return p.why }

func bad(format string, args ...any) *problem {
	return &problem{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// parse reads a call out of a request, without its body.
func parse(r *http.Request, began time.Time) (*Request, error) {
	name, isCall := strings.CutPrefix(r.URL.EscapedPath(), "/call/")
	if !isCall {
		return nil, &problem{http.StatusNotFound, "calls go to /call/FUNCTION"}
	}
	if r.Method != http.MethodPost {
		return nil, &problem{http.StatusMethodNotAllowed, "calls are made by POST"}
	}
	function, err := url.PathUnescape(name)
	if err != nil || function == "" || len(function) > nameBytes || strings.ContainsAny(function, "/\x00") {
		return nil, bad("%q names no function: 1 to %d bytes without a slash", name, nameBytes)
	}
	c := &Request{Function: function, ReceivedAt: began}
	if err := c.headers(r.Header); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Request) headers(h http.Header) error {
	for _, field := range []struct {
		name string
		into *string
	}{{"Call-Class", &c.Class}, {"Call-Tenant", &c.Tenant}, {"Call-Id", &c.ID}, {"Idempotency-Key", &c.IdempotencyKey}} {
		text, err := one(h, field.name)
		if err != nil {
			return err
		}
		if len(text) > nameBytes {
			return bad("%s is longer than %d bytes", field.name, nameBytes)
		}
		*field.into = text
	}
	c.IdempotencyKey = unquote(c.IdempotencyKey)
	for _, field := range []struct {
		name string
		into *time.Duration
	}{{"Call-Patience", &c.Timeout}, {"Call-Cost", &c.WorkEstimate}, {"Call-Load", &c.LoadTime}} {
		text, err := one(h, field.name)
		if err != nil {
			return err
		}
		if *field.into, err = duration(field.name, text); err != nil {
			return err
		}
	}
	return c.size(h)
}

// size reads what a loaded copy takes.
func (c *Request) size(h http.Header) error {
	if text, err := one(h, "Call-Memory"); err != nil {
		return err
	} else if text != "" {
		x, err := strconv.ParseFloat(text, 64)
		if err != nil || !(x > 0) || math.IsInf(x, 0) {
			return bad("Call-Memory: found %q, allowed are megabytes above 0", text)
		}
		c.MemoryMB = x
	}
	if text, err := one(h, "Call-Lanes"); err != nil {
		return err
	} else if text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > 1000 {
			return bad("Call-Lanes: found %q, allowed are 1 to 1000", text)
		}
		c.Concurrency = n
	}
	return nil
}

func one(h http.Header, name string) (string, error) {
	switch list := h.Values(name); len(list) {
	case 0:
		return "", nil
	case 1:
		return list[0], nil
	}
	return "", bad("%s is given more than once", name)
}

// unquote takes a key out of the quotes that the draft standard has (a structured field's string).
func unquote(key string) string {
	if len(key) >= 2 && key[0] == '"' && key[len(key)-1] == '"' {
		return strings.NewReplacer(`\"`, `"`, `\\`, `\`).Replace(key[1 : len(key)-1])
	}
	return key
}

// duration reads 1500 (milliseconds) or 1.5s.
func duration(name, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	if _, err := strconv.Atoi(text); err == nil {
		text += "ms"
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > 24*time.Hour {
		return 0, bad("%s: found %q, allowed are milliseconds or a time as 1.5s, up to a day", name, text)
	}
	return d, nil
}

// body reads a request's body up to most bytes.
func body(r *http.Request, most int) ([]byte, error) {
	if r.ContentLength > int64(most) {
		return nil, tooLarge(most)
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, int64(most)+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > most {
		return nil, tooLarge(most)
	}
	return raw, nil
}

func tooLarge(most int) error {
	return &problem{http.StatusRequestEntityTooLarge, fmt.Sprintf("a body may have %d bytes", most)}
}

// limited bounds how much of a connection one request's header may take, and remembers why reading ended: a
// line that is cut off reads as a whole one to the parser.
type limited struct {
	in   io.Reader
	left int // negative: no bound
	err  error
}

var errHeaderTooLong = errors.New("header too long")

func (l *limited) Read(p []byte) (int, error) {
	if l.left == 0 {
		l.err = errHeaderTooLong
		return 0, l.err
	}
	if l.left > 0 && len(p) > l.left {
		p = p[:l.left]
	}
	n, err := l.in.Read(p)
	if l.left > 0 {
		l.left -= n
	}
	l.err = err
	return n, err
}

// ParseRequest reads one call with its body from in, as a connection does: for tests of outside bytes.
func ParseRequest(in io.Reader, maxHeader, maxBody int) (*Request, error) {
	r, err := http.ReadRequest(bufio.NewReader(&limited{in: in, left: maxHeader}))
	if err != nil {
		return nil, err
	}
	c, err := parse(r, time.Time{})
	if err != nil {
		return nil, err
	}
	c.Body, err = body(r, maxBody)
	return c, err
}
