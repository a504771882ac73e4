package muxclient

import (
	"errors"
	"fmt"
	"net"
	"time"

	"havencart/internal/decide/reconnect"
	"havencart/internal/native/muxframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// errKeepaliveTimeout is the reason for closing a connection on which the worker does not respond to pings.
var errKeepaliveTimeout = errors.New("no sign of life")

// write writes the queued frames, and pings when the keepalive requires one, until the connection breaks, the keepalive
// times out or readDone is closed. workerconn.Serve runs it in a separate goroutine.
func (c *Client) write(conn net.Conn, readDone <-chan struct{}) error {
	var batch writeBatch
	for {
		if c.isReceiptOverdue() {
			return fmt.Errorf("connection to %s: %w", c.cfg.Worker, workerconn.ErrNotReceived)
		}
		c.nextBatch(&batch)
		batch.ReportUnsent(c.events)
		if len(batch.Bytes) > 0 {
			if err := c.sendBatch(conn, &batch); err != nil {
				return err
			}
			continue
		}
		verdict, nextCheck := c.checkKeepalive()
		switch verdict {
		case reconnect.Dead:
			return fmt.Errorf("%s is silent: %w", c.cfg.Worker, errKeepaliveTimeout)
		case reconnect.Ping:
			continue // the ping is in the next batch
		}
		wait := nextCheck - c.cfg.Now()
		if batch.DeferredNewWork {
			wait = min(wait, workerconn.LeaseRetryInterval)
		}
		timer := time.NewTimer(wait)
		select {
		case <-readDone:
			timer.Stop()
			return nil
		case <-c.writeSignal:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// checkKeepalive returns the verdict of the keepalive and the time of the next check. It queues a ping if the keepalive
// requires one.
func (c *Client) checkKeepalive() (verdict reconnect.Verdict, nextCheck time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdict, nextCheck = c.keepalive.Check(c.cfg.Now())
	if verdict == reconnect.Ping {
		c.ping()
	}
	return verdict, nextCheck
}

// isReceiptOverdue reports whether the connection may hold an attempt that must not reach the worker any more.
func (c *Client) isReceiptOverdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	due, awaited := c.queue.ReceiptDue()
	return awaited && c.cfg.Now() >= due
}

// nextBatch encodes the next batch of queued frames. A ping follows a batch with an attempt that has a permit, so that
// its pong tells whether the attempt has arrived. nextBatch sets the write timeout while it holds the lock, so that a later
// call of Drain can shorten the timeout.
func (c *Client) nextBatch(batch *writeBatch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Now()
	c.queue.NextBatch(c.cfg.Guard, now, batch, c.encode)
	if len(batch.Bytes) > 0 {
		c.writeLimit.Start(c.conn, batch.Timeout(now, reconnect.WriteTimeout()))
	}
	if batch.NotAfter > 0 {
		c.ping()
	}
}

// sendBatch writes a batch. Attempts and load orders whose frames were not completely written were never executed and
// end as ConnectFailed.
func (c *Client) sendBatch(conn net.Conn, batch *writeBatch) error {
	written, err := conn.Write(batch.Bytes)
	c.mu.Lock()
	unsent := c.queue.BatchWritten(c.cfg.Guard, c.cfg.Now(), batch, written)
	for _, item := range unsent {
		delete(c.started, item.Attempt)
	}
	c.mu.Unlock()
	if len(unsent) > 0 {
		reason := fmt.Sprintf("not written whole: %v", err)
		workerconn.NotifyEnded(c.events, unsent, scheduler.ConnectFailed, scheduler.ConnectFailed, reason)
	}
	if err != nil {
		return fmt.Errorf("write to %s: %w", c.cfg.Worker, err)
	}
	return nil
}

// encode appends the frame of a queued item to buffer. The timeout in a REQUEST is the time left until the deadline of
// the attempt.
func (c *Client) encode(buffer []byte, item queueItem) ([]byte, error) {
	switch {
	case item.Attempt != nil:
		request := item.Attempt.Request
		request.TimeoutMillis = max(0, (item.Attempt.Deadline - c.cfg.Now()).Milliseconds())
		request.Window = uint32(c.cfg.Window)
		return muxframe.Append(buffer, muxframe.TypeRequest, uint32(item.Number()), request, item.Attempt.Body)
	case item.Load != nil:
		return muxframe.Append(buffer, muxframe.TypeLoadOrder, uint32(item.Number()), item.Load.Load, nil)
	}
	frame := item.Frame
	return muxframe.Append(buffer, frame.frameType, frame.streamID, frame.header, nil)
}
