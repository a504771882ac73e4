package workerclient

import (
	"maps"
	"slices"

	"havencart/internal/platform/workerframe"
	"havencart/internal/workerconn"
	"havencart/scheduler"
)

// This file sends health checks. They begin nothing at the worker, so they may be sent while it drains, and any number of times.

// CheckHealth asks the worker whether it accepts new work, and for a load report, and returns 0; Events reports the
// response. If the check cannot be queued, CheckHealth returns its status at once.
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

// AbandonHealthCheck gives a health check up: its response is not reported after this. Its connection is used for nothing
// new, as the worker may not read it any longer.
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

// repeatHealthChecks queues the health checks without a response again, as their connection may have ended before the worker
// read them. One that is still queued goes out twice, which does no harm. The client's lock is held.
func (c *connection) repeatHealthChecks() {
	for number := range c.healthChecks {
		c.queue.Push(healthCheckFrame(number))
	}
}

// healthCheckFrame is the frame of a health check, which asks for a load report as well.
func healthCheckFrame(number uint64) workerframe.Frame {
	return workerframe.Frame{Code: workerframe.LoadReport, ID: number}
}

// removeHealthChecks removes and returns the health checks without a response. The client's lock is held.
func (c *connection) removeHealthChecks() []*workerconn.HealthCheck {
	unanswered := slices.Collect(maps.Values(c.healthChecks))
	clear(c.healthChecks)
	return unanswered
}

// notifyUnanswered reports that health checks get no response.
func (c *connection) notifyUnanswered(checks []*workerconn.HealthCheck, status scheduler.Status) {
	for _, check := range checks {
		c.client.events.HealthChecked(check, status, nil)
	}
}
