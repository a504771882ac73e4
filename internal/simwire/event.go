package simwire

import "havencart/scheduler"

// EventCode is the kind of an event.
type EventCode uint16

// Event codes. Each comment gives the name in the protocol and the fields of Event that are set.
const (
	OpenInstance       EventCode = 256 + iota // OPEN_INSTANCE: Seed, Settings
	EndpointsChanged                          // MEMBERS: ListKind, ListNumber
	RequestReceived                           // ARRIVAL: Request
	ResponseStarted                           // FIRST: Request.ID
	AttemptEnded                              // RESULT: Outcome
	ClientDisconnected                        // LAPSED: Request.ID
	TimerFired                                // WAKE: TimerToken
	HealthChecked                             // PONG: HealthCheck
	Datagram                                  // DATAGRAM: no fields; the event is decoded and ignored
	CloseInstance                             // DETACH: no fields
	LoadEnded                                 // LOAD_DONE: Load
	EndpointList                              // DIRECTORY: ListNumber, Workers; applies to the whole process
	SelectInstance                            // FOR: Instance, to which the following events are addressed
)

// Event is one decoded record of a batch. Code determines which of the other fields are set.
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
	reader := fieldReader{record: record, tail: tail}
	event := Event{Code: EventCode(reader.u16())}
	switch event.Code {
	case OpenInstance:
		event.Seed = reader.u64()
		event.Settings = reader.tailSlice(1)
	case EndpointsChanged:
		event.ListKind = reader.listKind()
		reader.skip(4) // list version, not needed because lists arrive in order and without gaps
		event.ListNumber = reader.u16()
	case EndpointList:
		event.ListNumber = reader.u16()
		event.Workers = reader.endpoints()
	case RequestReceived:
		event.Request = reader.request()
	case ResponseStarted, ClientDisconnected:
		event.Request.ID = reader.requestID()
	case AttemptEnded:
		event.Outcome = reader.outcome()
	case TimerFired:
		event.TimerToken = reader.u64()
	case HealthChecked:
		event.HealthCheck = reader.healthCheck()
	case LoadEnded:
		event.Load = reader.load()
	case Datagram:
		reader.skip(2) // sender of the datagram
		reader.tailSlice(1)
	case SelectInstance:
		event.Instance = reader.u32()
	case CloseInstance:
	default:
		return event, malformed("unknown event code %d", event.Code)
	}
	reader.checkListNumber(event.ListNumber)
	return event, reader.err
}
