package main

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"caroblane/fake/engine"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a fake inference engine",
		Description: "Example:\n\n" +
			"  caroblane-fake engine --listen 127.0.0.1:7200 --slots 8 --model m1\n" +
			"  curl -d '{\"CutAfter\":5}' http://127.0.0.1:7200/faults\n" +
			"  curl -N -H 'X-Request-Id: r1' -H 'X-Attempt: 1' \\\n" +
			"    -d '{\"model\":\"m1\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}' \\\n" +
			"    http://127.0.0.1:7200/v1/chat/completions",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.BoolFlag{Name: "fast", Usage: "process requests without simulated delays"},
			&cli.BoolFlag{Name: "ignore-epoch", Usage: "execute orders with an outdated fencing token"},
			&cli.IntFlag{Name: "slots", Usage: "maximum `NUMBER` of requests in a batch"},
			&cli.StringSliceFlag{Name: "model", Usage: "`NAME` of a loaded model, may be repeated (default: any model)"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd, func(listener net.Listener, rng *rand.Rand) (*engine.Engine, error) {
				settings := engine.DefaultSettings()
				if cmd.Bool("fast") {
					settings = engine.FastSettings()
				}
				if slots := cmd.Int("slots"); slots > 0 {
					settings.Slots = slots
				}
				settings.ChecksEpoch = !cmd.Bool("ignore-epoch")
				settings.Models = cmd.StringSlice("model")
				return engine.New(listener, engine.NewState(settings), rng, time.Now), nil
			})
		},
	}
}
