package simwire

import "havencart/scheduler"

// EventCode is the kind of an event.
type EventCode uint16

// The codes of events; each says the protocol's name, and which fields of Event are set.
const (
	OpenInstance       EventCode = 256 + iota // OPEN_INSTANCE: Seed, Settings
	EndpointsChanged                          // MEMBERS: ListKind, ListNumber
	RequestReceived                           // ARRIVAL: Request
	ResponseStarted                           // FIRST: Request.ID
	AttemptEnded                              // RESULT: Outcome
	ClientDisconnected                        // LAPSED: Request.ID
	TimerFired                                // WAKE: TimerToken
	HealthChecked                             // PONG: HealthCheck
	Datagram                                  // DATAGRAM: nothing; read and ignored
	CloseInstance                             // DETACH: nothing
	LoadEnded                                 // LOAD_DONE: Load
	EndpointList                              // DIRECTORY: ListNumber, Workers; for the whole process
	SelectInstance                            // FOR: Instance; the events that follow are for it
)

// Event is one record of a batch. Which fields are set depends on Code.
type Event struct {
	Code        EventCode
	Instance    uint32
	Seed        uint64
	Settings    []byte // JSON
	ListKind    ListKind
	ListNumber  uint16 // below MaxLists
	Workers     []scheduler.WorkerInfo
	Request     scheduler.Request
	Outcome     scheduler.Outcome
	HealthCheck scheduler.HealthCheckResult
	Load        scheduler.LoadResult
	TimerToken  uint64
}

func decodeEvent(record, tail []byte) (Event, error) {
	f := fieldReader{record: record, tail: tail}
	e := Event{Code: EventCode(f.u16())}
	switch e.Code {
	case OpenInstance:
		e.Seed = f.u64()
		e.Settings = f.tailSlice(1)
	case EndpointsChanged:
		e.ListKind = f.listKind()
		f.skip(4) // version: lists arrive in order and without gaps
		e.ListNumber = f.u16()
	case EndpointList:
		e.ListNumber = f.u16()
		e.Workers = f.endpoints()
	case RequestReceived:
		e.Request = f.request()
	case ResponseStarted, ClientDisconnected:
		e.Request.ID = f.requestID()
	case AttemptEnded:
		e.Outcome = f.outcome()
	case TimerFired:
		e.TimerToken = f.u64()
	case HealthChecked:
		e.HealthCheck = f.healthCheck()
	case LoadEnded:
		e.Load = f.load()
	case Datagram:
		f.skip(2) // sender
		f.tailSlice(1)
	case SelectInstance:
		e.Instance = f.u32()
	case CloseInstance:
	default:
		return e, malformed("unknown event code %d", e.Code)
	}
	f.checkListNumber(e.ListNumber)
	return e, f.err
}
