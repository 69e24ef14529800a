package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"caroblane/platform"
)

// TestPlatformCheck guards against a daemon that starts on a platform although its
// settings file is missing or invalid, and against an error that does not say what is
// wrong.
func TestPlatformCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	if err := os.WriteFile(path, []byte(`{"node":"n1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ variable, want string }{
		"no variable": {"", "is not set"},
		"no file":     {path + ".missing", "no such file"},
		"faults":      {path, "field listen.front"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Setenv(platform.SettingsPathVariable, c.variable)
			var out, errors bytes.Buffer
			code := run(t.Context(), []string{"caroblaned", "platform", "--check"}, &out, &errors)
			if code != exitUsage || !strings.Contains(errors.String(), c.want) {
				t.Errorf("exit code %d and %q, want %d and %q", code, errors.String(), exitUsage, c.want)
			}
		})
	}
}
