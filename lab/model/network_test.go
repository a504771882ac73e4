package model

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func network() (*VirtualClock, *Network) {
	clock := &VirtualClock{}
	return clock, NewNetwork(clock, NetworkConfig{Zones: 2, Latency: time.Millisecond, Jitter: 0.9}, rand.New(rand.NewPCG(1, 1)))
}

// sendAll sends a message each millisecond for two seconds and returns their numbers and times in the order of delivery.
func sendAll(clock *VirtualClock, w *Path) (order []int, at []time.Duration) {
	for i := range 2000 {
		clock.After(time.Duration(i)*time.Millisecond, func() {
			w.Send(func() { order, at = append(order, i), append(at, clock.Now()) })
		})
	}
	clock.Run(time.Minute)
	return order, at
}

func TestPath_WithLoss_DeliversAllInOrder(t *testing.T) {
	clock, n := network()
	n.AddFault(NetworkFault{From: 1, To: 2, Loss: 0.05})
	order, at := sendAll(clock, n.NewPath(2, 1))
	if len(order) != 2000 || !slices.IsSorted(order) {
		t.Fatalf("%d of 2000 were delivered, in order: %v", len(order), slices.IsSorted(order))
	}
	longest := time.Duration(0)
	for i, x := range order {
		longest = max(longest, at[i]-time.Duration(x)*time.Millisecond)
	}
	if longest < firstRetransmitWait {
		t.Errorf("no message waited for a retransmitted one: the longest took %v", longest)
	}
}

func TestPath_CutBetweenZones_DeliversAfterItsEnd(t *testing.T) {
	clock, n := network()
	end := n.AddFault(NetworkFault{From: 1, To: 2, Loss: 1})
	clock.After(5*time.Second, end)
	_, at := sendAll(clock, n.NewPath(1, 2))
	if at[0] < 5*time.Second || len(at) != 2000 {
		t.Errorf("%d were delivered, the first at %v", len(at), at[0])
	}
}

func TestNetwork_FaultBetweenZones_LeavesOtherPathsAlone(t *testing.T) {
	clock, n := network()
	n.AddFault(NetworkFault{From: 1, To: 2, Delay: time.Second})
	_, slow := sendAll(clock, n.NewPath(2, 1))
	if !n.HasFault(2, 1) || n.HasFault(1, 1) {
		t.Error("a fault where there is none, or none where there is one")
	}
	clock, n = network()
	n.AddFault(NetworkFault{From: 1, To: 2, Delay: time.Second})
	_, quick := sendAll(clock, n.NewPath(1, 1))
	if slow[0] < time.Second || quick[0] > 2*time.Millisecond {
		t.Errorf("first after %v across and %v within", slow[0], quick[0])
	}
}

func TestPath_Close_DropsMessagesUnderWay(t *testing.T) {
	clock, n := network()
	w := n.NewPath(1, 1)
	w.Send(func() { t.Error("delivered on a closed path") })
	w.Close()
	clock.Run(time.Second)
}
