package worker

import (
	"io"
	"net"
	"sync"

	"havencart/lab/model"
)

// chunksMost bounds what is on the way of one connection; beyond, reading and writing stop.
const maxChunks = 1024

// shaped is a connection whose bytes take the ways of a model.Network once it has them.
type delayedConn struct {
	net.Conn
	clock   *model.RealClock
	out, in *model.Path // within world; nil: no way has been given yet
	done    chan struct{}
	once    sync.Once
	received    chan chunk // from the peer, in order
	departing  chan []byte
	outgoingSlots   chan struct{} // a place for each chunk on its way out
	incomingSlots  chan struct{} // and in
	unread    []byte        // the reader's alone
}

type chunk struct {
	bytes []byte
	err   error
}

// shape wraps a connection. The two tasks end with it.
func newDelayedConn(c net.Conn, world *model.RealClock, tasks *sync.WaitGroup) *delayedConn {
	s := &delayedConn{
		Conn: c, clock: world, done: make(chan struct{}), received: make(chan chunk, maxChunks),
		departing: make(chan []byte, maxChunks), outgoingSlots: make(chan struct{}, maxChunks), incomingSlots: make(chan struct{}, maxChunks),
	}
	tasks.Go(s.readLoop)
	tasks.Go(s.writeLoop)
	return s
}

// take gives the connection its ways from now on.
func (s *delayedConn) setPaths(in, out *model.Path) { s.clock.Do(func() { s.in, s.out = in, out }) }

// carry does f when what is sent now has come.
func (s *delayedConn) send(way func() *model.Path, f func()) {
	s.clock.Do(func() {
		if w := way(); w != nil {
			w.Send(f)
		} else {
			f()
		}
	})
}

// pull reads from the peer. There is a place for each chunk in came, so that nothing waits within the world.
func (s *delayedConn) readLoop() {
	for {
		select {
		case s.incomingSlots <- struct{}{}:
		case <-s.done:
			return
		}
		b := make([]byte, 4<<10)
		n, err := s.Conn.Read(b)
		s.send(func() *model.Path { return s.in }, func() { s.received <- chunk{b[:n], err} })
		if err != nil {
			return
		}
	}
}

func (s *delayedConn) writeLoop() {
	for {
		select {
		case b := <-s.departing:
			<-s.outgoingSlots
			if _, err := s.Conn.Write(b); err != nil {
				s.Close()
				return
			}
		case <-s.done:
			return
		}
	}
}

// Read implements net.Conn.
func (s *delayedConn) Read(b []byte) (int, error) {
	for len(s.unread) == 0 {
		select {
		case c := <-s.received:
			<-s.incomingSlots
			if c.err != nil && len(c.bytes) == 0 {
				return 0, c.err
			}
			s.unread = c.bytes
		case <-s.done:
			return 0, io.EOF
		}
	}
	n := copy(b, s.unread)
	s.unread = s.unread[n:]
	return n, nil
}

// Write implements net.Conn: it returns when there is a place on the way.
func (s *delayedConn) Write(b []byte) (int, error) {
	select {
	case s.outgoingSlots <- struct{}{}:
	case <-s.done:
		return 0, net.ErrClosed
	}
	c := append([]byte(nil), b...)
	s.send(func() *model.Path { return s.out }, func() { s.departing <- c })
	return len(b), nil
}

// Close implements net.Conn. What is on the way is gone.
func (s *delayedConn) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.Conn.Close()
}
