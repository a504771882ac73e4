// Package endpointstream reads and writes the bulletin, as the users' platform calls its list of executors: frames on
// a connection, and the same events as JSON in a front end's configuration. It is strict: every length is checked
// before anything is allocated for it.
package endpointstream

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"strconv"
	"strings"
)

// State is what the bulletin says of an executor.
type State byte

// The states.
const (
	Ready State = iota
	Draining
	Removed
)

// Kind is the kind of an event.
type Kind byte

// The kinds of event.
const (
	NoChange Kind = iota
	Snapshot      // the whole list
	Delta
)

const (
	headSize   = 13 // length, number, kind
	afterSize  = 9  // what the length counts beside the payload
	recordSize = 27
	maxRecords = 1 << 14
)

// ErrMalformed is wrapped by every error about the content of a bulletin.
var ErrMalformed = errors.New("malformed bulletin")

// Entry is what an event says of one executor.
type Entry struct {
	ID      uint32
	Address netip.AddrPort
	State   State
	Zone    int
	Kind    int
	Cell    int
	Weight  float64
	Started int64 // Unix milliseconds of a late start, else 0
}

// Name is the executor's name as texts write it.
func (e Entry) Name() string { return fmt.Sprintf("s-%08x", e.ID) }

// Event is one change of the list.
type Event struct {
	Number  uint64
	Kind    Kind
	Entries []Entry
}

// AppendHello appends what a front end writes first: the number of the last event that it has.
func AppendHello(buf []byte, last uint64) []byte { return binary.BigEndian.AppendUint64(buf, last) }

// ReadHello reads that.
func ReadHello(r io.Reader) (last uint64, err error) {
	var b [8]byte
	_, err = io.ReadFull(r, b[:])
	return binary.BigEndian.Uint64(b[:]), err
}

// Append appends an event as a frame.
func Append(buf []byte, e Event) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(afterSize+recordSize*len(e.Entries)))
	buf = append(binary.BigEndian.AppendUint64(buf, e.Number), byte(e.Kind))
	for _, x := range e.Entries {
		buf = binary.BigEndian.AppendUint32(buf, x.ID)
		ip := x.Address.Addr().As4()
		buf = binary.BigEndian.AppendUint16(append(buf, ip[:]...), x.Address.Port())
		buf = append(buf, byte(x.State), byte(x.Zone), byte(x.Kind))
		buf = binary.BigEndian.AppendUint16(buf, uint16(x.Cell))
		buf = binary.BigEndian.AppendUint32(buf, uint32(math.Round(x.Weight*1000)))
		buf = binary.BigEndian.AppendUint64(buf, uint64(x.Started))
	}
	return buf
}

// Read reads the next event of a list whose executors stand in one of zones places and are of one of kinds.
func Read(r io.Reader, zones, kinds int) (Event, error) {
	var head [headSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Event{}, err
	}
	size := binary.BigEndian.Uint32(head[:])
	e := Event{Number: binary.BigEndian.Uint64(head[4:]), Kind: Kind(head[12])}
	if size < afterSize || (size-afterSize)%recordSize != 0 || (size-afterSize)/recordSize > maxRecords ||
		e.Kind > Delta || e.Kind == NoChange && size > afterSize {
		return e, fmt.Errorf("%w: event of kind %d, %d bytes long", ErrMalformed, e.Kind, size)
	}
	var record [recordSize]byte
	for range (size - afterSize) / recordSize {
		if _, err := io.ReadFull(r, record[:]); err != nil {
			return e, fmt.Errorf("event %d breaks off: %w", e.Number, err)
		}
		x, err := entry(record, zones, kinds)
		if err != nil {
			return e, err
		}
		e.Entries = append(e.Entries, x)
	}
	return e, nil
}

func entry(b [recordSize]byte, zones, kinds int) (Entry, error) {
	e := Entry{ID: binary.BigEndian.Uint32(b[:]),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[4:8])), binary.BigEndian.Uint16(b[8:])),
		State:   State(b[10]), Zone: int(b[11]), Kind: int(b[12]), Cell: int(binary.BigEndian.Uint16(b[13:])),
		Weight: float64(binary.BigEndian.Uint32(b[15:])) / 1000, Started: int64(binary.BigEndian.Uint64(b[19:]))}
	return e, e.check(zones, kinds)
}

func (e Entry) check(zones, kinds int) error {
	if e.State > Removed || e.Zone >= zones || e.Kind >= kinds || e.Address.Port() == 0 || e.Started < 0 ||
		e.State != Removed && !(e.Weight > 0) {
		return fmt.Errorf("%w: executor %+v", ErrMalformed, e)
	}
	return nil
}

// Known are the events of a front end's start, as its configuration holds them.
type InitialEvents struct {
	Number uint64 `json:"no"`
	Items  []struct {
		Number uint64 `json:"no"`
		Roster struct {
			Whole bool   `json:"whole"`
			Hosts []host `json:"hosts"`
		} `json:"roster"`
	} `json:"items"`
}

type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

var states = map[string]State{"up": Ready, "draining": Draining, "removed": Removed}

// ParseKnown reads them; zones and kinds are the names of places and kinds.
func ParseInitialEvents(text []byte, zones, kinds []string) (last uint64, events []Event, err error) {
	var in InitialEvents
	if err := json.Unmarshal(text, &in); err != nil {
		return 0, nil, fmt.Errorf("%w: known: %w", ErrMalformed, err)
	}
	for _, item := range in.Items {
		e := Event{Number: item.Number, Kind: Delta}
		if item.Roster.Whole {
			e.Kind = Snapshot
		}
		for _, h := range item.Roster.Hosts {
			x, err := h.entry(zones, kinds)
			if err != nil {
				return 0, nil, err
			}
			e.Entries = append(e.Entries, x)
		}
		events = append(events, e)
	}
	return in.Number, events, nil
}

func (h host) entry(zones, kinds []string) (Entry, error) {
	digits, named := strings.CutPrefix(h.Host, "s-")
	id, err := strconv.ParseUint(digits, 16, 32)
	state, known := states[h.Health]
	address, wrong := netip.ParseAddrPort(h.Dial)
	if !named || err != nil || !known || wrong != nil || !address.Addr().Is4() || h.Block < 0 || !(h.Born >= 0) {
		return Entry{}, fmt.Errorf("%w: executor %+v", ErrMalformed, h)
	}
	e := Entry{ID: uint32(id), Address: address, State: state, Zone: index(zones, h.Site), Kind: index(kinds, h.Class),
		Cell: h.Block, Weight: h.Share, Started: int64(h.Born)}
	return e, e.check(len(zones), len(kinds))
}

// index is the place of a name, one past the last if it is not there.
func index(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return len(names)
}
