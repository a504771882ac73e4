package reconnect

import (
	"testing"
	"time"
)

func TestKeepalive_SilentPeer_IsPingedThenDead(t *testing.T) {
	keepalive, now := NewKeepalive(0), time.Duration(0)
	pings := 0
	for {
		verdict, next := keepalive.Check(now)
		if verdict == Dead {
			break
		}
		if verdict == Ping {
			pings++
		}
		if next <= now {
			t.Fatalf("verdict %v at %v sets the next check to %v, want a later time", verdict, now, next)
		}
		now = next
	}
	if now != deadAfter || pings != 3 {
		t.Errorf("connection dead at %v after %d pings, want at %v after 3", now, pings, deadAfter)
	}
}

func TestKeepalive_PeerThatSends_IsKept(t *testing.T) {
	keepalive := NewKeepalive(0)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		keepalive.Received(now)
		if verdict, _ := keepalive.Check(now); verdict != Wait {
			t.Fatalf("verdict %v at %v for a peer that sends, want %v", verdict, now, Wait)
		}
	}
}
