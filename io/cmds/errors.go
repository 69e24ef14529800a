package cmds

import (
	"errors"
	"strings"
	"unicode"

	"github.com/joomcode/errorx"

	"caroblane/io/logs"
)

// Errors is the namespace of this layer's errors.
var Errors = errorx.NewNamespace("cmds")

// The types of errors that commands end with. Each has an exit code.
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

const exitCodes = `Exit codes:
  0  ok
  1  failure
  2  usage or invalid input
  3  conflict: the object was changed meanwhile
  4  not found
  5  platform or node unreachable
  6  timed out`

// exitCode returns the exit code of an error.
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

// oneLine returns the text of an error in one line without secrets.
func oneLine(err error) string { return printable(logs.Scrub(text(err))) }

// text returns the text of an error without the names of error types.
func text(err error) string {
	var typed *errorx.Error
	if !errors.As(err, &typed) {
		return err.Error()
	}
	parts := []string{typed.Message()}
	if cause := typed.Cause(); cause != nil {
		parts = append(parts, text(cause))
	}
	return strings.TrimPrefix(strings.Join(parts, ": "), ": ")
}

// printable replaces line ends and control characters, which a terminal would
// interpret.
func printable(s string) string {
	s = strings.ReplaceAll(strings.TrimSpace(s), "\n", "; ")
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, s)
}
