package workerclient

import (
	"maps"
	"slices"

	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// This file sends health checks. A health check starts no work at the worker, so it may be sent while the worker drains
// and may be repeated.

// CheckHealth queues a health check, which also requests a load report, and returns 0; the result is reported through
// Events. If the check cannot be queued, CheckHealth returns its status at once, and Events reports nothing.
func (c *Client) CheckHealth(check *workerconn.HealthCheck) scheduler.Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := c.randomNumber()
	conn := c.selectConnection(number)
	if conn == nil {
		return scheduler.NotSent
	}
	conn.healthChecks[number] = check
	conn.queue.Push(healthCheckFrame(number))
	conn.wakeUp()
	return 0
}

// AbandonHealthCheck abandons a health check: after the call, its result is no longer reported through Events. The
// connection of the check is drained, because the worker may no longer read from it.
func (c *Client) AbandonHealthCheck(check *workerconn.HealthCheck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.connections {
		for number, waiting := range conn.healthChecks {
			if waiting == check {
				delete(conn.healthChecks, number)
				conn.drainAfterCancel()
				conn.wakeUp()
			}
		}
	}
}

// repeatHealthChecks queues the health checks without a response again, because their network connection may have ended
// before the worker read them. A check that is still queued is sent twice, which is harmless. It requires that
// client.mu is held.
func (c *connection) repeatHealthChecks() {
	for number := range c.healthChecks {
		c.queue.Push(healthCheckFrame(number))
	}
}

// healthCheckFrame returns the frame of a health check, which also requests a load report.
func healthCheckFrame(number uint64) workerframe.Frame {
	return workerframe.Frame{Code: workerframe.LoadReport, ID: number}
}

// removeHealthChecks removes and returns the health checks without a response. It requires that client.mu is held.
func (c *connection) removeHealthChecks() []*workerconn.HealthCheck {
	unanswered := slices.Collect(maps.Values(c.healthChecks))
	clear(c.healthChecks)
	return unanswered
}

// notifyUnanswered reports the given status for health checks that will get no response.
func (c *connection) notifyUnanswered(checks []*workerconn.HealthCheck, status scheduler.Status) {
	for _, check := range checks {
		c.client.events.HealthChecked(check, status, nil)
	}
}
