package cmds_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"caroblane/io/cmds"
)

// TestSecretIsShownOnce guards against a key that is printed after its
// creation, or stored on the platform, where anyone with read access could take
// it.
func TestSecretIsShownOnce(t *testing.T) {
	s := startStore(t, newObject(t, "Template", "acme", `{"Rate":5,"Burst":10}`))
	code, stdout, stderr := run(cmds.System(), s.Addr(), "key", "create", "acme", "--name", "k1")
	secret := strings.TrimSpace(stdout)
	if code != 0 || !strings.HasPrefix(secret, "cbk_") || len(secret) != 47 || strings.Contains(stderr, secret) {
		t.Fatalf("code %d, %q, %q", code, stdout, stderr)
	}
	for _, args := range [][]string{{"key", "list", "--json"}, {"key", "list"}, {"key", "withdraw", "k1", "--json"}, {"key", "withdraw", secret}} {
		if _, stdout, stderr := run(cmds.System(), s.Addr(), args...); strings.Contains(stdout+stderr, secret[8:]) {
			t.Errorf("%v prints the key", args)
		}
	}
	response, err := http.Get("http://" + s.Addr() + "/objects")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var stored bytes.Buffer
	if _, err := stored.ReadFrom(response.Body); err != nil || strings.Contains(stored.String(), secret[8:]) {
		t.Error("the platform stores the key", err)
	}
}
