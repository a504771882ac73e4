package workerclient

import (
	"fmt"
	"net"
	"time"

	"havencart/internal/decide/connpool"
	"havencart/internal/platform/workerframe"
	"havencart/internal/socket"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// maxWriterSleep is the time for which the writer waits while the connection has unfinished work but nothing to write.
// It is an upper bound only: the writer is notified earlier if anything changes.
const maxWriterSleep = time.Hour

// writeBatch is the batch of frames of one write to a connection.
type writeBatch = workerconn.WriteBatch[workerframe.Frame]

// write writes the queued frames until the network connection breaks or is no longer needed, readDone is closed, or the
// client is stopped. It runs in a goroutine that serve starts.
func (c *connection) write(netConn net.Conn, readDone <-chan struct{}) error {
	var batch writeBatch
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := c.checkPeerBeforeWrite(netConn); err != nil {
			return fmt.Errorf("write to %s: %w", c.client.cfg.Worker, err)
		}
		if err := c.checkReceipts(); err != nil {
			return err
		}
		idleTime, unneeded := c.nextBatch(netConn, &batch)
		batch.ReportUnsent(c.client.events)
		if len(batch.Bytes) > 0 {
			if err := c.sendBatch(netConn, &batch); err != nil {
				return err
			}
			continue
		}
		if unneeded {
			return workerconn.ErrIdle
		}
		timer.Reset(idleTime)
		select {
		case <-readDone:
			return nil
		case <-c.client.ctx.Done():
			return errStopped
		case <-c.wake:
		case <-timer.C:
		}
	}
}

// sendBatch writes a batch. If the write fails, it reports the items that were not completely written as ConnectFailed,
// because the worker cannot have executed them.
func (c *connection) sendBatch(netConn net.Conn, batch *writeBatch) error {
	written, err := netConn.Write(batch.Bytes)
	c.client.mu.Lock()
	unsent := c.queue.BatchWritten(c.client.cfg.Guard, c.client.cfg.Now(), batch, written)
	c.client.removeFinished(unsent)
	c.client.mu.Unlock()
	if len(unsent) > 0 {
		reason := fmt.Sprintf("not written whole: %v", err)
		workerconn.NotifyEnded(c.client.events, unsent, scheduler.ConnectFailed, scheduler.ConnectFailed, reason)
	}
	if err != nil {
		return fmt.Errorf("write to %s: %w", c.client.cfg.Worker, err)
	}
	return nil
}

// checkPeerBeforeWrite returns an error if the worker has closed an idle connection that is about to be used. Without
// this check, a request could be written after the worker has closed the connection but before the client has read the
// end of the stream. Such a request would never be executed, but the client could not rule out its execution. The check
// costs one system call for each use of an idle connection.
func (c *connection) checkPeerBeforeWrite(netConn net.Conn) error {
	if !c.isLeavingIdle() {
		return nil
	}
	return socket.PeerClosed(netConn)
}

// isLeavingIdle reports whether frames are queued on a connection that has received a response and has nothing in
// flight.
func (c *connection) isLeavingIdle() bool {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	return c.received && c.queue.Queued() > 0 && c.queue.InFlight() == 0
}

// nextBatch encodes the next batch. If the batch is empty, it returns whether the connection is no longer needed and,
// if it is still needed, the time for which the writer should wait. The write timeout is set while the client's lock is
// held, so that a later call of Drain or Abandon can shorten it.
func (c *connection) nextBatch(netConn net.Conn, batch *writeBatch) (idleTime time.Duration, unneeded bool) {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	now := c.client.cfg.Now()
	c.queue.NextBatch(c.client.cfg.Guard, now, batch, c.encode)
	if len(batch.Bytes) > 0 {
		c.writeLimit.Start(netConn, batch.Timeout(now, connpool.WriteTimeout()))
	}
	if batch.NotAfter > 0 {
		c.requestReceipt()
	}
	c.client.removeFinished(batch.Unencodable)
	c.client.removeFinished(batch.Expired)
	if batch.DeferredNewWork {
		return workerconn.LeaseRetryInterval, false
	}
	if c.isNeeded() {
		return c.timeUntilReceiptDue(now), false
	}
	isOnly := len(c.client.connections) == 1
	idleTime = c.lastUsed + connpool.IdleTimeout(isOnly, c.client.cfg.IdleTimeout) - c.client.cfg.Now()
	if len(batch.Bytes) > 0 {
		return idleTime, false
	}
	unneeded = idleTime <= 0 || c.draining || !c.client.cfg.Budget.setIdle(c)
	if unneeded {
		c.draining = true
	}
	return idleTime, unneeded
}

// isNeeded reports whether the connection has attempts, load orders or health checks without a response. It requires that
// client.mu is held.
func (c *connection) isNeeded() bool { return c.queue.Unfinished() > 0 || len(c.healthChecks) > 0 }

// encode appends the encoded frame of an item to buffer.
func (c *connection) encode(buffer []byte, item queueItem) ([]byte, error) {
	return workerframe.Append(buffer, workerframe.MagicFrontEnd, c.frameOf(item))
}

// frameOf returns the frame of an item. The timeout of a request is at least one millisecond.
func (c *connection) frameOf(item queueItem) workerframe.Frame {
	switch {
	case item.Attempt != nil:
		request := item.Attempt.Request
		fields := workerframe.RequestFields{
			Class:          request.Class,
			Function:       request.Replica.Function,
			TimeoutMillis:  max(1, (item.Attempt.Deadline - c.client.cfg.Now()).Milliseconds()),
			IdempotencyKey: request.IdempotencyKey,
		}
		return workerframe.Frame{Code: workerframe.Request, ID: item.Number(), Fields: fields.String(), Body: item.Attempt.Body}
	case item.Load != nil:
		order := item.Load.Load
		fields := workerframe.LoadFields{Function: order.Replica.Function, Replicas: order.Replicas}
		return workerframe.Frame{Code: workerframe.Load, ID: item.Number(), Fields: fields.String()}
	}
	return item.Frame
}
