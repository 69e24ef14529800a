package logs_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"caroblane/io/logs"
)

// TestRateLimitedWriter checks that the log rate is limited, that dropped lines
// are reported, and that writers are not blocked.
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
