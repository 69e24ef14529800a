package logs_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"caroblane/io/logs"
)

const testKey = "cbk_canary7f3a19c4"

func fixedTime() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 6e6, time.UTC) }

// TestLine guards against values that break the format of the log: a line break
// or an escape sequence in a value, or a value that can be mistaken for further
// key=value pairs.
func TestLine(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(&out, "info", fixedTime)
	if err != nil {
		t.Fatal(err)
	}
	log.Debug().Msg("hidden")
	log.Info().Str("zone", "a b=c").Int("open", 3).Err(errors.New("first\nsecond")).Msg("node \x1b[31mstarted\nlevel=x")
	const want = `time=2026-01-02T03:04:05.006Z level=info message="node \x1b[31mstarted\nlevel=x" ` +
		`error="first\nsecond" open=3 zone="a b=c"` + "\n"
	if out.String() != want {
		t.Errorf("got  %swant %s", out.String(), want)
	}
}

// TestLevel guards against a level that disables the log: zerolog itself
// accepts the empty level, disabled and fatal.
func TestLevel(t *testing.T) {
	for _, level := range []string{"", "loud", "disabled", "fatal"} {
		if _, err := logs.New(&bytes.Buffer{}, level, fixedTime); err == nil {
			t.Errorf("level %q is accepted", level)
		}
	}
}

// TestSecretsAreNotPrinted guards against secrets in log lines, in JSON, and in
// formatted structs, where fmt does not call the String method of unexported
// fields.
func TestSecretsAreNotPrinted(t *testing.T) {
	var out bytes.Buffer
	log, err := logs.New(&out, "debug", fixedTime)
	if err != nil {
		t.Fatal(err)
	}
	const plain = "canary-without-a-known-form"
	secret := logs.NewSecret(plain)
	nested := struct{ hidden logs.Secret }{secret}
	log.Info().Stringer("a", secret).Interface("b", secret).Msgf("%v %s %q %#v %x", secret, secret, secret, secret, secret)
	log.Info().Err(fmt.Errorf("call failed: Authorization: Bearer %s", testKey)).Str("key", testKey).Msg(testKey)
	_, _ = fmt.Fprintf(&out, "%v %+v %#v\n", nested, nested, nested)
	if err := json.NewEncoder(&out).Encode(map[string]any{"x": secret}); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out.String(), "canary") {
		t.Errorf("secret in output:\n%s", out.String())
	}
	if secret.Reveal() != plain {
		t.Error("Reveal does not return the original value")
	}
}
