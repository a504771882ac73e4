package muxclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"havencart/internal/decide/reconnect"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// readBufferSize is the size in bytes of a connection's read buffer.
const readBufferSize = 32 << 10

// errStopped is the reason of results that end because the client was stopped.
var errStopped = errors.New("link closed")

// run connects to the worker and serves the connection, and reconnects when the connection ends, until ctx is done. It
// runs in the client's goroutine.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	backoff := reconnect.NewBackoff(c.cfg.Seed)
	for {
		err := c.connectAndServe(ctx, backoff)
		backoff.Failed(c.cfg.Now())
		if ctx.Err() != nil {
			err = errStopped
			c.rejectNewWork()
		}
		c.endUnfinished(err)
		if ctx.Err() != nil || !c.awaitReconnect(ctx, backoff) {
			c.rejectNewWork()
			c.endUnfinished(errStopped) // ends what was queued since the previous call
			return
		}
	}
}

// rejectNewWork makes the client reject all further attempts and load orders.
func (c *Client) rejectNewWork() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// awaitReconnect waits until the next connection attempt is due. The wait is shortened when something is queued. It
// returns false when ctx is done.
func (c *Client) awaitReconnect(ctx context.Context, backoff *reconnect.Backoff) bool {
	for {
		wait := backoff.NextDial() - c.cfg.Now()
		if wait <= 0 {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-c.connectSignal:
			backoff.Requested()
		case <-timer.C:
		}
		timer.Stop()
	}
}

// connectAndServe connects to the worker and serves the connection until it breaks or ctx is done. It returns the
// reason why the connection ended or could not be established.
func (c *Client) connectAndServe(ctx context.Context, backoff *reconnect.Backoff) error {
	session, err := c.connect(ctx)
	if err != nil {
		return err
	}
	backoff.Connected()
	c.connected(session.conn)
	c.events.Connected(session.welcome)
	write := func(readDone <-chan struct{}) error { return c.write(session.conn, readDone) }
	read := func() error { return c.read(session.reader) }
	err = workerconn.Serve(ctx, session.conn, write, read)
	c.disconnected()
	return err
}

// connected records the connection and starts its keepalive.
func (c *Client) connected(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
	c.pings = nil
	c.keepalive = reconnect.NewKeepalive(c.cfg.Now())
}

// disconnected records that there is no connection.
func (c *Client) disconnected() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = nil
}

// session is a connection that has completed the handshake.
type session struct {
	conn    net.Conn
	reader  *muxframe.Reader
	welcome muxframe.Welcome
}

// connect dials the worker and performs the handshake, both within ConnectTimeout. The caller must close the connection
// of the session.
func (c *Client) connect(ctx context.Context) (session, error) {
	dialCtx, cancel := context.WithTimeout(ctx, c.cfg.ConnectTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(dialCtx, "tcp", c.cfg.Address)
	if err != nil {
		return session{}, fmt.Errorf("connect to %s: %w", c.cfg.Worker, err)
	}
	stopClosing := context.AfterFunc(dialCtx, func() { _ = conn.Close() })
	reader, welcome, err := c.handshake(conn)
	if !stopClosing() && err == nil {
		err = context.Cause(dialCtx)
	}
	if err != nil {
		_ = conn.Close()
		return session{}, fmt.Errorf("handshake with %s: %w", c.cfg.Worker, err)
	}
	return session{conn: conn, reader: reader, welcome: welcome}, nil
}

// handshake sends HELLO and reads and checks the worker's WELCOME.
func (c *Client) handshake(conn net.Conn) (*muxframe.Reader, muxframe.Welcome, error) {
	var welcome muxframe.Welcome
	hello := muxframe.Hello{Version: muxframe.Version, FrontEnd: c.cfg.FrontEnd}
	encoded, err := muxframe.Append(nil, muxframe.TypeHello, 0, hello, nil)
	if err != nil {
		return nil, welcome, err
	}
	if _, err := conn.Write(encoded); err != nil {
		return nil, welcome, err
	}
	reader := muxframe.NewReader(bufio.NewReaderSize(conn, readBufferSize), c.cfg.MaxFrame)
	frame, err := reader.Next()
	if err != nil {
		return nil, welcome, err
	}
	if frame.Type != muxframe.TypeWelcome {
		return nil, welcome, fmt.Errorf("%w: %v in place of welcome", muxframe.ErrMalformed, frame.Type)
	}
	if err := frame.Decode(&welcome); err != nil {
		return nil, welcome, err
	}
	return reader, welcome, c.checkWelcome(welcome)
}

// checkWelcome returns an error if the worker rejected the connection, uses another protocol version or has another
// name than expected.
func (c *Client) checkWelcome(welcome muxframe.Welcome) error {
	switch {
	case welcome.RejectionReason != "":
		return fmt.Errorf("refused: %s", welcome.RejectionReason)
	case welcome.Version != muxframe.Version:
		return fmt.Errorf("it speaks version %d, this is %d", welcome.Version, muxframe.Version)
	case welcome.Worker != c.cfg.Worker:
		return fmt.Errorf("worker %q answers at %s", welcome.Worker, c.cfg.Address)
	}
	return nil
}

// endUnfinished ends everything that is queued or in flight after the connection broke or could not be established. It
// reports the results, and that there is no connection.
func (c *Client) endUnfinished(reason error) {
	c.mu.Lock()
	unsent := c.queue.RemoveQueued()
	inFlight := c.queue.RemoveInFlight()
	started := c.started
	c.started = map[*workerconn.Attempt]*workerconn.Result{}
	healthChecks := c.healthChecks
	c.healthChecks = nil
	c.mu.Unlock()
	for _, response := range started {
		response.Response.Stream.End(fmt.Errorf("%w: %w", workerconn.ErrIncomplete, reason))
	}
	workerconn.NotifyEnded(c.events, unsent, scheduler.ConnectFailed, scheduler.ConnectFailed, reason.Error())
	workerconn.NotifyEnded(c.events, inFlight, scheduler.Reset, scheduler.Reset, reason.Error())
	for _, check := range healthChecks {
		c.events.HealthChecked(check, scheduler.ConnectFailed, nil)
	}
	c.events.Disconnected(reason)
}
