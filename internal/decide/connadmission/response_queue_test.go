package connadmission

import (
	"testing"

	"pgregory.net/rapid"
)

func TestMayQueue(t *testing.T) {
	limits := ResponseLimits{PerConnection: 100, Total: 300}
	for name, test := range map[string]struct {
		queued QueuedResponses
		size   int64
		want   bool
	}{
		"nothing queued":                         {QueuedResponses{Connections: 1}, 100, true},
		"larger than a connection's limit":       {QueuedResponses{Connections: 1}, 101, false},
		"fills the connection's limit":           {QueuedResponses{Connection: 60, Total: 60, Connections: 1}, 40, true},
		"exceeds the connection's limit":         {QueuedResponses{Connection: 61, Total: 61, Connections: 1}, 40, false},
		"fills the total":                        {QueuedResponses{Connection: 60, Total: 260, Connections: 10}, 40, true},
		"exceeds the total and its share":        {QueuedResponses{Connection: 60, Total: 261, Connections: 10}, 40, false},
		"exceeds the total, within its share":    {QueuedResponses{Connection: 10, Total: 300, Connections: 10}, 20, true},
		"exceeds the total, one above its share": {QueuedResponses{Connection: 11, Total: 300, Connections: 10}, 20, false},
		"no body":                                {QueuedResponses{Connection: 100, Total: 600, Connections: 10}, 0, true},
	} {
		if got := limits.MayQueue(test.queued, test.size); got != test.want {
			t.Errorf("%s: MayQueue = %v, want %v", name, got, test.want)
		}
	}
}

// Whatever responses come on whatever connections, the bodies stay within twice the total, and a connection that has
// nothing queued may always queue its share.
func TestMayQueue_AnyResponses_BoundsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		connections := make([]int64, rapid.IntRange(1, 20).Draw(t, "connections"))
		limits := ResponseLimits{PerConnection: 512, Total: rapid.Int64Range(1, 4096).Draw(t, "total limit")}
		share := limits.Total / int64(len(connections))
		total := int64(0)
		for range rapid.IntRange(1, 200).Draw(t, "responses") {
			i := rapid.IntRange(0, len(connections)-1).Draw(t, "connection")
			size := rapid.Int64Range(0, 600).Draw(t, "size")
			admitted := limits.MayQueue(QueuedResponses{Connection: connections[i], Total: total, Connections: len(connections)}, size)
			if connections[i] == 0 && size <= min(share, limits.PerConnection) && !admitted {
				t.Fatalf("a body of %d bytes, within the share of %d, is not admitted", size, share)
			}
			if admitted {
				connections[i] += size
				total += size
			}
			if connections[i] > limits.PerConnection || total > 2*limits.Total {
				t.Fatalf("connection holds %d bytes and all hold %d, above %+v", connections[i], total, limits)
			}
		}
	})
}
