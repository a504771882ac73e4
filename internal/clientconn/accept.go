package clientconn

import (
	"errors"
	"fmt"
	"net"
	"runtime"
)

// AcceptLoop passes each connection that listener accepts to admit until the listener is closed, and then returns
// nil. It calls admit synchronously, so admit must not block.
//
// After any other error of Accept, AcceptLoop continues if retry returns true, and otherwise returns the error wrapped.
// If the same error is likely to recur immediately, as when file descriptors run out, retry should sleep before it
// returns.
func AcceptLoop(listener net.Listener, admit func(net.Conn), retry func(error) bool) error {
	for {
		connection, err := listener.Accept()
		switch {
		case err == nil:
			admit(connection)
			runtime.Gosched() // connections that come without end must not keep other goroutines from running
		case errors.Is(err, net.ErrClosed):
			return nil
		case !retry(err):
			return fmt.Errorf("accept: %w", err)
		}
	}
}
