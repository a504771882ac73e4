package rpcserver

import (
	"errors"
	"os"
	"syscall"
	"time"

	"havencart/internal/clientconn"
)

// acceptRetryDelay is the delay before the next call of Accept after a transient error.
const acceptRetryDelay = 5 * time.Millisecond

// transientAcceptErrors are errors of accept(2) after which the next call may succeed: the process or the system ran
// out of descriptors or memory, the client disconnected before its connection was accepted, or the connection had a
// network error, which Linux returns from accept.
var transientAcceptErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPERM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// isTransientAcceptError reports whether the server may continue to accept connections after err.
func isTransientAcceptError(err error) bool {
	for _, transient := range transientAcceptErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return clientconn.IsTimeout(err)
}

// retryAccept reports whether the server should call Accept again after err. Before it returns true, it tries to evict
// an idle connection, which frees a descriptor, and waits for acceptRetryDelay.
func (s *Server) retryAccept(err error) bool {
	if isAcceptDeadline(err) || !isTransientAcceptError(err) {
		return false
	}
	s.evict()
	time.Sleep(acceptRetryDelay)
	return true
}

// isAcceptDeadline reports whether err is the expiry of the accept deadline that endAccepting sets during a shutdown.
func isAcceptDeadline(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
