package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"caroblane/fake/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send chat requests to entry nodes or engines at a constant rate",
		Description: "Example:\n\n" +
			"  caroblane-fake load --address 127.0.0.1:8080 --key demo-key --model draft-small --rate 200 --requests 2000",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "address", Usage: "`ADDRESS` to send requests to in turn, may be repeated", Required: true},
			&cli.StringFlag{Name: "key", Usage: "API `KEY` of the caller"},
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the model", Required: true},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "`NUMBER` of requests per second"},
			&cli.IntFlag{Name: "requests", Value: 1000, Usage: "`NUMBER` of requests"},
			&cli.IntFlag{Name: "tokens", Value: 32, Usage: "`NUMBER` of tokens in each response"},
			&cli.StringFlag{Name: "prompt", Value: "hello", Usage: "`TEXT` of the prompt"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	plan := load.Plan{
		Requests: cmd.Int("requests"), Rate: cmd.Float("rate"), MaxTokens: cmd.Int("tokens"),
		Prompt: cmd.String("prompt"), Name: fmt.Sprintf("load-%d", time.Now().UnixNano()),
	}
	if plan.Requests < 1 || plan.Rate <= 0 || plan.MaxTokens < 1 {
		return errors.New("flags --requests, --rate and --tokens must be greater than 0")
	}
	client := load.NewClient()
	defer client.Close()
	start := time.Now()
	report := client.Run(ctx, load.Target{
		Addresses: cmd.StringSlice("address"), Key: cmd.String("key"), Model: cmd.String("model"),
	}, plan)
	seconds := time.Since(start).Seconds()
	_, err := fmt.Fprintf(cmd.Root().Writer,
		"answered %d, failed %d, %.0f requests/s, %.0f tokens/s\n"+
			"first token ms: p50 %.2f, p95 %.2f, p99 %.2f\n"+
			"whole answer ms: p50 %.2f, p95 %.2f, p99 %.2f\n",
		report.Answered, report.Failed, float64(report.Answered)/seconds, float64(report.Tokens)/seconds,
		millis(report.FirstToken.ValueAtQuantile(50)), millis(report.FirstToken.ValueAtQuantile(95)),
		millis(report.FirstToken.ValueAtQuantile(99)),
		millis(report.Total.ValueAtQuantile(50)), millis(report.Total.ValueAtQuantile(95)),
		millis(report.Total.ValueAtQuantile(99)))
	if err != nil {
		return err
	}
	if report.Failed > 0 {
		return fmt.Errorf("%d requests failed, the first one with: %w", report.Failed, report.Fault)
	}
	return nil
}

func millis(micros int64) float64 { return float64(micros) / 1000 }
