package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// NetworkConfig describes the ways between machines that stand in zones 1 to Zones.
type NetworkConfig struct {
	Zones   int
	Latency time.Duration // one way, without troubles
	Jitter  float64       // share of it that is drawn anew for each message
}

// Network is the model of the ways between zones, as a stream over them sees it: nothing is lost for good and
// nothing overtakes, but a message that was lost comes when it is sent again, and all behind it wait. It is
// driven within its Clock.
type Network struct {
	cfg    NetworkConfig
	clock  Clock
	rng    *rand.Rand
	faults []*NetworkFault
}

// NetTrouble is a trouble of the ways between two zones, in both directions; From may be To.
type NetworkFault struct {
	From, To int
	Delay    time.Duration // that each message takes longer
	Loss     float64       // share of messages that are lost, 1: cut
}

// A lost message is sent again after resendFirst, then after twice as long each time (RFC 6298, with the
// shortest wait that is in common use).
const (
	firstRetransmitWait = 200 * time.Millisecond
	maxRetransmitWait   = 10 * time.Second
)

// NewNetwork returns a Network without troubles.
func NewNetwork(c Clock, cfg NetworkConfig, rng *rand.Rand) *Network {
	return &Network{cfg: cfg, clock: c, rng: rng}
}

// Zone is where machine n stands: they are dealt out one by one.
func (n *Network) Zone(machine int) int { return machine%max(1, n.cfg.Zones) + 1 }

// Begin begins a trouble; the returned function ends it.
func (n *Network) AddFault(t NetworkFault) (end func()) {
	n.faults = append(n.faults, &t)
	return func() { n.faults = slices.DeleteFunc(n.faults, func(x *NetworkFault) bool { return x == &t }) }
}

// Troubled says whether anything ails the ways between two zones.
func (n *Network) HasFault(from, to int) bool {
	delay, loss := n.impairment(from, to)
	return delay > 0 || loss > 0
}

// Delay is how long one message takes that is on no troubled way.
func (n *Network) Delay() time.Duration {
	return time.Duration(float64(n.cfg.Latency) * (1 + n.cfg.Jitter*(2*n.rng.Float64()-1)))
}

// troubled is what troubles add on a way now.
func (n *Network) impairment(from, to int) (delay time.Duration, loss float64) {
	through := 1.0
	for _, t := range n.faults {
		if t.From == from && t.To == to || t.From == to && t.To == from {
			delay += t.Delay
			through *= 1 - t.Loss
		}
	}
	return delay, 1 - through
}

// Way is one direction of one connection.
type Path struct {
	net      *Network
	from, to int
	queue    []*message // sent and not delivered, in the order of sending
	closed   bool
}

type message struct {
	received bool
	deliver  func()
}

// Way returns a new connection's way from a zone to a zone.
func (n *Network) NewPath(from, to int) *Path { return &Path{net: n, from: from, to: to} }

// Carry calls arrive when a message sent now has come and all before it have.
func (w *Path) Send(arrive func()) {
	m := &message{deliver: arrive}
	w.queue = append(w.queue, m)
	w.transmit(m, firstRetransmitWait)
}

// Close drops all that is on the way.
func (w *Path) Close() { w.closed, w.queue = true, nil }

// send sends a message, again after a wait where it is lost.
func (w *Path) transmit(m *message, wait time.Duration) {
	if w.closed {
		return
	}
	delay, loss := w.net.impairment(w.from, w.to)
	if loss > 0 && w.net.rng.Float64() < loss {
		w.net.clock.After(wait, func() { w.transmit(m, min(2*wait, maxRetransmitWait)) })
		return
	}
	w.net.clock.After(w.net.Delay()+delay, func() {
		m.received = true
		w.deliverReceived()
	})
}

// deliver hands on what has come, up to the first that has not.
func (w *Path) deliverReceived() {
	for len(w.queue) > 0 && w.queue[0].received {
		m := w.queue[0]
		w.queue = w.queue[1:]
		m.deliver()
	}
}
