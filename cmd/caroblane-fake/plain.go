package main

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/urfave/cli/v3"

	"caroblane/fake/plain"
)

func plainCommand() *cli.Command {
	return &cli.Command{
		Name:  "plain",
		Usage: "run a fake plain service that counts executions",
		Description: "Example:\n\n" +
			"  caroblane-fake plain --listen 127.0.0.1:7300\n" +
			"  curl -d '{\"Status\":503}' http://127.0.0.1:7300/status\n" +
			"  curl -d '{\"LoseAnswers\":1}' http://127.0.0.1:7300/faults\n" +
			"  curl http://127.0.0.1:7300/stats",
		Flags: []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd, func(listener net.Listener, rng *rand.Rand) (*plain.Service, error) {
				return plain.New(listener, plain.NewState(), rng, time.Now), nil
			})
		},
	}
}
