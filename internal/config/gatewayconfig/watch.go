package gatewayconfig

import (
	"time"

	"havencart/internal/directive"
)

// Watch are settings of another shape of installation, by which nothing is decided: the program counts where they
// would have decided otherwise.
type Watch struct {
	Name  string
	Every int
	given []func(*Settings) error // what the block says, in its order
}

// watchable are the directives that the module reads, and so the ones that may be watched.
var watchable = []string{"front-ends", "on-miss", "orders", "tells-warm", "tells-crowd", "weights", "probes", "retry-after", "cancel",
	"keep-alive", "order-timeout", "load-window", "load-free", "load-share", "max-attempts", "max-retry-after",
	"connect-timeout", "drain-grace", "cold-from", "cold-time", "tip-multiple", "tip-window"}

var watchTable = append([]directive.Directive[Watch]{
	directive.Number("every", 1, 1000000, "1", "one event in so many is looked at; each costs a copy of the module's memory",
		func(w *Watch) *int { return &w.Every }),
}, watchDirectives()...)

// watchDirectives are those of the top that may be watched, checked as there and set when all is read.
func watchDirectives() (out []directive.Directive[Watch]) {
	for _, name := range watchable {
		for _, d := range top {
			if d.Name != name {
				continue
			}
			out = append(out, directive.Directive[Watch]{Name: d.Name, Takes: d.Takes, Help: d.Help, Words: d.Words,
				Set: func(w *Watch, values []string) error {
					w.given = append(w.given, func(s *Settings) error { return d.Set(s, values) })
					return d.Set(&Settings{}, values)
				}})
		}
	}
	return out
}

// Watched are the settings that are watched, the others as they are, and one event in how many is looked at. They
// are nil where none are.
func (s *Settings) Watched() (*Settings, int) {
	if len(s.Watch) != 1 {
		return nil, 0
	}
	other := *s
	other.Name = s.Watch[0].Name
	for _, set := range s.Watch[0].given {
		if set(&other) != nil {
			return nil, 0 // told with its place when it was read
		}
	}
	return &other, s.Watch[0].Every
}

// Advice is the longest that a refusal tells a client to stay away, 0 where it tells nothing.
func (s *Settings) Advice() time.Duration {
	if !s.RetryAfter {
		return 0
	}
	return s.MaxRetryAfter
}
