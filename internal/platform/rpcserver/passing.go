package rpcserver

import (
	"errors"
	"syscall"

	"havencart/internal/clientconn"
)

// isPassing tells an error of Accept that passes: descriptors run out, a client that left meanwhile, or, as accept(2)
// of Linux has it, an error of the network that belongs to the connection.
func isPassing(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
		syscall.ECONNRESET, syscall.EPERM, syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
		syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return clientconn.IsTimeout(err)
}
