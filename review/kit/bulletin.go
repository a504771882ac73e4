//go:build review

package kit

import (
	"encoding/binary"
	"io"
	"net"
	"time"
)

// Bulletin is a stand-in for the platform's bulletin, which has nothing new to tell.
type Bulletin struct {
	listener net.Listener
}

// NewBulletin starts a bulletin.
func NewBulletin() (*Bulletin, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Bulletin{listener: listener}
	go b.accept()
	return b, nil
}

// Address returns where front ends connect.
func (b *Bulletin) Address() string { return b.listener.Addr().String() }

func (b *Bulletin) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		go serveBulletin(conn)
	}
}

// serveBulletin reads the number of the last event that a front end has, and sends an empty frame each second.
func serveBulletin(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var hello [8]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return
	}
	empty := binary.BigEndian.AppendUint32(nil, 9)
	empty = append(append(empty, hello[:]...), 0)
	for {
		if _, err := conn.Write(empty); err != nil {
			return
		}
		time.Sleep(time.Second)
	}
}
