// Package faultproxy is a TCP proxy on loopback that stands for the network between two processes. It can hold back new
// connections as a network does that loses their first packets, stop what is under way in either direction, and reset
// connections.
package faultproxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
)

// maxNotedAccepts bounds the connections that Accepted has not told yet.
const maxNotedAccepts = 64

// Proxy forwards each connection that is made to it to its target. Its methods may be called from any goroutine.
type Proxy struct {
	target   string
	tap      Tap
	listener *net.TCPListener
	done     chan struct{}
	accepts  *gate
	forward  *gate // from who connects to the target
	backward *gate
	parked   chan struct{} // receives when the accepting goroutine waits at the closed gate
	more     chan struct{} // releases it from the gate while that stays closed
	accepted chan struct{}
	tasks    sync.WaitGroup

	holding sync.Mutex // held while connections begin or end to be held back
	holds   int

	mu          sync.Mutex
	connections map[*net.TCPConn]bool // both sides
	fillers     []net.Conn            // fill the backlog while connections are held back
	closeOnce   sync.Once
}

// Tap returns, for each connection, a writer that is given what who connects sends, as soon as it is read, and is closed at
// the connection's end. Its errors are ignored.
type Tap func() io.WriteCloser

// Start starts a proxy to a target (host:port).
func Start(target string) (*Proxy, error) { return StartWithTap(target, nil) }

// StartWithTap starts a proxy to a target (host:port) whose connections are tapped; nil taps none.
func StartWithTap(target string, tap Tap) (*Proxy, error) {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
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
		accepted:    make(chan struct{}, maxNotedAccepts),
		connections: map[*net.TCPConn]bool{},
	}
	p.tasks.Go(p.accept)
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted receives for each connection that came up, but for those that nobody received in time.
func (p *Proxy) Accepted() <-chan struct{} { return p.accepted }

// StallForward stops what who connects sends to the target, until ResumeForward; connections stay open.
func (p *Proxy) StallForward() { p.forward.close() }

// ResumeForward ends StallForward: what was held back is delivered.
func (p *Proxy) ResumeForward() { p.forward.open() }

// StallBackward stops what the target sends, until ResumeBackward; connections stay open.
func (p *Proxy) StallBackward() { p.backward.close() }

// ResumeBackward ends StallBackward: what was held back is delivered.
func (p *Proxy) ResumeBackward() { p.backward.open() }

// ResetConnections resets all connections, on both sides.
func (p *Proxy) ResetConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		reset(conn)
	}
}

// Close ends the proxy and its connections.
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

// accept forwards each connection. While connections are held back, it waits at the gate once it has accepted one that
// fills the backlog: those that came up before are served.
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
		case !p.awaitGate():
			reset(conn)
			return
		default:
			reset(conn)
		}
	}
}

// awaitGate waits until connections are accepted, and notes that it waits. It returns false once the proxy ends.
func (p *Proxy) awaitGate() bool {
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

// noteAccepted tells Accepted of a connection, unless nobody received the ones before.
func (p *Proxy) noteAccepted() {
	select {
	case p.accepted <- struct{}{}:
	default:
	}
}

// serve forwards one connection until either side ends it.
func (p *Proxy) serve(near *net.TCPConn) {
	defer p.forget(near)
	if !p.track(near) {
		return
	}
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	far := conn.(*net.TCPConn)
	defer p.forget(far)
	if !p.track(far) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { p.copyForward(far, near) })
	both.Go(func() { p.copy(near, far, p.backward, nil) })
	both.Wait()
}

// track notes a connection. It returns false once the proxy ends.
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

// forget resets a connection, unless it has ended regularly.
func (p *Proxy) forget(conn *net.TCPConn) {
	p.mu.Lock()
	delete(p.connections, conn)
	p.mu.Unlock()
	reset(conn)
}
