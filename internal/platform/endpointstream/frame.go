package endpointstream

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net/netip"
)

// A frame consists of a header and zero or more entries; the header's length field determines the number of entries.
// All integers are big-endian. The layout is listed as the offset of each field with its size in bytes:
//
//	header  0 length of the frame after this field (4), 4 event number (8), 12 kind (1)
//	entry   0 worker ID (4), 4 IPv4 address (4), 8 port (2), 10 state (1), 11 zone (1), 12 worker kind (1),
//	        13 cell (2), 15 weight in thousandths (4), 19 start time in Unix milliseconds (8)
const (
	headerSize     = 13
	lengthOverhead = 9 // bytes of the header that are included in its length field
	entrySize      = 27
	maxEntries     = 1 << 14
	weightUnit     = 1000 // value on the wire that represents a weight of 1
)

// AppendHello appends the hello message, which a front end writes once at the start of a connection. It contains the
// number of the last event that the front end has received, or 0 if there is none. The platform responds with the later
// events.
func AppendHello(buf []byte, last uint64) []byte { return binary.BigEndian.AppendUint64(buf, last) }

// ReadHello reads the hello message of a front end. It returns errors of the reader unchanged.
func ReadHello(r io.Reader) (last uint64, err error) {
	var hello [8]byte
	_, err = io.ReadFull(r, hello[:])
	return binary.BigEndian.Uint64(hello[:]), err
}

// AppendEvent appends the event's frame to buf. It does not validate the event: the caller must pass only events that
// ReadEvent accepts.
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

// ReadEvent reads the next event. The zones and kinds arguments are the number of zones and the number of worker kinds
// of the platform. Errors about the content wrap ErrMalformed; all other errors, such as io.EOF between two events,
// come from the reader. After an error the position in the stream is unknown, so the caller must close the connection.
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

// validSize reports whether the value of a frame's length field corresponds to a whole number of entries and to at most
// maxEntries.
func validSize(size uint32) bool {
	if size < lengthOverhead {
		return false
	}
	entries := size - lengthOverhead
	return entries%entrySize == 0 && entries/entrySize <= maxEntries
}

// allowsSize reports whether the kind is known and its events may have a frame whose length field has the value size.
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
