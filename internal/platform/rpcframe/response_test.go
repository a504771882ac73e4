package rpcframe

import (
	"bytes"
	"testing"
	"time"
)

// encodeError encodes the error response to request 7.
func encodeError(t *testing.T, name string, fields map[string]string) []byte {
	t.Helper()
	return encode(t, []any{1, 7, []any{name, fields}, nil})
}

func TestAppend_EachResponse_MatchesReferenceEncoding(t *testing.T) {
	for name, pair := range map[string][2][]byte{
		"served":    {AppendServed(nil, 7, nil), encode(t, []any{1, 7, nil, []any{[]byte{}, map[string]string{}}})},
		"rejected":  {AppendError(nil, 7, "Backoff", "after", "500"), encodeError(t, "Backoff", map[string]string{"after": "500"})},
		"failed":    {AppendError(nil, 7, "Lost", "", ""), encodeError(t, "Lost", map[string]string{})},
		"heartbeat": {AppendHeartbeat(nil, 8, true), encode(t, []any{1, 8, nil, []any{true, map[string]string{}}})},

		"rejected with retry delay":    {AppendRejected(nil, 7, 1500*time.Microsecond), encodeError(t, "Backoff", map[string]string{"after": "1"})},
		"rejected without retry delay": {AppendRejected(nil, 7, 0), encodeError(t, "Backoff", map[string]string{})},
		"named failure":                {AppendFailed(nil, 7), encodeError(t, "Lost", map[string]string{})},
		"malformed":                    {AppendMalformed(nil, 7), encodeError(t, "Malformed", map[string]string{})},
	} {
		if !bytes.Equal(pair[0], pair[1]) {
			t.Errorf("%s: got %x, want %x", name, pair[0], pair[1])
		}
	}
}
