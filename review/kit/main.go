//go:build review

// Command review-kit carries out the cases of the review: it starts entry daemons as
// processes, with stand-ins of the platform, of workers and of callers around them, causes
// one kind of trouble and judges what the stand-ins saw.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// maxRun limits a case, including its start.
const maxRun = 115 * time.Second

// scenario runs a case and reports whether the rule was broken.
type scenario func(ctx context.Context, in *installation) (broken bool, err error)

// entry is a case with the configuration that it starts with.
type entry struct {
	run  scenario
	site func() object
}

// scenarios holds the cases by name. Each registers itself.
var scenarios = map[string]entry{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-kit CASE FOLDER")
		return exitCannot
	}
	chosen, known := scenarios[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitCannot
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer rec.close()
	in, err := newInstallation(ctx, chosen.site, rec)
	if err != nil {
		rec.add("the case cannot run: %v", err)
		return exitCannot
	}
	defer in.stop()
	if err := in.start(ctx); err != nil {
		rec.add("the case cannot run: %v", err)
		return exitCannot
	}
	broken, err := chosen.run(ctx, in)
	switch {
	case err != nil:
		rec.add("the case cannot run: %v", err)
		return exitCannot
	case broken:
		rec.add("result: the rule was broken")
		return exitBroken
	default:
		rec.add("result: the rule held")
		return exitHeld
	}
}

// trouble reports whether the disruption is caused.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// sleep waits, or returns early when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
