// Package directive parses line-based settings files in the style of classic Unix daemons: each line holds one
// directive, a keyword opens a block and "end" closes it, "include" reads another file, and # starts a comment.
//
// A program declares its directives in tables. The validation, the defaults and the reference page are all derived from
// these tables. The Parser continues after an error, so that all errors of a file are reported at once, each with the
// file, line and column, the text found and the allowed values. The package does no I/O except to read included files.
// Its values are not safe for concurrent use, except for the tables, which the package only reads.
package directive

import (
	"errors"
	"fmt"
)

// ErrValue is returned by Directive.Set for a value that the directive does not allow. It does not describe the allowed
// values, because Directive.AllowedValues does.
var ErrValue = errors.New("value not allowed")

// AnyValueCount is the Directive.ValueCount of a directive that accepts any number of values; Set checks them.
const AnyValueCount = -1

// Directive declares one directive of a block whose settings are stored in a T.
type Directive[T any] struct {
	Name          string
	AllowedValues string // description of the allowed values, for error messages and the reference page
	Default       string // value used if the directive is not given; empty: no default
	Help          string // one-line description for the reference page
	ValueCount    int    // number of values on the line; 0 means 1, AnyValueCount any number
	Repeatable    bool   // whether the directive may be given more than once in a block
	// Set stores the values of one line in t. It returns an error, usually ErrValue, if they are not allowed.
	Set func(t *T, values []string) error
}

// apply stores the values of one line in t. It returns ErrValue if their number is wrong, or else the error of Set.
func (d *Directive[T]) apply(t *T, values []string) error {
	if d.ValueCount != AnyValueCount && len(values) != max(1, d.ValueCount) {
		return ErrValue
	}
	return d.Set(t, values)
}

// Defaults stores the default values of a table's directives in t. It panics if a directive does not allow its own
// default, which is a programming error in the table.
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
