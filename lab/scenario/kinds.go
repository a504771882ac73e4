package scenario

import (
	"fmt"
	"slices"

	"havencart/lab/model"
)

// kind is one kind of fault: how it is written and what it does.
type kind struct {
	name       string
	parameters []Parameter
	help       string // for the reference page
	inject     func(*Player, Fault) error
}

// kinds has every kind of fault.
var kinds = []kind{
	{"crash", []Parameter{ShareParameter, DurationParameter}, "workers' processes die; they come back cold and empty", (*Player).crash},
	{"deploy", []Parameter{ShareParameter, SpreadParameter, DrainTimeParameter}, "workers are replaced one after another: each drains, ends and starts anew", (*Player).deploy},
	{"take-out", []Parameter{ShareParameter, DrainTimeParameter, DurationParameter}, "workers drain together, end, and come back after that time", (*Player).drainAndStop},
	{
		"fail",
		[]Parameter{ShareParameter, RateParameter, DurationParameter},
		"workers fail a share of their calls at once",
		workerCommands(func(t Fault) (string, string) { return fmt.Sprint("fail ", t.Factor), "fail 0" }),
	},
	{
		"hang",
		[]Parameter{ShareParameter, DurationParameter},
		"workers take everything and answer nothing",
		workerCommands(func(Fault) (string, string) { return "hang on", "hang off" }),
	},
	{
		"pause",
		[]Parameter{ShareParameter, DurationParameter},
		"workers stand still once",
		workerCommands(func(Fault) (string, string) { return "pause on", "pause off" }),
	},
	{"pauses", []Parameter{ShareParameter, PauseLengthParameter, IntervalParameter, DurationParameter}, "workers stand still again and again, each at its own times", (*Player).pauses},
	{
		"slow",
		[]Parameter{ShareParameter, FactorParameter, DurationParameter},
		"workers run slower",
		workerCommands(func(t Fault) (string, string) { return fmt.Sprint("slow ", t.Factor), "slow 1" }),
	},
	{"neighbour", []Parameter{ShareParameter, FactorParameter, IntervalParameter, DurationParameter}, "workers run slower for a while, then not, in turns", (*Player).neighbour},
	{"ageing", []Parameter{ShareParameter, FactorParameter, DurationParameter}, "workers run slower and slower, then die and start anew", (*Player).ageing},
	{
		"handshake",
		[]Parameter{ShareParameter, OffsetParameter, DurationParameter},
		"new connections to workers take longer to set up",
		workerCommands(func(t Fault) (string, string) { return fmt.Sprint("handshake ", t.Offset), "handshake 0s" }),
	},
	{
		"reset",
		[]Parameter{ShareParameter},
		"connections to workers break; the processes live on",
		workerCommands(func(Fault) (string, string) { return "reset", "" }),
	},
	{
		"flush",
		[]Parameter{ShareParameter},
		"all copies at a share of the workers go void",
		workerCommands(func(Fault) (string, string) { return "flush", "" }),
	},
	{"re-release", []Parameter{ShareParameter}, "a share of the functions is released anew: their copies go void at all workers", (*Player).reRelease},
	{
		"clock-jump",
		[]Parameter{ShareParameter, SkewParameter, DurationParameter},
		"workers' wall clocks are off, back with a minus: what starts meanwhile tells the directory a wrong start",
		(*Player).clockJump,
	},
	{"store-stop", []Parameter{DurationParameter}, "the function store answers nothing", (*Player).storeStop},
	{"store-slow", []Parameter{FactorParameter, DurationParameter}, "the store is slower", (*Player).storeSlow},
	{"store-fail", []Parameter{RateParameter, DurationParameter}, "the store fails a share of the fetches", (*Player).storeFail},
	{"directory-lag", []Parameter{OffsetParameter, DurationParameter}, "changes of the list are told later", (*Player).directoryLag},
	{"directory-down", []Parameter{DurationParameter}, "the directory cannot be had", (*Player).directoryDown},
	{"directory-part", []Parameter{ShareParameter, DurationParameter}, "the list names a share of the workers only", (*Player).directoryPart},
	{"directory-back", nil, "the directory loses its index and tells the list anew", (*Player).directoryBack},
	{
		"net-delay",
		[]Parameter{ZoneParameter, OtherZoneParameter, OffsetParameter, DurationParameter},
		"messages between two zones take longer, both ways; a zone may be named twice",
		networkFault(func(t Fault) model.NetworkFault { return model.NetworkFault{Delay: t.Offset} }),
	},
	{
		"net-loss",
		[]Parameter{ZoneParameter, OtherZoneParameter, RateParameter, DurationParameter},
		"a share of the messages is lost and comes when it is sent again; all behind it wait",
		networkFault(func(t Fault) model.NetworkFault { return model.NetworkFault{Loss: t.Factor} }),
	},
	{
		"net-cut",
		[]Parameter{ZoneParameter, OtherZoneParameter, DurationParameter},
		"nothing passes between two zones",
		networkFault(func(Fault) model.NetworkFault { return model.NetworkFault{Loss: 1} }),
	},
	{"leave", []Parameter{ShareParameter, DurationParameter}, "clients close their connections early", (*Player).disconnectClients},
	{"surge", []Parameter{FactorParameter, DurationParameter}, "calls come at so many times their rate", (*Player).surge},
	{"flood", []Parameter{TenantParameter, FactorParameter, DurationParameter}, "one tenant asks so many times what it usually does", (*Player).flood},
	{"repeat", []Parameter{TenantParameter, RepeatsParameter, DurationParameter}, "one tenant's clients repeat at once so many times, whatever they are told", (*Player).repeat},
	{"silent", []Parameter{TenantParameter, DurationParameter}, "one tenant asks nothing", (*Player).silent},
	{"heavy-of", []Parameter{TenantParameter, FactorParameter, DurationParameter}, "one tenant's calls do so many times the work", (*Player).heavyOf},
	{"scan-of", []Parameter{TenantParameter, ShareParameter, DurationParameter}, "a share of one tenant's calls is for functions that are wanted once only", (*Player).scanOf},
	{"patience", []Parameter{FactorParameter, DurationParameter}, "clients' patience is so many times what it was", (*Player).changeTimeouts},
	{"heavy", []Parameter{FactorParameter, DurationParameter}, "calls do so many times the work", (*Player).heavy},
	{"hot", []Parameter{ShareParameter, FunctionsParameter, DurationParameter}, "a share of the calls goes to a few functions of each class that nobody called before", (*Player).hot},
	{"scan", []Parameter{ShareParameter, DurationParameter}, "a share of the calls is for functions that are wanted once only", (*Player).scan},
	{"kill", []Parameter{FrontEndParameter, DurationParameter}, "a front end is killed and comes back", (*Player).kill},
	{"restart", []Parameter{FrontEndParameter}, "a front end is stopped cleanly and started", (*Player).restart},
	{"stall", []Parameter{FrontEndParameter, DurationParameter}, "a front end's loops stand still; then all that came meanwhile is there at once", (*Player).stall},
	{"end", nil, "nothing; marks a time", func(*Player, Fault) error { return nil }},
}

// kindOf returns a kind by its name, nil for a name that is unknown.
func kindOf(name string) *kind {
	for i := range kinds {
		if kinds[i].name == name {
			return &kinds[i]
		}
	}
	return nil
}

// Kinds lists the names of all kinds of fault.
func Kinds() (names []string) {
	for _, k := range kinds {
		names = append(names, k.name)
	}
	return names
}

// HasParameter reports whether a kind of fault, by its name, has a parameter.
func HasParameter(name string, p Parameter) bool {
	k := kindOf(name)
	return k != nil && slices.Contains(k.parameters, p)
}
