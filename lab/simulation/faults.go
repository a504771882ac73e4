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

// restartTime is the time for which a front end is down when it is restarted.
const restartTime = 100 * time.Millisecond

// Workers implements scenario.Installation, as do the other exported methods in this file.
func (s *Simulation) Workers() int { return len(s.workers) }

// CommandWorker executes a command at a worker: a command of model.Worker.Command for its process, or "reset" or
// "handshake DURATION" for its socket.
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

// ListWorker sets the state that discovery reports for a worker.
func (s *Simulation) ListWorker(i int, state scheduler.WorkerState) {
	s.endpoints[i].State = state
	s.endpoints[i].Started = epoch.Add(s.clock.Now() - s.workers[i].Uptime() + s.clockSkew[i])
	s.endpointsChanged()
}

// SetClockSkew sets the difference between a worker's wall clock and the simulated time.
func (s *Simulation) SetClockSkew(i int, skew time.Duration) { s.clockSkew[i] = skew }

// StopStore makes the store reject all fetches for d.
func (s *Simulation) StopStore(d time.Duration) { s.store.StartOutage(d) }

// SlowStore makes fetches from the store take factor times as long. A factor of 1 ends the fault.
func (s *Simulation) SlowStore(factor float64) { s.store.SetSlowdown(factor) }

// FailStore makes the store fail a share of the fetches. A share of 0 ends the fault.
func (s *Simulation) FailStore(share float64) { s.store.SetFailureShare(share) }

// DelayDiscovery adds d to the lag with which front ends are notified of changes of the endpoint list.
func (s *Simulation) DelayDiscovery(d time.Duration) { s.extraDiscoveryLag = d }

// SetDiscoveryDown makes discovery unavailable, so that all watches fail, or available again.
func (s *Simulation) SetDiscoveryDown(on bool) {
	s.discoveryDown = on
	if !on {
		return
	}
	for _, f := range s.frontEnds {
		if f.alive && f.watching {
			f.watching = false
			f.handleEvent(func(now time.Duration) { f.gateway.WatchFailed(now, errDiscoveryDown) })
		}
	}
}

// LimitDiscovery makes the endpoint list contain only a share of the workers. A share of 1 ends the fault.
func (s *Simulation) LimitDiscovery(share float64) {
	s.listedShare = share
	s.endpointsChanged()
}

// ResetDiscovery makes discovery lose its index, so that it delivers the endpoint list again.
func (s *Simulation) ResetDiscovery() { s.endpointsChanged() }

// AddNetworkFault starts a network fault between two zones. The returned function ends the fault.
func (s *Simulation) AddNetworkFault(fault model.NetworkFault) (end func()) {
	end = s.network.AddFault(fault)
	for _, f := range s.frontEnds {
		for _, c := range f.workerClients {
			c.startKeepalive()
		}
	}
	return end
}

// ChangeDemand changes the demand of the clients.
func (s *Simulation) ChangeDemand(change func(*loadgen.Demand)) error { return s.source.Change(change) }

// FrontEnds returns the number of front ends.
func (s *Simulation) FrontEnds() int { return len(s.frontEnds) }

// KillFrontEnd kills the process of a front end.
func (s *Simulation) KillFrontEnd(i int) error {
	s.frontEnds[i].kill()
	return nil
}

// StartFrontEnd starts a front end that was killed.
func (s *Simulation) StartFrontEnd(i int) error {
	if !s.frontEnds[i].alive {
		s.frontEnds[i].start()
	}
	return nil
}

// RestartFrontEnd kills a front end and starts it again after restartTime. A graceful shutdown, which would notify
// clients first, is not modelled.
func (s *Simulation) RestartFrontEnd(i int) error {
	s.frontEnds[i].kill()
	s.clock.After(restartTime, s.frontEnds[i].start)
	return nil
}

// StallFrontEnd stalls a front end's event loop for d.
func (s *Simulation) StallFrontEnd(i int, d time.Duration) error {
	s.frontEnds[i].stall(d)
	return nil
}
