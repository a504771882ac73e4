package rpcserver

import (
	"encoding/json"
	"sync/atomic"
)

// closeReason is why a connection ended.
type closeReason int

// The reasons.
const (
	closedByClient   closeReason = iota + 1 // the client closed or reset the connection
	closedIdle                              // the client sent nothing, stopped within a message or was idle for too long
	closedEvicted                           // closed while idle, to make room for another connection
	closedViolation                         // the client violated the protocol
	closedUnwritable                        // a response could not be written
	closedShutdown                          // the server shuts down
	closeReasonCount int         = iota + 1
)

var closeReasonNames = [closeReasonCount]string{
	closedByClient:   "client",
	closedIdle:       "idle",
	closedEvicted:    "evicted",
	closedViolation:  "violation",
	closedUnwritable: "unwritable",
	closedShutdown:   "shutdown",
}

// String returns the name of the reason in the log.
func (r closeReason) String() string { return closeReasonNames[r] }

// CloseCounts is the number of connections that ended for each reason.
type CloseCounts [closeReasonCount]uint64

// MarshalJSON implements json.Marshaler. It encodes the nonzero counts as an object keyed by the reason's name.
func (c CloseCounts) MarshalJSON() ([]byte, error) {
	named := map[string]uint64{}
	for reason, count := range c {
		if count > 0 {
			named[closeReason(reason).String()] = count
		}
	}
	return json.Marshal(named)
}

// closeTotals counts the connections that ended, by reason. It may be used by any goroutine.
type closeTotals [closeReasonCount]atomic.Uint64

func (t *closeTotals) counts() (counts CloseCounts) {
	for reason := range t {
		counts[reason] = t[reason].Load()
	}
	return counts
}

// logClosed counts a connection that ended and logs it. A connection that its client closed with nothing in flight is
// logged at level debug, because most connections end so. It requires that c.mu is held.
func (c *conn) logClosed(reason closeReason) {
	c.server.closed[reason].Add(1)
	line := c.server.log.Info()
	if reason == closedByClient && len(c.inFlight) == 0 {
		line = c.server.log.Debug()
	}
	if !line.Enabled() {
		return
	}
	line.Stringer("reason", reason).Stringer("client", c.netConn.RemoteAddr()).Int("in-flight", len(c.inFlight)).
		Int("unwritten", len(c.output.messages)).Uint64("messages", c.messages).Dur("age", c.age()).Msg("client connection closed")
}
