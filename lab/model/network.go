package model

import (
	"math/rand/v2"
	"slices"
	"time"
)

// NetworkConfig configures the network between machines in zones 1 to Zones.
type NetworkConfig struct {
	Zones   int
	Latency time.Duration // mean one-way latency without faults
	Jitter  float64       // largest random deviation of a message from Latency, as a fraction of it
}

// Network is the model of the network between zones as a stream transport, such as TCP, presents it: messages are
// neither lost for good nor reordered, but a lost message is delayed until its retransmission arrives, and so are all
// messages behind it. Its methods must be called within its Clock.
type Network struct {
	cfg    NetworkConfig
	clock  Clock
	rng    *rand.Rand
	faults []*NetworkFault
}

// NetworkFault is a fault between two zones. It applies to both directions. From and To may be the same zone.
type NetworkFault struct {
	From, To int
	Delay    time.Duration // delay added to each message
	Loss     float64       // share of messages that are lost, 0 to 1; 1 is a partition
}

// connects reports whether the fault is on the path between two zones.
func (f *NetworkFault) connects(from, to int) bool {
	if f.From == from && f.To == to {
		return true
	}
	return f.From == to && f.To == from
}

// A lost message is retransmitted after firstRetransmitWait. The wait doubles with each further loss, up to
// maxRetransmitWait. This follows RFC 6298, with the shortest first wait in common use.
const (
	firstRetransmitWait = 200 * time.Millisecond
	maxRetransmitWait   = 10 * time.Second
)

// NewNetwork returns a Network without faults.
func NewNetwork(c Clock, cfg NetworkConfig, rng *rand.Rand) *Network {
	return &Network{cfg: cfg, clock: c, rng: rng}
}

// Zone returns the zone of a machine, given the machine's number. Machines are assigned to zones round robin.
func (n *Network) Zone(machine int) int { return machine%max(1, n.cfg.Zones) + 1 }

// AddFault starts a fault. The returned function ends the fault.
func (n *Network) AddFault(f NetworkFault) (end func()) {
	n.faults = append(n.faults, &f)
	return func() { n.faults = slices.DeleteFunc(n.faults, func(x *NetworkFault) bool { return x == &f }) }
}

// HasFault reports whether any fault is on the path between two zones.
func (n *Network) HasFault(from, to int) bool {
	delay, loss := n.impairment(from, to)
	return delay > 0 || loss > 0
}

// Delay draws the delay of one message on a path without faults.
func (n *Network) Delay() time.Duration {
	return time.Duration(float64(n.cfg.Latency) * (1 + n.cfg.Jitter*(2*n.rng.Float64()-1)))
}

// impairment returns the additional delay and the loss that the current faults cause between two zones.
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
	queue    []*message // messages sent but not delivered, in the order in which they were sent
	closed   bool
}

type message struct {
	received bool
	deliver  func()
}

// NewPath returns one direction of a new connection between two zones.
func (n *Network) NewPath(from, to int) *Path { return &Path{network: n, from: from, to: to} }

// Send sends a message. deliver is called once the message and all messages sent before it have been received.
func (p *Path) Send(deliver func()) {
	m := &message{deliver: deliver}
	p.queue = append(p.queue, m)
	p.transmit(m, firstRetransmitWait)
}

// Close drops all messages that have not been delivered.
func (p *Path) Close() { p.closed, p.queue = true, nil }

// transmit sends a message. If the message is lost, transmit sends it again after wait.
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

// deliverReceived delivers the messages at the head of the queue, up to the first one that has not been received.
func (p *Path) deliverReceived() {
	for len(p.queue) > 0 && p.queue[0].received {
		m := p.queue[0]
		p.queue = p.queue[1:]
		m.deliver()
	}
}
