package httpserver

import (
	"errors"
	"net/http"

	"havencart/internal/clientconn"
)

// exchange is one request of a connection and its response. The reading goroutine makes it, the writing one completes it.
type exchange struct {
	pending  Pending // nil where the response is known at once
	response Response
	status   int  // of a response that is known at once
	close    bool // the connection is closed behind the response
	http10   bool // the client speaks HTTP/1.0, which has no chunked transfer coding
}

// handle passes the exchange's request to handler. A request that handler finds invalid has its response at once.
func (x *exchange) handle(handler Handler, request *Request) {
	var err error
	if x.pending, err = handler.Take(request); err != nil {
		x.setInvalid(http.StatusBadRequest, err.Error())
	}
}

// rejectInvalid sets the response to a request that could not be read or is invalid. It returns err itself if there is
// nobody to respond to.
func (x *exchange) rejectInvalid(err error) error {
	var invalid *requestError
	switch {
	case errors.As(err, &invalid):
		x.setInvalid(invalid.status, invalid.reason)
	case clientconn.IsTimeout(err):
		x.setInvalid(http.StatusRequestTimeout, reasonTooSlow)
	default:
		return err
	}
	return nil
}

func (x *exchange) setInvalid(status int, reason string) {
	x.status = status
	x.response = Response{Outcome: Invalid, Reason: reason}
}

// framing returns how the end of a served response's body is marked.
func (x *exchange) framing() framing {
	switch {
	case x.response.Length >= 0:
		return framingLength
	case x.http10:
		return framingUntilClose
	}
	return framingChunked
}
