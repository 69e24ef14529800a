// Package cmds holds the commands of the caroblane command line, a file for
// each.
package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Run runs the command line and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:      "caroblane",
		Usage:     "operate caroblane",
		Writer:    stdout,
		ErrWriter: stderr,
		Commands:  []*cli.Command{devCommand(stdout, stderr)},
	}
	if err := root.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintf(stderr, "caroblane: %v\n", err)
		return 1
	}
	return 0
}
