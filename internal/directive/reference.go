package directive

import (
	"fmt"
	"strings"
)

// AppendReference appends a table of directives to a reference page as a Markdown section.
func AppendReference[T any](out *strings.Builder, title string, table []Directive[T]) {
	fmt.Fprintf(out, "\n## %s\n\n| directive | takes | default | meaning |\n| --- | --- | --- | --- |\n", title)
	for _, directive := range table {
		defaultValue := directive.Default
		if defaultValue == "" {
			defaultValue = "-"
		}
		fmt.Fprintf(out, "| `%s` | %s | %s | %s |\n", directive.Name, directive.AllowedValues, defaultValue, directive.Help)
	}
}
