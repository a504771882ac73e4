package clientconn

import (
	"errors"
	"net"
	"time"
)

// SetWriteTimeout makes the following writes on connection fail once timeout has passed from now. Setting a deadline
// fails only on a closed connection, where the write itself reports the error.
func SetWriteTimeout(connection net.Conn, timeout time.Duration) {
	_ = connection.SetWriteDeadline(time.Now().Add(timeout))
}

// IsTimeout reports whether err is, or wraps, a network error caused by a deadline that has passed.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
