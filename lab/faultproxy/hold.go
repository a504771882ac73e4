package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"
)

// fillTimeout is the time within which a filler connection must be established; if it is not, the backlog is full.
const fillTimeout = 50 * time.Millisecond

// maxHoldAttempts is the number of attempts to fill the backlog.
const maxHoldAttempts = 10

// listenBacklog is the backlog of the listener while connections are not held back.
const listenBacklog = 512

// fillerIP is the source address of filler connections, by which the accepting goroutine recognizes them.
var fillerIP = net.IPv4(127, 0, 0, 77)

// isFiller reports whether a connection is a filler, which only takes a place in the backlog.
func isFiller(conn *net.TCPConn) bool { return conn.RemoteAddr().(*net.TCPAddr).IP.Equal(fillerIP) }

// HoldConnects holds back new connections. It fills the listener's backlog, so that the system drops further SYNs; a
// connection is established when its SYN is sent again after ReleaseConnects, or it times out. Existing connections are
// not affected. Holds may overlap: connections are held back until each HoldConnects has its ReleaseConnects.
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
	for range maxHoldAttempts {
		isEstablished, err := p.fill() // makes the accepting goroutine return from its accept
		if err != nil {
			return err
		}
		if !isEstablished {
			continue // the accepting goroutine was busy with connections that were established earlier
		}
		select {
		case <-p.parked:
		case <-p.done:
			return net.ErrClosed
		}
		isFull, err := p.fill() // takes the only place in the backlog
		if err != nil || isFull {
			return err
		}
		p.acceptMore() // lets a connection be served that was established earlier and has the place
	}
	return errCannotHold
}

// errCannotHold is returned if connections are established faster than the backlog can be filled.
var errCannotHold = errors.New("fault proxy: cannot fill the backlog")

// acceptMore lets the accepting goroutine pass the closed gate once. It waits there again after it has accepted another
// filler.
func (p *Proxy) acceptMore() {
	select {
	case p.more <- struct{}{}:
	case <-p.done:
	}
}

// fill opens a filler connection. It returns false if the connection is not established within fillTimeout, because
// other connections fill the backlog.
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

// ReleaseConnects ends one HoldConnects. With the last one, new connections are accepted again.
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

// setBacklog changes the listener's backlog, the number of established connections that may wait to be accepted.
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
