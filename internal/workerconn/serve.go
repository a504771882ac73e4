package workerconn

import (
	"context"
	"net"
)

// Serve writes to a connection and reads from it until either function returns or ctx is done, and then closes the
// connection. It runs write in a goroutine of its own and read in the caller's; both have returned when Serve does.
//
// Closing the connection is what ends a function that blocks on it, so that a write that makes no progress does not delay
// the end. In addition the channel given to write is closed once read has returned. Serve returns the error of
// write, or that of read if write has none.
func Serve(ctx context.Context, conn net.Conn, write func(readDone <-chan struct{}) error, read func() error) error {
	stopClosing := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stopClosing()
	writeResult := make(chan error, 1)
	readDone := make(chan struct{})
	go func() {
		err := write(readDone)
		_ = conn.Close() // ends the read below
		writeResult <- err
	}()
	readErr := read()
	_ = conn.Close()
	close(readDone)
	if writeErr := <-writeResult; writeErr != nil {
		return writeErr
	}
	return readErr
}
