package gatewayconfig

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"havencart/scheduler"
)

const validText = `
listen 127.0.0.1:0      # any port
directory consul http://127.0.0.1:8500 "my workers"
max-body 2m
class unlock-charge
  aim 500ms
  worth 6
  repeat unsafe
end
class log
  repeat keyed
  scope zone
end
tenant palermo
  share 0.82
end
function quote
  class log
  lanes 4
end
`

func TestParse_ValidFile_SetsFieldsAndDefaults(t *testing.T) {
	s, err := Parse("f", validText)
	if err != nil {
		t.Fatal(err)
	}
	if s.Discovery != (DiscoverySource{DiscoveryConsul, "http://127.0.0.1:8500", "my workers"}) || s.MaxBody != 2<<20 ||
		len(s.Classes) != 2 || s.Classes[0].LatencyObjective != 500*time.Millisecond || s.Classes[0].Idempotency != scheduler.NonIdempotent ||
		s.Classes[1].KeyScope != scheduler.ScopeZone || s.Tenants[0].Share != 0.82 || s.Functions[0].ReplicaConcurrency != 4 {
		t.Errorf("settings %+v", s)
	}
	if s.MaxInFlight != 20000 || s.Classes[1].Timeout != 2*time.Second || s.ReportsNotLoaded {
		t.Errorf("defaults: %+v", s)
	}
}

func TestParse_InvalidLines_ReportsAllErrorsWithPosition(t *testing.T) {
	_, err := Parse("f", strings.Join([]string{
		"listen nowhere",       // 1
		"colour red",           // 2
		"loops 0",              // 3
		"  max-body 9g",        // 4
		"queue 5 6",            // 5
		"loops 2",              // 6
		"class a",              // 7
		"  repeat often",       // 8
		"  listen x",           // 9
		"end",                  // 10
		"class a",              // 11
		"  aim 5s",             // 12
		"end",                  // 13
		"function f",           // 14
		"  class b",            // 15
		"end",                  // 16
		"directory \"file",     // 17
		"include nothing.conf", // 18
		"tenant",               // 19
		"end",                  // 20
		"on-miss sometimes",    // 21
		"tenant open",          // 22
	}, "\n"))
	if !errors.Is(err, ErrSettings) {
		t.Fatal(err)
	}
	for _, want := range []string{
		"f:2:1: found \"colour\"; allowed: name, listen", "f:3:7: loops: found \"0\"; allowed: a whole number, 1 to 256",
		"f:4:12: max-body", "f:5:7: queue: found \"5 6\"", "f:6:1: loops is given twice", "f:8:10: repeat: found \"often\"; allowed: one of safe, keyed, unsafe",
		"f:9:3: found \"listen\"", "f:11:7: class \"a\" is given twice", "f:17:11: a quote is not closed", "f:18:9:", "f:19:1:",
		"f:21:9: on-miss", "f:22:1: block \"tenant\" has no end", "aim 5s exceeds give-up 2s", "class \"b\" is not defined", "listen: ", "directory is not set",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is missing in:\n%v", want, err)
		}
	}
}

func TestLoad_IncludedFiles_ReadInPlace(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"main": "include \"sub/part\"\ndirectory file list\n", "sub/part": "class a\nend\ninclude other\n",
		"sub/other": "queue 7\n", "loop": "include loop\n",
	} {
		if err := os.MkdirAll(filepath.Dir(filepath.Join(dir, name)), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if s, err := Load(filepath.Join(dir, "main")); err != nil || s.RequestQueue != 7 || len(s.Classes) != 1 {
		t.Errorf("settings %+v, error %v", s, err)
	}
	if _, err := Load(filepath.Join(dir, "loop")); !errors.Is(err, ErrSettings) {
		t.Errorf("a file that includes itself: error %v, want ErrSettings", err)
	}
	if _, err := Load(filepath.Join(dir, "none")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a missing file: error %v, want os.ErrNotExist", err)
	}
}

// TestReference_SettingsPage_IsUpToDate verifies that docs/settings.md was generated from the present tables. The
// command that generates it is: go run ./cmd/havencart reference > docs/settings.md.
func TestReference_SettingsPage_IsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../../docs/settings.md")
	if err != nil {
		t.Fatal(err)
	}
	if string(page) != Reference() {
		t.Error("docs/settings.md differs from the output of `havencart reference`")
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validText)
	f.Fuzz(func(t *testing.T, text string) {
		if strings.Contains(text, "include") {
			return // an include directive reads files
		}
		s, err := Parse("f", text)
		if err == nil && (len(s.Classes) == 0 || s.Discovery.Kind == "" || s.EventLoops < 1 || s.MaxBody < 1) {
			t.Fatalf("accepted invalid settings: %+v", s)
		}
	})
}

func TestShadowSettings_Block_OverridesSettingsOutside(t *testing.T) {
	s, err := Parse("f", validText+"load-share 0.3\nwatch campus\n  retry-after off\n  load-window 5s\n  every 8\nend\nmax-attempts 3\n")
	if err != nil {
		t.Fatal(err)
	}
	shadow, sampleInterval := s.ShadowSettings()
	if shadow == nil || sampleInterval != 8 || shadow.Name != "campus" || shadow.EffectiveMaxRetryAfter() != 0 || shadow.LoadRateWindow != 5*time.Second ||
		shadow.LoadRatePerRequest != 0.3 || shadow.MaxAttempts != 3 {
		t.Errorf("shadow settings for one event in %d: %+v", sampleInterval, shadow)
	}
	if s.EffectiveMaxRetryAfter() != time.Second || s.LoadRateWindow != 0 || s.Name != "havencart" {
		t.Errorf("the block changed the settings outside it: %+v", s)
	}
	if withoutShadow, err := Parse("f", validText); err != nil {
		t.Error(err)
	} else if shadow, _ := withoutShadow.ShadowSettings(); shadow != nil {
		t.Error("a file without a shadow block has shadow settings")
	}
}

func TestParse_InvalidShadowBlock_ReportsError(t *testing.T) {
	tests := map[string]string{
		"watch w\n  colour red\nend":                          "f:2:3: found \"colour\"; allowed: every, front-ends",
		"watch w\n  cold-from 2\nend":                         "f:2:13: cold-from: found \"2\"; allowed: a number, 0.001 to 1",
		"watch w\n  listen a:1\nend":                          "f:2:3: found \"listen\"",
		"watch w\n  every 0\nend":                             "f:2:9: every: found \"0\"",
		"watch w\n  orders on\n  orders off\nend":             "f:3:3: orders is given twice",
		"watch w\nend\nwatch v\nend":                          "2 watch blocks; at most one is allowed",
		"front-ends 4\nloops 3\nwatch w\n  front-ends 2\nend": "watch \"w\": this process has front ends 0 to 2, but front-ends is 2",
	}
	for text, want := range tests {
		if _, err := Parse("f", text+"\n"+validText); !errors.Is(err, ErrSettings) || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want %q", text, err, want)
		}
	}
}

func TestShadowDirectives_Names_AllInTable(t *testing.T) {
	if len(shadowDirectives) != len(shadowDirectiveNames)+1 {
		t.Errorf("%d directives for %d names", len(shadowDirectives)-1, len(shadowDirectiveNames))
	}
}
