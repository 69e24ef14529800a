// Package logs sets up logging. Each event is a single line of key=value pairs
// that starts with the time and contains no colors and no secrets.
package logs

import (
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"
)

// timeFormat is the format of log times: UTC with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z"

// secretPattern matches caller keys and bearer credentials anywhere in a text,
// for example in an error message of a library.
var secretPattern = regexp.MustCompile(`cbk_[A-Za-z0-9_-]{8,}|(?i:bearer)\s+[^\s"\\]+`)

// New returns a logger that writes lines to w. The level is debug, info, warn
// or error; now returns the time of each line.
func New(w io.Writer, level string, now func() time.Time) (zerolog.Logger, error) {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil || minLevel < zerolog.DebugLevel || minLevel > zerolog.ErrorLevel {
		return zerolog.Nop(), fmt.Errorf("log level has value %q; accepted: debug, info, warn, error", level)
	}
	addTime := func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str(zerolog.TimestampFieldName, now().UTC().Format(timeFormat))
	}
	console := zerolog.ConsoleWriter{
		Out:              redactingWriter{w},
		NoColor:          true,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp:  func(v any) string { return formatField(zerolog.TimestampFieldName, v) },
		FormatLevel:      func(v any) string { return formatField(zerolog.LevelFieldName, v) },
		FormatMessage:    func(v any) string { return formatField(zerolog.MessageFieldName, v) },
		FormatFieldName:  func(v any) string { return fmt.Sprintf("%s=", v) },
		FormatFieldValue: func(v any) string { return fmt.Sprintf("%s", v) },
	}
	return zerolog.New(console).Level(minLevel).Hook(zerolog.HookFunc(addTime)), nil
}

// Redact redacts caller keys and bearer credentials in a text.
func Redact(text string) string { return secretPattern.ReplaceAllString(text, redactedText) }

// formatField formats one of the leading fields of a line. It returns an empty
// string for nil, which stands for a missing field.
func formatField(name string, value any) string {
	if value == nil {
		return ""
	}
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " =\"\\") || strings.ContainsFunc(text, isUnprintable) {
		text = strconv.Quote(text)
	}
	return name + "=" + text
}

func isUnprintable(r rune) bool { return !strconv.IsPrint(r) }

// redactingWriter is a writer that redacts secrets in each line.
type redactingWriter struct{ out io.Writer }

func (w redactingWriter) Write(line []byte) (int, error) {
	if _, err := w.out.Write(secretPattern.ReplaceAll(line, []byte(redactedText))); err != nil {
		return 0, err
	}
	return len(line), nil
}
