package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/urfave/cli/v3"
)

func root() *cli.Command {
	return &cli.Command{
		Name:     "caroblane-fake",
		Usage:    "run a fake server, generate load, or compare policies on simulated engines",
		Commands: []*cli.Command{engineCommand(), plainCommand(), loadCommand(), policyCommand(), soakCommand(), storeCommand()},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on"}
}

type server interface {
	Addr() string
	Run(ctx context.Context) error
}

// serve listens on the address given by --listen, prints the actual address, and runs
// the server until the context is cancelled.
func serve[S server](ctx context.Context, cmd *cli.Command, build func(net.Listener, *rand.Rand) (S, error)) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", cmd.String("listen"))
	if err != nil {
		return err
	}
	s, err := build(listener, rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0)))
	if err != nil {
		_ = listener.Close()
		return err
	}
	if _, err := fmt.Fprintf(cmd.Root().Writer, "event=listening address=%s\n", s.Addr()); err != nil {
		return err
	}
	return s.Run(ctx)
}
