package soak

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"havencart/internal/platform/endpointstream"
	"havencart/internal/platform/workerframe"
	"havencart/lab/faultproxy"
	"havencart/lab/platformworker"
)

// The times of an emulated worker.
const (
	meanRunTime = 40 * time.Millisecond
	loadTime    = 150 * time.Millisecond
)

// behavior is how a worker answers.
type behavior int32

const (
	serves     behavior = iota
	isSilent            // takes requests and answers none
	fails               // answers each with an error: it may have run
	overloaded          // answers each that it is overloaded: it did not run
	breaksOff           // closes the connection in place of an answer
)

// worker is an emulated worker behind a proxy. Arrivals are noted where a front end's bytes reach the proxy, as the
// network between is part of what is emulated.
type worker struct {
	entry    endpointstream.Entry
	history  *History
	server   *platformworker.Server
	proxy    *faultproxy.Proxy
	behavior atomic.Int32
	draining atomic.Bool    // it rejects new work
	tasks    sync.WaitGroup // answers that are to come

	mu  sync.Mutex
	rng *rand.Rand
}

// startWorker starts a worker of a cell. started is in Unix milliseconds, 0 if it is not announced.
func startWorker(history *History, id uint32, cell int, started int64, rng *rand.Rand) (*worker, error) {
	w := &worker{history: history, rng: rng}
	var err error
	if w.server, err = platformworker.StartScripted(w.handle); err != nil {
		return nil, err
	}
	if w.proxy, err = faultproxy.StartWithTap(w.server.Address(), w.tap); err != nil {
		w.server.Close()
		return nil, err
	}
	address, err := parseAddress(w.proxy.Address())
	if err != nil {
		w.close()
		return nil, err
	}
	w.entry = endpointstream.Entry{ID: id, Address: address, Cell: cell, Weight: 1, StartedUnixMilli: started}
	return w, nil
}

// close ends the worker as the end of its machine does.
func (w *worker) close() {
	w.proxy.Close()
	w.server.Close()
	w.tasks.Wait()
}

// set changes how the worker answers.
func (w *worker) set(b behavior) { w.behavior.Store(int32(b)) }

// tap notes what front ends send on a connection.
func (w *worker) tap() io.WriteCloser { return &frameTap{worker: w} }

// frameTap notes the frames of one connection as their last byte is written to it, and so before they are forwarded: the
// arrival of an attempt is noted before its answer can lead to another one.
type frameTap struct {
	worker *worker
	rest   []byte // the begin of a frame
}

// Write implements io.Writer.
func (t *frameTap) Write(part []byte) (int, error) {
	t.rest = append(t.rest, part...)
	for {
		unread := bytes.NewReader(t.rest)
		frame, err := workerframe.NewReader(unread, workerframe.FromFrontEnd, workerframe.MaxBody).Next()
		if err != nil {
			return len(part), nil // not whole yet
		}
		t.rest = t.rest[len(t.rest)-unread.Len():]
		t.worker.note(frame)
	}
}

// Close implements io.Closer.
func (t *frameTap) Close() error { return nil }

// note notes a frame of a front end.
func (w *worker) note(frame workerframe.Frame) {
	switch frame.Code {
	case workerframe.Request:
		ttl, _ := workerframe.Count(frame.Fields, "ttl", 0)
		w.history.Arrived(Arrival{
			RequestID: requestID(frame.ID),
			Worker:    w.entry.Name(),
			Cell:      w.entry.Cell,
			TTL:       time.Duration(ttl) * time.Millisecond,
		})
	case workerframe.Load:
		if platformworker.IsNewWork(frame) {
			w.history.OrderedToLoad(w.entry.Name())
		}
	}
}

// requestID is a request's identifier as clients write it.
func requestID(number uint64) string { return fmt.Sprintf("%016x", number) }

// handle answers one frame. It is a platformworker.Script.
func (w *worker) handle(c *platformworker.Conn, frame workerframe.Frame) {
	if behavior(w.behavior.Load()) == isSilent {
		return
	}
	draining := w.draining.Load()
	switch {
	case platformworker.IsHealthCheck(frame):
		c.Respond(platformworker.Health(frame, draining))
	case draining && platformworker.IsNewWork(frame):
		w.reject(c, frame)
	case frame.Code == workerframe.Request:
		w.handleRequest(c, frame)
	case frame.Code == workerframe.Load:
		w.handleLoad(c, frame)
	}
}

// reject answers new work that the worker does not take on.
func (w *worker) reject(c *platformworker.Conn, frame workerframe.Frame) {
	if frame.Code == workerframe.Request {
		w.history.NotRun(requestID(frame.ID), w.entry.Name())
	}
	c.Respond(workerframe.Frame{Code: workerframe.Overloaded, ID: frame.ID})
}

func (w *worker) handleRequest(c *platformworker.Conn, frame workerframe.Frame) {
	switch behavior(w.behavior.Load()) {
	case fails:
		c.Respond(workerframe.Frame{Code: workerframe.Error, ID: frame.ID})
	case overloaded:
		w.reject(c, frame)
	case breaksOff:
		c.Reset()
	default:
		w.later(w.runTime(), func() {
			c.Respond(workerframe.Frame{Code: workerframe.OK, ID: frame.ID, Body: echo(requestID(frame.ID))})
		})
	}
}

func (w *worker) handleLoad(c *platformworker.Conn, frame workerframe.Frame) {
	replicas, _ := workerframe.Count(frame.Fields, "replicas", 0)
	answer := workerframe.Frame{Code: workerframe.OK, ID: frame.ID, Fields: "replicas=" + strconv.Itoa(replicas)}
	if replicas == 0 {
		c.Respond(answer)
		return
	}
	w.later(loadTime, func() { c.Respond(answer) })
}

// later does something after a time; close waits for it.
func (w *worker) later(d time.Duration, do func()) {
	w.tasks.Go(func() {
		time.Sleep(d)
		do()
	})
}

// runTime draws the time of one execution.
func (w *worker) runTime() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rng.ExpFloat64() * float64(meanRunTime))
}

// echo is the body that a worker makes for a request.
func echo(id string) []byte { return []byte("ran " + id) }
