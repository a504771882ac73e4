package workerconn

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrStalled is returned by Stream.Next where the worker sent nothing for too long.
var ErrStalled = errors.New("the worker's answer stands still")

// ErrBroken is wrapped by the error of a stream that ended before the answer was complete.
var ErrBroken = errors.New("the worker's answer broke off")

// Stream is the body of an answer on its way from one worker to one client. The link's reading goroutine adds
// to it and never waits; what may be added is bounded by the window that the worker was given. When it is
// full the worker waits for credit, nobody else does.
type Stream struct {
	mu     sync.Mutex
	parts  [][]byte
	size   int // bytes in parts
	window int
	taken  int // bytes read and not yet given back as credit
	ended  bool
	err    error
	news   chan struct{}
	credit func(n int)
}

// NewStream returns a Stream that holds at most window bytes; credit is called with the bytes that were read.
func NewStream(window int, credit func(n int)) *Stream {
	return &Stream{window: window, news: make(chan struct{}, 1), credit: credit}
}

// Add takes the next part, or says that the worker sent more than it was allowed.
func (s *Stream) Add(part []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size+s.taken+len(part) > s.window {
		return false
	}
	if len(part) > 0 && !s.ended {
		s.parts = append(s.parts, append([]byte(nil), part...))
		s.size += len(part)
		s.tell()
	}
	return true
}

// End closes the stream; err is nil for a complete answer.
func (s *Stream) End(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended, s.err = true, err
		s.tell()
	}
}

func (s *Stream) tell() {
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// take returns the next part if there is one, and else whether the stream ended.
func (s *Stream) take() (part []byte, ended bool, err error, give int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.parts) == 0 {
		return nil, s.ended, s.err, 0
	}
	part, s.parts = s.parts[0], s.parts[1:]
	s.size -= len(part)
	if s.taken += len(part); s.taken >= s.window/2 {
		give, s.taken = s.taken, 0
	}
	return part, false, nil, give
}

// Next returns the next part of the answer. At the end it returns nil and no error; an error wraps ErrBroken
// where the answer is incomplete, or ErrStalled where nothing came for stall.
func (s *Stream) Next(ctx context.Context, stall time.Duration) ([]byte, error) {
	timer := time.NewTimer(stall)
	defer timer.Stop()
	for {
		part, ended, err, give := s.take()
		if give > 0 && s.credit != nil {
			s.credit(give)
		}
		if part != nil || ended {
			return part, err
		}
		select {
		case <-s.news:
		case <-timer.C:
			return nil, ErrStalled
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
