package rpcserver

import (
	"errors"
	"os"
	"syscall"
	"time"

	"havencart/internal/clientconn"
)

// acceptRetryDelay is the time between tries to accept while the system lacks descriptors or memory.
const acceptRetryDelay = 5 * time.Millisecond

// transientAcceptErrors are errors of accept(2) after which the next call may succeed: descriptors or memory ran out,
// the client disconnected meanwhile, or, as Linux has it, a network error of the connection that was to be accepted.
var transientAcceptErrors = []error{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET, syscall.EPERM,
	syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
	syscall.EOPNOTSUPP, syscall.ENETUNREACH,
}

// isTransientAcceptError reports whether accepting may go on after an error.
func isTransientAcceptError(err error) bool {
	for _, transient := range transientAcceptErrors {
		if errors.Is(err, transient) {
			return true
		}
	}
	return clientconn.IsTimeout(err)
}

// retryAccept reports whether accepting goes on after an error. If so, it has made room and paused.
func (s *Server) retryAccept(err error) bool {
	if isAcceptDeadline(err) || !isTransientAcceptError(err) {
		return false
	}
	s.evict()
	time.Sleep(acceptRetryDelay)
	return true
}

// isAcceptDeadline recognizes the end of the time that the server set for accepting during its shutdown.
func isAcceptDeadline(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
