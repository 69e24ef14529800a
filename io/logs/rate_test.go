package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"caroblane/io/logs"
)

// TestRateLimitedWriter guards against a log that exceeds its rate under load,
// lines that are dropped without a report, and writers that block on a slow
// output.
func TestRateLimitedWriter(t *testing.T) {
	var out bytes.Buffer
	now := fixedTime()
	w := logs.NewRateLimitedWriter(&out, 10, 3, func() time.Time { return now })
	for i := range 15 {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	go w.Run()
	w.Close()
	text := out.String()
	for _, want := range []string{"line 0\n", "line 2\n", "Lines=12\n"} {
		if !strings.Contains(text, want) {
			t.Errorf("output %q, want %q", text, want)
		}
	}
	if strings.Contains(text, "line 3\n") {
		t.Errorf("output %q has more than 3 lines in a second", text)
	}
}
