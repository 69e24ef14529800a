package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"caroblane/io/clock"
	"caroblane/io/logs"
	"caroblane/io/netio"
	"caroblane/platform"
)

const (
	// logQueueSize is the maximum number of log lines that wait to be written, and
	// logLinesPerSecond the maximum write rate. Both bound logging under load. A
	// node serves a few hundred requests per second.
	logQueueSize      = 2048
	logLinesPerSecond = 2000
)

// platformCommand returns the command that runs the daemon on a platform. The platform
// passes the path of the settings file in an environment variable.
func platformCommand(code *int, stdout io.Writer) *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run on a platform that holds the configuration",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
			&cli.StringFlag{Name: "log-level", Usage: "minimum log `LEVEL`: debug, info, warn or error", Value: "info"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var err error
			*code, err = runPlatform(ctx, c.String("log-level"), c.Bool("check"), stdout)
			return err
		},
	}
}

func runPlatform(ctx context.Context, level string, check bool, stdout io.Writer) (int, error) {
	path, err := platform.SettingsPath()
	if err != nil {
		return exitUsage, err
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return exitUsage, err
	}
	if check {
		_, err := fmt.Fprintf(stdout, "%s is valid\n", path)
		return exitOK, err
	}
	system := clock.System()
	writer := logs.NewRateLimitedWriter(stdout, logQueueSize, logLinesPerSecond, system.Now)
	log, err := logs.New(writer, level, system.Wall)
	if err != nil {
		return exitUsage, err
	}
	go writer.Run()
	defer writer.Close()
	reload, stop := notifyReload(ctx)
	defer stop()
	if err := platform.New(path, settings, log, system, netio.System{}).Run(ctx, reload); err != nil {
		return exitFailure, err
	}
	return exitOK, nil
}

// notifyReload returns a channel that receives a value after a SIGHUP, and a function
// that stops the notifications. Signals are merged while a value is pending.
func notifyReload(ctx context.Context) (<-chan struct{}, func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reload := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			select {
			case reload <- struct{}{}:
			default:
				// A reload is already pending.
			}
		}
	}()
	return reload, func() {
		signal.Stop(signals)
		cancel()
	}
}
