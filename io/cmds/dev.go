package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"caroblane/io/logs"
)

func (r *runner) devCommand() *cli.Command {
	return r.command(commandSpec{
		name: "dev", usage: "run a platform, upstreams and three entry nodes on loopback in one process", offline: true,
		example: "caroblane dev --once",
		flags: []cli.Flag{
			&cli.BoolFlag{Name: "once", Usage: "send two requests, print the responses and exit"},
			&cli.StringFlag{Name: "log", Usage: "log `LEVEL`: debug, info, warn or error", Value: "warn"},
		},
		action: func(ctx context.Context, c *cli.Command, _ []string) error {
			log, err := logs.New(r.env.Err, c.String("log"), r.env.Now)
			if err != nil {
				return Usage.Wrap(err, "flag --log")
			}
			return r.env.Dev(ctx, c.Bool("once"), log, r.env.Out)
		},
	})
}
