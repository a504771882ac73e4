package workerconn

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"time"
)

var (
	// ErrStalled is returned by Stream.Next if the worker sent nothing for too long.
	ErrStalled = errors.New("the worker's response has stalled")
	// ErrIncomplete is wrapped by the error of a stream that ended before the response was complete.
	ErrIncomplete = errors.New("the worker's response is incomplete")
)

// Stream is the body of a response on its way from one worker to one client. The goroutine that reads the connection
// appends to it and never waits. It is bounded by the flow control window that the worker was given: when that is used
// up the worker waits for credit, and nobody else waits.
type Stream struct {
	credit  func(bytes int) // gives the worker credit for bytes that were read; may be nil
	changed Signal

	mu         sync.Mutex
	parts      [][]byte
	buffered   int // bytes in parts
	window     int // bytes
	uncredited int // bytes that were read and not given back as credit yet
	ended      bool
	err        error // set once ended, nil for a complete response
}

// NewStream returns a Stream with a flow control window in bytes. The stream calls credit, with no lock held, with the
// number of bytes that the worker may send in addition.
func NewStream(window int, credit func(bytes int)) *Stream {
	return &Stream{window: window, changed: NewSignal(), credit: credit}
}

// Append adds a copy of the next part. It returns false if the worker exceeded its window.
func (s *Stream) Append(part []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.buffered+s.uncredited+len(part) > s.window {
		return false
	}
	if len(part) > 0 && !s.ended {
		s.parts = append(s.parts, bytes.Clone(part))
		s.buffered += len(part)
		s.changed.Notify()
	}
	return true
}

// End ends the stream; err is nil for a complete response. Only the first call has an effect.
func (s *Stream) End(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.err = err
	s.changed.Notify()
}

// streamRead is the result of one look at a stream.
type streamRead struct {
	part   []byte // nil if there was none
	credit int    // bytes to give back as credit
	ended  bool   // no part follows
	err    error  // why the stream ended early
}

// pop removes the next part, if there is one. Credit is given in steps of half a window, so that small parts do not
// cause a frame each.
func (s *Stream) pop() streamRead {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parts) == 0 {
		return streamRead{ended: s.ended, err: s.err}
	}
	read := streamRead{part: s.parts[0]}
	s.parts = s.parts[1:]
	s.buffered -= len(read.part)
	s.uncredited += len(read.part)
	if s.uncredited >= s.window/2 {
		read.credit = s.uncredited
		s.uncredited = 0
	}
	return read
}

// Next returns the next part of the response. It returns nil and no error at the end, an error that wraps ErrIncomplete if
// the response broke off, ErrStalled if nothing arrived for stallTimeout, and the error of ctx if that is done first. One
// goroutine may call it at a time.
func (s *Stream) Next(ctx context.Context, stallTimeout time.Duration) ([]byte, error) {
	timer := time.NewTimer(stallTimeout)
	defer timer.Stop()
	for {
		read := s.pop()
		if read.credit > 0 && s.credit != nil {
			s.credit(read.credit)
		}
		if read.part != nil || read.ended {
			return read.part, read.err
		}
		select {
		case <-s.changed:
		case <-timer.C:
			return nil, ErrStalled
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
