package httpserver

import (
	"errors"
	"net/http"

	"havencart/internal/clientconn"
)

// pipelinedRequest is a request on a connection together with its response. The reading goroutine creates it; the
// writing goroutine waits for the response and sends it.
type pipelinedRequest struct {
	pending    Pending // nil if the response was set when the request was read
	response   Response
	status     int  // status code of response
	closeAfter bool // the connection is closed after the response
	http10     bool // the client uses HTTP/1.0, which has no chunked transfer coding
}

// handle passes the request to handler. If handler reports that the request is invalid, handle sets the response.
func (p *pipelinedRequest) handle(handler Handler, request *Request) {
	var err error
	if p.pending, err = handler.Handle(request); err != nil {
		p.setInvalid(http.StatusBadRequest, err.Error())
	}
}

// rejectInvalid sets the response to a request that is invalid or could not be read in time. For any other error, such
// as a disconnect, no response can be sent, and rejectInvalid returns err.
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

// framing returns how the end of the body of a served response is marked.
func (p *pipelinedRequest) framing() framing {
	switch {
	case p.response.Length >= 0:
		return framingLength
	case p.http10:
		return framingUntilClose
	}
	return framingChunked
}
