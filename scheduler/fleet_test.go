package scheduler

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// These tests check what many front ends, each with its own Scheduler and without communication, together send to one
// cold worker.

// fleet simulates many Schedulers that share the same workers, in virtual time.
type fleet struct {
	rng        *rand.Rand
	set        Settings
	now        time.Duration
	frontEnds  []*fleetFrontEnd
	list       []WorkerInfo
	replicas   map[replicaKey]time.Duration // time from which each replica is loaded
	runTime    time.Duration
	loadTime   time.Duration
	pending    fleetEvents
	seq        int
	coldWorker WorkerID
	sends      []time.Duration // times of sends to the cold worker
	served     int
	loads      int
	draw       func() FunctionID

	connectFailures float64 // fraction of the attempts at the other workers that fail to connect
}

// fleetFrontEnd is one front end of a fleet.
type fleetFrontEnd struct {
	*fleet
	scheduler     *Scheduler
	trafficWeight float64 // relative to the other front ends
	incarnation   int
	nextID        RequestID
	attempts      map[RequestID]int
}

type fleetEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type fleetEvents []fleetEvent

func (h fleetEvents) Len() int { return len(h) }
func (h fleetEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h fleetEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *fleetEvents) Push(x any)   { *h = append(*h, x.(fleetEvent)) }
func (h *fleetEvents) Pop() any {
	x := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return x
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.pending, fleetEvent{f.now + d, f.seq, do})
}

func (f *fleet) advanceTo(until time.Duration) {
	for len(f.pending) > 0 && f.pending[0].at <= until {
		e := heap.Pop(&f.pending).(fleetEvent)
		f.now = e.at
		e.do()
	}
	f.now = until
}

// start starts or restarts a front end.
func (f *fleet) start(frontEnd *fleetFrontEnd, index int) {
	frontEnd.incarnation++
	set := f.set
	set.FrontEndIndex, set.Seed = index, f.rng.Uint64()
	frontEnd.attempts = map[RequestID]int{}
	frontEnd.scheduler = New(f.now, set, frontEnd)
	frontEnd.scheduler.WorkersChanged(f.now, f.list, true)
}

// later schedules a call for a front end unless the front end is restarted before.
func (frontEnd *fleetFrontEnd) later(d time.Duration, do func()) {
	incarnation := frontEnd.incarnation
	frontEnd.after(d, func() {
		if frontEnd.incarnation == incarnation {
			do()
		}
	})
}

func (frontEnd *fleetFrontEnd) SetTimer(after time.Duration, token uint64) {
	frontEnd.later(max(after, frontEnd.set.Resolution), func() { frontEnd.scheduler.TimerFired(frontEnd.now, token) })
}

func (frontEnd *fleetFrontEnd) Send(id RequestID, worker WorkerID, _ time.Duration) {
	request := frontEnd.scheduler.requests[id]
	key, attempt := replicaKey{worker, request.Function}, frontEnd.attempts[id]
	frontEnd.attempts[id]++
	if worker == frontEnd.coldWorker {
		frontEnd.sends = append(frontEnd.sends, frontEnd.now)
	}
	if worker != frontEnd.coldWorker && frontEnd.rng.Float64() < frontEnd.connectFailures {
		frontEnd.later(connectTimeout, func() {
			frontEnd.scheduler.AttemptEnded(frontEnd.now, Outcome{Request: id, Attempt: attempt, Worker: worker, Status: ConnectFailed, Latency: connectTimeout, QueueDepth: -1})
		})
		return
	}
	if _, isLoaded := frontEnd.replicas[key]; !isLoaded {
		frontEnd.replicas[key] = frontEnd.now + frontEnd.loadTime
		frontEnd.loads++
	}
	latency := max(0, frontEnd.replicas[key]-frontEnd.now) + time.Duration(frontEnd.rng.ExpFloat64()*float64(frontEnd.runTime))
	frontEnd.later(latency, func() {
		frontEnd.served++
		frontEnd.scheduler.AttemptEnded(frontEnd.now, Outcome{Request: id, Attempt: attempt, Worker: worker, Status: OK, Latency: latency, RequestClosed: true, QueueDepth: -1})
	})
}

func (frontEnd *fleetFrontEnd) Load(worker WorkerID, function FunctionID, replicas int) {
	loaded := 0
	if since, isLoaded := frontEnd.replicas[replicaKey{worker, function}]; isLoaded && since <= frontEnd.now {
		loaded = 1
	}
	latency := ms
	if replicas > 0 && loaded == 0 {
		latency, loaded = frontEnd.loadTime, 1
		frontEnd.loads++
		frontEnd.replicas[replicaKey{worker, function}] = frontEnd.now + frontEnd.loadTime
	}
	frontEnd.later(latency, func() {
		frontEnd.scheduler.LoadEnded(frontEnd.now, LoadResult{Worker: worker, Function: function, Status: OK, Latency: latency, Replicas: loaded})
	})
}

func (frontEnd *fleetFrontEnd) Reject(RequestID, time.Duration, FinishCause) {}
func (frontEnd *fleetFrontEnd) Fail(RequestID, FinishCause)                  {}
func (frontEnd *fleetFrontEnd) Cancel(RequestID, int)                        {}
func (frontEnd *fleetFrontEnd) Unload(WorkerID, FunctionID)                  {}
func (frontEnd *fleetFrontEnd) CheckHealth(WorkerID)                         {}
func (frontEnd *fleetFrontEnd) WatchEndpoints()                              {}
func (frontEnd *fleetFrontEnd) Log(string)                                   {}

// arrivals generates the front end's share of requests at the given total rate.
func (frontEnd *fleetFrontEnd) arrivals(rate float64) {
	var next func()
	next = func() {
		frontEnd.nextID++
		frontEnd.scheduler.RequestReceived(frontEnd.now, Request{ID: frontEnd.nextID, Class: frontEnd.rng.IntN(2), Function: frontEnd.draw(), Timeout: 3 * time.Second, ReplicaConcurrency: 4})
		frontEnd.after(time.Duration(frontEnd.rng.ExpFloat64()/(rate*frontEnd.trafficWeight)*float64(time.Second)), next)
	}
	frontEnd.after(time.Duration(frontEnd.rng.ExpFloat64()/(rate*frontEnd.trafficWeight)*float64(time.Second)), next)
}

const (
	// fleetLoad is the requested fraction of the capacity of the warm workers, the highest of the platform's large
	// scenarios.
	fleetLoad         = 0.6
	requestsPerWorker = 20 // requests per second that a warm worker can serve
	connectTimeout    = 250 * ms
)

// newFleet starts a fleet with unequal traffic: a tenth of the front ends receives four times the traffic of the
// others.
func newFleet(seed uint64, frontEnds, workers, functions int, set Settings) *fleet {
	fleet := &fleet{
		rng: rand.New(rand.NewPCG(seed, 7)), set: set, now: time.Minute, replicas: map[replicaKey]time.Duration{},
		runTime: 100 * ms, loadTime: 500 * ms, coldWorker: WorkerID(workers),
	}
	fleet.set.FrontEndCount = frontEnds
	for i := range workers {
		fleet.list = append(fleet.list, WorkerInfo{ID: WorkerID(i + 1), Cell: i % 2, Started: UnknownStart, State: Ready, Scale: 1})
	}
	fleet.list[workers-1].State = Removed
	totalWeight := 0.0
	for i := range frontEnds {
		frontEnd := &fleetFrontEnd{fleet: fleet, trafficWeight: 1}
		if i%10 == 0 {
			frontEnd.trafficWeight = 4
		}
		totalWeight += frontEnd.trafficWeight
		fleet.frontEnds = append(fleet.frontEnds, frontEnd)
	}
	zipf := rand.NewZipf(fleet.rng, 1.3, 2, uint64(functions-1))
	fleet.draw = func() FunctionID { return FunctionID(1000 + zipf.Uint64()) }
	rate := fleetLoad * requestsPerWorker * float64(workers-1)
	for i, frontEnd := range fleet.frontEnds {
		frontEnd.trafficWeight /= totalWeight
		fleet.after(time.Duration(i)*set.Resolution, func() { fleet.start(frontEnd, i) })
		fleet.after(time.Second, func() { frontEnd.arrivals(rate) })
	}
	return fleet
}

// worstOverload returns the largest excess of sends to the cold worker over the limit in any window, with a
// description.
func (f *fleet) worstOverload(began time.Duration) (excess float64, text string) {
	from := 0
	excess = math.Inf(-1)
	for i, at := range f.sends {
		for f.sends[from] <= at-f.set.OverloadWindow {
			from++
		}
		age := max(0, at-f.set.OverloadWindow-began)
		part := f.set.SlowStartFraction + (1-f.set.SlowStartFraction)*float64(age)/float64(f.set.SlowStartDuration)
		n := f.set.OverloadFactor * part * requestsPerWorker * f.set.OverloadWindow.Seconds()
		got, limit := float64(i-from+1), n+2*math.Sqrt(n)+2
		if got-limit > excess {
			excess, text = got-limit, fmt.Sprintf("%.0f sends in the window that ends %v after its start, want at most %.1f", got, at-began, limit)
		}
	}
	return excess, text
}

// functionsPlacedOnColdWorker returns functions for which the cold worker is the first in rendezvous order.
func (f *fleet) functionsPlacedOnColdWorker(n int) (out []FunctionID) {
	s := f.frontEnds[0].scheduler
	for id := FunctionID(1 << 20); len(out) < n; id++ {
		if s.rendezvousOrder(&functionRecord{id: id}, 1)[0].ID == f.coldWorker {
			out = append(out, id)
		}
	}
	return out
}

// TestFleet_ColdWorker_IsNotOverloaded verifies the slow start limit for the requests of all front ends together: at
// most N + 2 sqrt N + 2 requests per overload window, where N is the number that the settings allow the worker at its
// age.
func TestFleet_ColdWorker_IsNotOverloaded(t *testing.T) {
	for _, size := range []struct {
		frontEnds, workers int
		seeds              uint64
	}{{30, 12, 5}, {300, 60, 1}} {
		for _, test := range []struct {
			name string
			// newFunctions is the number of new functions, all placed on the cold worker, that replace the others; 0: none.
			newFunctions int
			restarts     time.Duration // time after the worker's start at which seven in ten front ends restart; 0: none
		}{
			{"unchanged", 0, 0},
			{"a few new functions", 4, 0},
			{"front end restarts", 0, 500 * ms},
			{"a few new functions and front end restarts", 4, 500 * ms},
		} {
			t.Run(fmt.Sprintf("%d front ends, %s", size.frontEnds, test.name), func(t *testing.T) {
				for seed := range size.seeds {
					fleet := newFleet(seed, size.frontEnds, size.workers, 400, testSettings())
					fleet.advanceTo(fleet.now + 4*time.Second)
					began := fleet.now
					fleet.list[size.workers-1].State, fleet.list[size.workers-1].Started = Ready, began
					for _, frontEnd := range fleet.frontEnds {
						frontEnd.scheduler.WorkersChanged(fleet.now, fleet.list, true)
					}
					if test.newFunctions > 0 {
						functions := fleet.functionsPlacedOnColdWorker(test.newFunctions)
						fleet.draw = func() FunctionID { return functions[fleet.rng.IntN(len(functions))] }
					}
					if test.restarts > 0 {
						fleet.advanceTo(fleet.now + test.restarts)
						for i, frontEnd := range fleet.frontEnds {
							if i%10 < 7 {
								fleet.start(frontEnd, i)
							}
						}
					}
					fleet.advanceTo(began + 5*time.Second)
					excess, text := fleet.worstOverload(began)
					t.Logf("seed %d: %s; %d sends, %d served", seed, text, len(fleet.sends), fleet.served)
					if excess > 0 {
						t.Errorf("seed %d: %s", seed, text)
					}
				}
			})
		}
	}
}

// TestFleet_ColdWorkerWhileOthersFail_IsNotOverloaded verifies the same limit while connections to the other workers
// time out, so that most workers are ejected at most front ends most of the time. In half of the cases, half of the
// workers drain too.
func TestFleet_ColdWorkerWhileOthersFail_IsNotOverloaded(t *testing.T) {
	const workers = 16
	for _, frontEnds := range []int{1, 3, 6, 30} {
		for _, half := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d front ends, half drain %t", frontEnds, half), func(t *testing.T) {
				for seed := range uint64(5) {
					fleet := newFleet(seed, frontEnds, workers, 200, testSettings())
					fleet.advanceTo(fleet.now + 4*time.Second)
					began := fleet.now
					fleet.connectFailures = 0.4
					fleet.list[workers-1].State, fleet.list[workers-1].Started = Ready, began
					for i := range workers / 2 {
						if half {
							fleet.list[i].State = Draining
						}
					}
					for _, frontEnd := range fleet.frontEnds {
						frontEnd.scheduler.WorkersChanged(fleet.now, fleet.list, true)
					}
					fleet.advanceTo(began + 8*time.Second)
					if excess, text := fleet.worstOverload(began); excess > 0 {
						t.Errorf("seed %d: %s", seed, text)
					}
				}
			})
		}
	}
}

// TestFleet_NewVersions_CauseNoExcessLoads guards against excess loads when four in ten of the loaded replicas become
// stale at once because their functions get a new version. Each must be loaded again where it is requested, but
// hundreds of front ends that see slower responses there must not load it at other workers too.
func TestFleet_NewVersions_CauseNoExcessLoads(t *testing.T) {
	for _, size := range []struct{ frontEnds, workers int }{{30, 12}, {300, 60}} {
		t.Run(fmt.Sprint(size.frontEnds, " front ends"), func(t *testing.T) {
			fleet := newFleet(1, size.frontEnds, size.workers, 200, testSettings())
			fleet.advanceTo(fleet.now + 8*time.Second)
			normalLoads := fleet.loads
			fleet.advanceTo(fleet.now + 3*time.Second)
			normalLoads = fleet.loads - normalLoads
			stale, before := 0, fleet.loads
			for key := range fleet.replicas {
				if key.function%10 < 4 {
					delete(fleet.replicas, key)
					stale++
				}
			}
			fleet.advanceTo(fleet.now + 3*time.Second)
			if got := fleet.loads - before; got < stale/4 || got > stale+stale/4+normalLoads {
				t.Errorf("%d replicas became stale; %d loads in the next 3 s, %d in the 3 s before", stale, got, normalLoads)
			}
		})
	}
}
