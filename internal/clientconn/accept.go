package clientconn

import (
	"errors"
	"fmt"
	"net"
)

// AcceptLoop passes each connection of listener to admit until the listener is closed, and then returns nil. It runs in
// the caller's goroutine, so admit must not block.
//
// After another error of Accept it goes on if retry reports true, and otherwise returns that error wrapped. A retry that
// expects the same error again at once, as when file descriptors run out, sleeps before it returns.
func AcceptLoop(listener net.Listener, admit func(net.Conn), retry func(error) bool) error {
	for {
		connection, err := listener.Accept()
		switch {
		case err == nil:
			admit(connection)
		case errors.Is(err, net.ErrClosed):
			return nil
		case !retry(err):
			return fmt.Errorf("accept: %w", err)
		}
	}
}
