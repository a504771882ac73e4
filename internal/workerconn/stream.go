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

// Stream passes the body of a response from a worker to a client while it arrives. The goroutine that reads the
// worker's connection appends to the stream and never blocks. The flow control window of the worker bounds the
// stream: once the window is used up, the worker waits for credit, and nothing else waits.
type Stream struct {
	credit  func(bytes int) // grants the worker credit for bytes that were read; may be nil
	changed Signal

	mu         sync.Mutex
	parts      [][]byte
	buffered   int // bytes in parts
	window     int // flow control window in bytes
	uncredited int // bytes that were read and for which no credit was granted yet
	ended      bool
	err        error // why the response is incomplete; nil for a complete one, and before the end
}

// NewStream returns a Stream with a flow control window of window bytes. The stream calls credit, with no lock held,
// with the number of further bytes that the worker may send. credit may be nil.
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

// streamRead is the result of one call of pop.
type streamRead struct {
	part   []byte // nil if no part was buffered
	credit int    // bytes for which to grant credit now
	ended  bool   // no part follows
	err    error  // why the response is incomplete, if it is
}

// pop removes the next part, if there is one. Credit is granted in steps of at least half a window, so that small parts
// do not each cause a credit frame.
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

// Next returns the next part of the response. It returns nil and no error at the end of the response, an error that
// wraps ErrIncomplete if the response broke off, ErrStalled if nothing arrived for stallTimeout, and the error of ctx
// if ctx is done first. Only one goroutine may call Next at a time.
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
