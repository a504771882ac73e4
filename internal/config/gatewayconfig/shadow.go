package gatewayconfig

import (
	"fmt"

	"havencart/internal/directive"
)

// Shadow holds the settings of a shadow evaluation: by them nothing is decided, but the program counts the decisions
// that would have differed. Settings that the block does not give are those outside it.
type Shadow struct {
	Name           string
	SampleInterval int // one event in so many is evaluated
	overrides      []func(*Settings) error
}

// shadowDirectiveNames are the directives that the scheduler's settings come from, and so those that a shadow
// evaluation may have otherwise.
var shadowDirectiveNames = []string{
	"front-ends", "on-miss", "orders", "tells-warm", "tells-crowd", "weights", "probes", "retry-after", "cancel",
	"keep-alive", "order-timeout", "load-window", "load-free", "load-share", "max-attempts", "max-retry-after",
	"connect-timeout", "drain-grace", "cold-from", "cold-time", "tip-multiple", "tip-window",
}

var shadowDirectives = append([]directive.Directive[Shadow]{
	directive.Number("every", 1, 1000000, "1", "one event in this many is evaluated; each costs a copy of the scheduler's state",
		func(s *Shadow) *int { return &s.SampleInterval }),
}, overridingDirectives()...)

// overridingDirectives returns the directives of shadowDirectiveNames for use in a shadow's block.
func overridingDirectives() []directive.Directive[Shadow] {
	var overriding []directive.Directive[Shadow]
	for _, name := range shadowDirectiveNames {
		for _, original := range settingsDirectives {
			if original.Name == name {
				overriding = append(overriding, overridingDirective(original))
			}
		}
	}
	return overriding
}

// overridingDirective returns a directive that checks its value at once, as the original does, and records it to be
// set when the whole file has been read. It has no default, as what is not given is as outside the block.
func overridingDirective(original directive.Directive[Settings]) directive.Directive[Shadow] {
	set := func(shadow *Shadow, values []string) error {
		shadow.overrides = append(shadow.overrides, func(s *Settings) error { return original.Set(s, values) })
		return original.Set(&Settings{}, values)
	}
	return directive.Directive[Shadow]{
		Name:          original.Name,
		AllowedValues: original.AllowedValues,
		Help:          original.Help,
		ValueCount:    original.ValueCount,
		Set:           set,
	}
}

// ShadowSettings returns the settings of the shadow evaluation, with all that its block does not give, and the interval of
// its samples in events. It returns nil where the file has no valid block for it.
func (s *Settings) ShadowSettings() (settings *Settings, sampleInterval int) {
	if len(s.Shadows) != 1 {
		return nil, 0
	}
	shadow := s.Shadows[0]
	evaluated := *s
	evaluated.Name = shadow.Name
	for _, override := range shadow.overrides {
		if override(&evaluated) != nil {
			return nil, 0 // reported with its place when it was read
		}
	}
	return &evaluated, shadow.SampleInterval
}

// validateShadow checks what no single line of a shadow's block shows.
func (s *Settings) validateShadow(parser *directive.Parser, position directive.Position) {
	if len(s.Shadows) > 1 {
		parser.Fail(position, 0, "%d watch blocks; one is allowed", len(s.Shadows))
		return
	}
	if shadow, _ := s.ShadowSettings(); shadow != nil {
		shadow.validateFrontEnds(parser, position, fmt.Sprintf("watch %q: ", shadow.Name))
	}
}
