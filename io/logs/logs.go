// Package logs sets up logging: each event is one line of key=value pairs, time
// first, without colours and without secrets.
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

// timeFormat has milliseconds; times are UTC.
const timeFormat = "2006-01-02T15:04:05.000Z"

// secrets matches callers' keys and bearer credentials wherever they occur, for
// example within the error text of a library.
var secrets = regexp.MustCompile(`cbk_[A-Za-z0-9_-]{8,}|(?i:bearer)\s+[^\s"\\]+`)

// New returns a logger that writes lines to w. The level is debug, info, warn
// or error; now gives the time of each line.
func New(w io.Writer, level string, now func() time.Time) (zerolog.Logger, error) {
	lowest, err := zerolog.ParseLevel(level)
	if err != nil || lowest < zerolog.DebugLevel || lowest > zerolog.ErrorLevel {
		return zerolog.Nop(), fmt.Errorf("log level has value %q; accepted: debug, info, warn, error", level)
	}
	stamp := func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Str(zerolog.TimestampFieldName, now().UTC().Format(timeFormat))
	}
	console := zerolog.ConsoleWriter{
		Out:              scrubber{w},
		NoColor:          true,
		PartsOrder:       []string{zerolog.TimestampFieldName, zerolog.LevelFieldName, zerolog.MessageFieldName},
		FormatTimestamp:  func(v any) string { return pair(zerolog.TimestampFieldName, v) },
		FormatLevel:      func(v any) string { return pair(zerolog.LevelFieldName, v) },
		FormatMessage:    func(v any) string { return pair(zerolog.MessageFieldName, v) },
		FormatFieldName:  func(v any) string { return fmt.Sprintf("%s=", v) },
		FormatFieldValue: func(v any) string { return fmt.Sprintf("%s", v) },
	}
	return zerolog.New(console).Level(lowest).Hook(zerolog.HookFunc(stamp)), nil
}

// Scrub replaces callers' keys and bearer credentials in text.
func Scrub(text string) string { return secrets.ReplaceAllString(text, redacted) }

// pair formats a part of the line. Nil is a missing part.
func pair(name string, value any) string {
	if value == nil {
		return ""
	}
	text := fmt.Sprint(value)
	if text == "" || strings.ContainsAny(text, " =\"\\") || strings.ContainsFunc(text, unprintable) {
		text = strconv.Quote(text)
	}
	return name + "=" + text
}

func unprintable(r rune) bool { return !strconv.IsPrint(r) }

// scrubber removes secrets from each line.
type scrubber struct{ out io.Writer }

func (s scrubber) Write(line []byte) (int, error) {
	if _, err := s.out.Write(secrets.ReplaceAll(line, []byte(redacted))); err != nil {
		return 0, err
	}
	return len(line), nil
}
