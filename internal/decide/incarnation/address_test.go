package incarnation

import (
	"testing"
	"time"

	"havencart/scheduler"
)

func TestAddressClaim_Succeeds(t *testing.T) {
	const earlier, later, unknown = time.Second, time.Minute, scheduler.UnknownStart
	for name, test := range map[string]struct {
		claim AddressClaim
		want  bool
	}{
		"started later":                   {AddressClaim{later, earlier, true}, true},
		"started later, listed before":    {AddressClaim{later, earlier, false}, true},
		"started earlier":                 {AddressClaim{earlier, later, true}, false},
		"same start, new":                 {AddressClaim{later, later, true}, true},
		"same start, listed before":       {AddressClaim{later, later, false}, false},
		"starts unknown, new":             {AddressClaim{unknown, unknown, true}, true},
		"starts unknown, listed before":   {AddressClaim{unknown, unknown, false}, false},
		"own start known only, new":       {AddressClaim{later, unknown, true}, true},
		"holder's start known only, new":  {AddressClaim{unknown, later, true}, true},
		"holder's start known only, late": {AddressClaim{unknown, later, false}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.claim.Succeeds(); got != test.want {
				t.Errorf("%v, want %v", got, test.want)
			}
		})
	}
}
