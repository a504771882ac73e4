package worker

import (
	"io"
	"net"
	"sync"

	"havencart/lab/model"
)

// maxChunks is the maximum number of chunks in flight on a connection in each direction. Beyond it, reads and writes
// block.
const maxChunks = 1024

// chunkBytes is the maximum number of bytes that one read from the peer returns.
const chunkBytes = 4 << 10

// delayedConn is a connection whose bytes are delayed by the paths of a model.Network, from the call of setPaths on.
type delayedConn struct {
	net.Conn
	clock           *model.RealClock
	outPath, inPath *model.Path // accessed only within the clock; nil before setPaths
	done            chan struct{}
	closeOnce       sync.Once // closes done

	inbound  chan chunk  // chunks from the peer, in order
	outbound chan []byte // chunks to the peer, in order
	unread   []byte      // unread part of the last chunk; accessed only by Read

	// Each chunk in flight holds one slot, so that sending to the channels never blocks within the clock.
	outboundSlots chan struct{}
	inboundSlots  chan struct{}
}

// chunk is the result of one read from the peer.
type chunk struct {
	bytes []byte
	err   error
}

// newDelayedConn wraps a connection. It starts two goroutines, which end when the connection is closed.
func newDelayedConn(c net.Conn, clock *model.RealClock, tasks *sync.WaitGroup) *delayedConn {
	d := &delayedConn{
		Conn:          c,
		clock:         clock,
		done:          make(chan struct{}),
		inbound:       make(chan chunk, maxChunks),
		outbound:      make(chan []byte, maxChunks),
		outboundSlots: make(chan struct{}, maxChunks),
		inboundSlots:  make(chan struct{}, maxChunks),
	}
	tasks.Go(d.readLoop)
	tasks.Go(d.writeLoop)
	return d
}

// setPaths sets the paths over which bytes are sent and received from now on.
func (d *delayedConn) setPaths(in, out *model.Path) {
	d.clock.Do(func() { d.inPath, d.outPath = in, out })
}

// send calls deliver when a message that is sent now would arrive at the other end of a path, or at once if there is no
// path yet. path is called within the clock.
func (d *delayedConn) send(path func() *model.Path, deliver func()) {
	d.clock.Do(func() {
		if p := path(); p != nil {
			p.Send(deliver)
			return
		}
		deliver()
	})
}

// readLoop reads chunks from the peer and sends them over the inbound path.
func (d *delayedConn) readLoop() {
	for {
		select {
		case d.inboundSlots <- struct{}{}:
		case <-d.done:
			return
		}
		b := make([]byte, chunkBytes)
		n, err := d.Conn.Read(b)
		d.send(func() *model.Path { return d.inPath }, func() { d.inbound <- chunk{b[:n], err} })
		if err != nil {
			return
		}
	}
}

// writeLoop writes the chunks that left the outbound path to the peer.
func (d *delayedConn) writeLoop() {
	for {
		select {
		case b := <-d.outbound:
			<-d.outboundSlots
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
		case c := <-d.inbound:
			<-d.inboundSlots
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

// Write implements net.Conn. It blocks while no outbound slot is free.
func (d *delayedConn) Write(b []byte) (int, error) {
	select {
	case d.outboundSlots <- struct{}{}:
	case <-d.done:
		return 0, net.ErrClosed
	}
	c := append([]byte(nil), b...)
	d.send(func() *model.Path { return d.outPath }, func() { d.outbound <- c })
	return len(b), nil
}

// Close implements net.Conn. Bytes in flight are lost.
func (d *delayedConn) Close() error {
	d.closeOnce.Do(func() { close(d.done) })
	return d.Conn.Close()
}
