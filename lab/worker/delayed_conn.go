package worker

import (
	"io"
	"net"
	"sync"

	"havencart/lab/model"
)

// maxChunks bounds what is under way on one connection in each direction; beyond, reading and writing block.
const maxChunks = 1024

// chunkBytes is the most that is read at a time.
const chunkBytes = 4 << 10

// delayedConn is a connection whose bytes travel over the paths of a model.Network once it has them.
type delayedConn struct {
	net.Conn
	clock   *model.RealClock
	out, in *model.Path // accessed within the clock; nil before setPaths
	done    chan struct{}
	once    sync.Once // closes done

	received  chan chunk  // from the peer, in order
	departing chan []byte // to the peer, in order
	unread    []byte      // of the last chunk; the reader's alone

	// One slot for each chunk under way, so that nothing blocks within the clock.
	outgoingSlots chan struct{}
	incomingSlots chan struct{}
}

// chunk is what one read returned.
type chunk struct {
	bytes []byte
	err   error
}

// newDelayedConn wraps a connection. Its two goroutines end with it.
func newDelayedConn(c net.Conn, clock *model.RealClock, tasks *sync.WaitGroup) *delayedConn {
	d := &delayedConn{
		Conn:          c,
		clock:         clock,
		done:          make(chan struct{}),
		received:      make(chan chunk, maxChunks),
		departing:     make(chan []byte, maxChunks),
		outgoingSlots: make(chan struct{}, maxChunks),
		incomingSlots: make(chan struct{}, maxChunks),
	}
	tasks.Go(d.readLoop)
	tasks.Go(d.writeLoop)
	return d
}

// setPaths gives the connection its paths from now on.
func (d *delayedConn) setPaths(in, out *model.Path) {
	d.clock.Do(func() { d.in, d.out = in, out })
}

// send calls deliver when what is sent now over a path is received; at once where there is no path yet. path is called
// within the clock.
func (d *delayedConn) send(path func() *model.Path, deliver func()) {
	d.clock.Do(func() {
		if p := path(); p != nil {
			p.Send(deliver)
			return
		}
		deliver()
	})
}

// readLoop reads from the peer.
func (d *delayedConn) readLoop() {
	for {
		select {
		case d.incomingSlots <- struct{}{}:
		case <-d.done:
			return
		}
		b := make([]byte, chunkBytes)
		n, err := d.Conn.Read(b)
		d.send(func() *model.Path { return d.in }, func() { d.received <- chunk{b[:n], err} })
		if err != nil {
			return
		}
	}
}

// writeLoop writes to the peer.
func (d *delayedConn) writeLoop() {
	for {
		select {
		case b := <-d.departing:
			<-d.outgoingSlots
			if _, err := d.Conn.Write(b); err != nil {
				_ = d.Close()
				return
			}
		case <-d.done:
			return
		}
	}
}

// Read implements net.Conn.
func (d *delayedConn) Read(b []byte) (int, error) {
	for len(d.unread) == 0 {
		select {
		case c := <-d.received:
			<-d.incomingSlots
			if c.err != nil && len(c.bytes) == 0 {
				return 0, c.err
			}
			d.unread = c.bytes
		case <-d.done:
			return 0, io.EOF
		}
	}
	n := copy(b, d.unread)
	d.unread = d.unread[n:]
	return n, nil
}

// Write implements net.Conn: it returns when there is a slot for the bytes on their way.
func (d *delayedConn) Write(b []byte) (int, error) {
	select {
	case d.outgoingSlots <- struct{}{}:
	case <-d.done:
		return 0, net.ErrClosed
	}
	c := append([]byte(nil), b...)
	d.send(func() *model.Path { return d.out }, func() { d.departing <- c })
	return len(b), nil
}

// Close implements net.Conn. What is under way is lost.
func (d *delayedConn) Close() error {
	d.once.Do(func() { close(d.done) })
	return d.Conn.Close()
}
