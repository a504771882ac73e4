package workerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// readAll returns a read function for Serve that reads until the connection ends.
func readAll(conn net.Conn) func() error {
	return func() error {
		_, err := io.Copy(io.Discard, conn)
		return err
	}
}

func TestServe_WriteFails_ClosesConnectionAndReturnsItsError(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	writeErr := errors.New("write failed")
	err := Serve(context.Background(), local, func(<-chan struct{}) error { return writeErr }, readAll(local))
	if !errors.Is(err, writeErr) {
		t.Errorf("error %v, want that of write", err)
	}
	if _, err := remote.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read from the closed connection: error %v, want io.EOF", err)
	}
}

func TestServe_ReadFails_EndsWriteAndReturnsItsError(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	readErr := errors.New("read failed")
	write := func(readDone <-chan struct{}) error {
		<-readDone
		return nil
	}
	if err := Serve(context.Background(), local, write, func() error { return readErr }); !errors.Is(err, readErr) {
		t.Errorf("error %v, want that of read", err)
	}
}

func TestServe_ContextDone_EndsBlockedWriteAndRead(t *testing.T) {
	local, remote := net.Pipe() // nobody reads
	defer func() { _ = remote.Close() }()
	ctx, cancel := context.WithCancel(context.Background())
	write := func(<-chan struct{}) error {
		cancel()
		_, err := local.Write([]byte("x"))
		return err
	}
	if err := Serve(ctx, local, write, readAll(local)); !errors.Is(err, io.ErrClosedPipe) {
		t.Errorf("error %v, want io.ErrClosedPipe", err)
	}
}

func TestSignal_NotifiedTwice_WakesUpOnce(t *testing.T) {
	signal := NewSignal()
	signal.Notify()
	signal.Notify()
	<-signal
	select {
	case <-signal:
		t.Error("two notifications caused two wake-ups")
	default:
	}
}
