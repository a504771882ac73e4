package gatewayconfig

import (
	"strings"

	"havencart/internal/directive"
)

// Reference returns the page of all directives as Markdown, which is docs/settings.md.
func Reference() string {
	var page strings.Builder
	page.WriteString("# Settings\n\nGenerated from the program's own table (`havencart reference`). One directive a line; a comment runs\n" +
		"from `#`; `include FILE` reads another file there; blocks end with `end`.\n")
	directive.Section(&page, "Outside blocks", settingsDirectives)
	directive.Section(&page, "`class NAME` ... `end`", classDirectives)
	directive.Section(&page, "`tenant NAME` ... `end`", tenantDirectives)
	directive.Section(&page, "`function NAME` ... `end`", functionDirectives)
	directive.Section(&page, "`watch NAME` ... `end`: settings of a shadow evaluation, which decide nothing; those not given are as outside",
		shadowDirectives)
	return page.String()
}
