package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"caroblane/fake/slice"
)

func policyCommand() *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "compare placement and role policies on simulated engines",
		Description: "Prints a table with the mean (lowest to highest) over the seeds; docs/policy.md explains the columns.\n" +
			"Equal arguments give equal figures.\n\nExample:\n\n" +
			"  caroblane-fake policy --seed 1 --seed 2 --row 'Qalam' --row 'least-loaded, fixed'\n" +
			"  caroblane-fake policy --seed 11 --json",
		// The names of rows contain commas.
		DisableSliceFlagSeparator: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "seed", Value: []string{"1", "2", "3"}, Usage: "seed `NUMBER` of the random load and placement, may be repeated"},
			&cli.StringSliceFlag{Name: "row", Usage: "`NAME` of a row, may be repeated (default: all rows)"},
			&cli.BoolFlag{Name: "json", Usage: "print the figures of each row and seed as JSON"},
		},
		Action: comparePolicies,
	}
}

func comparePolicies(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("argument %q: the command accepts only flags", cmd.Args().First())
	}
	seeds, err := parseSeeds(cmd.StringSlice("seed"))
	if err != nil {
		return err
	}
	rows, err := slice.RowsByName(cmd.StringSlice("row"))
	if err != nil {
		return fmt.Errorf("--row: %w", err)
	}
	results, err := slice.Compare(ctx, slice.Default(), rows, seeds)
	if err != nil {
		return err
	}
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(struct {
			Seeds   []uint64
			Results []slice.Result
		}{seeds, results})
	}
	if _, err := fmt.Fprintf(out, "mean (lowest to highest) of seeds %v\n", seeds); err != nil {
		return err
	}
	return slice.WriteTable(out, results)
}

func parseSeeds(texts []string) ([]uint64, error) {
	seeds := make([]uint64, len(texts))
	for i, text := range texts {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("--seed %q: must be an integer from 0 to 18446744073709551615", text)
		}
		seeds[i] = seed
	}
	return seeds, nil
}
