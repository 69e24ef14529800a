//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err, "create the record")
	return &record{file: file, begin: time.Now()}
}

// add writes a line with the time since the begin of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes the result and ends the case.
func (r *record) verdict(broken bool, format string, args ...any) int {
	text := "rule held: "
	code := exitHeld
	if broken {
		text, code = "rule broken: ", exitBroken
	}
	text += fmt.Sprintf(format, args...)
	r.add("%s", text)
	fmt.Println(text)
	return code
}

// failure is why a case could not run.
type failure struct{ text string }

// check ends the case if an error keeps it from running.
func check(err error, what string) {
	if err != nil {
		panic(failure{fmt.Sprintf("%s: %v", what, err)})
	}
}

// need ends the case if a condition for it is not met.
func need(ok bool, format string, args ...any) {
	if !ok {
		panic(failure{fmt.Sprintf(format, args...)})
	}
}
