//go:build review

package kit

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"strings"
)

// Codes of the frames between front ends and executors.
const (
	codeRequest = 16
	codeGiveUp  = 17
	codeHealth  = 18
	codeReport  = 19
	codeLoad    = 20
	codeUnload  = 22

	codeOK      = 64
	codeMiss    = 66
	codeError   = 68
	codeHealthy = 70
)

type frame struct {
	code   byte
	id     uint64
	fields string
	body   []byte
}

// field returns the value of a field, "" if there is none.
func (f frame) field(name string) string {
	for pair := range strings.SplitSeq(f.fields, ",") {
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}

func readFrame(r *bufio.Reader) (frame, error) {
	var head [16]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return frame{}, err
	}
	if head[0] != 165 {
		return frame{}, fmt.Errorf("mark %d", head[0])
	}
	fields, body := int(binary.BigEndian.Uint16(head[2:])), int(binary.BigEndian.Uint32(head[4:]))
	if body > 1<<20 {
		return frame{}, fmt.Errorf("body of %d", body)
	}
	rest := make([]byte, fields+body+4)
	if _, err := io.ReadFull(r, rest); err != nil {
		return frame{}, err
	}
	content := rest[:fields+body]
	if crc32.ChecksumIEEE(content) != binary.BigEndian.Uint32(rest[fields+body:]) {
		return frame{}, fmt.Errorf("check")
	}
	return frame{head[1], binary.BigEndian.Uint64(head[8:]), string(content[:fields]), content[fields:]}, nil
}

func appendFrame(buf []byte, f frame) []byte {
	buf = append(buf, 90, f.code)
	buf = binary.BigEndian.AppendUint16(buf, uint16(len(f.fields)))
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(f.body)))
	buf = binary.BigEndian.AppendUint64(buf, f.id)
	from := len(buf)
	buf = append(buf, f.fields...)
	buf = append(buf, f.body...)
	return binary.BigEndian.AppendUint32(buf, crc32.ChecksumIEEE(buf[from:]))
}
