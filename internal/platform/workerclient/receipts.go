package workerclient

import (
	"fmt"
	"time"

	"havencart/internal/decide/connpool"
	"havencart/internal/workerconn"
)

// This file ensures that an attempt that was cancelled, or whose permit has ended, does not reach the worker later. The
// client sends a health check behind the attempt; the response shows that the worker has read the attempt.

// maxReceiptChecks is the number of unanswered health checks of requestReceipt on a connection above which no other is
// sent. An attempt that is not confirmed is treated as one that may arrive later.
const maxReceiptChecks = 64

// awaitReceipt limits how long the connection may stay open after an attempt on it was cancelled that the worker may not
// have received. It requires that client.mu is held.
func (c *connection) awaitReceipt(attempt *workerconn.Attempt) {
	if c.queue.IsReceived(attempt) {
		return
	}
	now := c.client.cfg.Now()
	timeout, limited := connpool.ReceiptTimeout(attempt.PermitEnded(now), c.client.cfg.HealthChecksAllowed)
	if !limited {
		return
	}
	c.queue.AwaitReceipt(attempt, now+timeout)
	c.writeLimit.Shorten(timeout)
	if timeout > 0 && c.isNeeded() {
		c.requestReceipt()
	}
}

// requestReceipt queues a health check whose response confirms everything written so far. It does nothing if the client
// itself may not send health checks, or if too many are unanswered. It requires that client.mu is held.
func (c *connection) requestReceipt() {
	if !c.client.cfg.HealthChecksAllowed || len(c.receiptChecks) >= maxReceiptChecks {
		return
	}
	number := c.client.randomNumber()
	c.receiptChecks[number] = c.queue.LastWritten()
	c.queue.Push(healthCheckFrame(number))
}

// receiptConfirmed handles the response to a health check of requestReceipt. It reports whether number is that of one.
// It requires that client.mu is held.
func (c *connection) receiptConfirmed(number uint64) bool {
	frame, awaited := c.receiptChecks[number]
	if awaited {
		delete(c.receiptChecks, number)
		c.queue.ConfirmReceipt(frame)
	}
	return awaited
}

// checkReceipts returns an error if a receipt is overdue.
func (c *connection) checkReceipts() error {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	if c.timeUntilReceiptDue(c.client.cfg.Now()) <= 0 {
		return fmt.Errorf("connection to %s: %w", c.client.cfg.Worker, workerconn.ErrNotReceived)
	}
	return nil
}

// timeUntilReceiptDue returns the time from now until the next receipt is due, at most maxWriterSleep. It requires that
// client.mu is held.
func (c *connection) timeUntilReceiptDue(now time.Duration) time.Duration {
	due, awaited := c.queue.ReceiptDue()
	if !awaited {
		return maxWriterSleep
	}
	return min(maxWriterSleep, due-now)
}
