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

// worker is a worker in the endpoint list, or one that was removed from the list and still has work in flight.
type worker struct {
	discovery.Worker
	id              scheduler.WorkerID
	client          WorkerClient
	previousClients []WorkerClient // clients of the worker's previous addresses that still have work in flight
	state           scheduler.WorkerState
	disconnected    bool // whether a disconnect was reported since the last connect
	readiness       readiness
}

// location returns the worker's zone and cell, which the scope of an idempotency key refers to.
func (w *worker) location() execution.Location {
	if w.readiness.unidentifiedCell != 0 {
		return execution.Location{Zone: w.Zone, Cell: "unidentified " + strconv.Itoa(w.readiness.unidentifiedCell)}
	}
	return execution.Location{Zone: w.Zone, Cell: w.Cell}
}

// addLogFields adds the worker's name to a log line, and its identifier, which the scheduler's log messages use.
func (w *worker) addLogFields(line *zerolog.Event) *zerolog.Event {
	return line.Str("worker", w.Name).Str("worker-id", strconv.FormatUint(uint64(w.id), 16))
}

// cancelUnsent cancels an attempt if no part of it was written, and reports whether it did. The attempt either waits for
// the worker's confirmation, in which case endAttempt removes it, or is held by a client.
func (w *worker) cancelUnsent(attempt *requestAttempt) bool {
	if attempt.state == attemptAwaitingWorker {
		return true
	}
	cancel := func(client WorkerClient) bool { return client.CancelUnsent(&attempt.Attempt) }
	return cancel(w.client) || slices.ContainsFunc(w.previousClients, cancel)
}

// isReceived reports whether the worker is known to have received an attempt, or the attempt has ended. The clients that
// do not hold the attempt report that it has ended.
func (w *worker) isReceived(attempt *requestAttempt) bool {
	received := func(client WorkerClient) bool { return client.IsReceived(&attempt.Attempt) }
	return received(w.client) && !slices.ContainsFunc(w.previousClients, func(c WorkerClient) bool { return !received(c) })
}

// abandon stops waiting for an attempt at the client that holds it, and reports whether the worker may have received
// it.
func (w *worker) abandon(attempt *requestAttempt) bool {
	mayBeReceived := w.client.Abandon(&attempt.Attempt)
	for _, client := range w.previousClients {
		if client.Abandon(&attempt.Attempt) {
			mayBeReceived = true
		}
	}
	return mayBeReceived
}

// WorkerConnected handles the handshake in which a worker describes itself on a new connection.
func (f *FrontEnd) WorkerConnected(now time.Duration, id scheduler.WorkerID, welcome muxframe.Welcome) {
	f.now = now
	w := f.workers[id]
	if w == nil {
		return
	}
	w.disconnected = false
	uptime := time.Duration(welcome.UptimeMillis) * time.Millisecond
	w.addLogFields(f.log.Debug()).Dur("uptime", uptime).Msg("worker connected")
	info, restarted := f.incarnations.ObserveConnection(now, id, welcome.Incarnation, uptime)
	if restarted && w.state == scheduler.Ready {
		w.addLogFields(f.log.Info()).Dur("uptime", uptime).Msg("worker restarted, as its handshake reports")
		f.scheduler.WorkersChanged(now, []scheduler.WorkerInfo{info}, false)
	}
	f.runDeferred()
}

// WorkerDisconnected records that there is no connection to a worker. It does not notify the scheduler, which learns
// of it from the outcomes of attempts.
func (f *FrontEnd) WorkerDisconnected(now time.Duration, id scheduler.WorkerID, cause error) {
	f.now = now
	w := f.workers[id]
	if w == nil || w.disconnected {
		return
	}
	w.disconnected = true
	w.addLogFields(f.log.Warn()).Err(cause).Msg("worker disconnected")
}
