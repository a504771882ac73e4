//go:build review

package main

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"havencart/internal/platform/endpointstream"
)

// bulletin is a stand-in of the platform's bulletin. It sends the later events on each connection, and an empty frame
// each second.
type bulletin struct {
	address string

	mu       sync.Mutex
	listener net.Listener // nil while it is down
	events   []endpointstream.Event
	conns    map[net.Conn]uint64 // number of the last event sent
}

func startBulletin() (*bulletin, error) {
	b := &bulletin{conns: map[net.Conn]uint64{}}
	if err := b.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	b.address = b.listener.Addr().String()
	return b, nil
}

func (b *bulletin) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	b.listener = listener
	b.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return nil
}

func (b *bulletin) serve(conn net.Conn) {
	last, err := endpointstream.ReadHello(conn)
	if err != nil {
		_ = conn.Close()
		return
	}
	b.mu.Lock()
	if b.listener == nil {
		b.mu.Unlock()
		_ = conn.Close()
		return
	}
	b.conns[conn] = last
	b.sendLocked()
	b.mu.Unlock()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for range ticker.C {
		b.mu.Lock()
		sent, open := b.conns[conn]
		if open {
			empty := endpointstream.Event{Number: sent, Kind: endpointstream.NoChange}
			_, _ = conn.Write(endpointstream.AppendEvent(nil, empty))
		}
		b.mu.Unlock()
		if !open {
			return
		}
	}
}

// sendLocked sends each connection the events that it does not have.
func (b *bulletin) sendLocked() {
	for conn, last := range b.conns {
		for _, event := range b.events {
			if event.Number > last {
				_, _ = conn.Write(endpointstream.AppendEvent(nil, event))
				b.conns[conn] = event.Number
			}
		}
	}
}

// publish adds an event.
func (b *bulletin) publish(event endpointstream.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, event)
	b.sendLocked()
}

// breakOff closes the listener and all connections: the bulletin is down.
func (b *bulletin) breakOff() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listener != nil {
		_ = b.listener.Close()
		b.listener = nil
	}
	for conn := range b.conns {
		_ = conn.Close()
		delete(b.conns, conn)
	}
}

// restore ends an outage.
func (b *bulletin) restore() error { return b.listen(b.address) }

// entry returns the bulletin's record of an executor.
func entry(id uint32, address string, state endpointstream.State, born int64) endpointstream.Entry {
	return endpointstream.Entry{ID: id, Address: netip.MustParseAddrPort(address), State: state, Weight: 1, StartedUnixMilli: born}
}
