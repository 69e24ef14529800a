// Command caroblane-fake runs fake servers for the platform and the upstreams, a load
// generator, and a comparison of policies on simulated engines.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "caroblane-fake:", err)
		return 1
	}
	return 0
}
