package logs_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	"caroblane/io/logs"
)

// TestParse guards against values that change between writing and parsing a log
// line, for example by quotes, and against other text that is taken for a log
// line.
func TestParse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var out bytes.Buffer
		log, err := logs.New(&out, "info", fixedTime)
		if err != nil {
			t.Fatal(err)
		}
		message := rapid.StringMatching(`[a-z][a-z =:"\\]{0,20}`).Draw(t, "message")
		value := rapid.StringMatching(`[A-Za-z0-9 =:"\\.é\n-]{0,20}`).Draw(t, "value")
		log.Info().Str("Value", value).Int("Count", 7).Msg(message)
		line, ok := logs.Parse("12.5 front-a " + out.String())
		if !ok || line.Message != message || line.Get("Value") != value || line.Get("Count") != "7" || line.Level != "info" {
			t.Errorf("%q was parsed as %+v, %v", out.String(), line, ok)
		}
		if !line.At.Equal(fixedTime()) || line.Prefix != "12.5 front-a" {
			t.Errorf("time %v and prefix %q", line.At, line.Prefix)
		}
	})
	for _, text := range []string{"", "time=", "time=x message=y", "level=info message=y", "goroutine 7 [running]:", `time=2026-09-15T09:12:50.400Z message="open`} {
		if line, ok := logs.Parse(text); ok {
			t.Errorf("%q was parsed as %+v", text, line)
		}
	}
}
