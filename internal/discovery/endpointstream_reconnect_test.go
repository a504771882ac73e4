package discovery

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"havencart/internal/platform/endpointstream"
)

// connection is the server side of a connection that an EndpointStream made, after the hello was read.
type connection struct {
	net.Conn
	address    string
	lastEvent  uint64        // last event number in the hello
	acceptedAt time.Duration // time since followScripted was called
}

// followScripted starts an EndpointStream whose connections the test serves. If refuseDial is not nil, a dial fails
// with the error that it returns for the address. A dial to the address "silent" never completes.
func followScripted(t *testing.T, seed uint64, refuseDial func(address string) error) (*EndpointStream, listSink, <-chan connection) {
	t.Helper()
	stream, err := NewEndpointStream("one", []byte(initialEvents), []string{"room"}, []string{"std"}, seed)
	if err != nil {
		t.Fatal(err)
	}
	start, accepted := time.Now(), make(chan connection, 64)
	stream.dial = func(ctx context.Context, address string) (net.Conn, error) {
		if refuseDial != nil {
			if err := refuseDial(address); err != nil {
				return nil, err
			}
		}
		if address == "silent" {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		clientSide, serverSide := net.Pipe()
		go func() {
			last, err := endpointstream.ReadHello(serverSide)
			if err == nil {
				accepted <- connection{serverSide, address, last, time.Since(start)}
			}
		}()
		return clientSide, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	received, done := newListSink(), make(chan struct{})
	go func() { defer close(done); stream.Run(ctx, received) }()
	t.Cleanup(func() { cancel(); <-done })
	<-received.lists // the initial events are reported whether or not the server can be reached
	return stream, received, accepted
}

func (c connection) send(t *testing.T, e endpointstream.Event) {
	t.Helper()
	if _, err := c.Write(endpointstream.AppendEvent(nil, e)); err != nil {
		t.Fatal(err)
	}
}

var secondEvent = event(4, endpointstream.Delta, entry(2, 9002, 0))

// testReconnectSpread makes 8 front ends lose their connections in the same way. Each must reconnect after minDelay to
// maxDelay and resume after its last event. At least 6 of the delays, rounded to resolution, must differ.
func testReconnectSpread(t *testing.T, minDelay, maxDelay, resolution time.Duration, loseConnection func(connection)) {
	t.Helper()
	delays := map[time.Duration]bool{}
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			_, received, accepted := followScripted(t, seed, nil)
			first := <-accepted
			first.send(t, secondEvent)
			expectList(t, received, "1 2 ")
			loseConnection(first)
			second := <-accepted
			if delay := second.acceptedAt - first.acceptedAt; second.lastEvent != 4 || delay < minDelay || delay > maxDelay {
				t.Errorf("resumed after event %d with a delay of %v", second.lastEvent, delay)
			} else {
				delays[delay.Round(resolution)] = true
			}
			if _, err := first.Write(make([]byte, 1)); err == nil {
				t.Error("the previous connection is still read")
			}
		})
	}
	if len(delays) < 6 {
		t.Errorf("8 front ends reconnected at %d distinct times", len(delays))
	}
}

// TestEndpointStream_SilentServer_ReconnectsSpreadWithinTimeout checks reconnects from a server that sends nothing more
// and leaves the connection open.
func TestEndpointStream_SilentServer_ReconnectsSpreadWithinTimeout(t *testing.T) {
	testReconnectSpread(t, 2*time.Second, 4*time.Second, 10*time.Millisecond, func(connection) {})
}

func TestEndpointStream_ConnectionBreaks_ReconnectsSpreadOverTime(t *testing.T) {
	testReconnectSpread(t, 0, time.Second, time.Millisecond, func(conn connection) { _ = conn.Close() })
}

// TestEndpointStream_AddressChangesAtAnyMoment_ResumesWithoutRepeats checks that, after a change of address, the stream
// resumes after the last event, applies no event twice and no longer reads the old connection.
func TestEndpointStream_AddressChangesAtAnyMoment_ResumesWithoutRepeats(t *testing.T) {
	raw := endpointstream.AppendEvent(nil, secondEvent)
	for name, change := range map[string]func(t *testing.T, stream *EndpointStream, first connection) (last uint64){
		"in the middle of an event": func(t *testing.T, _ *EndpointStream, first connection) uint64 {
			if _, err := first.Write(raw[:len(raw)-1]); err != nil {
				t.Fatal(err)
			}
			return 3
		},
		"after an event": func(t *testing.T, _ *EndpointStream, first connection) uint64 {
			first.send(t, secondEvent)
			return 4
		},
		"while a connection is being made": func(_ *testing.T, stream *EndpointStream, _ connection) uint64 {
			stream.SetAddress("silent")
			time.Sleep(time.Second) // on the fake clock of synctest
			return 3
		},
		"twice in a row": func(_ *testing.T, stream *EndpointStream, _ connection) uint64 {
			stream.SetAddress("down")
			return 3
		},
		"while it waits to reconnect": func(_ *testing.T, stream *EndpointStream, _ connection) uint64 {
			stream.SetAddress("down")
			time.Sleep(5 * time.Second)
			return 3
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stream, received, accepted := followScripted(t, 1, func(address string) error {
					if address == "down" {
						return errors.New("refused")
					}
					return nil
				})
				first := <-accepted
				last := change(t, stream, first)
				synctest.Wait()
				start := time.Now()
				stream.SetAddress("two")
				second := <-accepted
				if delay := time.Since(start); second.address != "two" || second.lastEvent != last || delay > 500*time.Millisecond {
					t.Errorf("resumed at %q after event %d with a delay of %v", second.address, second.lastEvent, delay)
				}
				if _, err := first.Write(raw); err == nil {
					t.Error("the old connection is still read")
				}
				second.send(t, secondEvent) // a repeat if it was already received on the first connection
				second.send(t, event(5, endpointstream.Delta, entry(3, 9003, 0)))
				expectList(t, received, "1 2 ")
				expectList(t, received, "1 2 3 ")
				if len(received.lists) > 0 {
					t.Error("an event was applied twice")
				}
			})
		})
	}
}

func TestEndpointStream_ServerDown_RetriesSeldomAndReconnectsSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials, upAt := 0, time.Now().Add(8*time.Second)
		_, received, accepted := followScripted(t, 1, func(string) error {
			if dials++; time.Now().Before(upAt) {
				return errors.New("refused")
			}
			return nil
		})
		conn := <-accepted
		if delay := time.Since(upAt); delay > 500*time.Millisecond || dials > 40 {
			t.Errorf("reconnected %v after the server was up, with %d dials", delay, dials)
		}
		conn.send(t, secondEvent)
		expectList(t, received, "1 2 ")
	})
}

// TestEndpointStream_EventsSplitAtAnyByte_AppliesEachOnce checks events that arrive in two parts, split at every byte
// position; at position 0 they arrive in one part.
func TestEndpointStream_EventsSplitAtAnyByte_AppliesEachOnce(t *testing.T) {
	raw := endpointstream.AppendEvent(endpointstream.AppendEvent(endpointstream.AppendEvent(nil, secondEvent), endpointstream.Event{Number: 4}),
		event(5, endpointstream.Snapshot, entry(3, 9003, 0), entry(1, 9001, 1)))
	for cut := range raw {
		synctest.Test(t, func(t *testing.T) {
			_, received, accepted := followScripted(t, 1, nil)
			conn := <-accepted
			for _, piece := range [][]byte{raw[:cut], raw[cut:]} {
				if _, err := conn.Write(piece); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
			}
			expectList(t, received, "1 2 ")
			expectList(t, received, "1d 3 ")
		})
	}
}

// confirmationSink is a Sink that records the time as of which the list was confirmed, as a duration since the request.
type confirmationSink struct {
	listSink
	requestedAt time.Time
	confirmed   chan time.Duration
}

func (s confirmationSink) ListConfirmed(asOf time.Time) { s.confirmed <- asOf.Sub(s.requestedAt) }

// TestEndpointStream_Events_ConfirmListAsOfEmptyConnection checks that an event confirms the list only as of the last
// time at which the connection had no unread data, because after a stall of this process the event may have waited to
// be read since then.
func TestEndpointStream_Events_ConfirmListAsOfEmptyConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream, err := NewEndpointStream("one", nil, []string{"room"}, []string{"std"}, 1)
		if err != nil {
			t.Fatal(err)
		}
		local, remote := net.Pipe()
		sink := confirmationSink{newListSink(), time.Now(), make(chan time.Duration, 8)}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = stream.receive(local, sink.requestedAt, sink) // returns when the connection ends
		}()
		// The missed changes come first, in several events, none of which says that it is the last one.
		for number := range uint64(2) {
			missed := event(number+1, endpointstream.Delta, entry(uint32(number+1), 9001, endpointstream.Ready))
			if _, err := remote.Write(endpointstream.AppendEvent(nil, missed)); err != nil {
				t.Fatal(err)
			}
			<-sink.lists
		}
		synctest.Wait()
		if len(sink.confirmed) > 0 {
			t.Error("the list was confirmed before all missed events can have arrived")
		}
		heartbeat := endpointstream.AppendEvent(nil, event(2, endpointstream.NoChange))
		for _, want := range []time.Duration{0, time.Second, 2 * time.Second} {
			time.Sleep(time.Second)
			if _, err := remote.Write(heartbeat); err != nil {
				t.Fatal(err)
			}
			if got := <-sink.confirmed; got != want {
				t.Errorf("confirmed as of %v after the request, want %v", got, want)
			}
		}
		if _, err := remote.Write(endpointstream.AppendEvent(nil, event(3, endpointstream.Delta))); err != nil {
			t.Fatal(err)
		}
		if got := <-sink.confirmed; got != 3*time.Second {
			t.Errorf("a change confirmed the list as of %v after the request, want 3 s", got)
		}
		_ = remote.Close()
		<-ended
	})
}
