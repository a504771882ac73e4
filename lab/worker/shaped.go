package worker

import (
	"io"
	"net"
	"sync"

	"havencart/lab/model"
)

// chunksMost bounds what is on the way of one connection; beyond, reading and writing stop.
const chunksMost = 1024

// shaped is a connection whose bytes take the ways of a model.Network once it has them.
type shaped struct {
	net.Conn
	world   *model.RealClock
	out, in *model.Path // within world; nil: no way has been given yet
	done    chan struct{}
	once    sync.Once
	came    chan chunk // from the peer, in order
	leaves  chan []byte
	going   chan struct{} // a place for each chunk on its way out
	coming  chan struct{} // and in
	rest    []byte        // the reader's alone
}

type chunk struct {
	bytes []byte
	err   error
}

// shape wraps a connection. The two tasks end with it.
func shape(c net.Conn, world *model.RealClock, tasks *sync.WaitGroup) *shaped {
	s := &shaped{
		Conn: c, world: world, done: make(chan struct{}), came: make(chan chunk, chunksMost),
		leaves: make(chan []byte, chunksMost), going: make(chan struct{}, chunksMost), coming: make(chan struct{}, chunksMost),
	}
	tasks.Go(s.pull)
	tasks.Go(s.push)
	return s
}

// take gives the connection its ways from now on.
func (s *shaped) take(in, out *model.Path) { s.world.Do(func() { s.in, s.out = in, out }) }

// carry does f when what is sent now has come.
func (s *shaped) carry(way func() *model.Path, f func()) {
	s.world.Do(func() {
		if w := way(); w != nil {
			w.Send(f)
		} else {
			f()
		}
	})
}

// pull reads from the peer. There is a place for each chunk in came, so that nothing waits within the world.
func (s *shaped) pull() {
	for {
		select {
		case s.coming <- struct{}{}:
		case <-s.done:
			return
		}
		b := make([]byte, 4<<10)
		n, err := s.Conn.Read(b)
		s.carry(func() *model.Path { return s.in }, func() { s.came <- chunk{b[:n], err} })
		if err != nil {
			return
		}
	}
}

func (s *shaped) push() {
	for {
		select {
		case b := <-s.leaves:
			<-s.going
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
func (s *shaped) Read(b []byte) (int, error) {
	for len(s.rest) == 0 {
		select {
		case c := <-s.came:
			<-s.coming
			if c.err != nil && len(c.bytes) == 0 {
				return 0, c.err
			}
			s.rest = c.bytes
		case <-s.done:
			return 0, io.EOF
		}
	}
	n := copy(b, s.rest)
	s.rest = s.rest[n:]
	return n, nil
}

// Write implements net.Conn: it returns when there is a place on the way.
func (s *shaped) Write(b []byte) (int, error) {
	select {
	case s.going <- struct{}{}:
	case <-s.done:
		return 0, net.ErrClosed
	}
	c := append([]byte(nil), b...)
	s.carry(func() *model.Path { return s.out }, func() { s.leaves <- c })
	return len(b), nil
}

// Close implements net.Conn. What is on the way is gone.
func (s *shaped) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.Conn.Close()
}
