package httpserver

import (
	"errors"
	"net/http"

	"havencart/internal/clientconn"
)

// pipelinedRequest is one request of a connection and its response. The reading goroutine makes it, the writing one
// completes it.
type pipelinedRequest struct {
	pending  Pending // nil where the response is known at once
	response Response
	status   int  // of a response that is known at once
	close    bool // the connection is closed behind the response
	http10   bool // the client speaks HTTP/1.0, which has no chunked transfer coding
}

// handle passes the request to handler. A request that handler finds invalid has its response at once.
func (p *pipelinedRequest) handle(handler Handler, request *Request) {
	var err error
	if p.pending, err = handler.Handle(request); err != nil {
		p.setInvalid(http.StatusBadRequest, err.Error())
	}
}

// rejectInvalid sets the response to a request that could not be read or is invalid. It returns err itself if there is
// nobody to respond to.
func (p *pipelinedRequest) rejectInvalid(err error) error {
	var invalid *requestError
	switch {
	case errors.As(err, &invalid):
		p.setInvalid(invalid.status, invalid.reason)
	case clientconn.IsTimeout(err):
		p.setInvalid(http.StatusRequestTimeout, reasonTooSlow)
	default:
		return err
	}
	return nil
}

func (p *pipelinedRequest) setInvalid(status int, reason string) {
	p.status = status
	p.response = Response{Outcome: Invalid, Reason: reason}
}

// framing returns how the end of a served response's body is marked.
func (p *pipelinedRequest) framing() framing {
	switch {
	case p.response.Length >= 0:
		return framingLength
	case p.http10:
		return framingUntilClose
	}
	return framingChunked
}
