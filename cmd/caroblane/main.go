// Command caroblane is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"caroblane/io/cmds"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cmds.Run(ctx, os.Args, cmds.System())
	stop()
	os.Exit(code)
}
