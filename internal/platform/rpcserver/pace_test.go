package rpcserver

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"havencart/internal/platform/rpcframe"
)

// pacedRate is the rate of a client that sends at full speed, in messages per second, while the process has time.
const pacedRate = 500

// pacedMessages is many more messages than a client may send at once.
const pacedMessages = 5000

// TestPace_ClientSendsAtFullSpeed_ReadAtALimitedRate guards against a client that takes the processor time of all others
// by sending small messages at full speed.
func TestPace_ClientSendsAtFullSpeed_ReadAtALimitedRate(t *testing.T) {
	for name, raw := range map[string][]byte{
		"heartbeats":    message(t, 0, 1, rpcframe.MethodHeartbeat, []any{map[string]string{}}),
		"cancellations": message(t, 2, rpcframe.MethodCancel, []int{7}),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := startPipeServer(testMaxInFlight, limits)
				defer server.stop()
				go func() { _, _ = io.Copy(io.Discard, server.client) }() // ends with the connection
				began := time.Now()
				for range pacedMessages {
					write(t, server.client, raw)
				}
				counts := server.Counts()
				if took := time.Since(began); took < pacedMessages*time.Second/pacedRate/2 || took > 2*pacedMessages*time.Second/pacedRate {
					t.Errorf("%d messages were read in %v, want about %d a second", pacedMessages, took, pacedRate)
				}
				if counts.Pauses == 0 {
					t.Error("no pause counted")
				}
			})
		})
	}
}

// TestPace_ClientSendsSingleBytes_ReadAtALimitedRate guards against the same with a message in parts of a byte.
func TestPace_ClientSendsSingleBytes_ReadAtALimitedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(testMaxInFlight, limits)
		defer server.stop()
		raw := message(t, 0, 1, "quote", []any{validFields(1), make([]byte, 15<<10)})
		began := time.Now()
		for _, b := range raw {
			write(t, server.client, []byte{b})
		}
		parts := len(raw)/readsPerMessage - 2*testMaxInFlight // beyond what a new connection may send at once
		if took, least := time.Since(began), time.Duration(parts)*time.Second/pacedRate-10*time.Millisecond; took < least {
			t.Errorf("read in %v, want at least %v", took, least)
		}
		if requests := server.received(); len(requests) != 1 {
			t.Errorf("%d requests, want 1", len(requests))
		}
	})
}

// TestPace_RequestsThatAreServed_NotLimited checks that a client whose requests are served is not slowed down, however
// many it sends.
func TestPace_RequestsThatAreServed_NotLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(testMaxInFlight, limits)
		defer server.stop()
		go func() { _, _ = io.Copy(io.Discard, server.client) }()
		began := time.Now()
		for id := 1; id <= pacedMessages; id++ {
			server.sendRequests(t, id, id)
			for _, request := range server.received() {
				request.respond(Response{Kind: Served})
			}
		}
		if took := time.Since(began); took > 0 {
			t.Errorf("took %v, want no pause", took)
		}
	})
}

// TestPace_ConnectionNotRead_RequestsCountFromBeforeThePause checks that a request which waited unread is not taken for
// one that has just arrived: its client may have given up.
func TestPace_ConnectionNotRead_RequestsCountFromBeforeThePause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(testMaxInFlight, limits)
		defer server.stop()
		heartbeat := message(t, 0, 1, rpcframe.MethodHeartbeat, []any{map[string]string{}})
		go func() { _, _ = io.Copy(io.Discard, server.client) }()
		for server.Counts().Pauses == 0 {
			write(t, server.client, heartbeat)
			synctest.Wait()
		}
		pausedAt := time.Now()
		server.sendRequests(t, 2, 2)
		time.Sleep(time.Second)
		requests := server.received()
		if len(requests) != 1 {
			t.Fatalf("%d requests, want 1", len(requests))
		}
		if receivedAt := requests[0].ReceivedAt; receivedAt.After(pausedAt) {
			t.Errorf("received %v after the pause began", receivedAt.Sub(pausedAt))
		}
	})
}

// TestPace_ProtocolViolation_ConnectionEndsAfterADelay guards against a client that violates the protocol and connects
// again at full speed. It gets its error response at once, and its requests in flight are cancelled at once.
func TestPace_ProtocolViolation_ConnectionEndsAfterADelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := startPipeServer(testMaxInFlight, limits)
		defer server.stop()
		server.sendRequests(t, 1, 1)
		if requests := server.received(); len(requests) != 1 {
			t.Fatalf("%d requests, want 1", len(requests))
		}
		began := time.Now()
		server.send(requestMessage(t, 2, "unknown class", validFields(2)))
		expect(t, server.client, rpcframe.AppendMalformed(nil, 2))
		<-server.handler.cancelled
		if took := time.Since(began); took > 0 {
			t.Errorf("response and cancellation after %v, want at once", took)
		}
		if _, err := server.client.Read(make([]byte, 1)); err != io.EOF {
			t.Errorf("error %v, want the end of the connection", err)
		}
		if took := time.Since(began); took != violationLinger {
			t.Errorf("the connection ended after %v, want %v", took, violationLinger)
		}
	})
}
