package httpserver

import (
	"errors"
	"io"
)

// unlimited is the limit of a headerLimit outside a request's header.
const unlimited = -1

var errHeaderTooLong = errors.New("header too long")

// headerLimit bounds how many bytes of a connection one request's header may take. It remembers why reading ended, as
// the parser takes a line that is cut off for a whole one. The reading goroutine owns it.
type headerLimit struct {
	in        io.Reader
	remaining int   // bytes, or unlimited
	err       error // of the last Read
}

// Read implements io.Reader.
func (l *headerLimit) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		l.err = errHeaderTooLong
		return 0, l.err
	}
	if l.remaining > 0 && len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.in.Read(p)
	if l.remaining > 0 {
		l.remaining -= n
	}
	l.err = err
	return n, err
}
