// Package cmds implements the commands of the caroblane command line. Commands
// that change objects have a plan, a pure function that computes the writes from
// the current objects and the flags; a shared executor sends the writes.
package cmds

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"caroblane/io/clock"
)

// Env is the process environment that commands use.
type Env struct {
	In     io.Reader
	Out    io.Writer
	Err    io.Writer
	Random io.Reader
	Now    func() time.Time
	// Wait sleeps for a duration. It returns an error if the context ends first.
	Wait func(context.Context, time.Duration) error
	// Terminal reports whether Err is a terminal, on which progress is redrawn.
	Terminal bool
	// Screen reports whether Out is a terminal, on which views are redrawn.
	Screen bool
	// Dev runs an installation on loopback. With once it returns after two
	// requests have ended, otherwise when the context ends.
	Dev func(ctx context.Context, once bool, log zerolog.Logger, out io.Writer) error
}

// System returns the environment of this process. Dev is not set.
func System() Env {
	return Env{
		In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Random: rand.Reader, Now: clock.System().Now, Wait: sleep,
		Terminal: isTerminal(os.Stderr), Screen: isTerminal(os.Stdout),
	}
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Run runs the command line and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	r := &runner{env: env, client: &http.Client{Timeout: requestTimeout}}
	err := r.root().Run(ctx, args)
	if err == nil {
		return CodeOK
	}
	_, _ = fmt.Fprintf(env.Err, "caroblane: %s\n", formatError(err))
	return exitCode(err)
}

// runner holds the state that commands share.
type runner struct {
	env      Env
	client   *http.Client
	json     bool
	platform platform
	// addresses maps node names to the admin listeners given with --admin.
	addresses map[string]netip.AddrPort
	adminPort uint16
}

// commandSpec defines a command without subcommands.
type commandSpec struct {
	name  string
	usage string
	// args lists the names of the arguments. Optional arguments are in brackets;
	// the last one is variadic if it ends with "...]".
	args        string
	description string
	example     string
	flags       []cli.Flag
	// offline marks commands that do not use the platform.
	offline bool
	// platformOptional marks commands that do not need the platform if nodes are
	// given with --admin.
	platformOptional bool
	// keepCommas disables splitting of repeated flag values at commas.
	keepCommas bool
	action     func(ctx context.Context, cmd *cli.Command, args []string) error
}

func (r *runner) root() *cli.Command {
	return &cli.Command{
		Name:    "caroblane",
		Usage:   "operate caroblane: templates, keys, upstreams, routes, models, nodes and configuration",
		Version: buildVersion(),
		Description: "Every change is conditional on the version that the command read: if the object is changed\n" +
			"concurrently, the command reports a conflict and changes nothing.\n\n" + exitCodeHelp +
			"\n\nExample:\n  caroblane --platform 10.0.0.9:8090 template list",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Usage: "IP address and port of the platform's object API", Sources: cli.EnvVars("CAROBLANE_PLATFORM")},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
			&cli.StringSliceFlag{
				Name: "admin", Usage: "admin listener of a node as NAME=IP:PORT, can be repeated",
				Sources: cli.EnvVars("CAROBLANE_ADMIN"),
			},
			&cli.Uint16Flag{
				Name: "admin-port", Usage: "admin port of nodes not given with --admin", Value: 8082,
				Sources: cli.EnvVars("CAROBLANE_ADMIN_PORT"),
			},
		},
		Commands: []*cli.Command{
			r.templateCommand(), r.keyCommand(), r.upstreamCommand(), r.nodeCommand(),
			r.routeCommand(), r.modelCommand(), r.configCommand(), r.usageCommand(),
			r.devCommand(), r.explainCommand(), r.topCommand(),
		},
		Writer:                r.env.Out,
		ErrWriter:             r.env.Err,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			c.OnUsageError = usageError
			c.Action = groupAction
			c.Description += "\nExample:\n  source <(caroblane completion bash)"
		},
		HideHelpCommand: true,
		OnUsageError:    usageError,
		ExitErrHandler:  func(context.Context, *cli.Command, error) {},
		Action:          groupAction,
	}
}

// groupCommand returns a command that only has subcommands.
func groupCommand(name, usage string, commands ...*cli.Command) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Commands: commands, HideHelpCommand: true,
		OnUsageError: usageError, Action: groupAction,
		Description: "Example:\n  caroblane " + name + " " + commands[0].Name,
	}
}

func groupAction(_ context.Context, cmd *cli.Command) error {
	var names []string
	for _, c := range cmd.VisibleCommands() {
		names = append(names, c.Name)
	}
	accepted := strings.Join(names, ", ")
	if name := cmd.Args().First(); name != "" {
		return Usage.New("unknown command %q; accepted: %s", cmd.FullName()+" "+name, accepted)
	}
	return Usage.New("%s requires a command; accepted: %s", cmd.FullName(), accepted)
}

// command returns the command that a spec defines.
func (r *runner) command(s commandSpec) *cli.Command {
	description := "Example:\n  " + s.example
	if s.description != "" {
		description = s.description + "\n\n" + description
	}
	return &cli.Command{
		Name: s.name, Usage: s.usage, ArgsUsage: s.args, Flags: s.flags, Description: description,
		HideHelpCommand: true, OnUsageError: usageError, DisableSliceFlagSeparator: s.keepCommas,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args := cmd.Args().Slice()
			if err := checkArgs(cmd.FullName(), s.args, args); err != nil {
				return err
			}
			if err := r.applyGlobalFlags(cmd, s); err != nil {
				return err
			}
			return s.action(ctx, cmd, args)
		},
	}
}

// checkArgs checks that all required arguments are present, that none is empty
// and that there are no extra ones.
func checkArgs(command, names string, args []string) error {
	all := strings.Fields(names)
	required := 0
	for _, name := range all {
		if !strings.HasPrefix(name, "[") {
			required++
		}
	}
	switch {
	case len(args) < required:
		return Usage.New("%s: argument %s is missing", command, all[len(args)])
	case len(args) > len(all) && !strings.HasSuffix(names, "...]"):
		return Usage.New("%s: unexpected argument %q; accepted: %d arguments", command, args[len(all)], len(all))
	}
	for i, arg := range args {
		if arg == "" {
			return Usage.New("%s: argument %s is empty", command, all[i])
		}
	}
	return nil
}

func (r *runner) applyGlobalFlags(cmd *cli.Command, s commandSpec) error {
	r.json = cmd.Bool("json")
	r.adminPort = cmd.Uint16("admin-port")
	r.addresses = map[string]netip.AddrPort{}
	for _, text := range cmd.StringSlice("admin") {
		name, address, ok := strings.Cut(text, "=")
		parsed, err := netip.ParseAddrPort(address)
		if !ok || name == "" || err != nil {
			return Usage.New("flag --admin has value %q; accepted: NAME=IP:PORT", text)
		}
		r.addresses[name] = parsed
	}
	text := cmd.String("platform")
	if s.offline || (s.platformOptional && text == "" && len(r.addresses) > 0) {
		return nil
	}
	if text == "" {
		return Usage.New("flag --platform is missing; accepted: IP address and port (also as CAROBLANE_PLATFORM)")
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return Usage.New("flag --platform has value %q; accepted: IP address and port", text)
	}
	r.platform = newPlatform(address)
	return nil
}

func usageError(_ context.Context, cmd *cli.Command, err error, _ bool) error {
	return Usage.New("%s: %s", cmd.FullName(), errorText(err))
}

// buildVersion returns the module version and the VCS revision of the build.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return info.Main.Version + " " + setting.Value
		}
	}
	return info.Main.Version
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
