//go:build review

package kit

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// States of an executor in the bulletin.
const (
	Ready = iota
	Draining
	Gone
)

// Entry is an executor in the bulletin.
type Entry struct {
	Executor *Executor
	State    int
	BornMs   int64
}

// Bulletin is a stand-in for the platform's bulletin.
type Bulletin struct {
	listener net.Listener

	mu      sync.Mutex
	events  [][]byte // frames of the events from number first on
	first   uint64
	changed chan struct{}
	conns   map[net.Conn]bool
	closed  bool
	silent  bool
}

// NewBulletin starts a bulletin whose last event is number last.
func NewBulletin(last uint64) (*Bulletin, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Bulletin{listener: listener, first: last + 1, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go b.accept()
	return b, nil
}

// Address returns where front ends connect.
func (b *Bulletin) Address() string { return b.listener.Addr().String() }

// Tell adds an event with changes. It returns its number.
func (b *Bulletin) Tell(entries ...Entry) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	number := b.first + uint64(len(b.events))
	buf := binary.BigEndian.AppendUint32(nil, uint32(9+27*len(entries)))
	buf = binary.BigEndian.AppendUint64(buf, number)
	buf = append(buf, 2)
	for _, entry := range entries {
		address := entry.Executor.AddrPort()
		ip := address.Addr().As4()
		buf = binary.BigEndian.AppendUint32(buf, entry.Executor.ID)
		buf = append(buf, ip[:]...)
		buf = binary.BigEndian.AppendUint16(buf, address.Port())
		buf = append(buf, byte(entry.State), byte(entry.Executor.Zone), 0)
		buf = binary.BigEndian.AppendUint16(buf, uint16(entry.Executor.Cell))
		buf = binary.BigEndian.AppendUint32(buf, 1000)
		buf = binary.BigEndian.AppendUint64(buf, uint64(entry.BornMs))
	}
	b.events = append(b.events, buf)
	close(b.changed)
	b.changed = make(chan struct{})
	return number
}

// Close ends the bulletin and its connections.
func (b *Bulletin) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for conn := range b.conns {
		_ = conn.Close()
	}
}

func (b *Bulletin) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(conn)
	}
}

func (b *Bulletin) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	b.mu.Lock()
	if b.closed {
		b.mu.Unlock()
		return
	}
	b.conns[conn] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	var hello [8]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return
	}
	last := binary.BigEndian.Uint64(hello[:])
	for {
		b.mu.Lock()
		var out []byte
		was := last
		for next := max(last+1, b.first); next < b.first+uint64(len(b.events)); next++ {
			out = append(out, b.events[next-b.first]...)
			last = next
		}
		changed := b.changed
		silent := b.silent
		b.mu.Unlock()
		if silent {
			last = was
			time.Sleep(50 * time.Millisecond)
			continue
		}
		if out == nil { // nothing new
			out = binary.BigEndian.AppendUint32(nil, 9)
			out = binary.BigEndian.AppendUint64(out, last)
			out = append(out, 0)
		}
		if _, err := conn.Write(out); err != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		}
	}
}

// SetSilent makes the bulletin say nothing, on open and on new connections, or ends that.
func (b *Bulletin) SetSilent(silent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = silent
}

// Break closes the open connections.
func (b *Bulletin) Break() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for conn := range b.conns {
		_ = conn.Close()
	}
}

// Last returns the number of the last event.
func (b *Bulletin) Last() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.first + uint64(len(b.events)) - 1
}

// Move returns a bulletin at another address that goes on with the numbers. This one takes no new connection and tells
// nothing more.
func (b *Bulletin) Move() (*Bulletin, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	_ = b.listener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	moved := &Bulletin{
		listener: listener, first: b.first, events: append([][]byte(nil), b.events...), changed: make(chan struct{}),
		conns: map[net.Conn]bool{},
	}
	b.silent = true
	go moved.accept()
	return moved, nil
}
