package scenario

import (
	"fmt"
	"slices"

	"havencart/lab/model"
)

// kind is a kind of fault: its syntax and how it is injected.
type kind struct {
	name       string
	parameters []Parameter
	help       string // description on the reference page
	inject     func(*Player, Fault) error
}

// kinds lists all kinds of fault in the order of the reference page.
var kinds = []kind{
	{"crash", []Parameter{ShareParameter, DurationParameter}, "worker processes crash and start again after that time, cold and without replicas", (*Player).crash},
	{"deploy", []Parameter{ShareParameter, SpreadParameter, DrainTimeParameter}, "workers are replaced one after another: each drains, stops and starts again", (*Player).deploy},
	{"take-out", []Parameter{ShareParameter, DrainTimeParameter, DurationParameter}, "workers drain together, stop, and start again after that time", (*Player).drainAndStop},
	{
		"fail",
		[]Parameter{ShareParameter, RateParameter, DurationParameter},
		"workers fail a share of their requests at once",
		workerCommands(func(f Fault) (string, string) { return fmt.Sprint("fail ", f.Factor), "fail 0" }),
	},
	{
		"hang",
		[]Parameter{ShareParameter, DurationParameter},
		"workers receive requests and respond to none",
		workerCommands(func(Fault) (string, string) { return "hang on", "hang off" }),
	},
	{
		"pause",
		[]Parameter{ShareParameter, DurationParameter},
		"workers pause once",
		workerCommands(func(Fault) (string, string) { return "pause on", "pause off" }),
	},
	{"pauses", []Parameter{ShareParameter, PauseLengthParameter, IntervalParameter, DurationParameter}, "workers pause repeatedly, each at times of its own", (*Player).pauseRepeatedly},
	{
		"slow",
		[]Parameter{ShareParameter, FactorParameter, DurationParameter},
		"workers run slower",
		workerCommands(func(f Fault) (string, string) { return fmt.Sprint("slow ", f.Factor), "slow 1" }),
	},
	{"neighbour", []Parameter{ShareParameter, FactorParameter, IntervalParameter, DurationParameter}, "workers run slower in every other interval, as next to a noisy neighbour", (*Player).slowIntermittently},
	{"ageing", []Parameter{ShareParameter, FactorParameter, DurationParameter}, "workers become slower in steps, then crash and start again", (*Player).slowGradually},
	{
		"handshake",
		[]Parameter{ShareParameter, OffsetParameter, DurationParameter},
		"new connections to workers take longer to establish",
		workerCommands(func(f Fault) (string, string) { return fmt.Sprint("handshake ", f.Offset), "handshake 0s" }),
	},
	{
		"reset",
		[]Parameter{ShareParameter},
		"connections to workers break; the worker processes keep running",
		workerCommands(func(Fault) (string, string) { return "reset", "" }),
	},
	{
		"flush",
		[]Parameter{ShareParameter},
		"all replicas at a share of the workers become invalid",
		workerCommands(func(Fault) (string, string) { return "flush", "" }),
	},
	{"re-release", []Parameter{ShareParameter}, "a share of the functions is released again: their replicas become invalid at all workers", (*Player).invalidateFunctions},
	{
		"clock-jump",
		[]Parameter{ShareParameter, SkewParameter, DurationParameter},
		"wall clocks of workers are off by that time, behind if it is negative: workers that start in the meantime report a wrong start time to discovery",
		(*Player).skewClocks,
	},
	{"store-stop", []Parameter{DurationParameter}, "the function store is out of service", (*Player).stopStore},
	{"store-slow", []Parameter{FactorParameter, DurationParameter}, "the function store is slower", (*Player).slowStore},
	{"store-fail", []Parameter{RateParameter, DurationParameter}, "the function store fails a share of the fetches", (*Player).failStore},
	{"directory-lag", []Parameter{OffsetParameter, DurationParameter}, "discovery delivers changes of the endpoint list later", (*Player).delayDiscovery},
	{"directory-down", []Parameter{DurationParameter}, "discovery is unavailable", (*Player).stopDiscovery},
	{"directory-part", []Parameter{ShareParameter, DurationParameter}, "the endpoint list contains only a share of the workers", (*Player).limitDiscovery},
	{"directory-back", nil, "discovery loses its index and delivers the endpoint list again", (*Player).resetDiscovery},
	{
		"net-delay",
		[]Parameter{ZoneParameter, OtherZoneParameter, OffsetParameter, DurationParameter},
		"messages between two zones, which may be the same, take longer in both directions",
		networkFault(func(f Fault) model.NetworkFault { return model.NetworkFault{Delay: f.Offset} }),
	},
	{
		"net-loss",
		[]Parameter{ZoneParameter, OtherZoneParameter, RateParameter, DurationParameter},
		"a share of the messages between two zones is lost and arrives when it is retransmitted; all messages behind it wait",
		networkFault(func(f Fault) model.NetworkFault { return model.NetworkFault{Loss: f.Factor} }),
	},
	{
		"net-cut",
		[]Parameter{ZoneParameter, OtherZoneParameter, DurationParameter},
		"no messages pass between two zones",
		networkFault(func(Fault) model.NetworkFault { return model.NetworkFault{Loss: 1} }),
	},
	{"leave", []Parameter{ShareParameter, DurationParameter}, "a share of the clients disconnects early", (*Player).disconnectClients},
	{"surge", []Parameter{FactorParameter, DurationParameter}, "requests arrive at that multiple of their rate", (*Player).changeRate},
	{"flood", []Parameter{TenantParameter, FactorParameter, DurationParameter}, "one tenant sends requests at that multiple of its usual rate", (*Player).changeTenantRate},
	{"repeat", []Parameter{TenantParameter, RetriesParameter, DurationParameter}, "one tenant's clients retry at once, up to that many times, whatever they are advised", (*Player).retryTenantRequests},
	{"silent", []Parameter{TenantParameter, DurationParameter}, "one tenant sends no requests", (*Player).silenceTenant},
	{"heavy-of", []Parameter{TenantParameter, FactorParameter, DurationParameter}, "the work of one tenant's requests is multiplied by that factor", (*Player).changeTenantWork},
	{"scan-of", []Parameter{TenantParameter, ShareParameter, DurationParameter}, "a share of one tenant's requests is for functions that are requested only once", (*Player).requestTenantOneTimeFunctions},
	{"patience", []Parameter{FactorParameter, DurationParameter}, "clients' timeouts are multiplied by that factor", (*Player).changeTimeouts},
	{"heavy", []Parameter{FactorParameter, DurationParameter}, "the work of requests is multiplied by that factor", (*Player).changeWork},
	{"hot", []Parameter{ShareParameter, FunctionsParameter, DurationParameter}, "a share of the requests is for a few functions of each class that were not requested before", (*Player).requestHotFunctions},
	{"scan", []Parameter{ShareParameter, DurationParameter}, "a share of the requests is for functions that are requested only once", (*Player).requestOneTimeFunctions},
	{"kill", []Parameter{FrontEndParameter, DurationParameter}, "a front end is killed and starts again after that time", (*Player).killFrontEnd},
	{"restart", []Parameter{FrontEndParameter}, "a front end is stopped gracefully and started again", (*Player).restartFrontEnd},
	{"stall", []Parameter{FrontEndParameter, DurationParameter}, "a front end's event loops stall; then they handle everything that arrived in the meantime at once", (*Player).stallFrontEnd},
	{"end", nil, "nothing happens; marks a time", func(*Player, Fault) error { return nil }},
}

// kindOf returns the kind with the given name, or nil if there is none.
func kindOf(name string) *kind {
	for i := range kinds {
		if kinds[i].name == name {
			return &kinds[i]
		}
	}
	return nil
}

// Kinds returns the names of all kinds of fault.
func Kinds() (names []string) {
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return names
}

// HasParameter reports whether the kind of fault with the given name has parameter p.
func HasParameter(name string, p Parameter) bool {
	k := kindOf(name)
	return k != nil && slices.Contains(k.parameters, p)
}
