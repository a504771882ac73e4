package simulation

import (
	"errors"
	"time"

	"havencart/internal/discovery"
	"havencart/lab/invariant"
	"havencart/scheduler"
)

var errDiscoveryDown = errors.New("the directory is down")

// listedEndpoints returns the current endpoint list of discovery.
func (s *Simulation) listedEndpoints() []discovery.Worker {
	listed := int(s.listedShare*float64(len(s.endpoints)) + 0.5)
	var list []discovery.Worker
	for _, e := range s.endpoints[:listed] {
		if e.State != scheduler.Removed {
			list = append(list, e)
		}
	}
	return list
}

// endpointsChanged notifies all front ends that watch the endpoint list of a change, each after a lag of its own.
func (s *Simulation) endpointsChanged() {
	s.endpointVersion++
	for _, f := range s.frontEnds {
		if f.alive && f.watching {
			lag := time.Duration(float64(s.cfg.DiscoveryLag) * (0.5 + s.rng.Float64()))
			s.deliverEndpointsAfter(f, s.extraDiscoveryLag+lag)
		}
	}
}

// deliverEndpointsAfter delivers the current endpoint list after a lag, unless this version or a newer one has been
// delivered by then.
func (s *Simulation) deliverEndpointsAfter(f *frontEnd, lag time.Duration) {
	list, version, incarnation := s.listedEndpoints(), s.endpointVersion, f.incarnation
	s.clock.After(lag, func() {
		if f.isRunning(incarnation) && f.watching && version > f.endpointVersion {
			s.deliverEndpoints(f, list, version)
		}
	})
}

func (s *Simulation) deliverEndpoints(f *frontEnd, list []discovery.Worker, version int) {
	f.endpointVersion = version
	states := map[string]scheduler.WorkerState{}
	for _, e := range list {
		states[e.Name] = e.State
	}
	s.history.EndpointsUpdated(invariant.EndpointUpdate{At: s.clock.Now(), FrontEnd: f.name, States: states})
	f.handleEvent(func(now time.Duration) { f.gateway.EndpointsListed(now, list) })
}
