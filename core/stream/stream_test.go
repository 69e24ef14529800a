package stream_test

import (
	"fmt"
	"strings"
	"testing"

	"caroblane/core/stream"
)

// attempt returns the events of an attempt, given as IDs. An ID that begins with "!" is
// an event of type error, and one with "#" is a text that is no event; both have no ID.
func attempt(ids string) []stream.Event {
	var events []stream.Event
	for _, id := range strings.Split(ids, " ") {
		switch {
		case id == "":
		case id == "-":
			events = append(events, stream.Event{Text: []byte("data: x\n\n")})
		case id[0] == '!':
			events = append(events, stream.Event{Text: []byte("event: error\ndata: x\n\n")})
		case id[0] == '#':
			events = append(events, stream.Event{Text: []byte(id[1:] + "\n\n")})
		default:
			events = append(events, stream.Event{ID: id, Text: []byte("id: " + id + "\ndata: x\n\n")})
		}
	}
	return events
}

// passed returns the events that a caller receives over several attempts, and whether
// the last attempt ends the stream.
func passed(attempts []string) (string, bool) {
	var p stream.Position
	var out []string
	whole := false
	for _, ids := range attempts {
		p = p.WithAttempt()
		var kept []string
		whole = true
		for _, e := range attempt(ids) {
			var verdict stream.Verdict
			p, verdict = p.WithEvent(e)
			name := e.ID
			if name == "" {
				name = "-"
			}
			switch verdict {
			case stream.Pass:
				out, kept = append(append(out, kept...), name), nil
			case stream.Keep:
				kept = append(kept, name)
			case stream.Drop:
				kept = nil
			case stream.Reject:
				whole = false
			}
			if !whole {
				break
			}
		}
		if whole = whole && p.WithEnd() == stream.Pass; whole {
			out = append(out, kept...)
		}
	}
	return strings.Join(out, " "), whole
}

// TestResume guards against events that a caller receives twice, events that are missing
// from a stream that passes for whole, and the text of an error within a stream.
func TestResume(t *testing.T) {
	for name, c := range map[string]struct {
		attempts []string
		want     string
		whole    bool
	}{
		"one attempt":                     {[]string{"1 2 3"}, "1 2 3", true},
		"resumed":                         {[]string{"1 2", "3 4"}, "1 2 3 4", true},
		"resumed twice":                   {[]string{"1 2", "3", "4"}, "1 2 3 4", true},
		"begins again":                    {[]string{"1 2", "1 2 3"}, "1 2 3", true},
		"repeats the last one":            {[]string{"1 2", "2 3"}, "1 2 3", true},
		"gap at the begin":                {[]string{"1 2", "4 5"}, "1 2", false},
		"gap later":                       {[]string{"1 2", "3 5"}, "1 2 3", false},
		"gap after a repetition":          {[]string{"1 2", "1 2 4"}, "1 2", false},
		"gap after one event":             {[]string{"1", "3"}, "1", false},
		"goes on after a gap elsewhere":   {[]string{"1 2", "4", "3 4"}, "1 2 3 4", true},
		"IDs of several tokens":           {[]string{"4 9 13", "17 20"}, "4 9 13 17 20", true},
		"goes back later":                 {[]string{"1 2", "3 2 3 4"}, "1 2 3 4", true},
		"goes back in the first attempt":  {[]string{"1 2 2 3"}, "1 2 3", true},
		"ends before the position":        {[]string{"1 2 3", "1 2"}, "1 2 3", false},
		"ends at the position":            {[]string{"1 2 3", "1 2 3"}, "1 2 3", true},
		"only the end":                    {[]string{"1 2", "-"}, "1 2 -", true},
		"nothing left":                    {[]string{"1 2", ""}, "1 2", true},
		"begins again with a first event": {[]string{"- 1 2", "- 1 2 3 -"}, "- 1 2 3 -", true},
		"event without an ID at the end":  {[]string{"1 -", "- 2"}, "1 - 2", true},
		"begins again, with such events":  {[]string{"1 - -", "1 - - - 2"}, "1 - - - 2", true},
		"several tokens, one event":       {[]string{"4", "9"}, "4 9", true},
		"event without an ID before":      {[]string{"1 2", "- 3"}, "1 2 - 3", true},
		"error":                           {[]string{"1 2", "!"}, "1 2", false},
		"error after an event":            {[]string{"1 2", "3 !"}, "1 2 3 -", true},
		"text":                            {[]string{"1 2", `#{"error":"busy"}`}, "1 2", false},
		"text after an event":             {[]string{"1 2", `3 #{"error":"busy"}`}, "1 2 3", false},
		"head":                            {[]string{"1 2", "#HTTP/1.1"}, "1 2", false},
		"head in the first attempt":       {[]string{"1 2 #HTTP/1.1"}, "1 2", false},
		"head within an event":            {[]string{"1 #data:x\nHTTP/1.1"}, "1", false},
		"IDs that are no numbers":         {[]string{"a b", "b c"}, "a b c", true},
		"equal IDs that are no numbers":   {[]string{"a a b"}, "a a b", true},
		"IDs of another kind":             {[]string{"1 2", "c"}, "1 2", false},
		"largest ID":                      {[]string{"18446744073709551615", "18446744073709551615 0"}, "18446744073709551615", false},
		"no IDs":                          {[]string{"- -"}, "- -", true},
	} {
		t.Run(name, func(t *testing.T) {
			if got, whole := passed(c.attempts); got != c.want || whole != c.whole {
				t.Errorf("caller receives %q, whole %v; want %q, %v", got, whole, c.want, c.whole)
			}
		})
	}
}

// FuzzResume guards against events that are passed twice or out of order, whatever the
// attempts send.
func FuzzResume(f *testing.F) {
	f.Add([]byte{1, 2, 3, 0, 1, 2, 3, 4})
	f.Add([]byte{5, 5, 0, 255, 0, 1})
	f.Fuzz(func(t *testing.T, ids []byte) {
		var attempts []string
		for part := range strings.SplitSeq(string(ids), "\x00") {
			var list []string
			for _, id := range []byte(part) {
				list = append(list, fmt.Sprint(id))
			}
			attempts = append(attempts, strings.Join(list, " "))
		}
		out, _ := passed(attempts)
		last := -1
		for _, id := range strings.Fields(out) {
			var number int
			_, _ = fmt.Sscan(id, &number)
			if number <= last {
				t.Fatalf("caller receives %s", out)
			}
			last = number
		}
	})
}
