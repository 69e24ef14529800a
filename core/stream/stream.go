// Package stream decides which events of a stream are passed to the caller. The
// upstreams give the events increasing IDs, by which a broken stream is resumed at
// another upstream.
package stream

import (
	"bytes"
	"strconv"
)

// Verdict says what to do with an event.
type Verdict int

// The values of Verdict.
const (
	// Pass means that the event is passed to the caller, after those that were kept.
	Pass Verdict = iota
	// Keep means that the next event decides.
	Keep
	// Drop means that the caller has the event already, and needs none of those that
	// were kept.
	Drop
	// Reject means that the upstream does not continue the stream.
	Reject
)

// Event is what the decision depends on: the ID of an event, which may be empty, and
// its text.
type Event struct {
	ID   string
	Text []byte
}

// Position is how far a caller has received a stream. The zero value is the begin of
// a stream.
type Position struct {
	// last is the ID of the last event with one, and number its value if it is a number.
	last     string
	number   uint64
	isNumber bool
	// sparse is set if the IDs that one upstream gave do not follow each other directly,
	// so that a gap between two IDs need not mean that events are missing.
	sparse bool
	// resumed is set while an upstream continues what another one began, and reached
	// once it has sent an event that the caller did not have.
	resumed, reached bool
	// unnumbered counts the events without an ID that were passed after the last one
	// with an ID, and repeated how many of them the upstream has sent again.
	unnumbered, repeated int
	// behind is set while the last event of the upstream is before the position.
	behind bool
}

// WithAttempt returns the position at the begin of another attempt.
func (p Position) WithAttempt() Position {
	p.resumed, p.reached, p.behind, p.repeated = p.last != "", false, false, 0
	return p
}

// WithEvent returns the position after an event and what to do with the event. An
// upstream that resumes a stream may begin at an earlier event, but not leave one out,
// and may send nothing but events.
func (p Position) WithEvent(e Event) (Position, Verdict) {
	number, err := strconv.ParseUint(e.ID, 10, 64)
	isNumber := err == nil
	switch {
	case hasStatusLine(e.Text), p.resumed && !isEvent(e.Text):
		return p, Reject
	case e.ID == "" && p.resumed && !p.reached:
		if isError(e.Text) {
			return p, Reject
		}
		if hasData(e.Text) && p.repeated < p.unnumbered {
			p.repeated++
			return p, Drop
		}
		return p, Keep
	case e.ID == "":
		if hasData(e.Text) {
			p.unnumbered++
		}
		return p, Pass
	case p.last == "":
		// The IDs of an upstream that counts events begin at 0 or 1.
		p.sparse = isNumber && number > 1
	case p.isNumber && isNumber && number <= p.number:
		p.behind, p.repeated = p.resumed && !p.reached && number < p.number, 0
		return p, Drop
	case (!p.isNumber || !isNumber) && e.ID == p.last && p.resumed && !p.reached:
		return p, Drop
	case p.resumed && p.isNumber != isNumber:
		return p, Reject
	case p.isNumber && isNumber && number > p.number+1:
		if p.resumed && !p.sparse {
			return p, Reject
		}
		p.sparse = true
	}
	p.last, p.number, p.isNumber = e.ID, number, isNumber
	p.reached, p.behind, p.unnumbered = true, false, 0
	return p, Pass
}

// WithEnd returns what to do with the events that were kept when the stream ends. It
// has not ended for the caller if the upstream sent less than the caller had before.
func (p Position) WithEnd() Verdict {
	if p.behind {
		return Reject
	}
	return Pass
}

// statusPrefix begins the head of an HTTP response, and statusLine is it on a line that
// is not the first.
var (
	statusPrefix = []byte("HTTP/1.")
	statusLine   = []byte("\nHTTP/1.")
)

// hasStatusLine reports whether a line of an event begins a response.
func hasStatusLine(text []byte) bool {
	return bytes.HasPrefix(text, statusPrefix) || bytes.Contains(text, statusLine)
}

// isEvent reports whether all lines are fields of server-sent events or comments.
func isEvent(text []byte) bool {
	for line := range bytes.Lines(text) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		switch string(name) {
		case "", "data", "event", "id", "retry":
		default:
			return false
		}
	}
	return true
}

// hasData reports whether an event has a field with data.
func hasData(text []byte) bool {
	for line := range bytes.Lines(text) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// isError reports whether an event has the type with which streams report an error.
func isError(text []byte) bool {
	for line := range bytes.Lines(text) {
		if value, found := bytes.CutPrefix(line, []byte("event:")); found && string(bytes.TrimSpace(value)) == "error" {
			return true
		}
	}
	return false
}
