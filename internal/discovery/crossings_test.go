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

// asked is one connection that a Bulletin made, from its greeting on.
type asked struct {
	net.Conn
	address string
	last    uint64
	at      time.Duration // since the bubble's start
}

// scripted follows a bulletin whose connections the test stands behind; refuse, where set, fails dials to an address.
func scripted(t *testing.T, seed uint64, refuse func(address string) error) (*EndpointStream, lists, <-chan asked) {
	t.Helper()
	b, err := NewEndpointStream("one", []byte(known), []string{"room"}, []string{"std"}, seed)
	if err != nil {
		t.Fatal(err)
	}
	began, came := time.Now(), make(chan asked, 64)
	b.dial = func(ctx context.Context, address string) (net.Conn, error) {
		if refuse != nil {
			if err := refuse(address); err != nil {
				return nil, err
			}
		}
		if address == "silent" { // it never comes up
			<-ctx.Done()
			return nil, ctx.Err()
		}
		ours, theirs := net.Pipe()
		go func() {
			last, err := endpointstream.ReadHello(theirs)
			if err == nil {
				came <- asked{theirs, address, last, time.Since(began)}
			}
		}()
		return ours, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	told, done := make(lists, 64), make(chan struct{})
	go func() { defer close(done); b.Run(ctx, told) }()
	t.Cleanup(func() { cancel(); <-done })
	<-told // what is known serves from the start, whether the bulletin is there or not
	return b, told, came
}

func (a asked) tell(t *testing.T, e endpointstream.Event) {
	t.Helper()
	if _, err := a.Write(endpointstream.Append(nil, e)); err != nil {
		t.Fatal(err)
	}
}

var second = event(4, endpointstream.Delta, entry(2, 9002, 0))

// spread has 8 front ends lose their list in the same way, and says how many came back in which instants: within most,
// and from the last event on.
func spread(t *testing.T, least, most, instant time.Duration, lose func(asked)) {
	t.Helper()
	returned := map[time.Duration]bool{}
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			_, told, came := scripted(t, seed, nil)
			first := <-came
			first.tell(t, second)
			want(t, told, "1 2 ")
			lose(first)
			again := <-came
			if after := again.at - first.at; again.last != 4 || after < least || after > most {
				t.Errorf("asked again from %d after %v", again.last, after)
			} else {
				returned[after.Round(instant)] = true
			}
			if _, err := first.Write(make([]byte, 1)); err == nil {
				t.Error("the connection of before is still read")
			}
		})
	}
	if len(returned) < 6 {
		t.Errorf("8 front ends came back at %d instants", len(returned))
	}
}

// TestASilentBulletinIsAskedAgainSpreadAndInTime: it tells nothing more and leaves the connection open.
func TestASilentBulletinIsAskedAgainSpreadAndInTime(t *testing.T) {
	spread(t, 2*time.Second, 4*time.Second, 10*time.Millisecond, func(asked) {})
}

func TestABreakOfTheBulletinBringsNotAllBackInOneInstant(t *testing.T) {
	spread(t, 0, time.Second, time.Millisecond, func(a asked) { a.Close() })
}

// TestTheBulletinMovesAtAnyMoment: the numbers go on, nothing counts twice, and an old connection says nothing more.
func TestTheBulletinMovesAtAnyMoment(t *testing.T) {
	raw := endpointstream.Append(nil, second)
	for name, moment := range map[string]func(t *testing.T, b *EndpointStream, first asked) (last uint64){
		"in the middle of an event": func(t *testing.T, _ *EndpointStream, first asked) uint64 {
			if _, err := first.Write(raw[:len(raw)-1]); err != nil {
				t.Fatal(err)
			}
			return 3
		},
		"behind an event": func(t *testing.T, _ *EndpointStream, first asked) uint64 {
			first.tell(t, second)
			return 4
		},
		"while a connection is being made": func(t *testing.T, b *EndpointStream, _ asked) uint64 {
			b.SetAddress("silent")
			time.Sleep(time.Second) // of the bubble's clock
			return 3
		},
		"twice at once": func(_ *testing.T, b *EndpointStream, _ asked) uint64 {
			b.SetAddress("down")
			return 3
		},
		"while it waits for one that is down": func(_ *testing.T, b *EndpointStream, _ asked) uint64 {
			b.SetAddress("down")
			time.Sleep(5 * time.Second)
			return 3
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, told, came := scripted(t, 1, func(address string) error {
					if address == "down" {
						return errors.New("refused")
					}
					return nil
				})
				first := <-came
				last := moment(t, b, first)
				synctest.Wait()
				began := time.Now()
				b.SetAddress("two")
				again := <-came
				if took := time.Since(began); again.address != "two" || again.last != last || took > 500*time.Millisecond {
					t.Errorf("asked %q from %d after %v", again.address, again.last, took)
				}
				if _, err := first.Write(raw); err == nil {
					t.Error("the old connection is still read")
				}
				again.tell(t, second) // told anew where it was taken before
				again.tell(t, event(5, endpointstream.Delta, entry(3, 9003, 0)))
				want(t, told, "1 2 ")
				want(t, told, "1 2 3 ")
				if len(told) > 0 {
					t.Error("an event counted twice")
				}
			})
		})
	}
}

func TestABulletinThatIsDownIsAskedSeldomAndSoonOnceItIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials, back := 0, time.Now().Add(8*time.Second)
		_, told, came := scripted(t, 1, func(string) error {
			if dials++; time.Now().Before(back) {
				return errors.New("refused")
			}
			return nil
		})
		a := <-came
		if late := time.Since(back); late > 500*time.Millisecond || dials > 40 {
			t.Errorf("reached %v after it was back, by %d dials", late, dials)
		}
		a.tell(t, second)
		want(t, told, "1 2 ")
	})
}

// TestEventsOfTheBulletinComeInPieces: cut at every byte, and all in one.
func TestEventsOfTheBulletinComeInPieces(t *testing.T) {
	raw := endpointstream.Append(endpointstream.Append(endpointstream.Append(nil, second), endpointstream.Event{Number: 4}),
		event(5, endpointstream.Snapshot, entry(3, 9003, 0), entry(1, 9001, 1)))
	for cut := range raw {
		synctest.Test(t, func(t *testing.T) {
			_, told, came := scripted(t, 1, nil)
			a := <-came
			for _, piece := range [][]byte{raw[:cut], raw[cut:]} {
				if _, err := a.Write(piece); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
			}
			want(t, told, "1 2 ")
			want(t, told, "1d 3 ")
		})
	}
}
