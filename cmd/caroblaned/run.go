package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
	"caroblane/io/clock"
	"caroblane/io/entry"
	"caroblane/io/logs"
	"caroblane/io/setup"
)

// Exit codes of the daemon.
const (
	exitOK = iota
	exitFailure
	exitUsage
)

const exampleText = `Example:
   caroblaned --settings /etc/caroblane/caroblaned.ini
   caroblaned --settings caroblaned.ini --check

Exit codes:
   0  stopped after all open requests completed
   1  failed, or requests were still open at the drain deadline
   2  invalid arguments or settings`

// run runs the command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	code := exitOK
	command := &cli.Command{
		Name:        "caroblaned",
		Usage:       "entry node daemon of caroblane",
		Description: exampleText,
		Version:     version(),
		Writer:      stdout,
		ErrWriter:   stderr,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read settings from `FILE`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Commands:       []*cli.Command{platformCommand(&code, stdout)},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action: func(ctx context.Context, c *cli.Command) error {
			if !c.IsSet("settings") {
				return errors.New(`flag "settings" is missing; accepted: the path of a settings file`)
			}
			var err error
			code, err = runNode(ctx, c.String("settings"), c.Bool("check"), stdout, stderr)
			return err
		},
	}
	if err := command.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintf(stderr, "caroblaned: %v\n", err)
		if code == exitOK {
			code = exitUsage
		}
	}
	return code
}

// runNode runs an entry node until the context is cancelled, or only checks the
// settings, and returns the exit code.
func runNode(ctx context.Context, path string, check bool, stdout, stderr io.Writer) (int, error) {
	settings, err := setup.Load(path)
	if err != nil {
		return exitUsage, err
	}
	if check {
		_, err := fmt.Fprintf(stdout, "%s is valid\n", path)
		return exitOK, err
	}
	system := clock.System()
	log, err := logs.New(stderr, settings.Log.Level, system.Wall)
	if err != nil {
		return exitUsage, err
	}
	listeners, err := entry.Listen(settings)
	if err != nil {
		return exitFailure, err
	}
	node, err := entry.New(settings, listeners, model.Incarnation(rand.Uint64()), log, system)
	if err != nil {
		return exitFailure, err
	}
	if err := node.Run(ctx); err != nil {
		return exitFailure, err
	}
	return exitOK, nil
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}
