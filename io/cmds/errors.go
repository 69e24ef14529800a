package cmds

import (
	"errors"
	"strings"
	"unicode"

	"github.com/joomcode/errorx"

	"caroblane/io/logs"
)

// Errors is the error namespace of this package.
var Errors = errorx.NewNamespace("cmds")

// The error types that commands return. Each has an exit code.
var (
	Failed      = Errors.NewType("failed")
	Usage       = Errors.NewType("usage")
	Conflict    = Errors.NewType("conflict")
	NotFound    = Errors.NewType("not_found")
	Unreachable = Errors.NewType("unreachable")
	TimedOut    = Errors.NewType("timed_out")
)

// The exit codes.
const (
	CodeOK = iota
	CodeFailed
	CodeUsage
	CodeConflict
	CodeNotFound
	CodeUnreachable
	CodeTimedOut
)

const exitCodeHelp = `Exit codes:
  0  ok
  1  failure
  2  usage or invalid input
  3  conflict: the object was changed concurrently
  4  not found
  5  platform or node unreachable
  6  timed out`

func exitCode(err error) int {
	for code, t := range map[int]*errorx.Type{
		CodeUsage:       Usage,
		CodeConflict:    Conflict,
		CodeNotFound:    NotFound,
		CodeUnreachable: Unreachable,
		CodeTimedOut:    TimedOut,
	} {
		if errorx.IsOfType(err, t) {
			return code
		}
	}
	return CodeFailed
}

// formatError formats an error as a single line with secrets redacted.
func formatError(err error) string { return sanitize(logs.Redact(errorText(err))) }

// errorText returns the message of an error and its causes without the names of
// the error types.
func errorText(err error) string {
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return err.Error()
	}
	parts := []string{typed.Message()}
	if cause := typed.Cause(); cause != nil {
		parts = append(parts, errorText(cause))
	}
	return strings.TrimPrefix(strings.Join(parts, ": "), ": ")
}

// sanitize replaces line breaks and control characters, so that text from a
// server or a file cannot send escape sequences to the terminal.
func sanitize(s string) string {
	s = strings.ReplaceAll(strings.TrimSpace(s), "\n", "; ")
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, s)
}
