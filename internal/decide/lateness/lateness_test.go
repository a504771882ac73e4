package lateness

import (
	"testing"
	"time"
)

const (
	ms     = time.Millisecond
	memory = 2 * time.Second
)

func TestAnswersAreGivenSoonerByALoopThatIsLate(t *testing.T) {
	l := New(memory)
	if l.Lead(0) != 0 {
		t.Error("sooner before anything was seen")
	}
	l.Came(time.Second, heed)
	if lead := l.Lead(time.Second); lead != 0 {
		t.Errorf("sooner by %v for what is usual", lead)
	}
	l.Came(time.Second, 40*ms)
	l.Came(time.Second+ms, 10*ms) // less does not hide more
	if lead := l.Lead(time.Second + ms); lead < 70*ms || lead > 80*ms {
		t.Errorf("sooner by %v after 40 ms", lead)
	}
	l.Came(time.Second+2*ms, 10*time.Second)
	if lead := l.Lead(time.Second + 2*ms); lead != most {
		t.Errorf("sooner by %v after 10 s", lead)
	}
	if lead := l.Lead(time.Second + 2*ms + memory); lead != 0 {
		t.Errorf("sooner by %v when it is long past", lead)
	}
}

func TestLatenessFades(t *testing.T) {
	l := New(memory)
	l.Came(0, 100*ms)
	for now, before := time.Duration(0), most+1; now < memory; now += memory / 10 {
		lead := l.Lead(now)
		if lead >= before {
			t.Errorf("at %v sooner by %v, before by %v", now, lead, before)
		}
		before = lead
	}
}
