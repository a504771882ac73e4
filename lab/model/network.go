package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// NetworkConfig describes the network between machines in zones 1 to Zones.
type NetworkConfig struct {
	Zones   int
	Latency time.Duration // one way, without faults
	Jitter  float64       // share of the latency that is drawn anew for each message
}

// Network is the model of the network between zones as a stream over it sees it: nothing is lost for good and nothing
// is reordered, but a lost message arrives when it is retransmitted, and all behind it wait. It is driven within its
// Clock.
type Network struct {
	cfg    NetworkConfig
	clock  Clock
	rng    *rand.Rand
	faults []*NetworkFault
}

// NetworkFault is a fault between two zones, in both directions. From and To may be the same zone.
type NetworkFault struct {
	From, To int
	Delay    time.Duration // added to each message
	Loss     float64       // share of messages that are lost; 1: partitioned
}

// connects reports whether the fault is on the path between two zones.
func (f *NetworkFault) connects(from, to int) bool {
	if f.From == from && f.To == to {
		return true
	}
	return f.From == to && f.To == from
}

// A lost message is retransmitted after firstRetransmitWait, then after twice as long each time (RFC 6298, with the
// shortest wait in common use).
const (
	firstRetransmitWait = 200 * time.Millisecond
	maxRetransmitWait   = 10 * time.Second
)

// NewNetwork returns a Network without faults.
func NewNetwork(c Clock, cfg NetworkConfig, rng *rand.Rand) *Network {
	return &Network{cfg: cfg, clock: c, rng: rng}
}

// Zone is the zone of a machine by its number: machines are assigned to zones round robin.
func (n *Network) Zone(machine int) int { return machine%max(1, n.cfg.Zones) + 1 }

// AddFault starts a fault. The returned function ends it.
func (n *Network) AddFault(f NetworkFault) (end func()) {
	n.faults = append(n.faults, &f)
	return func() { n.faults = slices.DeleteFunc(n.faults, func(x *NetworkFault) bool { return x == &f }) }
}

// HasFault reports whether any fault is on the path between two zones.
func (n *Network) HasFault(from, to int) bool {
	delay, loss := n.impairment(from, to)
	return delay > 0 || loss > 0
}

// Delay draws how long one message takes on a path without faults.
func (n *Network) Delay() time.Duration {
	return time.Duration(float64(n.cfg.Latency) * (1 + n.cfg.Jitter*(2*n.rng.Float64()-1)))
}

// impairment is what faults add on a path now.
func (n *Network) impairment(from, to int) (delay time.Duration, loss float64) {
	delivered := 1.0
	for _, f := range n.faults {
		if f.connects(from, to) {
			delay += f.Delay
			delivered *= 1 - f.Loss
		}
	}
	return delay, 1 - delivered
}

// Path is one direction of one connection.
type Path struct {
	network  *Network
	from, to int
	queue    []*message // sent and not delivered, in the order of sending
	closed   bool
}

type message struct {
	received bool
	deliver  func()
}

// NewPath returns one direction of a new connection, between two zones.
func (n *Network) NewPath(from, to int) *Path { return &Path{network: n, from: from, to: to} }

// Send calls deliver when a message that is sent now and all messages before it were received.
func (p *Path) Send(deliver func()) {
	m := &message{deliver: deliver}
	p.queue = append(p.queue, m)
	p.transmit(m, firstRetransmitWait)
}

// Close drops all messages under way.
func (p *Path) Close() { p.closed, p.queue = true, nil }

// transmit sends a message; where it is lost, it is sent again after wait.
func (p *Path) transmit(m *message, wait time.Duration) {
	if p.closed {
		return
	}
	delay, loss := p.network.impairment(p.from, p.to)
	if loss > 0 && p.network.rng.Float64() < loss {
		p.network.clock.After(wait, func() { p.transmit(m, min(2*wait, maxRetransmitWait)) })
		return
	}
	p.network.clock.After(p.network.Delay()+delay, func() {
		m.received = true
		p.deliverReceived()
	})
}

// deliverReceived delivers messages up to the first that was not received.
func (p *Path) deliverReceived() {
	for len(p.queue) > 0 && p.queue[0].received {
		m := p.queue[0]
		p.queue = p.queue[1:]
		m.deliver()
	}
}
