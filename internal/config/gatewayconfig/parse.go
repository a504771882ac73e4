package gatewayconfig

import (
	"errors"
	"fmt"
	"net"
	"os"

	"havencart/internal/directive"
)

// ErrSettings is wrapped by every error about a settings file, including errors of reading it.
var ErrSettings = errors.New("settings")

// Load reads the settings file at path. If its content is invalid, the error joins all errors found, each of type
// *directive.Error.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	return Parse(path, string(raw))
}

// Parse parses the text of a settings file. name is the file name in errors, and included files are located relative to
// its directory. Errors are as in Load.
func Parse(name, text string) (*Settings, error) {
	settings, parser := &Settings{}, &directive.Parser{}
	directive.Defaults(settings, settingsDirectives)
	parser.TopLevel = func(position directive.Position, words []directive.Word) {
		settings.parseTopLevel(parser, position, words)
	}
	parser.Parse(name, text)
	settings.validate(parser, directive.Position{File: name})
	if err := parser.Err(); err != nil {
		return nil, fmt.Errorf("%w:\n%w", ErrSettings, err)
	}
	return settings, nil
}

// parseTopLevel parses a line outside blocks, which sets a value or opens a block.
func (s *Settings) parseTopLevel(parser *directive.Parser, position directive.Position, words []directive.Word) {
	switch words[0].Text {
	case "class":
		directive.Block(parser, position, words, classDirectives, func(c *Class) *string { return &c.Name }, &s.Classes, nil)
	case "tenant":
		directive.Block(parser, position, words, tenantDirectives, func(t *Tenant) *string { return &t.Name }, &s.Tenants, nil)
	case "function":
		directive.Block(parser, position, words, functionDirectives, func(f *Function) *string { return &f.Name }, &s.Functions, nil)
	case "watch":
		directive.Block(parser, position, words, shadowDirectives, func(w *Shadow) *string { return &w.Name }, &s.Shadows, nil)
	default:
		directive.Apply(parser, position, words, s, settingsDirectives, "class, tenant, function, watch, include")
	}
}

// validate checks required settings, and values that depend on more than one directive. Its errors refer to the file as
// a whole, not to a line.
func (s *Settings) validate(parser *directive.Parser, position directive.Position) {
	if len(s.Classes) == 0 {
		parser.Fail(position, 0, "no class is defined; at least one is required")
	}
	if s.Discovery.Kind == "" {
		parser.Fail(position, 0, "directory is not set; it is required")
	}
	if _, _, err := net.SplitHostPort(s.ListenAddress); err != nil {
		parser.Fail(position, 0, "listen: %v", err)
	}
	s.validateFrontEnds(parser, position, "")
	s.validateShadow(parser, position)
	s.validateClasses(parser, position)
	s.validateFunctions(parser, position)
}

// validateFrontEnds checks that the front ends of this process are among those of the installation. The error begins
// with prefix.
func (s *Settings) validateFrontEnds(parser *directive.Parser, position directive.Position, prefix string) {
	if s.FirstFrontEndIndex+s.EventLoops > s.FrontEndCount {
		parser.Fail(position, 0, "%sthis process has front ends %d to %d, but front-ends is %d",
			prefix, s.FirstFrontEndIndex, s.FirstFrontEndIndex+s.EventLoops-1, s.FrontEndCount)
	}
}

func (s *Settings) validateClasses(parser *directive.Parser, position directive.Position) {
	for _, class := range s.Classes {
		if class.LatencyObjective > class.Timeout {
			parser.Fail(position, 0, "class %q: aim %v exceeds give-up %v", class.Name, class.LatencyObjective, class.Timeout)
		}
	}
}

func (s *Settings) validateFunctions(parser *directive.Parser, position directive.Position) {
	for _, function := range s.Functions {
		if function.Class != "" && s.ClassIndex(function.Class) < 0 {
			parser.Fail(position, 0, "function %q: class %q is not defined", function.Name, function.Class)
		}
	}
}
