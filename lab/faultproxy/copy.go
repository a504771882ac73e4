package faultproxy

import (
	"bytes"
	"io"
	"net"
	"sync"
)

// bufferSize is what one read forwards at most, in bytes.
const bufferSize = 16 << 10

// copyForward forwards what who connects sends, and gives it to the tap.
func (p *Proxy) copyForward(far, near *net.TCPConn) {
	var tap io.Writer
	if p.tap != nil {
		tapped := p.tap()
		defer func() { _ = tapped.Close() }()
		tap = tapped
	}
	p.copy(far, near, p.forward, tap)
}

// maxBufferedChunks bounds what is read from one side and not forwarded yet; beyond, it is not read.
const maxBufferedChunks = 256

// copy forwards one direction of a connection. What is held back by a stall is read nevertheless, as by a network that has
// it under way. When the source ends, the destination's writing side is closed after all was forwarded; any failure
// resets both.
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
		if !direction.wait(p.done) {
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
	for range chunks { // releases the reading goroutine
	}
}

// readChunks reads until the source ends, and returns why it did.
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
