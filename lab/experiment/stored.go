package experiment

import (
	"encoding/json"

	"havencart/internal/gateway"
	"havencart/internal/shadow"
	"havencart/lab/invariant"
	"havencart/lab/model"
	"havencart/lab/simulation"
)

// storedCell is one line of a results file. The stored types below fix the names that such files have had from
// the start, whatever the types of a run are called: users resume from files that earlier builds wrote, and a
// variant may be run by another build.
type storedCell struct {
	Variant string       `json:"Variant"`
	Day     string       `json:"Day"`
	Seed    uint64       `json:"Seed"`
	Key     string       `json:"Key"`
	Failed  string       `json:"Failed"`
	Result  StoredResult `json:"Result"`
}

// StoredResult is a simulation.Result as results files and `havencart experiment cell` write it. ResultOf makes
// one, Result reads it.
type StoredResult struct {
	Tally  storedTally    `json:"Tally"`
	Breaks []storedBreak  `json:"Breaks"`
	Score  storedScore    `json:"Score"`
	Counts storedCounts   `json:"Counts"`
	Store  storedStore    `json:"Store"`
	Trace  uint64         `json:"Trace"`
	Seen   map[string]int `json:"Seen"`
	Series []storedSample `json:"Series"`
	Told   []string       `json:"Told"`
}

type storedTally struct {
	Asked    int `json:"Asked"`
	Served   int `json:"Served"`
	Refused  int `json:"Refused"`
	Failed   int `json:"Failed"`
	Left     int `json:"Left"`
	Killed   int `json:"Killed"`
	Attempts int `json:"Attempts"`
	Runs     int `json:"Runs"`
	Orders   int `json:"Orders"`
	Falls    int `json:"Falls"`
}

type storedBreak struct {
	Rule string `json:"Rule"`
	What string `json:"What"`
}

type storedPart struct {
	Asked float64 `json:"Asked"`
	Got   float64 `json:"Got"`
}

type storedCourse struct {
	storedPart
	Seconds []storedPart `json:"Seconds"`
}

type storedScore struct {
	storedCourse
	Calls    int                      `json:"Calls"`
	ByClass  map[string]*storedCourse `json:"ByClass"`
	ByTenant map[string]*storedCourse `json:"ByTenant"`
}

type storedCounts struct {
	Taken      uint64       `json:"Taken"`
	Served     uint64       `json:"Served"`
	Refused    uint64       `json:"Refused"`
	Failed     uint64       `json:"Failed"`
	Left       uint64       `json:"Left"`
	TurnedAway uint64       `json:"TurnedAway"`
	Attempts   uint64       `json:"Attempts"`
	Loads      uint64       `json:"Loads"`
	Asks       uint64       `json:"Asks"`
	Probes     uint64       `json:"Probes"`
	Late       uint64       `json:"Late"`
	Overdue    uint64       `json:"Overdue"`
	Otherwise  storedShadow `json:"Otherwise"`
}

type storedShadow struct {
	Looked     uint64 `json:"Looked"`
	Worker     uint64 `json:"Worker"`
	Held       uint64 `json:"Held"`
	Answer     uint64 `json:"Answer"`
	Load       uint64 `json:"Load"`
	Ask        uint64 `json:"Ask"`
	CalledBack uint64 `json:"CalledBack"`
}

type storedStore struct {
	Fetches int `json:"Fetches"`
	Refused int `json:"Refused"`
	Falls   int `json:"Falls"`
}

type storedSample struct {
	InHand   int    `json:"InHand"`
	Copies   int    `json:"Copies"`
	Waiting  int    `json:"Waiting"`
	Served   uint64 `json:"Served"`
	Refused  uint64 `json:"Refused"`
	Failed   uint64 `json:"Failed"`
	Attempts uint64 `json:"Attempts"`
	Loads    uint64 `json:"Loads"`
	Fetches  int    `json:"Fetches"`
}

// MarshalJSON implements json.Marshaler: it writes a line of a results file, without its end.
func (c Cell) MarshalJSON() ([]byte, error) {
	return json.Marshal(storedCell{
		Variant: c.Variant,
		Day:     c.Scenario,
		Seed:    c.Seed,
		Key:     c.Key,
		Failed:  c.Failed,
		Result:  ResultOf(&c.Result),
	})
}

// UnmarshalJSON implements json.Unmarshaler: it reads what MarshalJSON writes.
func (c *Cell) UnmarshalJSON(raw []byte) error {
	var s storedCell
	if err := json.Unmarshal(raw, &s); err != nil {
		return err
	}
	*c = Cell{
		Variant:  s.Variant,
		Scenario: s.Day,
		Seed:     s.Seed,
		Key:      s.Key,
		Failed:   s.Failed,
		Result:   s.Result.Result(),
	}
	return nil
}

// ResultOf is a result in its stored form.
func ResultOf(r *simulation.Result) StoredResult {
	return StoredResult{
		Tally:  tallyOf(r.Tally),
		Breaks: convertAll(r.Violations, breakOf),
		Score: storedScore{
			storedCourse: courseOf(r.Score.Timeline),
			Calls:        r.Score.Requests,
			ByClass:      coursesOf(r.Score.ByClass),
			ByTenant:     coursesOf(r.Score.ByTenant),
		},
		Counts: countsOf(r.Counts),
		Store:  storeOf(r.Store),
		Trace:  r.Trace,
		Seen:   r.Outcomes,
		Series: convertAll(r.Samples, sampleOf),
		Told:   r.Log,
	}
}

// Result is the result that was stored.
func (s *StoredResult) Result() simulation.Result {
	return simulation.Result{
		Tally:      s.Tally.tally(),
		Violations: convertAll(s.Breaks, storedBreak.violation),
		Score: invariant.Score{
			Timeline: s.Score.course(),
			Requests: s.Score.Calls,
			ByClass:  readCourses(s.Score.ByClass),
			ByTenant: readCourses(s.Score.ByTenant),
		},
		Counts:   s.Counts.counts(),
		Store:    s.Store.totals(),
		Trace:    s.Trace,
		Outcomes: s.Seen,
		Samples:  convertAll(s.Series, storedSample.sample),
		Log:      s.Told,
	}
}

// convertAll converts each element; nil stays nil, which JSON tells from an empty list.
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

// convertValues converts the values of a table; nil stays nil.
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

func courseOf(c invariant.Timeline) storedCourse {
	return storedCourse{
		storedPart: partOf(c.ServiceLevel),
		Seconds:    convertAll(c.Seconds, partOf),
	}
}

func (s storedCourse) course() invariant.Timeline {
	return invariant.Timeline{
		ServiceLevel: s.part(),
		Seconds:      convertAll(s.Seconds, storedPart.part),
	}
}

func coursesOf(table map[string]*invariant.Timeline) map[string]*storedCourse {
	return convertValues(table, courseOf)
}

func readCourses(table map[string]*storedCourse) map[string]*invariant.Timeline {
	return convertValues(table, storedCourse.course)
}

func countsOf(c gateway.Counts) storedCounts {
	return storedCounts{
		Taken:      c.Admitted,
		Served:     c.Served,
		Refused:    c.Rejected,
		Failed:     c.Failed,
		Left:       c.Disconnected,
		TurnedAway: c.Shed,
		Attempts:   c.Attempts,
		Loads:      c.LoadOrders,
		Asks:       c.ResidencyQueries,
		Probes:     c.HealthChecks,
		Late:       c.LateResponses,
		Overdue:    c.PastDeadline,
		Otherwise: storedShadow{
			Looked:     c.ShadowDifferences.Compared,
			Worker:     c.ShadowDifferences.OtherWorker,
			Held:       c.ShadowDifferences.OtherQueueing,
			Answer:     c.ShadowDifferences.OtherResponse,
			Load:       c.ShadowDifferences.LoadOrder,
			Ask:        c.ShadowDifferences.ResidencyQuery,
			CalledBack: c.ShadowDifferences.Cancellation,
		},
	}
}

func (s storedCounts) counts() gateway.Counts {
	return gateway.Counts{
		Admitted:         s.Taken,
		Served:           s.Served,
		Rejected:         s.Refused,
		Failed:           s.Failed,
		Disconnected:     s.Left,
		Shed:             s.TurnedAway,
		Attempts:         s.Attempts,
		LoadOrders:       s.Loads,
		ResidencyQueries: s.Asks,
		HealthChecks:     s.Probes,
		LateResponses:    s.Late,
		PastDeadline:     s.Overdue,
		ShadowDifferences: shadow.Counts{
			Compared:       s.Otherwise.Looked,
			OtherWorker:    s.Otherwise.Worker,
			OtherQueueing:  s.Otherwise.Held,
			OtherResponse:  s.Otherwise.Answer,
			LoadOrder:      s.Otherwise.Load,
			ResidencyQuery: s.Otherwise.Ask,
			Cancellation:   s.Otherwise.CalledBack,
		},
	}
}

func tallyOf(x invariant.Tally) storedTally {
	return storedTally{
		Asked:    x.Sent,
		Served:   x.Served,
		Refused:  x.Rejected,
		Failed:   x.Failed,
		Left:     x.Disconnected,
		Killed:   x.AtKilledFrontEnds,
		Attempts: x.Attempts,
		Runs:     x.Executions,
		Orders:   x.LoadOrders,
		Falls:    x.WorkerCrashes,
	}
}

func (s storedTally) tally() invariant.Tally {
	return invariant.Tally{
		Sent:              s.Asked,
		Served:            s.Served,
		Rejected:          s.Refused,
		Failed:            s.Failed,
		Disconnected:      s.Left,
		AtKilledFrontEnds: s.Killed,
		Attempts:          s.Attempts,
		Executions:        s.Runs,
		LoadOrders:        s.Orders,
		WorkerCrashes:     s.Falls,
	}
}

func breakOf(x invariant.Violation) storedBreak {
	return storedBreak{
		Rule: x.Rule,
		What: x.What,
	}
}

func (s storedBreak) violation() invariant.Violation {
	return invariant.Violation{
		Rule: s.Rule,
		What: s.What,
	}
}

func partOf(x invariant.ServiceLevel) storedPart {
	return storedPart{
		Asked: x.Offered,
		Got:   x.Earned,
	}
}

func (s storedPart) part() invariant.ServiceLevel {
	return invariant.ServiceLevel{
		Offered: s.Asked,
		Earned:  s.Got,
	}
}

func storeOf(x model.StoreTotals) storedStore {
	return storedStore{
		Fetches: x.Fetches,
		Refused: x.Rejected,
		Falls:   x.Outages,
	}
}

func (s storedStore) totals() model.StoreTotals {
	return model.StoreTotals{
		Fetches:  s.Fetches,
		Rejected: s.Refused,
		Outages:  s.Falls,
	}
}

func sampleOf(x simulation.Sample) storedSample {
	return storedSample{
		InHand:   x.InFlight,
		Copies:   x.Replicas,
		Waiting:  x.Queued,
		Served:   x.Served,
		Refused:  x.Rejected,
		Failed:   x.Failed,
		Attempts: x.Attempts,
		Loads:    x.LoadOrders,
		Fetches:  x.Fetches,
	}
}

func (s storedSample) sample() simulation.Sample {
	return simulation.Sample{
		InFlight:   s.InHand,
		Replicas:   s.Copies,
		Queued:     s.Waiting,
		Served:     s.Served,
		Rejected:   s.Refused,
		Failed:     s.Failed,
		Attempts:   s.Attempts,
		LoadOrders: s.Loads,
		Fetches:    s.Fetches,
	}
}
