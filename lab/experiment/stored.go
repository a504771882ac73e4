package experiment

import (
	"encoding/json"

	"havencart/lab/invariant"
	"havencart/lab/model"
	"havencart/lab/simulation"
)

// storedCell is one line of a results file. This type and the stored types below fix the names of the fields in the
// file, so that the types of a run may be renamed: users resume from files that earlier builds wrote, and a variant
// may be run by another build.
type storedCell struct {
	Variant  string       `json:"Variant"`
	Scenario string       `json:"Day"`
	Seed     uint64       `json:"Seed"`
	Key      string       `json:"Key"`
	Failed   string       `json:"Failed"`
	Result   StoredResult `json:"Result"`
}

// StoredResult is the form of a simulation.Result in results files and in the output of `havencart cell`.
// ResultOf converts a simulation.Result to it, and Result converts it back.
type StoredResult struct {
	Tally      storedTally       `json:"Tally"`
	Violations []storedViolation `json:"Breaks"`
	Score      storedScore       `json:"Score"`
	Counts     storedCounts      `json:"Counts"`
	Store      storedStore       `json:"Store"`
	Trace      uint64            `json:"Trace"`
	Outcomes   map[string]int    `json:"Seen"`
	Samples    []storedSample    `json:"Series"`
	Log        []string          `json:"Told"`
}

type storedTally struct {
	Sent              int `json:"Asked"`
	Served            int `json:"Served"`
	Rejected          int `json:"Refused"`
	Failed            int `json:"Failed"`
	Disconnected      int `json:"Left"`
	AtKilledFrontEnds int `json:"Killed"`
	Attempts          int `json:"Attempts"`
	Executions        int `json:"Runs"`
	LoadOrders        int `json:"Orders"`
	WorkerCrashes     int `json:"Falls"`
}

type storedViolation struct {
	Rule string `json:"Rule"`
	What string `json:"What"`
}

type storedServiceLevel struct {
	Offered float64 `json:"Asked"`
	Earned  float64 `json:"Got"`
}

type storedTimeline struct {
	storedServiceLevel
	Seconds []storedServiceLevel `json:"Seconds"`
}

type storedScore struct {
	storedTimeline
	Requests int                        `json:"Calls"`
	ByClass  map[string]*storedTimeline `json:"ByClass"`
	ByTenant map[string]*storedTimeline `json:"ByTenant"`
}

type storedStore struct {
	Fetches  int `json:"Fetches"`
	Rejected int `json:"Refused"`
	Outages  int `json:"Falls"`
}

type storedSample struct {
	InFlight   int    `json:"InHand"`
	Replicas   int    `json:"Copies"`
	Queued     int    `json:"Waiting"`
	Served     uint64 `json:"Served"`
	Rejected   uint64 `json:"Refused"`
	Failed     uint64 `json:"Failed"`
	Attempts   uint64 `json:"Attempts"`
	LoadOrders uint64 `json:"Loads"`
	Fetches    int    `json:"Fetches"`
}

// MarshalJSON implements json.Marshaler. It writes a line of a results file, without the line end.
func (c Cell) MarshalJSON() ([]byte, error) {
	return json.Marshal(storedCell{
		Variant:  c.Variant,
		Scenario: c.Scenario,
		Seed:     c.Seed,
		Key:      c.Key,
		Failed:   c.Failed,
		Result:   ResultOf(&c.Result),
	})
}

// UnmarshalJSON implements json.Unmarshaler. It reads a line that MarshalJSON wrote.
func (c *Cell) UnmarshalJSON(raw []byte) error {
	var s storedCell
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	*c = Cell{
		Variant:  s.Variant,
		Scenario: s.Scenario,
		Seed:     s.Seed,
		Key:      s.Key,
		Failed:   s.Failed,
		Result:   s.Result.Result(),
	}
	return nil
}

// ResultOf converts a result to its stored form.
func ResultOf(r *simulation.Result) StoredResult {
	return StoredResult{
		Tally:      tallyOf(r.Tally),
		Violations: convertAll(r.Violations, violationOf),
		Score: storedScore{
			storedTimeline: timelineOf(r.Score.Timeline),
			Requests:       r.Score.Requests,
			ByClass:        timelinesOf(r.Score.ByClass),
			ByTenant:       timelinesOf(r.Score.ByTenant),
		},
		Counts:   countsOf(r.Counts),
		Store:    storeOf(r.Store),
		Trace:    r.Trace,
		Outcomes: r.Outcomes,
		Samples:  convertAll(r.Samples, sampleOf),
		Log:      r.Log,
	}
}

// Result converts the stored form back to a result.
func (s *StoredResult) Result() simulation.Result {
	return simulation.Result{
		Tally:      s.Tally.tally(),
		Violations: convertAll(s.Violations, storedViolation.violation),
		Score: invariant.Score{
			Timeline: s.Score.timeline(),
			Requests: s.Score.Requests,
			ByClass:  readTimelines(s.Score.ByClass),
			ByTenant: readTimelines(s.Score.ByTenant),
		},
		Counts:   s.Counts.counts(),
		Store:    s.Store.totals(),
		Trace:    s.Trace,
		Outcomes: s.Outcomes,
		Samples:  convertAll(s.Samples, storedSample.sample),
		Log:      s.Log,
	}
}

// convertAll converts each element of a list. A nil list stays nil, because JSON distinguishes it from an empty one.
func convertAll[From, To any](list []From, convert func(From) To) []To {
	if list == nil {
		return nil
	}
	converted := make([]To, 0, len(list))
	for _, x := range list {
		converted = append(converted, convert(x))
	}
	return converted
}

// convertValues converts each value of a map. A nil map stays nil, because JSON distinguishes it from an empty one.
func convertValues[From, To any](table map[string]*From, convert func(From) To) map[string]*To {
	if table == nil {
		return nil
	}
	converted := make(map[string]*To, len(table))
	for name, x := range table {
		value := convert(*x)
		converted[name] = &value
	}
	return converted
}

func timelineOf(x invariant.Timeline) storedTimeline {
	return storedTimeline{
		storedServiceLevel: serviceLevelOf(x.ServiceLevel),
		Seconds:            convertAll(x.Seconds, serviceLevelOf),
	}
}

func (s storedTimeline) timeline() invariant.Timeline {
	return invariant.Timeline{
		ServiceLevel: s.serviceLevel(),
		Seconds:      convertAll(s.Seconds, storedServiceLevel.serviceLevel),
	}
}

func timelinesOf(table map[string]*invariant.Timeline) map[string]*storedTimeline {
	return convertValues(table, timelineOf)
}

func readTimelines(table map[string]*storedTimeline) map[string]*invariant.Timeline {
	return convertValues(table, storedTimeline.timeline)
}

func tallyOf(x invariant.Tally) storedTally {
	return storedTally{
		Sent:              x.Sent,
		Served:            x.Served,
		Rejected:          x.Rejected,
		Failed:            x.Failed,
		Disconnected:      x.Disconnected,
		AtKilledFrontEnds: x.AtKilledFrontEnds,
		Attempts:          x.Attempts,
		Executions:        x.Executions,
		LoadOrders:        x.LoadOrders,
		WorkerCrashes:     x.WorkerCrashes,
	}
}

func (s storedTally) tally() invariant.Tally {
	return invariant.Tally{
		Sent:              s.Sent,
		Served:            s.Served,
		Rejected:          s.Rejected,
		Failed:            s.Failed,
		Disconnected:      s.Disconnected,
		AtKilledFrontEnds: s.AtKilledFrontEnds,
		Attempts:          s.Attempts,
		Executions:        s.Executions,
		LoadOrders:        s.LoadOrders,
		WorkerCrashes:     s.WorkerCrashes,
	}
}

func violationOf(x invariant.Violation) storedViolation {
	return storedViolation{
		Rule: x.Rule,
		What: x.Detail,
	}
}

func (s storedViolation) violation() invariant.Violation {
	return invariant.Violation{
		Rule:   s.Rule,
		Detail: s.What,
	}
}

func serviceLevelOf(x invariant.ServiceLevel) storedServiceLevel {
	return storedServiceLevel{
		Offered: x.Offered,
		Earned:  x.Earned,
	}
}

func (s storedServiceLevel) serviceLevel() invariant.ServiceLevel {
	return invariant.ServiceLevel{
		Offered: s.Offered,
		Earned:  s.Earned,
	}
}

func storeOf(x model.StoreTotals) storedStore {
	return storedStore{
		Fetches:  x.Fetches,
		Rejected: x.Rejected,
		Outages:  x.Outages,
	}
}

func (s storedStore) totals() model.StoreTotals {
	return model.StoreTotals{
		Fetches:  s.Fetches,
		Rejected: s.Rejected,
		Outages:  s.Outages,
	}
}

func sampleOf(x simulation.Sample) storedSample {
	return storedSample{
		InFlight:   x.InFlight,
		Replicas:   x.Replicas,
		Queued:     x.Queued,
		Served:     x.Served,
		Rejected:   x.Rejected,
		Failed:     x.Failed,
		Attempts:   x.Attempts,
		LoadOrders: x.LoadOrders,
		Fetches:    x.Fetches,
	}
}

func (s storedSample) sample() simulation.Sample {
	return simulation.Sample{
		InFlight:   s.InFlight,
		Replicas:   s.Replicas,
		Queued:     s.Queued,
		Served:     s.Served,
		Rejected:   s.Rejected,
		Failed:     s.Failed,
		Attempts:   s.Attempts,
		LoadOrders: s.LoadOrders,
		Fetches:    s.Fetches,
	}
}
