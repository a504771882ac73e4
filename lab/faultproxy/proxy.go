// Package faultproxy provides a TCP proxy on loopback that injects network faults between two processes. It can hold
// back new connections, as a network does that loses their SYNs, stall the data of either direction, and reset
// connections.
package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// acceptedBuffer is the number of accepted connections that the channel of Accepted buffers.
const acceptedBuffer = 64

// Proxy forwards every connection from a client to its target. It is safe for concurrent use.
type Proxy struct {
	target   string
	tap      Tap
	listener *net.TCPListener
	done     chan struct{}
	accepts  *gate         // closed while new connections are held back
	forward  *gate         // closed while data from clients to the target is stalled
	backward *gate         // closed while data from the target to clients is stalled
	parked   chan struct{} // signals that the accepting goroutine waits at the closed accepts gate
	more     chan struct{} // lets the accepting goroutine pass the accepts gate while the gate stays closed
	accepted chan struct{} // channel that Accepted returns
	tasks    sync.WaitGroup

	holding sync.Mutex // serializes HoldConnects and ReleaseConnects
	holds   int        // number of HoldConnects without a ReleaseConnects

	mu          sync.Mutex
	connections map[*net.TCPConn]bool // open connections to clients and to the target
	fillers     []net.Conn            // fill the backlog while new connections are held back
	closeOnce   sync.Once
}

// Tap is called for each connection and returns a writer. The proxy writes the client's data to it as soon as it has
// read them, and closes the writer at the end of the connection. Errors of the writer are ignored.
type Tap func() io.WriteCloser

// Start starts a proxy to a target, given as host:port.
func Start(target string) (*Proxy, error) { return StartWithTap(target, nil) }

// StartWithTap starts a proxy to a target, given as host:port, and taps its connections unless tap is nil.
func StartWithTap(target string, tap Tap) (*Proxy, error) {
	return StartAt(anyPort, target, tap)
}

// anyPort is an address on loopback with a port that the operating system chooses.
const anyPort = "127.0.0.1:0"

// StartAt is like StartWithTap for a proxy that listens at the given address, such as that of a proxy that was closed.
func StartAt(address, target string, tap Tap) (*Proxy, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	listener, err := net.ListenTCP("tcp", resolved)
	if err != nil {
		return nil, fmt.Errorf("fault proxy: %w", err)
	}
	p := &Proxy{
		target:      target,
		tap:         tap,
		listener:    listener,
		done:        make(chan struct{}),
		accepts:     newOpenGate(),
		forward:     newOpenGate(),
		backward:    newOpenGate(),
		parked:      make(chan struct{}, 1),
		more:        make(chan struct{}),
		accepted:    make(chan struct{}, acceptedBuffer),
		connections: map[*net.TCPConn]bool{},
	}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address returns the address at which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted returns a channel that receives a value for each accepted connection. Values are dropped while the channel's
// buffer is full.
func (p *Proxy) Accepted() <-chan struct{} { return p.accepted }

// StallForward holds back the data that clients send to the target until ResumeForward. Connections stay open.
func (p *Proxy) StallForward() { p.forward.close() }

// ResumeForward ends StallForward and delivers the data that was held back.
func (p *Proxy) ResumeForward() { p.forward.open() }

// StallBackward holds back the data that the target sends to clients until ResumeBackward. Connections stay open.
func (p *Proxy) StallBackward() { p.backward.close() }

// ResumeBackward ends StallBackward and delivers the data that was held back.
func (p *Proxy) ResumeBackward() { p.backward.open() }

// ResetConnections resets all connections, both to clients and to the target.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		reset(conn)
	}
}

// Close stops the proxy, resets its connections and waits for its goroutines.
func (p *Proxy) Close() {
	p.closeOnce.Do(func() {
		close(p.done)
		_ = p.listener.Close()
		p.ResetConnections()
		p.mu.Lock()
		for _, conn := range p.fillers {
			_ = conn.Close()
		}
		p.mu.Unlock()
	})
	p.tasks.Wait()
}

// accept serves each connection, and resets fillers. Once it has accepted a filler while connections are held back, it
// waits at the accepts gate; connections that were established before the filler are served.
func (p *Proxy) accept() {
	for {
		conn, err := p.listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			continue
		case !isFiller(conn):
			p.noteAccepted()
			p.tasks.Go(func() { p.serve(conn) })
		case !p.awaitAccepts():
			reset(conn)
			return
		default:
			reset(conn)
		}
	}
}

// awaitAccepts waits until the accepts gate is open or acceptMore is called, and signals on parked that it waits. It
// returns false if the proxy is closed first.
func (p *Proxy) awaitAccepts() bool {
	opened := p.accepts.whenOpen()
	select {
	case <-opened:
		return true
	default:
	}
	select {
	case p.parked <- struct{}{}:
	default:
	}
	select {
	case <-opened:
		return true
	case <-p.more:
		return true
	case <-p.done:
		return false
	}
}

// noteAccepted sends a value to the channel of Accepted, unless its buffer is full.
func (p *Proxy) noteAccepted() {
	select {
	case p.accepted <- struct{}{}:
	default:
	}
}

// serve forwards one connection until both directions have ended or either has failed.
func (p *Proxy) serve(client *net.TCPConn) {
	defer p.forget(client)
	if !p.track(client) {
		return
	}
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	target := conn.(*net.TCPConn)
	defer p.forget(target)
	if !p.track(target) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copyForward(target, client) })
	both.Go(func() { p.copy(client, target, p.backward, nil) })
	both.Wait()
}

// track registers a connection for ResetConnections. It returns false if the proxy is closed.
func (p *Proxy) track(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return false
	default:
	}
	p.connections[conn] = true
	return true
}

// forget unregisters a connection and closes it, with a reset unless both directions have ended.
func (p *Proxy) forget(conn *net.TCPConn) {
	p.mu.Lock()
	delete(p.connections, conn)
	p.mu.Unlock()
	reset(conn)
}
