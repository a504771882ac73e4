package gateway

import (
	"runtime"
	"testing"

	"havencart/internal/config/platformconfig"
	"havencart/internal/decide/memoryshare"
	"havencart/internal/memorybudget"
	"havencart/internal/platform/rpcframe"
	"havencart/internal/platform/rpcserver"
	"havencart/internal/platform/workerframe"
	"havencart/lab/platformworker"
)

// These tests check the memory of a PlatformServer that clients make it use.

// withLittleMemory configures a server with so little memory that new clients may take all of that for requests.
func withLittleMemory(config *platformconfig.Config) { config.MemoryMB = 64 }

// largeRequestBytes is the memory of a request with a body of the maximum size.
const largeRequestBytes = rpcserver.RequestOverhead + rpcframe.MaxBody

// fillRequestMemory reserves memory for requests, from many accounts, until only that many bytes are left. It returns how
// much is reserved.
func (server *platformHarness) fillRequestMemory(left int64) (reserved int64) {
	server.t.Helper()
	const fraction = 5 // one new account may take a fifth of what is left
	for {
		counts := server.memory.requests.Counts()
		excess := counts.Limit - counts.Total - left
		if excess <= 0 {
			return counts.Total
		}
		if server.memory.requests.NewAccount().Reserve(min(excess, (counts.Limit-counts.Total)/fraction)) == nil {
			server.t.Fatalf("memory is not granted: %+v", counts)
		}
	}
}

// TestPlatformServer_BodiesBeyondMemory_Rejected checks that requests are rejected immediately when the requests in
// flight reach the limit of their memory, and that the end of a request releases it.
func TestPlatformServer_BodiesBeyondMemory_Rejected(t *testing.T) {
	const fit = 8 // large requests for which one new connection may reserve memory
	received, respond := make(chan bool, 64), make(chan bool)
	server := startConfiguredPlatform(t, func(c *platformworker.Conn, f workerframe.Frame) {
		if f.Code == workerframe.Request {
			received <- true
			<-respond
			respondServed(c, workerframe.Frame{ID: f.ID})
		}
	}, withLittleMemory)
	large := make([]byte, rpcframe.MaxBody)
	filled := server.fillRequestMemory(5 * fit * largeRequestBytes) // one new connection may reserve a fifth of what is left
	c := server.connect()
	for i := range fit {
		server.sendRequestWithBody(c, 1+i, "quote", 1+i, large)
	}
	<-received
	server.sendRequestWithBody(c, fit+1, "quote", fit+1, large)
	server.expect(c, rpcframe.AppendError(nil, fit+1, "Backoff", "after", "500"))
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	close(respond)
	for server.memory.requests.Counts().Total > filled { // until the disconnect is handled
		runtime.Gosched()
	}
	next := server.connect()
	server.sendRequestWithBody(next, 1, "quote", fit+2, large)
	server.expect(next, rpcframe.AppendServed(nil, 1, []byte("did ")))
	server.shutDown()
}

// floodWithLargeRequests opens connections that each send the maximum number of large requests, and returns when all are
// read. Those for which there is no memory must be rejected, the last one of each connection among them.
func (server *platformHarness) floodWithLargeRequests(connections int) {
	server.t.Helper()
	large := make([]byte, rpcframe.MaxBody)
	for i := range connections {
		c := server.connect()
		for number := 1; number <= platformMaxPerConnection; number++ {
			server.sendRequestWithBody(c, number, "quote", 1000*(i+1)+number, large)
		}
		next := rpcResponses(server.t, c)
		for number := 0; number < platformMaxPerConnection; {
			var kind string
			if number, kind = next(); kind != "Backoff" {
				server.t.Fatalf("request %d of connection %d ended as %q, want that only rejections come", number, i, kind)
			}
		}
	}
}

// awaitRequestMemory waits until that much more memory is reserved for requests than in before, or a request is refused.
func (server *platformHarness) awaitRequestMemory(before memorybudget.Counts, more int) {
	server.t.Helper()
	wanted := before.Total + int64(more)
	for counts := before; counts.Total < wanted && counts.Refused == before.Refused; counts = server.memory.requests.Counts() {
		runtime.Gosched()
	}
}

// TestPlatformServer_FloodOfLargeRequests_LeavesRoomForTrustedClient guards against clients that send as many large
// requests as they can, and are given all memory, so that the requests of other clients are rejected.
func TestPlatformServer_FloodOfLargeRequests_LeavesRoomForTrustedClient(t *testing.T) {
	const floodConnections = 24
	const requestsBefore = 16 // after which the client is trusted
	const requestsBeside = 8  // that the client has open beside the flood
	respond := make(chan bool)
	server := startConfiguredPlatform(t, func(c *platformworker.Conn, f workerframe.Frame) {
		if f.Code == workerframe.Request && len(f.Body) == rpcframe.MaxBody {
			<-respond
		}
		if f.Code == workerframe.Request {
			respondServed(c, workerframe.Frame{ID: f.ID})
		}
	}, withLittleMemory)
	filled := server.fillRequestMemory(64 * largeRequestBytes) // of the 768 requests of the flood
	trusted, small := server.connect(), make([]byte, 100)
	for id := 1; id <= requestsBefore; id++ {
		server.sendRequestWithBody(trusted, id, "quote", id, small)
		server.expect(trusted, rpcframe.AppendServed(nil, uint32(id), []byte("did ")))
	}
	server.floodWithLargeRequests(floodConnections)
	beside := server.memory.requests.Counts()
	if beside.Highest > beside.Limit || beside.Refused == 0 {
		t.Errorf("counts %+v, want refused requests and no more memory than the limit", beside)
	}
	for id := requestsBefore + 1; id <= requestsBefore+requestsBeside; id++ {
		server.sendRequestWithBody(trusted, id, "quote", id, small)
	}
	server.awaitRequestMemory(beside, requestsBeside*(rpcserver.RequestOverhead+len(small)))
	close(respond) // so that the worker gets to them
	next := rpcResponses(t, trusted)
	for range requestsBeside {
		if number, kind := next(); kind != "served" {
			t.Errorf("request %d of the trusted client ended as %s, want it served; counts %+v", number, kind, server.memory.requests.Counts())
		}
	}
	server.shutDown()
	counts := server.memory.counts()
	if counts.Requests.Total != filled || counts.WorkerResponses.Total != 0 || counts.ClientResponses.Total != 0 {
		t.Errorf("counts %+v after the end, want no memory reserved but the %d bytes that the test reserved itself", counts, filled)
	}
}

// TestMemoryBudgets_EachMemory_FitAllResponsesOfAConnection checks that a single connection may have a response of the
// maximum size of a request waiting for each of its requests, whatever the memory of the process is.
func TestMemoryBudgets_EachMemory_FitAllResponsesOfAConnection(t *testing.T) {
	for _, memoryMB := range []int64{16, 32, 192, 1024} {
		account := newMemoryBudgets(memoryshare.Divide(memoryshare.Process{MemoryBytes: memoryMB * bytesPerMB})).clientResponses.NewAccount()
		queued := 0
		for queued+rpcframe.MaxBody <= platformMaxQueuedBytes && account.Reserve(rpcframe.MaxBody) != nil {
			queued += rpcframe.MaxBody
		}
		if queued < platformMaxPerConnection*rpcframe.MaxBody {
			t.Errorf("%d MB: %d bytes of a full connection's responses may be queued, want all", memoryMB, queued)
		}
	}
}
