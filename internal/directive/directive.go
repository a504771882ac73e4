// Package directive parses line-based settings files in the manner of classic daemons: one directive a line, blocks
// that a word opens and "end" closes, include, comments from #.
//
// A program declares its directives in tables; checks, defaults and the reference page all come from them. The Parser
// goes on after an error, so that all errors of a file are reported at once, each with file, line and column, what was
// found and what is allowed. Apart from include, which reads files, the package does no I/O. Its values are not safe
// for concurrent use, tables apart, which it only reads.
package directive

import (
	"errors"
	"fmt"
)

// ErrValue is returned by Directive.Set for a value that the directive does not allow. What is allowed is known to the
// directive itself.
var ErrValue = errors.New("value not allowed")

// AnyValueCount as Directive.ValueCount lets a line have any number of values; Set checks them.
const AnyValueCount = -1

// Directive declares one directive of a block whose settings are a T.
type Directive[T any] struct {
	Name          string
	AllowedValues string // the allowed values, for error messages and the reference page
	Default       string // value that is set where none is given; empty: none
	Help          string // one line for the reference page
	ValueCount    int    // values on the line; 0 stands for 1, AnyValueCount for any number
	Repeatable    bool   // may be given more than once in a block
	Set           func(t *T, values []string) error
}

// apply sets the values of one line. It returns ErrValue, or the error of Set, if they are not allowed.
func (d *Directive[T]) apply(t *T, values []string) error {
	if d.ValueCount != AnyValueCount && len(values) != max(1, d.ValueCount) {
		return ErrValue
	}
	return d.Set(t, values)
}

// Defaults sets the default values of a table in t. It panics on a default that its directive does not allow, which is
// a fault of the table.
func Defaults[T any](t *T, table []Directive[T]) {
	for _, directive := range table {
		if directive.Default == "" {
			continue
		}
		if err := directive.Set(t, []string{directive.Default}); err != nil {
			panic(fmt.Sprintf("default of %s: %v", directive.Name, err))
		}
	}
}
