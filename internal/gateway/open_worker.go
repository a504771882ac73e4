package gateway

import (
	"slices"
	"time"

	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// This file starts worker clients and keeps track of those that the event loop has to wait for when it ends.

// minPrune is the minimum number of worker clients at which ended ones are pruned.
const minPrune = 16

// Dial starts a client of a worker for the event loop that provides runtime.
type Dial func(id scheduler.WorkerID, w discovery.Worker, runtime ClientRuntime) AwaitableWorkerClient

// ClientRuntime is what an event loop provides to a worker client.
type ClientRuntime struct {
	Now    func() time.Duration // returns the time on the loop's clock
	Events muxclient.Events     // receives the client's reports
	Guard  *workerconn.WriteGuard
}

// AwaitableWorkerClient is a WorkerClient whose goroutines can be waited for.
type AwaitableWorkerClient interface {
	WorkerClient
	// Done returns a channel that is closed when all goroutines of the client have ended after Stop.
	Done() <-chan struct{}
}

// OpenWorker implements Dependencies.
func (l *EventLoop) OpenWorker(id scheduler.WorkerID, w discovery.Worker) WorkerClient {
	if l.newTestClient != nil {
		return l.newTestClient(l)
	}
	if len(l.workerClients) >= l.nextPrune {
		l.pruneWorkerClients()
	}
	client := l.newWorkerClient(id, w)
	l.workerClients = append(l.workerClients, client)
	return client
}

// pruneWorkerClients removes the ended clients from the list. It runs again when the list has doubled in length, so
// that the amortized cost per opened client is constant.
func (l *EventLoop) pruneWorkerClients() {
	l.workerClients = slices.DeleteFunc(l.workerClients, func(client AwaitableWorkerClient) bool {
		select {
		case <-client.Done():
			return true
		default:
			return false
		}
	})
	l.nextPrune = max(minPrune, 2*len(l.workerClients))
}

// newWorkerClient starts a client for the protocol that the loop is configured with.
func (l *EventLoop) newWorkerClient(id scheduler.WorkerID, w discovery.Worker) AwaitableWorkerClient {
	if l.cfg.Dial != nil {
		return l.cfg.Dial(id, w, ClientRuntime{Now: l.Now, Events: workerEvents{l, id}, Guard: l.guard})
	}
	cfg := l.cfg.WorkerClient
	cfg.Worker = w.Name
	cfg.Address = w.Address
	cfg.Now = l.Now
	cfg.FrontEnd = l.cfg.Name
	cfg.Guard = l.guard
	cfg.Seed = l.cfg.Scheduler.Seed ^ uint64(id)
	return muxclient.New(cfg, workerEvents{l, id})
}
