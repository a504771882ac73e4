package endpointstream

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net/netip"
)

// A frame is a header and as many entries as its length allows, all integers big-endian:
//
//	header  0 length of what follows the length field (4 bytes), 4 event number (8), 12 kind (1)
//	entry   0 worker ID (4), 4 IPv4 address (4), 8 port (2), 10 state (1), 11 zone (1), 12 worker kind (1),
//	        13 cell (2), 15 weight in thousandths (4), 19 start in Unix milliseconds (8)
const (
	headerSize     = 13
	lengthOverhead = 9 // bytes of the header that its length field counts
	entrySize      = 27
	maxEntries     = 1 << 14
	weightUnit     = 1000 // a weight of 1 on the wire
)

// AppendHello appends the greeting that a front end writes once, before it reads: the number of the last event that it
// has, 0 if it has none. The platform answers with the events after it.
func AppendHello(buf []byte, last uint64) []byte { return binary.BigEndian.AppendUint64(buf, last) }

// ReadHello reads a front end's greeting. Its errors are those of the reader.
func ReadHello(r io.Reader) (last uint64, err error) {
	var greeting [8]byte
	_, err = io.ReadFull(r, greeting[:])
	return binary.BigEndian.Uint64(greeting[:]), err
}

// AppendEvent appends the event's frame to buf. The event must be one that ReadEvent accepts.
func AppendEvent(buf []byte, event Event) []byte {
	buf = binary.BigEndian.AppendUint32(buf, uint32(lengthOverhead+entrySize*len(event.Entries)))
	buf = binary.BigEndian.AppendUint64(buf, event.Number)
	buf = append(buf, byte(event.Kind))
	for _, entry := range event.Entries {
		buf = appendEntry(buf, entry)
	}
	return buf
}

func appendEntry(buf []byte, entry Entry) []byte {
	ip := entry.Address.Addr().As4()
	buf = binary.BigEndian.AppendUint32(buf, entry.ID)
	buf = append(buf, ip[:]...)
	buf = binary.BigEndian.AppendUint16(buf, entry.Address.Port())
	buf = append(buf, byte(entry.State), byte(entry.Zone), byte(entry.WorkerKind))
	buf = binary.BigEndian.AppendUint16(buf, uint16(entry.Cell))
	buf = binary.BigEndian.AppendUint32(buf, uint32(math.Round(entry.Weight*weightUnit)))
	return binary.BigEndian.AppendUint64(buf, uint64(entry.StartedUnixMilli))
}

// ReadEvent reads the next event of a platform with that many zones and worker kinds. An error that wraps ErrMalformed is
// about the content; any other, such as io.EOF between two events, is the reader's. After an error the position in the
// stream is unknown and the connection must be given up.
func ReadEvent(r io.Reader, zones, kinds int) (Event, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Event{}, err
	}
	size := binary.BigEndian.Uint32(header[:])
	event := Event{
		Number: binary.BigEndian.Uint64(header[4:]),
		Kind:   EventKind(header[12]),
	}
	if !validSize(size) || !event.Kind.allowsSize(size) {
		return event, fmt.Errorf("%w: event of kind %d, %d bytes long", ErrMalformed, event.Kind, size)
	}
	var record [entrySize]byte
	for range (size - lengthOverhead) / entrySize {
		if _, err := io.ReadFull(r, record[:]); err != nil {
			return event, fmt.Errorf("event %d is cut off: %w", event.Number, err)
		}
		entry := decodeEntry(record)
		if err := entry.validate(zones, kinds); err != nil {
			return event, err
		}
		event.Entries = append(event.Entries, entry)
	}
	return event, nil
}

// validSize reports whether a frame's length field stands for a whole number of entries within the bound.
func validSize(size uint32) bool {
	if size < lengthOverhead {
		return false
	}
	entries := size - lengthOverhead
	return entries%entrySize == 0 && entries/entrySize <= maxEntries
}

// allowsSize reports whether the kind is known and an event of it may have a frame of that length.
func (k EventKind) allowsSize(size uint32) bool {
	if k > Delta {
		return false
	}
	return k != NoChange || size == lengthOverhead
}

func decodeEntry(record [entrySize]byte) Entry {
	address := netip.AddrFrom4([4]byte(record[4:8]))
	port := binary.BigEndian.Uint16(record[8:])
	return Entry{
		ID:               binary.BigEndian.Uint32(record[:]),
		Address:          netip.AddrPortFrom(address, port),
		State:            State(record[10]),
		Zone:             int(record[11]),
		WorkerKind:       int(record[12]),
		Cell:             int(binary.BigEndian.Uint16(record[13:])),
		Weight:           float64(binary.BigEndian.Uint32(record[15:])) / weightUnit,
		StartedUnixMilli: int64(binary.BigEndian.Uint64(record[19:])),
	}
}
