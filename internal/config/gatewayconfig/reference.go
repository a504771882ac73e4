package gatewayconfig

import (
	"strings"

	"havencart/internal/directive"
)

// Reference returns the reference page of all directives in Markdown. docs/settings.md contains its output.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Settings\n\nGenerated from the program's tables of directives (`havencart reference`). Each line has one directive. A comment\n" +
		"starts with `#`. `include FILE` inserts another file. A block ends with `end`.\n")
	directive.AppendReference(&page, "Outside blocks", settingsDirectives)
	directive.AppendReference(&page, "`class NAME` ... `end`", classDirectives)
	directive.AppendReference(&page, "`tenant NAME` ... `end`", tenantDirectives)
	directive.AppendReference(&page, "`function NAME` ... `end`", functionDirectives)
	directive.AppendReference(&page, "`watch NAME` ... `end`: settings of a shadow evaluation, which do not affect decisions; settings not given have the values from outside the block",
		shadowDirectives)
	return page.String()
}
