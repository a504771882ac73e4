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
	directive.AppendReference(&page, "Outside blocks", settingsDirectives)
	directive.AppendReference(&page, "`class NAME` ... `end`", classDirectives)
	directive.AppendReference(&page, "`tenant NAME` ... `end`", tenantDirectives)
	directive.AppendReference(&page, "`function NAME` ... `end`", functionDirectives)
	directive.AppendReference(&page, "`watch NAME` ... `end`: settings of a shadow evaluation, which decide nothing; those not given are as outside",
		shadowDirectives)
	return page.String()
}
