// The caroblane command is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"caroblane/io/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cmds.Run(ctx, os.Args, cmds.System())
	stop()
	os.Exit(code)
}
