package socket

import (
	"net"
	"testing"
	"time"
)

// scriptedConn returns the next of lengths from each read as the number of bytes, limited by the buffer.
type scriptedConn struct {
	net.Conn
	lengths []int
}

func (s *scriptedConn) Read(buffer []byte) (int, error) {
	n := min(len(buffer), s.lengths[0])
	s.lengths = s.lengths[1:]
	return n, nil
}

// TestArrivalConn_ReadsFillBuffer_ArrivedAfterLastShortRead checks that ArrivedAfter of a read is the time at which the
// last read before it that did not fill the buffer left no unread data.
func TestArrivalConn_ReadsFillBuffer_ArrivedAfterLastShortRead(t *testing.T) {
	in := &ArrivalConn{Conn: &scriptedConn{lengths: []int{8, 3, 8, 8, 5, 1}}}
	var arrivedAfter []time.Time
	for range 6 {
		if _, err := in.Read(make([]byte, 8)); err != nil {
			t.Fatal(err)
		}
		arrivedAfter = append(arrivedAfter, in.ArrivedAfter())
	}
	if !arrivedAfter[0].IsZero() || !arrivedAfter[1].IsZero() {
		t.Errorf("%v, %v: want zero times, as the connection was not seen empty yet", arrivedAfter[0], arrivedAfter[1])
	}
	second := arrivedAfter[2] // the second read left no unread data, the third and the fourth may have
	if second.IsZero() || arrivedAfter[3] != second || arrivedAfter[4] != second {
		t.Errorf("%v, %v, %v: want the time of the second read for all", second, arrivedAfter[3], arrivedAfter[4])
	}
	if !arrivedAfter[5].After(second) {
		t.Errorf("%v: want a time after %v, as the fifth read left no unread data", arrivedAfter[5], second)
	}
}

// stoppedConn is a connection on which more data arrives after each read, before the reader does anything else, as if
// the process had been stopped in between.
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
		continue // the data has not arrived yet
	}
	return n, err
}

// TestArrivalConn_ProcessStopsAfterRead_ArrivalStaysUnknown checks a process that is stopped between a read and reading
// the clock. Bytes that arrived in between must not count as arrived after the clock was read.
func TestArrivalConn_ProcessStopsAfterRead_ArrivalStaysUnknown(t *testing.T) {
	local, remote := connectedPair(t)
	in := &ArrivalConn{Conn: stoppedConn{local.(*net.TCPConn), remote}}
	if _, err := remote.Write([]byte("first")); err != nil {
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
