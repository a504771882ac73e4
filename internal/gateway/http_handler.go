package gateway

import "havencart/internal/native/httpserver"

// httpHandler implements httpserver.Handler. It submits the requests of one client connection to one event loop, and is
// called from the connection's goroutine.
type httpHandler struct {
	loop    *EventLoop
	catalog *Catalog
}

// pendingRequest implements httpserver.Pending. It is a request that was submitted to an event loop.
type pendingRequest struct {
	loop    *EventLoop
	request *Request
}

// Handle implements httpserver.Handler. Its errors are those of Catalog.Resolve.
func (h httpHandler) Handle(received *httpserver.Request) (httpserver.Pending, error) {
	request := NewRequest()
	request.ID = received.ID
	request.IdempotencyKey = received.IdempotencyKey
	request.Body = received.Body
	request.WorkEstimate = received.WorkEstimate
	request.StartedAt = received.ReceivedAt.Sub(h.loop.cfg.ClockStart)
	if err := h.catalog.Resolve(received, request); err != nil {
		return nil, err
	}
	h.loop.Submit(request)
	return pendingRequest{h.loop, request}, nil
}

// Wait implements httpserver.Pending: it waits for the final response, or until disconnected is closed.
func (p pendingRequest) Wait(disconnected <-chan struct{}) (httpserver.Response, bool) {
	select {
	case response := <-p.request.Response():
		return response.httpResponse(p.request.ID), true
	case <-disconnected:
		return httpserver.Response{}, false
	}
}

// Cancel implements httpserver.Pending: it reports that the client has disconnected.
func (p pendingRequest) Cancel() { p.loop.Disconnect(p.request) }

// httpOutcomes maps the kinds of final responses to the outcomes that HTTP clients receive.
var httpOutcomes = map[ResponseKind]httpserver.Outcome{
	Served:   httpserver.Served,
	Rejected: httpserver.Rejected,
	Failed:   httpserver.Failed,
}

// httpResponse converts the final response of the request with that ID to the form that HTTP clients receive.
func (f FinalResponse) httpResponse(id string) httpserver.Response {
	out := httpserver.Response{
		Outcome:    httpOutcomes[f.Kind],
		Reason:     f.Reason,
		RetryAfter: f.RetryAfter,
		TimedOut:   f.TimedOut,
		Worker:     f.Worker,
		Attempts:   f.Attempts,
		ID:         id,
	}
	if f.Response == nil {
		return out
	}
	out.ContentType = f.Response.ContentType
	out.Body = f.Response.Body
	out.Length = f.Response.Length
	if f.Response.Stream != nil { // a nil *Stream in an interface would not compare equal to nil
		out.Stream = f.Response.Stream
	}
	return out
}
