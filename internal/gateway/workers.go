package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"havencart/internal/decide/execution"
	"havencart/internal/discovery"
	"havencart/internal/native/muxframe"
	"havencart/scheduler"
)

// worker is a worker of the endpoint list, or one removed from it with something in flight.
type worker struct {
	discovery.Worker
	id              scheduler.WorkerID
	client          WorkerClient
	previousClients []WorkerClient // of its previous addresses, with something in flight
	state           scheduler.WorkerState
	disconnected    bool // reported since it was last connected
	readiness       readiness
}

// location is where the worker stands, as the scope of an idempotency key has it.
func (w *worker) location() execution.Location { return execution.Location{Zone: w.Zone, Cell: w.Cell} }

// named adds the worker to a line of the log, by its name and by the identifier that the scheduler's lines have.
func (w *worker) named(line *zerolog.Event) *zerolog.Event {
	return line.Str("worker", w.Name).Str("worker-id", strconv.FormatUint(uint64(w.id), 16))
}

// cancelUnsent takes an attempt back from the client that has it, if none of it was written, and reports whether it
// did.
func (w *worker) cancelUnsent(attempt *requestAttempt) bool {
	cancel := func(client WorkerClient) bool { return client.CancelUnsent(&attempt.Attempt) }
	return cancel(w.client) || slices.ContainsFunc(w.previousClients, cancel)
}

// abandon gives an attempt up at the client that has it, and reports whether the worker may have received it.
func (w *worker) abandon(attempt *requestAttempt) bool {
	mayBeReceived := w.client.Abandon(&attempt.Attempt)
	for _, client := range w.previousClients {
		if client.Abandon(&attempt.Attempt) {
			mayBeReceived = true
		}
	}
	return mayBeReceived
}

// WorkerConnected takes what a worker reported of itself on a new connection.
func (f *FrontEnd) WorkerConnected(now time.Duration, id scheduler.WorkerID, welcome muxframe.Welcome) {
	f.now = now
	w := f.workers[id]
	if w == nil {
		return
	}
	w.disconnected = false
	uptime := time.Duration(welcome.UptimeMillis) * time.Millisecond
	w.named(f.log.Debug()).Dur("uptime", uptime).Msg("worker connected")
	info, restarted := f.incarnations.ObserveConnection(now, id, welcome.Incarnation, uptime)
	if restarted && w.state == scheduler.Ready {
		w.named(f.log.Info()).Dur("uptime", uptime).Msg("worker restarted, as its handshake reports")
		f.scheduler.WorkersChanged(now, []scheduler.WorkerInfo{info}, false)
	}
	f.runDeferred()
}

// WorkerDisconnected notes that there is no connection to a worker. The scheduler learns it from the attempts.
func (f *FrontEnd) WorkerDisconnected(now time.Duration, id scheduler.WorkerID, cause error) {
	f.now = now
	w := f.workers[id]
	if w == nil || w.disconnected {
		return
	}
	w.disconnected = true
	w.named(f.log.Warn()).Err(cause).Msg("worker disconnected")
}
