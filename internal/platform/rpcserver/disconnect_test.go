package rpcserver

import (
	"net"
	"testing"

	"havencart/internal/platform/rpcframe"
)

func TestCancel_RequestInFlight_NoResponse(t *testing.T) {
	handler, address := startServer(t, 4)
	client := connect(t, address)
	write(t, client, append(requestMessage(t, 1, "quote", validFields(1)), message(t, 2, "revoke", []int{1, 9})...))
	request := <-handler.requests
	if id := <-handler.cancelled; id != request.ID {
		t.Errorf("the wrong request %s was cancelled", id)
	}
	request.respond(Response{Kind: Served})
	write(t, client, message(t, 0, 2, "heartbeat", []any{map[string]string{}}))
	expect(t, client, rpcframe.AppendHeartbeat(nil, 2, true))
}

func TestDisconnect_RequestInFlight_Cancelled(t *testing.T) {
	handler, address := startServer(t, 4)
	client := connect(t, address)
	write(t, client, requestMessage(t, 1, "quote", validFields(1)))
	request := <-handler.requests
	_ = client.Close()
	if id := <-handler.cancelled; id != request.ID {
		t.Errorf("the wrong request %s was cancelled", id)
	}
}

func TestDisconnect_EachKind_CancelsRequestsAndFreesSlot(t *testing.T) {
	for name, disconnect := range map[string]func(client *net.TCPConn) error{
		"half-close":             func(client *net.TCPConn) error { return client.CloseWrite() },
		"close":                  func(client *net.TCPConn) error { return client.Close() },
		"reset":                  func(client *net.TCPConn) error { _ = client.SetLinger(0); return client.Close() },
		"partial request, close": func(client *net.TCPConn) error { _, _ = client.Write([]byte{0x94, 0}); return client.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			handler, address := startServer(t, 1)
			client := connect(t, address).(*net.TCPConn)
			write(t, client, append(requestMessage(t, 1, "quote", validFields(1)), requestMessage(t, 2, "quote", validFields(2))...))
			requests := []*stubRequest{<-handler.requests, <-handler.requests}
			if err := disconnect(client); err != nil {
				t.Fatal(err)
			}
			cancelled := map[string]bool{<-handler.cancelled: true, <-handler.cancelled: true}
			for _, request := range requests {
				if !cancelled[request.ID] {
					t.Errorf("request %s was not cancelled, only %v", request.ID, cancelled)
				}
				request.respond(Response{Kind: Served}) // is discarded, as the client has disconnected
			}
			next := connect(t, address) // the connection table has one slot
			write(t, next, requestMessage(t, 1, "quote", validFields(3)))
			(<-handler.requests).respond(Response{Kind: Served})
			expect(t, next, rpcframe.AppendServed(nil, 1, nil))
		})
	}
}

// TestCancel_BeforeOrAfterResponse_FreesSlot checks that a request no longer counts towards MaxInFlight after its
// response or its cancellation, and that cancellations do not corrupt the responses that are written.
func TestCancel_BeforeOrAfterResponse_FreesSlot(t *testing.T) {
	handler, address := startServer(t, 1)
	client := connect(t, address)
	for round := range 3 {
		var messageIDs []int
		var requests []*stubRequest
		for i := range 4 { // MaxInFlight of the test server
			messageID := 1 + 4*round + i
			messageIDs = append(messageIDs, messageID)
			write(t, client, requestMessage(t, messageID, "quote", validFields(messageID)))
			requests = append(requests, <-handler.requests)
		}
		requests[0].respond(Response{Kind: Served, Body: []byte("first")})
		write(t, client, message(t, 2, "revoke", messageIDs))
		for range 3 {
			<-handler.cancelled
		}
		requests[1].respond(Response{Kind: Served, Body: []byte("late")})
		expect(t, client, rpcframe.AppendServed(nil, uint32(messageIDs[0]), []byte("first")))
	}
}
