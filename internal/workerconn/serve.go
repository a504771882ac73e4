package workerconn

import (
	"context"
	"errors"
	"net"
)

// ErrIdle is returned by the write function of Serve to close a connection on which nothing is in flight.
var ErrIdle = errors.New("idle or retired")

// Serve runs write and read on a connection until one of them returns or ctx is done, and then closes the connection.
// It runs write in a separate goroutine and read in the caller's; both have returned when Serve returns.
//
// Closing the connection unblocks a function that is blocked on it, so that a write without progress does not delay
// the return. Unless write returns ErrIdle, Serve discards the data that the operating system still holds for the
// connection, because the requests in it are reported as ended now and must not reach the worker later. The channel
// passed to write is closed once read has returned. Serve returns the error of write, or that of read if write
// returned nil.
func Serve(ctx context.Context, conn net.Conn, write func(readDone <-chan struct{}) error, read func() error) error {
	stopClosing := context.AfterFunc(ctx, func() { discardAndClose(conn) })
	defer stopClosing()
	writeResult := make(chan error, 1)
	readDone := make(chan struct{})
	go func() {
		err := write(readDone)
		if errors.Is(err, ErrIdle) {
			_ = conn.Close()
		}
		discardAndClose(conn) // ends the read below
		writeResult <- err
	}()
	readErr := read()
	discardAndClose(conn)
	close(readDone)
	if writeErr := <-writeResult; writeErr != nil {
		return writeErr
	}
	return readErr
}

// discardAndClose closes a connection and discards the data that the operating system still holds for it. It has no
// effect on a closed connection.
func discardAndClose(conn net.Conn) {
	DiscardOnClose(conn)
	_ = conn.Close()
}
