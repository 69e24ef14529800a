package setup_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gopkg.in/ini.v1"

	"caroblane/io/setup"
)

// TestSampleFile guards against a sample file that lacks a setting or has
// another value than the default, because only one of the two was changed.
func TestSampleFile(t *testing.T) {
	path := filepath.Join("..", "..", "docs", "caroblaned.sample.ini")
	settings, err := setup.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	if settings != setup.Default() {
		t.Errorf("sample differs from the defaults: %+v", settings)
	}
	file, err := ini.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range setup.Definitions() {
		if section := file.Section(row.Section); !section.HasKey(row.Key) {
			t.Errorf("sample lacks %s.%s", row.Section, row.Key)
		} else if got := section.Key(row.Key).String(); got != row.Default {
			t.Errorf("sample has %s.%s = %q; default %q", row.Section, row.Key, got, row.Default)
		}
	}
}

// TestInvalidSettings guards against an error that names only the first mistake
// in a file, so that each start reveals one more, or lacks the section, key,
// value or accepted range.
func TestInvalidSettings(t *testing.T) {
	for name, test := range map[string]struct {
		text string
		want []string
	}{
		"unknown section":   {"[Node]\nName = a\n[Nodes]\nName = a", []string{"section Nodes", "unknown section; accepted: Node, Listen"}},
		"unknown key":       {"[Node]\nname = a", []string{"section Node, key name", "unknown key; accepted: Name, Region, Zone"}},
		"outside a section": {"Name = a", []string{"key Name", "outside a section"}},
		"no delimiter":      {"[Node]\nName", []string{"not an INI file"}},
		"repeated key":      {"[Limits]\nMaxOpen = 1\nMaxOpen = 1", []string{"key MaxOpen", "2 values"}},
		"repeated section":  {"[Limits]\nMaxOpen = 1\n[Limits]\nMaxOpen = 2", []string{"key MaxOpen", "2 values"}},
		"host name":         {"[Platform]\nAddress = localhost:1", []string{`value "localhost:1"`, "IP address and port"}},
		"number range":      {"[Limits]\nMaxBody = 10", []string{"section Limits, key MaxBody", `value "10"`, "1024 to 67108864 bytes"}},
		"not a number":      {"[Limits]\nMaxOpen = many", []string{`value "many"`, "1 to 65536 requests"}},
		"no unit":           {"[Limits]\nAdmitWithin = 2", []string{`value "2"`, "0s to 1m0s"}},
		"drain cuts":        {"[Limits]\nRequestWithin = 2m\nDrainDeadline = 1m", []string{"key DrainDeadline", "RequestWithin (2m0s) or more"}},
		"empty number":      {"[Limits]\nMaxOpen =", []string{`key MaxOpen: value ""`}},
		"level":             {"[Log]\nLevel = loud", []string{`value "loud"`, "debug info warn error"}},
		"bad name":          {"[Node]\nZone = a/b", []string{`value "a/b"`, "1 to 128 letters"}},
		"half of a pair":    {"[Tls]\nCallerKey = k.pem", []string{"CallerCertificate", "together with CallerKey"}},
		"peer without CA":   {"[Tls]\nPeerKey = k\nPeerCertificate = c", []string{"PeerAuthority"}},
		"all at once": {
			"[Limits]\nMaxOpen = 0\nMaxWaiting = -1\n[Log]\nLevel = x\n[Extra]\n",
			[]string{"MaxOpen", "MaxWaiting", "Level", "Extra"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			settings, err := setup.Parse("test.ini", []byte(test.text))
			if err == nil {
				t.Fatalf("accepted: %+v", settings)
			}
			for _, want := range append(test.want, "test.ini") {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%q lacks %q", err, want)
				}
			}
		})
	}
}

// TestValues guards against a key that sets the field of another key, and
// against values that are cut at a comment character.
func TestValues(t *testing.T) {
	got, err := setup.Parse("test.ini", []byte(
		"[Node]\nZone = z # comment\n[Listen]\nPeers = [::1]:7\n[Limits]\nAdmitWithin = 1500ms\n[Tls]\nCallerKey = a#b\nCallerCertificate = c\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := setup.Default()
	want.Node.Zone = "z"
	want.Node.Name = "[::1]:7"
	want.Listen.Peers = got.Listen.Peers
	want.Limits.AdmitWithin = 1500 * time.Millisecond
	want.TLS.CallerKey, want.TLS.CallerCertificate = "a#b", "c"
	if got != want || got.Listen.Peers.String() != "[::1]:7" {
		t.Error(cmp.Diff(want.Limits, got.Limits), got)
	}
}

// TestErrorsContainNoSecret guards against a secret in the log. The value of a
// misplaced or misspelled setting may be one, and the error about the setting
// is logged.
func TestErrorsContainNoSecret(t *testing.T) {
	const canary = "canary-7f3a"
	path := filepath.Join(t.TempDir(), "s.ini")
	text := "[Tls]\nPassphrase = " + canary + "\n[Platform]\nAddress = operator:" + canary + "@10.0.0.1:80\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := setup.Load(path); err == nil || strings.Contains(err.Error(), canary) {
		t.Errorf("got %v", err)
	}
}
