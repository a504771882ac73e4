// Package layering contains only tests, which enforce the import layers described in docs/architecture.md.
package layering

import "strings"

// Names of the layers. A layer may span several levels.
const (
	decisions  = "decisions"
	state      = "state"
	codecs     = "codecs"
	edges      = "edges"
	service    = "service"
	laboratory = "laboratory"
	programs   = "programs"
)

// level is a set of packages. They may import packages of lower levels, but not each other.
type level struct {
	layer    string
	packages []string // paths relative to the module root; a path that ends in "/" covers all packages below it
}

// levels lists all packages of the module, from the lowest level to the highest. A listed package need not exist.
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
	{edges, []string{"internal/memorybudget"}},
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

// unlisted is the level of a package that is not in levels. It is below all levels, so an import of an unlisted package
// is not reported, but the test reports the unlisted package itself.
const unlisted = -1

// levelOf returns the index in levels of the package with the given path, or unlisted.
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

// covers reports whether an entry of levels includes the package with the given path.
func covers(listed, path string) bool {
	if strings.HasSuffix(listed, "/") {
		return strings.HasPrefix(path, listed)
	}
	return path == listed
}

// layerOf returns the name of the layer of the package with the given path, or "" if the package is unlisted.
func layerOf(path string) string {
	if i := levelOf(path); i != unlisted {
		return levels[i].layer
	}
	return ""
}

// mayImport reports whether package from may import package to: to is at a lower level, or both packages belong to the
// laboratory layer.
func mayImport(from, to string) bool {
	if layerOf(from) == laboratory && layerOf(to) == laboratory {
		return true
	}
	return levelOf(to) < levelOf(from)
}
