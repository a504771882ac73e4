package simwire

import "havencart/scheduler"

// MaxLists is the number of endpoint lists of a process. They are numbered from 0.
const MaxLists = 16

// ListKind is the kind of the list in an EndpointsChanged event.
type ListKind uint8

const (
	// DeltaList contains only the workers that changed.
	DeltaList ListKind = iota
	// FullList contains all workers.
	FullList
	// CachedList contains all workers from an earlier, possibly outdated list.
	CachedList
	// WatchFailed means that the watch of the endpoint list failed and the event has no list.
	WatchFailed
)

func (f *fieldReader) listKind() ListKind {
	kind := ListKind(f.u8())
	if kind > WatchFailed {
		f.fail("unknown kind of list %d", kind)
	}
	return kind
}

func (f *fieldReader) checkListNumber(number uint16) {
	if number >= MaxLists {
		f.fail("list number %d", number)
	}
}

// endpoints reads the workers of an EndpointList event from the tail.
func (f *fieldReader) endpoints() []scheduler.WorkerInfo {
	raw := f.tailSlice(endpointSize)
	workers := make([]scheduler.WorkerInfo, 0, len(raw)/endpointSize)
	for ; len(raw) >= endpointSize; raw = raw[endpointSize:] {
		entry := fieldReader{record: raw[:endpointSize]}
		workers = append(workers, entry.endpoint())
		if entry.err != nil {
			f.err = entry.err
		}
	}
	return workers
}

// endpoint reads one worker. A start time of 0 means that the start time is unknown.
func (f *fieldReader) endpoint() scheduler.WorkerInfo {
	var worker scheduler.WorkerInfo
	worker.Scale = f.f32()
	worker.ID = f.worker()
	worker.Zone = int(f.u8())
	worker.Started = f.duration()
	if worker.Started == 0 {
		worker.Started = scheduler.UnknownStart
	}
	worker.State = scheduler.WorkerState(f.u8())
	worker.Kind = int(f.u16())
	worker.Cell = int(f.u16())
	if worker.State < scheduler.Ready || worker.State > scheduler.Removed {
		f.fail("unknown state %d", worker.State)
	}
	return worker
}
