package simulation

import (
	"strings"
	"time"

	"havencart/lab/loadgen"
	"havencart/lab/model"
	"havencart/lab/scenario"
	"havencart/scheduler"
)

var _ scenario.Installation = (*Simulation)(nil)

// restartTime is how long a front end is down when it is restarted.
const restartTime = 100 * time.Millisecond

// Workers implements scenario.Installation, as do the methods below.
func (s *Simulation) Workers() int { return len(s.workers) }

// CommandWorker gives a worker a command: one of its process, or "reset" and "handshake DURATION" for its socket.
func (s *Simulation) CommandWorker(i int, line string) error {
	w := s.workers[i]
	if line == "reset" {
		s.breakConnections(w)
		return nil
	}
	if argument, found := strings.CutPrefix(line, "handshake "); found {
		d, err := time.ParseDuration(argument)
		s.handshakeDelay[i] = d
		return err
	}
	_, err := w.Command(line)
	if line == "die" {
		s.breakConnections(w)
	}
	return err
}

// ListWorker changes a worker's state in discovery.
func (s *Simulation) ListWorker(i int, state scheduler.WorkerState) {
	s.endpoints[i].State = state
	s.endpoints[i].Started = epoch.Add(s.clock.Now() - s.workers[i].Uptime() + s.clockSkew[i])
	s.endpointsChanged()
}

// SetClockSkew sets how far a worker's wall clock is off.
func (s *Simulation) SetClockSkew(i int, skew time.Duration) { s.clockSkew[i] = skew }

// StopStore stops the store for d.
func (s *Simulation) StopStore(d time.Duration) { s.store.StartOutage(d) }

// SlowStore slows the store; 1 ends it.
func (s *Simulation) SlowStore(factor float64) { s.store.SetSlowdown(factor) }

// FailStore makes the store fail a share of the fetches.
func (s *Simulation) FailStore(share float64) { s.store.SetFailureShare(share) }

// DelayDiscovery delays the notification of changes.
func (s *Simulation) DelayDiscovery(d time.Duration) { s.extraDiscoveryLag = d }

// SetDiscoveryDown makes discovery fail its watchers.
func (s *Simulation) SetDiscoveryDown(on bool) {
	s.discoveryDown = on
	if !on {
		return
	}
	for _, f := range s.fronts {
		if f.alive && f.watching {
			f.watching = false
			f.do(func(now time.Duration) { f.gateway.WatchFailed(now, errDiscoveryDown) })
		}
	}
}

// LimitDiscovery makes the list name only a share of the workers; 1 ends it.
func (s *Simulation) LimitDiscovery(share float64) {
	s.listedShare = share
	s.endpointsChanged()
}

// ResetDiscovery loses discovery's index: the list is delivered anew.
func (s *Simulation) ResetDiscovery() { s.endpointsChanged() }

// AddNetworkFault starts a fault between zones. The returned function ends it.
func (s *Simulation) AddNetworkFault(fault model.NetworkFault) (end func()) {
	end = s.network.AddFault(fault)
	for _, f := range s.fronts {
		for _, c := range f.workers {
			c.startKeepalive()
		}
	}
	return end
}

// ChangeDemand changes what clients ask for.
func (s *Simulation) ChangeDemand(change func(*loadgen.Demand)) error { return s.source.Change(change) }

// FrontEnds is the number of front ends.
func (s *Simulation) FrontEnds() int { return len(s.fronts) }

// KillFrontEnd kills a front end.
func (s *Simulation) KillFrontEnd(i int) error {
	s.fronts[i].kill()
	return nil
}

// StartFrontEnd starts a front end that was killed.
func (s *Simulation) StartFrontEnd(i int) error {
	if !s.fronts[i].alive {
		s.fronts[i].start()
	}
	return nil
}

// RestartFrontEnd kills a front end and starts it. A graceful shutdown, of which clients learn first, is not modelled.
func (s *Simulation) RestartFrontEnd(i int) error {
	s.fronts[i].kill()
	s.clock.After(restartTime, s.fronts[i].start)
	return nil
}

// StallFrontEnd stalls a front end's event loop for d.
func (s *Simulation) StallFrontEnd(i int, d time.Duration) error {
	s.fronts[i].stall(d)
	return nil
}
