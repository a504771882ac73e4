package clientconn

import (
	"errors"
	"net"
	"time"
)

// SetWriteTimeout gives the writes that follow on connection the time timeout from now, after which they fail. Setting
// a deadline fails only on a closed connection, where the write itself reports the error.
func SetWriteTimeout(connection net.Conn, timeout time.Duration) {
	_ = connection.SetWriteDeadline(time.Now().Add(timeout))
}

// IsTimeout reports whether err is a network error that says that a deadline has passed.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
