package logs

import (
	"strconv"
	"strings"
	"time"
)

// Field is a key with its unquoted value.
type Field struct{ Key, Value string }

// Line is a parsed log line.
type Line struct {
	At time.Time
	// Prefix is the text before the time, such as a host name added by a log
	// collector.
	Prefix  string
	Level   string
	Message string
	// Fields are the other fields in order of occurrence.
	Fields []Field
}

// Parse parses a line written by a logger of New. It returns false for any other
// text.
func Parse(text string) (Line, bool) {
	from := strings.Index(text, timeKey)
	if from < 0 {
		return Line{}, false
	}
	line := Line{Prefix: strings.TrimSpace(text[:from])}
	hasTime := false
	for rest := text[from:]; rest != ""; {
		field, left, ok := parseField(rest)
		if !ok {
			return Line{}, false
		}
		rest = left
		switch field.Key {
		case "time":
			at, err := time.Parse(timeFormat, field.Value)
			if err != nil {
				return Line{}, false
			}
			line.At, hasTime = at, true
		case "level":
			line.Level = field.Value
		case "message":
			line.Message = field.Value
		default:
			line.Fields = append(line.Fields, field)
		}
	}
	return line, hasTime && line.Message != ""
}

// Get returns the value of a field, or an empty string if the line does not have
// it.
func (l Line) Get(key string) string {
	for _, field := range l.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// timeKey is the key at the start of each line.
const timeKey = "time="

// parseField parses the first key=value pair of a text and returns it with the
// rest of the text.
func parseField(text string) (Field, string, bool) {
	text = strings.TrimLeft(text, " \r\n")
	key, rest, ok := strings.Cut(text, "=")
	if text == "" || !ok || key == "" || strings.ContainsAny(key, " \"") {
		return Field{}, "", false
	}
	if !strings.HasPrefix(rest, `"`) {
		value, left, _ := strings.Cut(rest, " ")
		return Field{key, strings.TrimRight(value, "\r\n")}, strings.TrimLeft(left, " \r\n"), true
	}
	quoted, err := strconv.QuotedPrefix(rest)
	if err != nil {
		return Field{}, "", false
	}
	value, err := strconv.Unquote(quoted)
	return Field{key, value}, strings.TrimLeft(rest[len(quoted):], " \r\n"), err == nil
}
