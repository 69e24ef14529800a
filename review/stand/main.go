//go:build review

// Command stand runs the cases of the second review. Each starts entry daemons as separate
// processes, with stand-ins of the store, the duties, the workers and the clients.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name, which the files of the cases add. Each returns the exit code. Without
// trouble, it leaves out the disruption.
var cases = map[string]func(log *record, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], newRecord(os.Args[2])))
}

// play runs a case and returns its exit code.
func play(name string, log *record) (code int) {
	defer func() {
		if f, ok := recover().(failure); ok {
			log.add("case could not run: %s", f.text)
			fmt.Println("case could not run:", f.text)
			code = exitFailed
		}
	}()
	return cases[name](log, os.Getenv("TROUBLE") != "0")
}
