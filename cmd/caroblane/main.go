// Command caroblane is the command-line interface for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"caroblane/io/cmds"
	"caroblane/stack"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	env := cmds.System()
	env.Dev = stack.Dev
	code := cmds.Run(ctx, os.Args, env)
	stop()
	os.Exit(code)
}
