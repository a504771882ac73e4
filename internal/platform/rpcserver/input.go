package rpcserver

import (
	"net"
	"time"
)

// input reads a connection and notes when it was last seen without anything to read. Its reading goroutine owns it.
type input struct {
	net.Conn
	// arrivedAfter is when nothing was left to read before the last read: what that returned arrived later. The zero time
	// where that was never seen.
	arrivedAfter time.Time
	emptyAt      time.Time // the same for the next read
}

// Read implements io.Reader. A read that does not fill the buffer leaves nothing behind.
func (i *input) Read(buffer []byte) (int, error) {
	i.arrivedAfter = i.emptyAt
	n, err := i.Conn.Read(buffer)
	if n < len(buffer) {
		i.emptyAt = time.Now()
	}
	return n, err
}
