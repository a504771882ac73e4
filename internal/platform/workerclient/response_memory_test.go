package workerclient

import (
	"runtime"
	"testing"

	"go.uber.org/goleak"

	"havencart/internal/decide/memoryshare"
	"havencart/internal/memorybudget"
	"havencart/internal/platform/workerframe"
	"havencart/lab/platformworker"
	"havencart/scheduler"
)

// responseSize is the size in bytes of the responses' bodies in these tests.
const responseSize = 1000

// startWithResponseMemory starts a client with a budget for a single response, and a worker that responds at once.
func startWithResponseMemory(t *testing.T) (*Client, eventRecorder, *memorybudget.Budget) {
	t.Helper()
	t.Cleanup(func() { goleak.VerifyNone(t) })
	server, err := platformworker.StartFullyScripted(func(c *platformworker.Conn, f workerframe.Frame) {
		c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID, Body: make([]byte, responseSize)})
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	memory := memorybudget.New(2*responseSize, memoryshare.WorkerResponseThresholds()) // of which one worker may hold half
	client, recorder := newConfiguredClient(t, server.Address(), 8, func(cfg *Config) { cfg.ResponseMemory = memory })
	return client, recorder, memory
}

// awaitWaits waits until that many reservations had to wait.
func awaitWaits(memory *memorybudget.Budget, count uint64) {
	for memory.Counts().Waited < count {
		runtime.Gosched()
	}
}

// TestResponse_NoMemory_ReadAfterRelease guards against responses that are read into memory without a limit while the
// event loop does not get to them.
func TestResponse_NoMemory_ReadAfterRelease(t *testing.T) {
	client, recorder, memory := startWithResponseMemory(t)
	send(t, client, newAttempt(5))
	first := <-recorder.attemptEnds
	send(t, client, newAttempt(6))
	awaitWaits(memory, 1)
	if counts := memory.Counts(); counts.Total != responseSize || len(recorder.attemptEnds) > 0 {
		t.Errorf("counts %+v, %d attempts ended; want the memory of one response and no attempt", counts, len(recorder.attemptEnds))
	}
	first.Memory.Release()
	second := <-recorder.attemptEnds
	if second.Status != scheduler.OK || len(second.Response.Body) != responseSize {
		t.Errorf("the second attempt ended as %v, want OK with its body", second.Status)
	}
	second.Memory.Release()
	if got := memory.Counts().Total; got != 0 {
		t.Errorf("%d bytes are reserved at the end, want none", got)
	}
}

// TestStop_ResponseWaitsForMemory_Ends checks that a client stops although a response waits for memory that nobody
// releases.
func TestStop_ResponseWaitsForMemory_Ends(t *testing.T) {
	client, recorder, memory := startWithResponseMemory(t)
	send(t, client, newAttempt(5))
	<-recorder.attemptEnds
	send(t, client, newAttempt(6))
	awaitWaits(memory, 1)
	client.Stop()
	<-client.Done()
	if r := <-recorder.attemptEnds; r.Status == scheduler.OK || r.Memory != nil {
		t.Errorf("the attempt ended as %+v, want without a response", r)
	}
}

// TestLateResponse_WithBody_ReleasesMemory checks that a response that nobody awaits keeps no memory.
func TestLateResponse_WithBody_ReleasesMemory(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	server, err := platformworker.StartFullyScripted(func(c *platformworker.Conn, f workerframe.Frame) {
		for range 3 {
			c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID + 1000, Body: make([]byte, responseSize)})
		}
		c.Respond(workerframe.Frame{Code: workerframe.OK, ID: f.ID})
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	memory := memorybudget.New(2*responseSize, memoryshare.WorkerResponseThresholds())
	client, recorder := newConfiguredClient(t, server.Address(), 8, func(cfg *Config) { cfg.ResponseMemory = memory })
	send(t, client, newAttempt(5))
	if r := <-recorder.attemptEnds; r.Status != scheduler.OK {
		t.Errorf("the attempt ended as %+v, want OK", r)
	}
	if got := memory.Counts(); got.Total != 0 || got.Highest != responseSize {
		t.Errorf("counts %+v, want nothing reserved, and one response at most", got)
	}
}
