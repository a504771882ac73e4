package socket

import (
	"net"
	"testing"
	"time"
)

// scriptedConn returns so many bytes from each read.
type scriptedConn struct {
	net.Conn
	lengths []int
}

func (s *scriptedConn) Read(buffer []byte) (int, error) {
	n := min(len(buffer), s.lengths[0])
	s.lengths = s.lengths[1:]
	return n, nil
}

// A read tells when its bytes cannot have been there yet: not before the last one that left nothing behind.
func TestArrivalConn_ReadsThatFillTheBuffer_ArrivedAfterTheLastThatDidNot(t *testing.T) {
	in := &ArrivalConn{Conn: &scriptedConn{lengths: []int{8, 3, 8, 8, 5, 1}}}
	var arrivedAfter []time.Time
	for range 6 {
		if _, err := in.Read(make([]byte, 8)); err != nil {
			t.Fatal(err)
		}
		arrivedAfter = append(arrivedAfter, in.ArrivedAfter())
	}
	if !arrivedAfter[0].IsZero() || !arrivedAfter[1].IsZero() {
		t.Errorf("%v, %v: nothing was seen empty yet", arrivedAfter[0], arrivedAfter[1])
	}
	second := arrivedAfter[2] // the second read left nothing behind, the third and the fourth may have
	if second.IsZero() || arrivedAfter[3] != second || arrivedAfter[4] != second {
		t.Errorf("%v, %v, %v: want the end of the second read", second, arrivedAfter[3], arrivedAfter[4])
	}
	if !arrivedAfter[5].After(second) {
		t.Errorf("%v after %v: the fifth read left nothing behind", arrivedAfter[5], second)
	}
}

// stoppedConn is a connection on which more arrives after each read, before its reader does anything else: its process was
// stopped in between.
type stoppedConn struct {
	*net.TCPConn
	peer net.Conn
}

func (c stoppedConn) Read(buffer []byte) (int, error) {
	n, err := c.TCPConn.Read(buffer)
	if _, err := c.peer.Write([]byte("more")); err != nil {
		return n, err
	}
	for !HasUnread(c.TCPConn) {
		continue // until it has arrived
	}
	return n, err
}

// What arrived before the clock was read is not taken for later, however the read and the clock are apart.
func TestArrivalConn_StoppedAfterRead_DoesNotCountFromResume(t *testing.T) {
	ours, theirs := connectedPair(t)
	in := &ArrivalConn{Conn: stoppedConn{ours.(*net.TCPConn), theirs}}
	if _, err := theirs.Write([]byte("first")); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := in.Read(make([]byte, 64)); err != nil {
			t.Fatal(err)
		}
	}
	if !in.ArrivedAfter().IsZero() {
		t.Errorf("arrived after %v, but the connection was never seen empty", in.ArrivedAfter())
	}
}
