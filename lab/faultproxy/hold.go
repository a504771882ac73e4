package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// fillTimeout is how long a connection that fills the backlog is waited for.
const fillTimeout = 50 * time.Millisecond

// maxHoldTries is how often it is tried to fill the backlog.
const maxHoldTries = 10

// listenBacklog is the backlog of the listener while connections are not held back.
const listenBacklog = 512

// fillerIP is from where the connections come that only fill the backlog.
var fillerIP = net.IPv4(127, 0, 0, 77)

// isFiller tells whether a connection only fills the backlog.
func isFiller(conn *net.TCPConn) bool { return conn.RemoteAddr().(*net.TCPAddr).IP.Equal(fillerIP) }

// HoldConnects holds back new connections: their SYNs are dropped, so that they come up when the system sends the SYN
// again after ReleaseConnects, or time out. Connections that exist go on. Several holds may overlap: each is to be
// released.
func (p *Proxy) HoldConnects() error {
	p.holding.Lock()
	defer p.holding.Unlock()
	p.holds++
	if p.holds > 1 {
		return nil
	}
	p.accepts.close()
	if err := p.setBacklog(0); err != nil {
		return err
	}
	for range maxHoldTries {
		isAccepted, err := p.fill() // releases the accepting goroutine from its accept
		if err != nil {
			return err
		}
		if !isAccepted {
			continue // it was busy with connections that came up before
		}
		select {
		case <-p.parked:
		case <-p.done:
			return net.ErrClosed
		}
		isFull, err := p.fill() // and this one fills the backlog
		if err != nil || isFull {
			return err
		}
		p.acceptMore() // a connection that came up before has the place: it is served
	}
	return errCannotHold
}

// errCannotHold is returned if connections come up faster than the backlog can be filled.
var errCannotHold = errors.New("fault proxy: the backlog cannot be filled")

// acceptMore releases the accepting goroutine from the gate until it has accepted a connection that fills the backlog.
func (p *Proxy) acceptMore() {
	select {
	case p.more <- struct{}{}:
	case <-p.done:
	}
}

// fill makes a connection that only takes a place in the backlog. It returns false if there is none: a connection that
// came up before has it.
func (p *Proxy) fill() (filled bool, err error) {
	dialer := net.Dialer{Timeout: fillTimeout, LocalAddr: &net.TCPAddr{IP: fillerIP}}
	conn, err := dialer.Dial("tcp", p.Address())
	if isTimeout(err) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("fault proxy: fill the backlog: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fillers = append(p.fillers, conn)
	return true, nil
}

// ReleaseConnects ends HoldConnects.
func (p *Proxy) ReleaseConnects() error {
	p.holding.Lock()
	defer p.holding.Unlock()
	p.holds--
	if p.holds > 0 {
		return nil
	}
	p.mu.Lock()
	for _, conn := range p.fillers {
		_ = conn.Close()
	}
	p.fillers = nil
	p.mu.Unlock()
	err := p.setBacklog(listenBacklog)
	p.accepts.open()
	return err
}

// setBacklog changes how many connections the system completes before they are accepted.
func (p *Proxy) setBacklog(backlog int) error {
	raw, err := p.listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("fault proxy: %w", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) }); err != nil {
		return fmt.Errorf("fault proxy: %w", err)
	}
	return listenErr
}
