package httpserver

import (
	"errors"
	"io"
)

// unlimited is the value of headerLimit.remaining while no request header is being read.
const unlimited = -1

var errHeaderTooLong = errors.New("header too long")

// headerLimit is a reader that limits the size of a request header. It keeps the error of the last read, because the
// parser accepts a truncated line as a complete one and so may not report the read error. It is owned by the
// connection's reading goroutine.
type headerLimit struct {
	source    io.Reader
	remaining int   // bytes that may still be read, or unlimited
	err       error // error of the last Read
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
	n, err := l.source.Read(p)
	if l.remaining > 0 {
		l.remaining -= n
	}
	l.err = err
	return n, err
}
