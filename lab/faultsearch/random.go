package faultsearch

import (
	"slices"
	"time"

	"havencart/lab/scenario"
)

const (
	timeUnit        = 100 * time.Millisecond // resolution of all random times
	zoneCount       = 3                      // number of zones of the base installation
	maxRandomFaults = 4                      // maximum number of faults of a random scenario
	maxFaults       = 6                      // maximum number of faults of a mutated scenario
)

// searchedKinds lists the kinds of fault that a search uses. It omits kills of front ends and incomplete endpoint
// lists, because their effect depends little on the scheduler's decisions.
var searchedKinds = []string{
	"crash", "deploy", "take-out", "fail", "hang", "pause", "pauses", "slow", "neighbour", "reset", "flush",
	"re-release", "clock-jump", "ageing", "handshake", "heavy", "store-stop", "store-slow", "store-fail", "directory-lag",
	"directory-down", "net-delay", "net-loss", "net-cut", "leave", "surge", "hot", "scan", "stall",
}

// randomScenario draws a scenario of 1 to maxRandomFaults faults.
func (s *search) randomScenario() (faults []scenario.Fault) {
	for range 1 + s.rng.IntN(maxRandomFaults) {
		faults = append(faults, s.randomFault())
	}
	scenario.SortByTime(faults)
	return faults
}

// randomFault draws a fault. Its times are multiples of timeUnit and its shares whole percentages.
func (s *search) randomFault() scenario.Fault {
	fault := scenario.Fault{Kind: searchedKinds[s.rng.IntN(len(searchedKinds))]}
	scenarioUnits := int(s.cfg.Base.Duration / timeUnit)
	fault.At = s.randomDuration(scenarioUnits/20, scenarioUnits*3/4)
	for _, p := range s.parameterDraws(&fault, scenarioUnits) {
		if scenario.HasParameter(fault.Kind, p.parameter) {
			p.draw()
		}
	}
	switch fault.Kind {
	case "deploy", "flush", "re-release":
		fault.Share = float64(30+s.rng.IntN(71)) / 100
	case "pause", "stall":
		fault.Duration = s.randomDuration(2, 8)
	case "surge":
		fault.Factor = 1 + fault.Factor/10
	case "net-loss":
		fault.Factor /= 10
	}
	return fault
}

// parameterDraw draws one parameter of a fault.
type parameterDraw struct {
	parameter scenario.Parameter
	draw      func()
}

// parameterDraws returns the draws of the parameters of fault, in the order in which they are made. scenarioUnits is
// the duration of the scenario in time units.
func (s *search) parameterDraws(fault *scenario.Fault, scenarioUnits int) []parameterDraw {
	return []parameterDraw{
		{scenario.ShareParameter, func() { fault.Share = float64(5+s.rng.IntN(46)) / 100 }},
		{scenario.FrontEndParameter, func() { fault.Number = 1 + s.rng.IntN(s.cfg.Base.FrontEnds) }},
		{scenario.ZoneParameter, func() { fault.Number = 1 + s.rng.IntN(zoneCount) }},
		{scenario.OtherZoneParameter, func() { fault.OtherZone = 1 + s.rng.IntN(zoneCount) }},
		{scenario.FunctionsParameter, func() { fault.Number = 1 + s.rng.IntN(4) }},
		{scenario.RateParameter, func() { fault.Factor = float64(3+s.rng.IntN(8)) / 10 }},
		{scenario.FactorParameter, func() { fault.Factor = float64(2 + s.rng.IntN(8)) }},
		{scenario.OffsetParameter, func() { fault.Offset = s.randomDuration(1, 50) }},
		{scenario.SkewParameter, func() { fault.Offset = s.randomDuration(1, 50) }},
		{scenario.PauseLengthParameter, func() { fault.PauseLength = s.randomDuration(1, 6) }},
		{scenario.IntervalParameter, func() { fault.Interval = s.randomDuration(8, 30) }},
		{scenario.SpreadParameter, func() { fault.Spread = s.randomDuration(10, scenarioUnits/2) }},
		{scenario.DrainTimeParameter, func() { fault.DrainTime = s.randomDuration(2, 20) }},
		{scenario.DurationParameter, func() { fault.Duration = s.randomDuration(3, scenarioUnits/3) }},
	}
}

// randomDuration draws a duration from the half-open interval [from, to), in time units. It returns from if the
// interval is empty.
func (s *search) randomDuration(from, to int) time.Duration {
	return time.Duration(from+s.rng.IntN(max(1, to-from))) * timeUnit
}

// mutate returns a copy of a scenario in which one fault is added, removed, replaced or moved.
func (s *search) mutate(faults []scenario.Fault) []scenario.Fault {
	faults = slices.Clone(faults)
	i := s.rng.IntN(len(faults))
	switch choice := s.rng.IntN(4); {
	case choice == 0 && len(faults) < maxFaults:
		faults = append(faults, s.randomFault())
	case choice == 1 && len(faults) > 1:
		faults = slices.Delete(faults, i, i+1)
	case choice == 2:
		faults[i] = s.randomFault()
	default:
		s.moveFault(&faults[i])
	}
	scenario.SortByTime(faults)
	return faults
}

// moveFault moves a fault to a random start time and scales its duration by a random factor from 0.5 to 1.5.
func (s *search) moveFault(f *scenario.Fault) {
	f.At = s.randomFault().At
	if f.Duration > 0 {
		f.Duration = f.Duration * time.Duration(5+s.rng.IntN(11)) / 10
	}
}
