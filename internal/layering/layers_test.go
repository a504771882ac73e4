// Package layering has no code of its own: its tests hold the import layers of docs/architecture.md.
package layering

import "strings"

// The layers by name. A name may stand at several levels of the table.
const (
	decisions  = "decisions"
	state      = "state"
	codecs     = "codecs"
	edges      = "edges"
	service    = "service"
	laboratory = "laboratory"
	programs   = "programs"
)

// level is a set of packages that may import those of the levels below, and not each other.
type level struct {
	layer    string
	packages []string // paths in the module; one that ends in "/" stands for all packages below it
}

// levels are all packages of the module, from the bottom up. A listed package need not exist.
var levels = []level{
	{decisions, []string{"internal/estimate"}},
	{decisions, []string{"scheduler"}},
	{decisions, []string{"internal/decide/", "internal/shadow"}},
	{state, []string{"internal/directive"}},
	{state, []string{"internal/config/gatewayconfig", "internal/config/platformconfig"}},
	{codecs, []string{
		"internal/native/muxframe",
		"internal/platform/endpointstream",
		"internal/platform/rpcframe",
		"internal/platform/workerframe",
		"internal/simwire",
	}},
	{edges, []string{"internal/clientconn", "internal/periodic", "internal/socket", "internal/workerconn"}},
	{edges, []string{
		"internal/discovery",
		"internal/native/httpserver",
		"internal/native/muxclient",
		"internal/platform/rpcserver",
	}},
	{edges, []string{"internal/platform/workerclient"}},
	{service, []string{"internal/gateway", "internal/simhost"}},
	{laboratory, []string{"lab/"}},
	{programs, []string{"cmd/"}},
}

// unlisted is the level of a package that the table lacks. It is below all others, so that no package may import it
// unnoticed: an unlisted package fails the test itself.
const unlisted = -1

// levelOf returns the index in levels of a package, by its path in the module, or unlisted.
func levelOf(path string) int {
	for i, level := range levels {
		for _, listed := range level.packages {
			if covers(listed, path) {
				return i
			}
		}
	}
	return unlisted
}

// covers reports whether an entry of the table stands for the package.
func covers(listed, path string) bool {
	if strings.HasSuffix(listed, "/") {
		return strings.HasPrefix(path, listed)
	}
	return path == listed
}

// layerOf returns the name of a package's layer, "" if the table lacks it.
func layerOf(path string) string {
	if i := levelOf(path); i != unlisted {
		return levels[i].layer
	}
	return ""
}

// mayImport reports whether the first package may import the second one: it is at a lower level, or both belong to
// the laboratory.
func mayImport(from, to string) bool {
	if layerOf(from) == laboratory && layerOf(to) == laboratory {
		return true
	}
	return levelOf(to) < levelOf(from)
}
