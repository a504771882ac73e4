package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"syscall"
	"testing"
	"time"

	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/lab/faultproxy"
	"havencart/lab/platformdiscovery"
	"havencart/lab/platformworker"
)

// This test reproduces the incident of docs/incidents/shared-connections.md: a request on a connection with others is
// cancelled while the network path to its worker is interrupted.

// fewDescriptorsConfig leaves a front end few connections to workers, so that requests share them.
const fewDescriptorsConfig = `{"name":"n0","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
	"limits":{"cores":1,"memory_mb":256,"sockets":8},"bulletin":%q,
	"known":{"no":1,"items":[{"no":1,"roster":{"seq":1,"whole":true,"hosts":[
	{"host":"s-00000001","dial":%q,"site":"room","class":"std","block":0,"health":"up","share":1,"born_ms":0}]}}]},
	"settings":{"azs":["room"],"skus":["std"],
	"limits":{"streamsPerConn":32,"connectTimeout":5000.0,"connIdle":30000.0,"maxAttempts":5,"mayCancel":true,"probes":true},
	"rules":{"stopSendingWithin":500.0},"familyInfo":{"keep":8000.0},
	"classes":[{"name":"status","deadline":20000.0,"onTime":15000.0,"repeat":"retryable","worth":2.0}]}}`

// sharingRequests is the number of requests in flight before the path is interrupted, as many as the connections that
// fewDescriptorsConfig allows to a worker.
const sharingRequests = 4

// cancelledID is the ID of the request that is cancelled.
const cancelledID uint64 = 0x5ca1ab1e0ddba115

// sharedConnectionPatience is how long the test waits for the front end to reset the connection.
const sharedConnectionPatience = 10 * time.Second

// frameWatch is a tap of a proxy that reports when data from a front end contain an ID, which is encoded in 8 bytes.
type frameWatch struct {
	id    [8]byte
	seen  []byte
	found chan<- struct{}
}

// Write implements io.Writer.
func (w *frameWatch) Write(data []byte) (int, error) {
	w.seen = append(w.seen, data...)
	if bytes.Contains(w.seen, w.id[:]) {
		select {
		case w.found <- struct{}{}:
		default:
		}
	}
	return len(data), nil
}

// Close implements io.Closer.
func (w *frameWatch) Close() error { return nil }

// submit sends a request for a function of its own without waiting for the response, and returns its message number.
func (c *rpcClient) submit(id uint64) (number int) {
	c.t.Helper()
	c.lastID++
	fields := map[string]string{"id": fmt.Sprintf("%016x", id), "wait": "20000", "key": fmt.Sprintf("%016x", id)}
	c.writeMessage([]any{0, c.lastID, "status", []any{fields, []byte("body")}})
	return c.lastID
}

// cancel cancels the request with a message number.
func (c *rpcClient) cancel(number int) {
	c.t.Helper()
	c.writeMessage([]any{2, "revoke", []any{number}})
}

// TestSharedConnection_CancelledWhilePathInterrupted_RequestDoesNotArrive guards against a request that its client has
// given up, that the network holds on a connection with other requests, and that reaches its worker later.
func TestSharedConnection_CancelledWhilePathInterrupted_RequestDoesNotArrive(t *testing.T) {
	discovery, err := platformdiscovery.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Close)
	arrivals := make(chan uint64, 8*sharingRequests)
	worker, err := platformworker.Start(func(_ *platformworker.Conn, f workerframe.Frame) {
		if f.Code == workerframe.Request {
			arrivals <- f.ID
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(worker.Close)
	held := make(chan struct{}, 1)
	proxy, err := faultproxy.StartWithTap(worker.Address(), func() io.WriteCloser {
		watch := &frameWatch{found: held}
		binary.BigEndian.PutUint64(watch.id[:], cancelledID)
		return watch
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	frontEnd := startProcess(t, fmt.Sprintf(fewDescriptorsConfig, discovery.Address(), proxy.Address()))
	client := frontEnd.connect(frontEnd.waitForLog("running")["listen"].(string))
	for id := range uint64(sharingRequests) {
		client.submit(id + 1)
		<-arrivals
	}
	proxy.StallForward()
	number := client.submit(cancelledID)
	<-held
	client.cancel(number)
	giveUp := time.AfterFunc(sharedConnectionPatience, func() { frontEnd.signal(syscall.SIGKILL) })
	frontEnd.waitForLog(workerconn.ErrNotReceived.Error())
	giveUp.Stop()
	proxy.ResumeForward()
	if retried := <-arrivals; retried == cancelledID {
		t.Error("a request that was cancelled while the path was interrupted reached its worker")
	}
}
