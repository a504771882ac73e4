package fleet

import (
	"errors"
	"testing"
	"time"

	"havencart/internal/gateway"
	"havencart/lab/client"
	"havencart/lab/loadgen"
)

const clientTimeout = 2 * time.Second

func newRequest(id, class string, work time.Duration) loadgen.Request {
	return loadgen.Request{
		ID: id, Class: class, Function: class + "-f", IdempotencyKey: "key-" + id, Timeout: clientTimeout, Work: work,
		LoadTime: 10 * time.Millisecond, MemoryMB: 50, Concurrency: 2,
	}
}

func (f *Fleet) commandWorkers(t *testing.T, line string, workers ...int) {
	t.Helper()
	for _, i := range workers {
		if err := f.Workers[i].Command(line); err != nil {
			t.Fatal(err)
		}
	}
}

func (f *Fleet) send(t *testing.T, frontEnd int, c loadgen.Request) client.Response {
	t.Helper()
	response, err := f.FrontEnds[frontEnd].Pool().Do(c)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// waitUntil waits until a condition holds, and fails the test if that takes more than 20 s.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// stopAndCheck stops all front ends and checks that no invariant was violated and every request is accounted for.
func (f *Fleet) stopAndCheck(t *testing.T) {
	t.Helper()
	for _, fe := range f.FrontEnds {
		if err := fe.Stop(); err != nil && !errors.Is(err, gateway.ErrShutdownTimeout) {
			t.Error(err)
		}
	}
	violations, tally := f.Check()
	for _, violation := range violations {
		t.Errorf("rule %s violated: %s", violation.Rule, violation.Detail)
	}
	if !tally.Balanced() {
		t.Errorf("not all requests are accounted for: %v", tally)
	}
}
