package gateway

import "time"

// StopAdmitting rejects what is received from now on; what is in flight goes on.
func (f *FrontEnd) StopAdmitting(now time.Duration) {
	f.now = now
	f.shuttingDown = true
}

// Abort ends all that is in flight at once, each request with its final response, and stops the worker clients.
func (f *FrontEnd) Abort(now time.Duration) {
	f.now = now
	for _, id := range sortedKeys(f.requests) {
		f.abort(f.requests[id], Aborted)
		f.runDeferred()
	}
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		for _, client := range append(w.previousClients, w.client) {
			client.Stop()
		}
	}
}
