package main

import (
	"testing"
	"time"

	"havencart/internal/platform/workerframe"
	"havencart/lab/faultproxy"
	"havencart/lab/platformworker"
)

// These tests reproduce the incident of docs/incidents/late-delivery.md: a retry is written in time, but the network path
// to its worker is interrupted and delivers it only after its idempotency key has expired.

// lateDeliveryAttempts is the number of attempts that a request may have in these tests. The retry is the last one, which
// the scheduler does not cancel in favour of another.
const lateDeliveryAttempts = 2

// lateDeliveryPatience is how long the tests wait for the front end to give up the retry, before the path works again
// anyway.
const lateDeliveryPatience = 5 * time.Second

// TestLateDelivery_PathWorksAgainAfterKeyExpired_RetryDoesNotArrive guards against the second execution of a request
// whose retry the network holds until the workers have forgotten its key.
func TestLateDelivery_PathWorksAgainAfterKeyExpired_RetryDoesNotArrive(t *testing.T) {
	for name, healthChecksAllowed := range map[string]bool{"health checks allowed": true, "health checks not allowed": false} {
		t.Run(name, func(t *testing.T) {
			settings := keyExpirySettings{maxAttempts: lateDeliveryAttempts, healthChecksAllowed: healthChecksAllowed}
			installation := startWithRetry(t, settings, (*faultproxy.Proxy).StallForward, respond)
			<-installation.expired
			select {
			case response := <-installation.response:
				installation.response <- response
			case <-time.After(lateDeliveryPatience):
			}
			installation.proxy.ResumeForward()
			installation.verify()
		})
	}
}

// TestLateDelivery_RetryArrivedInTime_ResponseAfterKeyExpiredIsServed checks that a retry is not given up with its key if
// its worker has received it.
func TestLateDelivery_RetryArrivedInTime_ResponseAfterKeyExpiredIsServed(t *testing.T) {
	type receivedRequest struct {
		*platformworker.Conn
		workerframe.Frame
	}
	received := make(chan receivedRequest, 1)
	settings := keyExpirySettings{maxAttempts: lateDeliveryAttempts, healthChecksAllowed: true}
	installation := startWithRetry(t, settings, func(*faultproxy.Proxy) {}, func(c *platformworker.Conn, f workerframe.Frame) {
		received <- receivedRequest{c, f}
	})
	retry := <-received
	<-installation.expired
	respond(retry.Conn, retry.Frame)
	if response := installation.stop(); response[0] != nil {
		t.Errorf("final response is %v, %v; want the worker's response", response[0], response[1])
	}
}
