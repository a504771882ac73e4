package faultproxy

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// bufferSize is the maximum size of one read, in bytes.
const bufferSize = 16 << 10

// copyForward forwards the data that the client sends to the target and also writes it to the tap.
func (p *Proxy) copyForward(target, client *net.TCPConn) {
	var tap io.Writer
	if p.tap != nil {
		tapped := p.tap()
		defer func() { _ = tapped.Close() }()
		tap = tapped
	}
	p.copy(target, client, p.forward, tap)
}

// maxBufferedChunks is the number of reads that are buffered in one direction. While the buffer is full, the source is
// not read.
const maxBufferedChunks = 256

// copy forwards one direction of a connection. It reads from the source even while the direction is stalled, as a
// network does that has data in flight. Once the source has reset the connection, nothing that was held back is forwarded,
// because a sender repeats what was not acknowledged only until the reset. After the source's end of file and
// the forwarding of all data, copy closes the destination's writing side. On any failure it resets both sides.
func (p *Proxy) copy(to, from *net.TCPConn, direction *gate, tap io.Writer) {
	chunks := make(chan []byte, maxBufferedChunks)
	var reading sync.WaitGroup
	var readErr error // valid once chunks is closed
	reading.Go(func() {
		defer close(chunks)
		readErr = readChunks(from, tap, chunks, p.done)
	})
	defer reading.Wait()
	for chunk := range chunks {
		if !direction.wait(p.done) || hasBeenReset(from) {
			break
		}
		if _, err := to.Write(chunk); err != nil {
			break
		}
	}
	if _, open := <-chunks; !open && isEOF(readErr) && direction.wait(p.done) {
		_ = to.CloseWrite()
		return
	}
	reset(to)
	reset(from)
	for range chunks { // unblocks the reading goroutine
	}
}

// readChunks sends the data of the source to chunks and writes it to tap, unless that is nil. It returns the error that
// ended the reading, io.EOF at the end of the data.
func readChunks(from *net.TCPConn, tap io.Writer, chunks chan<- []byte, done <-chan struct{}) error {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if tap != nil {
				_, _ = tap.Write(buffer[:n])
			}
			select {
			case chunks <- bytes.Clone(buffer[:n]):
			case <-done:
				return net.ErrClosed
			}
		}
		if err != nil {
			return err
		}
	}
}
