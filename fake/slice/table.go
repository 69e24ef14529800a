package slice

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
)

// maxParallelRuns is the maximum number of concurrent runs.
const maxParallelRuns = 4

// Result holds the figures of a row, one element for each seed.
type Result struct {
	Row     string
	Figures []Figures
}

// Compare runs each row with each seed, a limited number at a time. It starts no run
// after the context is cancelled.
func Compare(ctx context.Context, config Config, rows []Row, seeds []uint64) ([]Result, error) {
	results := make([]Result, len(rows))
	errs := make([]error, len(rows)*len(seeds))
	var running sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelRuns)
	for r, row := range rows {
		results[r] = Result{row.Name, make([]Figures, len(seeds))}
		for n, seed := range seeds {
			running.Go(func() {
				select {
				case semaphore <- struct{}{}:
					defer func() { <-semaphore }()
					results[r].Figures[n], errs[r*len(seeds)+n] = row.Run(config.WithSeed(seed))
				case <-ctx.Done():
					errs[r*len(seeds)+n] = ctx.Err()
				}
			})
		}
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

type column struct {
	name  string
	value func(Figures) float64
}

var columns = []column{
	{"good/s", func(f Figures) float64 { return f.Good }},
	{"swing good/s", func(f Figures) float64 { return f.SwingGood }},
	{"evening good/s", func(f Figures) float64 { return f.EveningGood }},
	{"in target %", func(f Figures) float64 { return f.InTarget }},
	{"worst account", func(f Figures) float64 { return f.WorstAccount }},
	{"role changes", func(f Figures) float64 { return f.RoleChanges }},
	{"cost/1000 tokens", func(f Figures) float64 { return f.Cost }},
	{"cheap %", func(f Figures) float64 { return f.Cheap }},
	{"refused in rate", func(f Figures) float64 { return f.Refused }},
	{"cut", func(f Figures) float64 { return f.Cut }},
	{"strict good/s", func(f Figures) float64 { return f.StrictGood }},
	{"strict swing good/s", func(f Figures) float64 { return f.StrictSwingGood }},
}

// WriteTable writes results as a Markdown table with the mean, lowest and highest
// value of the seeds.
func WriteTable(w io.Writer, results []Result) error {
	table := &strings.Builder{}
	table.WriteString("| row |")
	for _, c := range columns {
		fmt.Fprintf(table, " %s |", c.name)
	}
	fmt.Fprintf(table, "\n|%s\n", strings.Repeat("---|", len(columns)+1))
	for _, result := range results {
		fmt.Fprintf(table, "| %s |", result.Row)
		for _, c := range columns {
			low, high, sum := math.Inf(1), math.Inf(-1), 0.0
			for _, f := range result.Figures {
				v := c.value(f)
				low, high, sum = min(low, v), max(high, v), sum+v
			}
			fmt.Fprintf(table, " %.4g (%.4g to %.4g) |", sum/float64(len(result.Figures)), low, high)
		}
		table.WriteByte('\n')
	}
	_, err := io.WriteString(w, table.String())
	return err
}
