package gateway

import "time"

// StopAdmitting makes the FrontEnd reject all further requests. Requests in flight continue.
func (f *FrontEnd) StopAdmitting(now time.Duration) {
	f.now = now
	f.shuttingDown = true
}

// Abort ends all requests in flight immediately, each with a final response, and stops the worker clients.
func (f *FrontEnd) Abort(now time.Duration) {
	f.now = now
	for _, id := range sortedKeys(f.requests) {
		f.abort(f.requests[id], Aborted)
		f.runDeferred()
	}
	f.failWaiting()
	for _, id := range sortedKeys(f.workers) {
		w := f.workers[id]
		for _, client := range append(w.previousClients, w.client) {
			client.Stop()
		}
	}
}
