package simwire

import (
	"encoding/binary"
	"errors"
	"io"
	"math"
	"slices"
	"time"
)

// Batch is a decoded batch. Its events are in order and all occur at the time Clock.
type Batch struct {
	Number uint32
	Clock  time.Duration // simulated time since the start of the simulation
	Events []Event
}

// batchHeader is the fixed-size header that precedes the records of a batch.
type batchHeader struct {
	number      uint32
	clock       float64 // simulated time in milliseconds
	length      uint32  // number of bytes after the length field, including the record count
	recordCount uint32
}

// ReadBatch reads the next batch. It returns io.EOF if the input ends between two batches, and an error that wraps
// ErrMalformed if the input ends inside a batch or the batch violates the protocol.
func ReadBatch(r io.Reader) (*Batch, error) {
	header, err := readHeader(r)
	if err != nil {
		return nil, err
	}
	if err := header.checkSizes(); err != nil {
		return nil, err
	}
	body, err := readBody(r, int(header.length-countSize))
	if err != nil {
		return nil, err
	}
	if !validMillis(header.clock) {
		return nil, malformed("clock is %v", header.clock)
	}
	recordBytes := header.recordCount * eventSize
	events, err := decodeEvents(body[:recordBytes], body[recordBytes:])
	if err != nil {
		return nil, err
	}
	return &Batch{Number: header.number, Clock: millis(header.clock), Events: events}, nil
}

func readHeader(r io.Reader) (batchHeader, error) {
	var raw [batchHeaderSize]byte
	if _, err := io.ReadFull(r, raw[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return batchHeader{}, malformed("input ends inside a header")
		}
		return batchHeader{}, err
	}
	return batchHeader{
		number:      binary.LittleEndian.Uint32(raw[0:]),
		clock:       math.Float64frombits(binary.LittleEndian.Uint64(raw[4:])),
		length:      binary.LittleEndian.Uint32(raw[12:]),
		recordCount: binary.LittleEndian.Uint32(raw[16:]),
	}, nil
}

// checkSizes checks that the length is within bounds and that the records fit into it.
func (h batchHeader) checkSizes() error {
	if h.length < countSize || h.length > maxFrame {
		return malformed("impossible length %d", h.length)
	}
	if uint64(h.recordCount)*eventSize > uint64(h.length-countSize) {
		return malformed("%d records do not fit in %d bytes", h.recordCount, h.length)
	}
	return nil
}

// readBody reads n bytes. It allocates memory in chunks as the bytes arrive, so that a header with a wrong length
// cannot cause a large allocation.
func readBody(r io.Reader, n int) ([]byte, error) {
	var body []byte
	for len(body) < n {
		received := len(body)
		chunk := min(n-received, readChunk)
		body = slices.Grow(body, chunk)[:received+chunk]
		if _, err := io.ReadFull(r, body[received:]); err != nil {
			return nil, malformed("input ends inside a batch")
		}
	}
	return body, nil
}

func decodeEvents(records, tail []byte) ([]Event, error) {
	events := make([]Event, 0, len(records)/eventSize)
	for ; len(records) > 0; records = records[eventSize:] {
		event, err := decodeEvent(records[:eventSize], tail)
		if err != nil {
			return nil, err
		}
		events = append(events, event)
	}
	return events, nil
}
