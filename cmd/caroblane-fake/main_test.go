package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestHelp guards against a fake server whose help has no example.
func TestHelp(t *testing.T) {
	for _, name := range []string{"engine", "plain", "store"} {
		var out bytes.Buffer
		cmd := root()
		cmd.Writer = &out
		if err := cmd.Run(t.Context(), []string{"caroblane-fake", name, "--help"}); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		for _, want := range []string{"Example:", "caroblane-fake " + name, "--listen"} {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: help does not contain %q:\n%s", name, want, out.String())
			}
		}
	}
}

// TestServe guards against fake servers that do not print the address of their
// listener, which tests on port 0 need, that do not serve there, or that do not stop
// when their context is cancelled.
func TestServe(t *testing.T) {
	seed := filepath.Join(t.TempDir(), "seed.json")
	if err := os.WriteFile(seed, []byte(`[{"Kind":"Model","Name":"m","Value":{"MaxTokens":5}}]`), 0o600); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		args []string
		path string
		want string
	}{
		"engine": {[]string{"engine", "--fast"}, "/load", `"Running":0`},
		"plain":  {[]string{"plain"}, "/stats", `"Executions":0`},
		"store":  {[]string{"store", "--seed", seed}, "/objects/Model/m", `"Value":{"MaxTokens":5}`},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			stdout, writer := io.Pipe()
			cmd := root()
			cmd.Writer = writer
			done := make(chan error, 1)
			go func() { done <- cmd.Run(ctx, append([]string{"caroblane-fake"}, c.args...)) }()
			line := make([]byte, 100)
			n, err := stdout.Read(line)
			if err != nil {
				t.Fatal(err)
			}
			address, found := strings.CutPrefix(strings.TrimSpace(string(line[:n])), "event=listening address=")
			if !found {
				t.Fatalf("unexpected first line of output: %q", line[:n])
			}
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+c.path, nil)
			if err != nil {
				t.Fatal(err)
			}
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err != nil || !strings.Contains(string(body), c.want) {
				t.Errorf("%s: got %s, error %v", c.path, body, err)
			}
			stop()
			if err := <-done; err != nil {
				t.Errorf("Run returned %v", err)
			}
		})
	}
}

// TestBadSeed guards against a store that starts empty because its seed file cannot be
// read.
func TestBadSeed(t *testing.T) {
	cmd := root()
	cmd.Writer = io.Discard
	err := cmd.Run(t.Context(), []string{"caroblane-fake", "store", "--seed", filepath.Join(t.TempDir(), "none")})
	if err == nil || !strings.Contains(err.Error(), "none") {
		t.Errorf("got %v", err)
	}
}
