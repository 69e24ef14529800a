package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"caroblane/platform/soak"
)

// maxSoakNodes keeps the connections of a run below the usual limit of open files: there
// is a link between each two nodes.
const maxSoakNodes = 32

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the entry daemon on a platform with faults, and judge what callers and upstreams see",
		Description: "Example:\n\n" +
			"  caroblane-fake soak --daemon ./caroblaned --seed 1 --last-seed 20 --seconds 20 --keep /tmp/soak\n" +
			"  caroblane-fake soak --daemon ./caroblaned --seed 7 --seconds 20\n" +
			"  caroblane-fake soak --judge /tmp/soak/seed-7/history.jsonl",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the schedule and the callers"},
			&cli.Uint64Flag{Name: "last-seed", Usage: "run all seeds from --seed to this `SEED`"},
			&cli.IntFlag{Name: "seconds", Value: 20, Usage: "length of a run in `SECONDS`"},
			&cli.IntFlag{Name: "nodes", Value: 3, Usage: "`NUMBER` of entry nodes"},
			&cli.IntFlag{Name: "parallel", Value: 1, Usage: "`NUMBER` of runs at a time"},
			&cli.StringFlag{Name: "daemon", Value: "caroblaned", Usage: "`PATH` of the program caroblaned"},
			&cli.StringFlag{Name: "keep", Usage: "`DIRECTORY` for the histories and logs of failed runs (default: a new one)"},
			&cli.BoolFlag{Name: "keep-all", Usage: "keep the histories and logs of all runs"},
			&cli.StringFlag{Name: "series", Value: "default", Usage: "comma-separated `NAMES` of series of faults, or none, default or all"},
			&cli.StringFlag{Name: "checks", Value: "default", Usage: "comma-separated `NAMES` of checks, or default or all"},
			&cli.StringFlag{Name: "judge", Usage: "judge the history in a `FILE` instead of a run"},
		},
		Action: runSoak,
	}
}

// selectNames returns the named values. It accepts none, default and all.
func selectNames[T ~string](flag, text string, standard, all []T) ([]T, error) {
	switch text {
	case "none":
		return nil, nil
	case "default":
		return standard, nil
	case "all":
		return all, nil
	}
	var selected []T
	for name := range strings.SplitSeq(text, ",") {
		if !slices.Contains(all, T(name)) {
			return nil, fmt.Errorf("--%s %q: accepted are none, default, all and %v", flag, name, all)
		}
		selected = append(selected, T(name))
	}
	return selected, nil
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	series, err := selectNames("series", cmd.String("series"), soak.DefaultSeries(), soak.AllSeries())
	if err != nil {
		return err
	}
	checks, err := selectNames("checks", cmd.String("checks"), soak.DefaultChecks(), soak.AllChecks())
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	if path := cmd.String("judge"); path != "" {
		history, err := soak.ReadHistory(path)
		if err != nil {
			return err
		}
		findings := soak.Judge(history, checks)
		for _, f := range findings {
			_, _ = fmt.Fprintln(out, f)
		}
		if len(findings) > 0 {
			return errors.New("the history breaks guarantees")
		}
		return nil
	}
	if cmd.Int("nodes") < 1 || cmd.Int("nodes") > maxSoakNodes || cmd.Int("seconds") < 4 || cmd.Int("parallel") < 1 {
		return fmt.Errorf("--nodes must be 1 to %d, --seconds at least 4, --parallel at least 1", maxSoakNodes)
	}
	keep := cmd.String("keep")
	if keep == "" {
		if keep, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	failed := 0
	slots := make(chan struct{}, cmd.Int("parallel"))
	var running sync.WaitGroup
	for seed := cmd.Uint64("seed"); seed <= max(cmd.Uint64("seed"), cmd.Uint64("last-seed")) && ctx.Err() == nil; seed++ {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			report, err := soak.Run(ctx, soak.Options{
				Seed: seed, Length: time.Duration(cmd.Int("seconds")) * time.Second, Nodes: cmd.Int("nodes"), Series: series, Checks: checks,
				Daemon: cmd.String("daemon"), Dir: filepath.Join(keep, fmt.Sprintf("seed-%d", seed)),
			})
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(report.Findings) > 0 {
				failed++
			} else if !cmd.Bool("keep-all") {
				_ = os.RemoveAll(report.Dir)
			}
			_, _ = fmt.Fprintln(out, soakLine(report, err))
		})
	}
	running.Wait()
	if failed > 0 {
		return fmt.Errorf("%d runs failed; histories and logs are in %s", failed, keep)
	}
	return ctx.Err()
}

// soakLine returns the result of a run as one line.
func soakLine(r soak.Report, err error) string {
	stalled := ""
	if r.Stalled > 0 {
		stalled = fmt.Sprintf(" (the machine stalled for %s)", r.Stalled.Round(time.Millisecond))
	}
	switch {
	case err != nil:
		return fmt.Sprintf("seed %d not run: %v", r.Seed, err)
	case len(r.Findings) > 0:
		return fmt.Sprintf("seed %d failed%s: %d findings, first: %s; %s", r.Seed, stalled, len(r.Findings), r.Findings[0], r.Dir)
	default:
		return fmt.Sprintf("seed %d passed%s: %d requests %v, p50 %s, p99 %s", r.Seed, stalled, r.Requests, r.Statuses, r.P50, r.P99)
	}
}
