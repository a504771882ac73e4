//go:build review

package kit

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// Path is the network path to one executor, which can be cut. While it is cut, open connections stay open and silent in
// both directions and new ones never come up. After it is healed, what the sender still holds is delivered; what it has
// discarded by a reset is not.
type Path struct {
	listener *net.TCPListener

	mu     sync.Mutex
	cut    bool
	healed chan struct{} // closed when the path is not cut
	paused chan struct{} // closed by the accepting goroutine once it has stopped accepting
	filler net.Conn
}

// NewPath listens at a free port of address and passes connections to handle.
func NewPath(address string, handle func(*Conn)) (*Path, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp4", address+":0")
	if err != nil {
		return nil, err
	}
	p := &Path{listener: listener.(*net.TCPListener), healed: make(chan struct{})}
	close(p.healed)
	go p.accept(handle)
	return p, nil
}

// Address returns where the path begins.
func (p *Path) Address() string { return p.listener.Addr().String() }

func (p *Path) accept(handle func(*Conn)) {
	for {
		p.mu.Lock()
		cut, healed, paused := p.cut, p.healed, p.paused
		p.mu.Unlock()
		if cut {
			close(paused)
			<-healed
			continue
		}
		_ = p.listener.SetDeadline(time.Now().Add(5 * time.Millisecond))
		conn, err := p.listener.AcceptTCP()
		if err != nil {
			if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
				continue
			}
			return
		}
		go handle(&Conn{TCPConn: conn, path: p})
	}
}

func (p *Path) backlog(length int) {
	raw, err := p.listener.SyscallConn()
	if err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), length) })
	}
}

// Cut cuts the path.
func (p *Path) Cut() {
	p.mu.Lock()
	if p.cut {
		p.mu.Unlock()
		return
	}
	p.cut, p.healed, p.paused = true, make(chan struct{}), make(chan struct{})
	paused := p.paused
	p.mu.Unlock()
	<-paused
	p.backlog(0) // with a full queue of connections to accept, no further one comes up
	p.filler, _ = net.DialTimeout("tcp4", p.Address(), 20*time.Millisecond)
}

// Heal ends the cut.
func (p *Path) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cut {
		return
	}
	p.cut = false
	p.backlog(4096)
	if p.filler != nil {
		_ = p.filler.Close()
	}
	close(p.healed)
}

// wait blocks while the path is cut. It reports whether it was.
func (p *Path) wait() bool {
	p.mu.Lock()
	cut, healed := p.cut, p.healed
	p.mu.Unlock()
	<-healed
	return cut
}

// Conn is the executor's end of a connection on a Path.
type Conn struct {
	*net.TCPConn
	path *Path
}

// Read reads what comes through. If the front end has reset the connection while the path was cut, nothing does.
func (c *Conn) Read(buf []byte) (int, error) {
	n, err := c.TCPConn.Read(buf)
	if c.path.wait() && c.wasReset() {
		_ = c.Close()
		return 0, syscall.ECONNRESET
	}
	return n, err
}

// Write writes once the path is not cut.
func (c *Conn) Write(buf []byte) (int, error) {
	c.path.wait()
	return c.TCPConn.Write(buf)
}

// wasReset reports whether the connection has ended by a reset.
func (c *Conn) wasReset() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	const stateClosed = 7 // of tcp_info
	state := 0
	if err := raw.Control(func(fd uintptr) {
		var info [8]byte
		state = tcpState(int(fd), info[:])
	}); err != nil {
		return true
	}
	return state == stateClosed
}
