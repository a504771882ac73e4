package model

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func newTestNetwork() (*VirtualClock, *Network) {
	clock := &VirtualClock{}
	return clock, NewNetwork(clock, NetworkConfig{Zones: 2, Latency: time.Millisecond, Jitter: 0.9}, rand.New(rand.NewPCG(1, 1)))
}

// sendAll sends a message every millisecond for two seconds. It returns the numbers and the delivery times of the
// messages in the order of delivery.
func sendAll(clock *VirtualClock, path *Path) (order []int, at []time.Duration) {
	for i := range 2000 {
		clock.After(time.Duration(i)*time.Millisecond, func() {
			path.Send(func() { order, at = append(order, i), append(at, clock.Now()) })
		})
	}
	clock.Run(time.Minute)
	return order, at
}

func TestPath_WithLoss_DeliversAllInOrder(t *testing.T) {
	clock, n := newTestNetwork()
	n.AddFault(NetworkFault{From: 1, To: 2, Loss: 0.05})
	order, at := sendAll(clock, n.NewPath(2, 1))
	if len(order) != 2000 || !slices.IsSorted(order) {
		t.Fatalf("%d of 2000 messages were delivered; delivered in order: %v", len(order), slices.IsSorted(order))
	}
	longest := time.Duration(0)
	for i, x := range order {
		longest = max(longest, at[i]-time.Duration(x)*time.Millisecond)
	}
	if longest < firstRetransmitWait {
		t.Errorf("no message was delayed by a retransmission: the longest delay is %v", longest)
	}
}

func TestPath_Partition_DeliversAllAfterItEnds(t *testing.T) {
	clock, n := newTestNetwork()
	end := n.AddFault(NetworkFault{From: 1, To: 2, Loss: 1})
	clock.After(5*time.Second, end)
	_, at := sendAll(clock, n.NewPath(1, 2))
	if at[0] < 5*time.Second || len(at) != 2000 {
		t.Errorf("%d of 2000 messages were delivered, the first at %v", len(at), at[0])
	}
}

func TestNetwork_FaultBetweenZones_DoesNotAffectOtherPaths(t *testing.T) {
	clock, n := newTestNetwork()
	n.AddFault(NetworkFault{From: 1, To: 2, Delay: time.Second})
	_, slow := sendAll(clock, n.NewPath(2, 1))
	if !n.HasFault(2, 1) || n.HasFault(1, 1) {
		t.Error("HasFault misses the fault between zones 1 and 2, or reports one within zone 1")
	}
	clock, n = newTestNetwork()
	n.AddFault(NetworkFault{From: 1, To: 2, Delay: time.Second})
	_, quick := sendAll(clock, n.NewPath(1, 1))
	if slow[0] < time.Second || quick[0] > 2*time.Millisecond {
		t.Errorf("first message delivered after %v between the zones and %v within zone 1", slow[0], quick[0])
	}
}

func TestPath_Close_DropsMessagesInFlight(t *testing.T) {
	clock, n := newTestNetwork()
	path := n.NewPath(1, 1)
	path.Send(func() { t.Error("a message was delivered on a closed path") })
	path.Close()
	clock.Run(time.Second)
}
