package gateway

import (
	"slices"
	"time"

	"havencart/internal/discovery"
	"havencart/internal/native/muxclient"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// This file starts the clients of workers, and keeps those that are to be waited for.

// minPrune is the least number of worker clients at which those that have ended are looked for.
const minPrune = 16

// Dial starts a client of a worker, which lives in the runtime of an event loop.
type Dial func(id scheduler.WorkerID, w discovery.Worker, runtime ClientRuntime) ClosableWorkerClient

// ClientRuntime is what an event loop provides to a worker client.
type ClientRuntime struct {
	Now    func() time.Duration // the loop's clock
	Events muxclient.Events     // where the client reports what happens
	Guard  *workerconn.Guard
}

// ClosableWorkerClient is a WorkerClient with goroutines to wait for.
type ClosableWorkerClient interface {
	WorkerClient
	// Done is closed when all of them have ended, after Stop.
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

// pruneWorkerClients forgets the clients that have ended. It is due again once there are twice as many, so that it costs
// little for each client that is opened.
func (l *EventLoop) pruneWorkerClients() {
	l.workerClients = slices.DeleteFunc(l.workerClients, func(client ClosableWorkerClient) bool {
		select {
		case <-client.Done():
			return true
		default:
			return false
		}
	})
	l.nextPrune = max(minPrune, 2*len(l.workerClients))
}

// newWorkerClient starts a client in the protocol of the configuration.
func (l *EventLoop) newWorkerClient(id scheduler.WorkerID, w discovery.Worker) ClosableWorkerClient {
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
