package gatewayconfig

import (
	"fmt"

	"havencart/internal/directive"
)

// Shadow holds the settings of a shadow evaluation. They do not affect decisions; the program only counts the decisions
// that would have been different with them. Settings that the block does not give have the values from outside it.
type Shadow struct {
	Name           string
	SampleInterval int                     // one in this many events is evaluated
	overrides      []func(*Settings) error // each sets the value of one directive of the block
}

// shadowDirectiveNames are the directives that determine the scheduler's settings. A shadow's block may override only
// these.
var shadowDirectiveNames = []string{
	"front-ends", "on-miss", "orders", "tells-warm", "tells-crowd", "weights", "probes", "retry-after", "cancel",
	"keep-alive", "order-timeout", "load-window", "load-free", "load-share", "max-attempts", "max-retry-after",
	"connect-timeout", "drain-grace", "cold-from", "cold-time", "tip-multiple", "tip-window",
}

var shadowDirectives = append([]directive.Directive[Shadow]{
	directive.Number("every", 1, 1000000, "1", "one in this many events is evaluated; each evaluation copies the scheduler's state",
		func(s *Shadow) *int { return &s.SampleInterval }),
}, overridingDirectives()...)

// overridingDirectives returns the directives in shadowDirectiveNames, adapted for use in a shadow's block.
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

// overridingDirective returns a directive that checks its value at once, like the original, and records the value so
// that it can be set after the whole file has been read. The directive has no default, because a setting that is not
// given has the value from outside the block.
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

// ShadowSettings returns the settings of the shadow evaluation, including those that its block does not give. One in
// sampleInterval events is evaluated. ShadowSettings returns nil if the file does not have exactly one shadow block, or
// the block is invalid.
func (s *Settings) ShadowSettings() (settings *Settings, sampleInterval int) {
	if len(s.Shadows) != 1 {
		return nil, 0
	}
	shadow := s.Shadows[0]
	evaluated := *s
	evaluated.Name = shadow.Name
	for _, override := range shadow.overrides {
		if override(&evaluated) != nil {
			return nil, 0 // the error was reported with its position when the directive was read
		}
	}
	return &evaluated, shadow.SampleInterval
}

// validateShadow checks the number of shadow blocks, and the values that depend on more than one directive.
func (s *Settings) validateShadow(parser *directive.Parser, position directive.Position) {
	if len(s.Shadows) > 1 {
		parser.Fail(position, 0, "%d watch blocks; at most one is allowed", len(s.Shadows))
		return
	}
	if shadow, _ := s.ShadowSettings(); shadow != nil {
		shadow.validateFrontEnds(parser, position, fmt.Sprintf("watch %q: ", shadow.Name))
	}
}
