package muxclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"havencart/internal/decide/reconnect"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// errClosed is why a link that was closed by its owner is down.
var errClosed = errors.New("link closed")

// Link is the way to one worker. Its methods never block on the network.
type Client struct {
	cfg    Config
	events Events
	cancel context.CancelFunc
	done   chan struct{}
	kick   chan struct{} // something to write
	wanted chan struct{} // something waits for a connection

	mu       sync.Mutex
	box      workerconn.SendQueue[frame]
	streams  map[*workerconn.Attempt]*workerconn.Result // answers that began and did not end, as they began
	probes   int                                        // asked, not answered
	last     uint32                                     // number given last
	conn     net.Conn
	pulse    *reconnect.Keepalive
	draining bool
	closed   bool
}

// frame is one that belongs to no attempt that waits and to no order.
type frame struct {
	kind   muxframe.Type
	number uint32
	header any
}

// New starts a link; Close ends it.
func New(cfg Config, events Events) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Client{cfg: cfg, events: events, cancel: cancel, done: make(chan struct{}), kick: make(chan struct{}, 1),
		wanted: make(chan struct{}, 1), box: workerconn.NewSendQueue[frame](), streams: map[*workerconn.Attempt]*workerconn.Result{}}
	go l.run(ctx)
	return l
}

// Stop ends the link. What was under way ends as on a broken connection; Done tells when all is told.
func (l *Client) Stop() { l.cancel() }

// Done is closed when the link's goroutines have ended, after Stop.
func (l *Client) Done() <-chan struct{} { return l.done }

// Send writes a as soon as it can and returns nil; its end is told by Events. What cannot be taken on returns
// its end at once.
func (l *Client) Send(a *workerconn.Attempt) *workerconn.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.draining:
		a.Reject()
		return &workerconn.Result{Status: scheduler.NotSent, Reason: "the worker drains", QueueDepth: -1}
	case l.closed || l.box.Queued() >= l.cfg.MaxQueue:
		a.Reject()
		return &workerconn.Result{Status: scheduler.ConnectFailed, Reason: "the link's queue is full or closed", QueueDepth: -1}
	}
	l.box.PushAttempt(l.number(), a)
	l.wake()
	return nil
}

// Withdraw takes back an attempt that has not begun to leave, and says whether it did: its end is then not told.
func (l *Client) CancelUnsent(a *workerconn.Attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.box.CancelUnsent(a)
}

// Abandon gives an attempt up: its end is not told after this, unless it already was. It returns whether the
// worker may have seen it; if so it is told that nobody waits.
func (l *Client) Abandon(a *workerconn.Attempt) (mayHaveLeft bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	underWay, mayHaveLeft := l.box.Abandon(a)
	if underWay {
		if begun := l.streams[a]; begun != nil {
			delete(l.streams, a)
			begun.Response.Stream.End(fmt.Errorf("%w: given up here", workerconn.ErrIncomplete))
		}
		l.push(frame{kind: muxframe.TypeCancel, number: uint32(a.Number())})
	}
	return mayHaveLeft
}

// Load gives an order and returns 0; its answer is told by Events. What cannot be taken on returns its status
// at once.
func (l *Client) Load(o *workerconn.LoadOrder) scheduler.Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	if status := l.orderable(o); status != 0 {
		o.Reject()
		return status
	}
	l.box.PushLoad(l.number(), o)
	l.wake()
	return 0
}

// orderable says why an order cannot be written, 0 if it can.
func (l *Client) orderable(o *workerconn.LoadOrder) scheduler.Status {
	switch {
	case l.draining && o.Load.Replicas > 0:
		return scheduler.Overloaded
	case l.closed || l.box.Queued() >= l.cfg.MaxQueue:
		return scheduler.ConnectFailed
	}
	return 0
}

// AbandonOrder gives an order up: its answer is not told after this.
func (l *Client) AbandonLoad(o *workerconn.LoadOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.box.AbandonLoad(o)
}

// Unload asks the worker to unload the idle copies of a function. Nothing tells whether it did.
func (l *Client) Unload(function string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(frame{kind: muxframe.TypeUnload, header: muxframe.Unload{Function: function}})
}

// Probe asks the worker for its load; the answer is told by Events.
func (l *Client) CheckHealth() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.probes++
	l.push(frame{kind: muxframe.TypeHealthCheck})
}

// Drain takes back all new work that has not left, returns it, and takes on none from now: none of it ran.
// What is being written has until the grace is over. What has left goes on. Resume ends it.
func (l *Client) Drain(grace time.Duration) (attempts []*workerconn.Attempt, orders []*workerconn.LoadOrder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	if l.box.IsWritingNewWork() && l.conn != nil {
		l.setWriteDeadline(grace)
	}
	return l.box.RemoveNewWork()
}

// Resume lets new work through again.
func (l *Client) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = false
}

// Busy says whether attempts or orders are under way, with all that waits here.
func (l *Client) Busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.box.Queued()+l.box.Unfinished() > 0
}

// number gives the next call number; 0 is never one.
func (l *Client) number() uint64 {
	if l.last++; l.last == 0 {
		l.last++
	}
	return uint64(l.last)
}

// push adds a frame; the lock is held.
func (l *Client) push(f frame) {
	l.box.Push(f)
	l.wake()
}

// wake tells who writes, or dials, that something waits; the lock is held.
func (l *Client) wake() {
	wake := l.kick
	if l.conn == nil {
		wake = l.wanted
	}
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (l *Client) setWriteDeadline(after time.Duration) {
	_ = l.conn.SetWriteDeadline(time.Now().Add(after)) // fails on a closed connection only, whose writes fail too
}

// run dials, serves and dials again until the link is closed.
func (l *Client) run(ctx context.Context) {
	defer close(l.done)
	redial := reconnect.NewBackoff(l.cfg.Seed)
	for {
		err := l.connect(ctx, redial)
		redial.Failed(l.cfg.Now())
		if ctx.Err() != nil {
			err = errClosed
			l.mu.Lock()
			l.closed = true
			l.mu.Unlock()
		}
		l.lost(err)
		if ctx.Err() != nil || !l.pause(ctx, redial) {
			l.mu.Lock()
			l.closed = true
			l.mu.Unlock()
			l.lost(errClosed)
			return
		}
	}
}

// pause waits until the next attempt to connect is due. A call that waits makes it due sooner.
func (l *Client) pause(ctx context.Context, redial *reconnect.Backoff) bool {
	for {
		wait := redial.NextDial() - l.cfg.Now()
		if wait <= 0 {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-l.wanted:
			redial.Requested()
		case <-timer.C:
		}
		timer.Stop()
	}
}

// connect makes one connection and serves it until it breaks; it returns why it did.
func (l *Client) connect(ctx context.Context, redial *reconnect.Backoff) error {
	conn, reader, welcome, err := l.greet(ctx)
	if err != nil {
		return err
	}
	redial.Connected()
	l.mu.Lock()
	l.conn, l.pulse = conn, reconnect.NewKeepalive(l.cfg.Now())
	l.mu.Unlock()
	l.events.Connected(welcome)
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	wrote, gone := make(chan error, 1), make(chan struct{})
	go func() {
		err := l.write(conn, gone)
		conn.Close() // ends the reading below
		wrote <- err
	}()
	err = l.read(conn, reader)
	conn.Close()
	close(gone)
	if writeErr := <-wrote; writeErr != nil {
		err = writeErr
	}
	l.mu.Lock()
	l.conn = nil
	l.mu.Unlock()
	return err
}

// greet dials and exchanges Hello and Welcome, all within ConnectTimeout.
func (l *Client) greet(ctx context.Context) (net.Conn, *muxframe.Reader, muxframe.Welcome, error) {
	var welcome muxframe.Welcome
	dialCtx, cancel := context.WithTimeout(ctx, l.cfg.ConnectTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(dialCtx, "tcp", l.cfg.Address)
	if err != nil {
		return nil, nil, welcome, fmt.Errorf("connect to %s: %w", l.cfg.Worker, err)
	}
	stop := context.AfterFunc(dialCtx, func() { conn.Close() })
	reader, welcome, err := l.handshake(conn)
	if !stop() && err == nil {
		err = context.Cause(dialCtx)
	}
	if err != nil {
		conn.Close()
		return nil, nil, welcome, fmt.Errorf("handshake with %s: %w", l.cfg.Worker, err)
	}
	return conn, reader, welcome, nil
}

func (l *Client) handshake(conn net.Conn) (*muxframe.Reader, muxframe.Welcome, error) {
	var welcome muxframe.Welcome
	hello, err := muxframe.Append(nil, muxframe.TypeHello, 0,
		muxframe.Hello{Version: muxframe.Version, FrontEnd: l.cfg.FrontEnd}, nil)
	if err != nil {
		return nil, welcome, err
	}
	if _, err := conn.Write(hello); err != nil {
		return nil, welcome, err
	}
	reader := muxframe.NewReader(newBuffered(conn), l.cfg.MaxFrame)
	f, err := reader.Next()
	if err != nil {
		return nil, welcome, err
	}
	if f.Type != muxframe.TypeWelcome {
		return nil, welcome, fmt.Errorf("%w: %v in place of welcome", muxframe.ErrMalformed, f.Type)
	}
	if err := f.Decode(&welcome); err != nil {
		return nil, welcome, err
	}
	switch {
	case welcome.Rejection != "":
		return nil, welcome, fmt.Errorf("refused: %s", welcome.Rejection)
	case welcome.Version != muxframe.Version:
		return nil, welcome, fmt.Errorf("it speaks version %d, this is %d", welcome.Version, muxframe.Version)
	case welcome.Worker != l.cfg.Worker:
		return nil, welcome, fmt.Errorf("worker %q answers at %s", welcome.Worker, l.cfg.Address)
	}
	return reader, welcome, nil
}

// lost ends all that was under way on a connection that broke, or waited for one that cannot be had.
func (l *Client) lost(why error) {
	l.mu.Lock()
	waiting := l.box.RemoveQueued()
	out := l.box.RemoveInFlight()
	begun := l.streams
	l.streams = map[*workerconn.Attempt]*workerconn.Result{}
	probes := l.probes
	l.probes = 0
	l.mu.Unlock()
	for _, r := range begun {
		r.Response.Stream.End(fmt.Errorf("%w: %w", workerconn.ErrIncomplete, why))
	}
	workerconn.NotifyEnded(l.events, waiting, scheduler.ConnectFailed, scheduler.ConnectFailed, why.Error())
	workerconn.NotifyEnded(l.events, out, scheduler.Reset, scheduler.Reset, why.Error())
	for range probes {
		l.events.HealthChecked(scheduler.ConnectFailed, nil)
	}
	l.events.Disconnected(why)
}

type (
	queueItem  = workerconn.QueueItem[frame]
	writeBatch = workerconn.WriteBatch[frame]
)
