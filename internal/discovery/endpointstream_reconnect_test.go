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

// connection is the server side of a connection that an EndpointStream made, after its greeting.
type connection struct {
	net.Conn
	address    string
	lastEvent  uint64        // of the greeting
	acceptedAt time.Duration // since the start of the test's clock
}

// followScripted starts an EndpointStream whose connections the test serves. refuseDial, unless nil, may fail dials to an address.
func followScripted(t *testing.T, seed uint64, refuseDial func(address string) error) (*EndpointStream, listSink, <-chan connection) {
	t.Helper()
	stream, err := NewEndpointStream("one", []byte(initialEvents), []string{"room"}, []string{"std"}, seed)
	if err != nil {
		t.Fatal(err)
	}
	began, accepted := time.Now(), make(chan connection, 64)
	stream.dial = func(ctx context.Context, address string) (net.Conn, error) {
		if refuseDial != nil {
			if err := refuseDial(address); err != nil {
				return nil, err
			}
		}
		if address == "silent" { // it never comes up
			<-ctx.Done()
			return nil, ctx.Err()
		}
		clientSide, serverSide := net.Pipe()
		go func() {
			last, err := endpointstream.ReadHello(serverSide)
			if err == nil {
				accepted <- connection{serverSide, address, last, time.Since(began)}
			}
		}()
		return clientSide, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	received, done := newListSink(), make(chan struct{})
	go func() { defer close(done); stream.Run(ctx, received) }()
	t.Cleanup(func() { cancel(); <-done })
	<-received.lists // the initial events are reported whether the server can be reached or not
	return stream, received, accepted
}

func (c connection) send(t *testing.T, e endpointstream.Event) {
	t.Helper()
	if _, err := c.Write(endpointstream.AppendEvent(nil, e)); err != nil {
		t.Fatal(err)
	}
}

var secondEvent = event(4, endpointstream.Delta, entry(2, 9002, 0))

// testReconnectSpread makes 8 front ends lose their connection in the same way. Each must reconnect within minDelay to maxDelay and
// resume after its last event; together they must not reconnect at the same time.
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
				t.Errorf("resumed from %d after %v", second.lastEvent, delay)
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

// The silent server sends nothing more and leaves the connection open.
func TestEndpointStream_SilentServer_ReconnectsSpreadWithinTimeout(t *testing.T) {
	testReconnectSpread(t, 2*time.Second, 4*time.Second, 10*time.Millisecond, func(connection) {})
}

func TestEndpointStream_ConnectionBreaks_ReconnectsSpreadOverTime(t *testing.T) {
	testReconnectSpread(t, 0, time.Second, time.Millisecond, func(conn connection) { _ = conn.Close() })
}

// Event numbers continue, no event is applied twice, and the old connection is no longer read.
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
			time.Sleep(time.Second) // of the bubble's clock
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
				began := time.Now()
				stream.SetAddress("two")
				second := <-accepted
				if delay := time.Since(began); second.address != "two" || second.lastEvent != last || delay > 500*time.Millisecond {
					t.Errorf("resumed at %q from %d after %v", second.address, second.lastEvent, delay)
				}
				if _, err := first.Write(raw); err == nil {
					t.Error("the old connection is still read")
				}
				second.send(t, secondEvent) // repeated where it was received before
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
			t.Errorf("reached %v after it was up, by %d dials", delay, dials)
		}
		conn.send(t, secondEvent)
		expectList(t, received, "1 2 ")
	})
}

// The events arrive in two parts, cut at every byte, and as a whole.
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

// confirmationSink is a Sink that records as of when the list was confirmed, since it was requested.
type confirmationSink struct {
	listSink
	requestedAt time.Time
	confirmed   chan time.Duration
}

func (s confirmationSink) ListConfirmed(asOf time.Time) { s.confirmed <- asOf.Sub(s.requestedAt) }

// What an event confirms is as old as the last moment at which the connection had nothing to read: after a stall of this
// process it may have waited for as long.
func TestEndpointStream_Events_ConfirmListAsOfEmptyConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream, err := NewEndpointStream("one", nil, []string{"room"}, []string{"std"}, 1)
		if err != nil {
			t.Fatal(err)
		}
		ours, theirs := net.Pipe()
		sink := confirmationSink{newListSink(), time.Now(), make(chan time.Duration, 8)}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = stream.receive(ours, sink.requestedAt, sink) // until the connection ends
		}()
		// What was missed comes first, in several events: none of them says that it is the last one.
		for number := range uint64(2) {
			missed := event(number+1, endpointstream.Delta, entry(uint32(number+1), 9001, endpointstream.Ready))
			if _, err := theirs.Write(endpointstream.AppendEvent(nil, missed)); err != nil {
				t.Fatal(err)
			}
			<-sink.lists
		}
		synctest.Wait()
		if len(sink.confirmed) > 0 {
			t.Error("confirmed before all that was missed can have come")
		}
		heartbeat := endpointstream.AppendEvent(nil, event(2, endpointstream.NoChange))
		for _, want := range []time.Duration{0, time.Second, 2 * time.Second} {
			time.Sleep(time.Second)
			if _, err := theirs.Write(heartbeat); err != nil {
				t.Fatal(err)
			}
			if got := <-sink.confirmed; got != want {
				t.Errorf("confirmed as of %v after the request, want %v", got, want)
			}
		}
		if _, err := theirs.Write(endpointstream.AppendEvent(nil, event(3, endpointstream.Delta))); err != nil {
			t.Fatal(err)
		}
		if got := <-sink.confirmed; got != 3*time.Second {
			t.Errorf("confirmed by a change as of %v after the request, want 3 s", got)
		}
		_ = theirs.Close()
		<-ended
	})
}
