package rpcserver

import (
	"net"
	"testing"

	"havencart/internal/platform/rpcframe"
)

func TestCancel_RequestInFlight_NoResponse(t *testing.T) {
	h, address := startServer(t, 4)
	c := connect(t, address)
	write(t, c, append(requestMessage(t, 1, "quote", validFields(1)), message(t, 2, "revoke", []int{1, 9})...))
	request := <-h.requests
	if id := <-h.cancelled; id != request.ID {
		t.Errorf("%s was cancelled", id)
	}
	request.respond(Response{Kind: Served})
	write(t, c, message(t, 0, 2, "heartbeat", []any{map[string]string{}}))
	expect(t, c, rpcframe.AppendTrue(nil, 2, true))
}

func TestDisconnect_RequestInFlight_Cancelled(t *testing.T) {
	h, address := startServer(t, 4)
	c := connect(t, address)
	write(t, c, requestMessage(t, 1, "quote", validFields(1)))
	request := <-h.requests
	_ = c.Close()
	if id := <-h.cancelled; id != request.ID {
		t.Errorf("%s was cancelled", id)
	}
}

func TestDisconnect_EachKind_CancelsRequestsAndFreesPlace(t *testing.T) {
	for name, disconnect := range map[string]func(c *net.TCPConn) error{
		"half-close":             func(c *net.TCPConn) error { return c.CloseWrite() },
		"close":                  func(c *net.TCPConn) error { return c.Close() },
		"reset":                  func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
		"partial request, close": func(c *net.TCPConn) error { _, _ = c.Write([]byte{0x94, 0}); return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			h, address := startServer(t, 1)
			c := connect(t, address).(*net.TCPConn)
			write(t, c, append(requestMessage(t, 1, "quote", validFields(1)), requestMessage(t, 2, "quote", validFields(2))...))
			requests := []*stubRequest{<-h.requests, <-h.requests}
			if err := disconnect(c); err != nil {
				t.Fatal(err)
			}
			cancelled := map[string]bool{<-h.cancelled: true, <-h.cancelled: true}
			for _, request := range requests {
				if !cancelled[request.ID] {
					t.Errorf("%s was not cancelled: %v", request.ID, cancelled)
				}
				request.respond(Response{Kind: Served}) // nobody waits for it
			}
			next := connect(t, address) // the table has one place
			write(t, next, requestMessage(t, 1, "quote", validFields(3)))
			(<-h.requests).respond(Response{Kind: Served})
			expect(t, next, rpcframe.AppendServed(nil, 1, nil))
		})
	}
}

// TestCancel_BeforeOrAfterResponse_FreesPlace holds that what is written stays whole, too.
func TestCancel_BeforeOrAfterResponse_FreesPlace(t *testing.T) {
	h, address := startServer(t, 1)
	c := connect(t, address)
	for round := range 3 {
		var numbers []int
		var requests []*stubRequest
		for i := range 4 { // as many as may be in flight
			number := 1 + 4*round + i
			numbers = append(numbers, number)
			write(t, c, requestMessage(t, number, "quote", validFields(number)))
			requests = append(requests, <-h.requests)
		}
		requests[0].respond(Response{Kind: Served, Body: []byte("first")})
		write(t, c, message(t, 2, "revoke", numbers))
		for range 3 {
			<-h.cancelled
		}
		requests[1].respond(Response{Kind: Served, Body: []byte("late")})
		expect(t, c, rpcframe.AppendServed(nil, uint32(numbers[0]), []byte("first")))
	}
}
