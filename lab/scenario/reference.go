package scenario

import (
	"fmt"
	"strings"
)

// Reference is the page of all faults, docs/troubles.md.
func Reference() string {
	var out strings.Builder
	out.WriteString(`# Troubles

Made by ` + "`havencart reference --script`" + `. A script has one trouble a line, ` + "`at TIME TROUBLE`" + `, in any order; a comment runs from #.
Troubles may overlap. ` + "`havencart check --script FILE`" + ` reads one and tells all errors with line and column.

A share of the workers is drawn from the seed, at least one. Where a trouble has an end (` + "`for`" + `), it ends by itself.

| trouble, as an example | what happens |
| --- | --- |
`)
	for _, k := range kinds {
		fmt.Fprintf(&out, "| `%s` | %s |\n", k.example(), k.help)
	}
	return out.String()
}

// example is a line of this kind without its time.
func (k *kind) example() string {
	line := k.name
	for _, p := range k.parameters {
		if keyword := parameters[p].keyword; keyword != "" {
			line += " " + keyword
		}
		line += " " + parameters[p].example
	}
	return line
}
