package gatewayconfig

import (
	"errors"
	"fmt"
	"net"
	"os"

	"havencart/internal/directive"
)

// ErrSettings is wrapped by every error about a settings file, also that it cannot be read.
var ErrSettings = errors.New("settings")

// Load reads the settings file at path. The error joins all that is wrong with it, each a *directive.Error.
func Load(path string) (*Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	return Parse(path, string(raw))
}

// Parse reads settings from text; name is the file's name in errors, and files that it includes are found from its
// directory. Errors are those of Load.
func Parse(name, text string) (*Settings, error) {
	settings, parser := &Settings{}, &directive.Parser{}
	directive.Defaults(settings, settingsDirectives)
	parser.Top = func(position directive.Place, words []directive.Word) {
		settings.parseTopLevel(parser, position, words)
	}
	parser.Parse(name, text)
	settings.validate(parser, directive.Place{File: name})
	if err := parser.Err(); err != nil {
		return nil, fmt.Errorf("%w:\n%w", ErrSettings, err)
	}
	return settings, nil
}

// parseTopLevel handles a line outside blocks.
func (s *Settings) parseTopLevel(parser *directive.Parser, position directive.Place, words []directive.Word) {
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

// validate checks what no single line shows. Its errors are about the file as a whole.
func (s *Settings) validate(parser *directive.Parser, position directive.Place) {
	if len(s.Classes) == 0 {
		parser.Fail(position, 0, "no class is given; at least one is needed")
	}
	if s.Directory.Kind == "" {
		parser.Fail(position, 0, "directory is not given")
	}
	if _, _, err := net.SplitHostPort(s.Listen); err != nil {
		parser.Fail(position, 0, "listen: %v", err)
	}
	s.validateFrontEnds(parser, position, "")
	s.validateShadow(parser, position)
	s.validateClasses(parser, position)
	s.validateFunctions(parser, position)
}

// validateFrontEnds checks that the front ends of this process are among those of the installation. prefix begins the
// error.
func (s *Settings) validateFrontEnds(parser *directive.Parser, position directive.Place, prefix string) {
	if s.First+s.Loops > s.FrontEnds {
		parser.Fail(position, 0, "%sfront ends %d to %d of this process, but front-ends says there are %d",
			prefix, s.First, s.First+s.Loops-1, s.FrontEnds)
	}
}

func (s *Settings) validateClasses(parser *directive.Parser, position directive.Place) {
	for _, class := range s.Classes {
		if class.LatencyObjective > class.GiveUp {
			parser.Fail(position, 0, "class %q: aim %v is past give-up %v", class.Name, class.LatencyObjective, class.GiveUp)
		}
	}
}

func (s *Settings) validateFunctions(parser *directive.Parser, position directive.Place) {
	for _, function := range s.Functions {
		if function.Class != "" && s.Class(function.Class) < 0 {
			parser.Fail(position, 0, "function %q: no class %q", function.Name, function.Class)
		}
	}
}
