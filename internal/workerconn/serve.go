package workerconn

import (
	"context"
	"errors"
	"net"
)

// ErrUnneeded is returned by a write function of Serve that ends a connection on which nothing is under way.
var ErrUnneeded = errors.New("idle or retired")

// Serve writes to a connection and reads from it until either function returns or ctx is done, and then closes the
// connection. It runs write in a goroutine of its own and read in the caller's; both have returned when Serve does.
//
// Closing the connection is what ends a function that blocks on it, so that a write that makes no progress does not delay
// the end. Unless write returns ErrUnneeded, what was written may be under way: what the operating system still holds of
// it is dropped, as its end is reported now. In addition the channel given to write is closed once read has returned. Serve returns the error of
// write, or that of read if write has none.
func Serve(ctx context.Context, conn net.Conn, write func(readDone <-chan struct{}) error, read func() error) error {
	stopClosing := context.AfterFunc(ctx, func() { discardAndClose(conn) })
	defer stopClosing()
	writeResult := make(chan error, 1)
	readDone := make(chan struct{})
	go func() {
		err := write(readDone)
		if errors.Is(err, ErrUnneeded) {
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

// discardAndClose closes a connection and drops what the operating system still holds for it. It changes nothing on a
// connection that is closed already.
func discardAndClose(conn net.Conn) {
	DiscardOnClose(conn)
	_ = conn.Close()
}
