package cmds

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
)

const (
	// pollInterval is the interval between two polls of the nodes.
	pollInterval = 500 * time.Millisecond
	// defaultWaitTimeout exceeds the 10 s within which a configuration comes into
	// force.
	defaultWaitTimeout = 30 * time.Second
)

func (r *runner) configCommand() *cli.Command {
	return groupCommand("config", "check, compare and track the whole configuration",
		r.configValidate(), r.configDiff(), r.configVersion(), r.configWait())
}

func (r *runner) configValidate() *cli.Command {
	return r.command(commandSpec{
		name: "validate", usage: "check a file of objects without using the platform", args: "FILE", offline: true,
		description: "FILE contains one or more objects in JSON; - is standard input. Every error is reported. References\n" +
			"to objects that are not in the file are listed on standard error.",
		example: "caroblane config validate objects.json",
		action: func(_ context.Context, _ *cli.Command, args []string) error {
			found, err := r.readFile(args[0])
			if err != nil {
				return err
			}
			stored := newObjects(0, found)
			for _, o := range found {
				for _, name := range references(o.value) {
					if _, ok := stored.get(name); !ok {
						_, _ = fmt.Fprintf(r.env.Err, "note: %s refers to %s, which is not in the file\n",
							sanitize(o.String()), sanitize(name.String()))
					}
				}
			}
			if r.json {
				r.printJSON(struct{ Objects int }{len(found)})
				return nil
			}
			_, _ = fmt.Fprintf(r.env.Out, "%d objects are valid\n", len(found))
			return nil
		},
	})
}

// diffEntry describes how an object in a file differs from the one on the
// platform.
type diffEntry struct {
	Kind   string
	Name   string
	Change string
	// Version is the version on the platform, or 0 if the object does not exist.
	Version model.Version
}

// diffObjects compares the objects in a file with the objects of the same kinds
// on the platform.
func diffObjects(file []object, stored objects) []diffEntry {
	var all []diffEntry
	inFile := newObjects(0, file)
	kinds := map[model.Kind]bool{}
	for _, o := range file {
		kinds[o.kind] = true
	}
	for _, kind := range configKinds() {
		if !kinds[kind] {
			continue
		}
		for _, o := range inFile.ofKind(kind) {
			change := "create"
			current, exists := stored.get(o.ref)
			switch {
			case exists && equalValues(current.value, o.value):
				change = "same"
			case exists:
				change = "update"
			}
			all = append(all, diffEntry{kind.Name(), o.name, change, current.version})
		}
		for _, o := range stored.ofKind(kind) {
			if _, ok := inFile.get(o.ref); !ok {
				all = append(all, diffEntry{kind.Name(), o.name, "not in file", o.version})
			}
		}
	}
	return all
}

func (r *runner) configDiff() *cli.Command {
	return r.command(commandSpec{
		name: "diff", usage: "compare a file of objects with the platform", args: "FILE",
		description: "Compares only the kinds of objects that occur in FILE. Changes nothing.",
		example:     "caroblane config diff objects.json",
		action: func(ctx context.Context, _ *cli.Command, args []string) error {
			found, err := r.readFile(args[0])
			if err != nil {
				return err
			}
			var kinds []model.Kind
			for _, kind := range configKinds() {
				if len(newObjects(0, found).ofKind(kind)) > 0 {
					kinds = append(kinds, kind)
				}
			}
			stored, err := r.platform.list(ctx, kinds...)
			if err != nil {
				return err
			}
			all := diffObjects(found, stored)
			if r.json {
				r.printJSON(all)
				return nil
			}
			printTable(r, []column[diffEntry]{
				{"KIND", func(d diffEntry) string { return d.Kind }},
				{"NAME", func(d diffEntry) string { return d.Name }},
				{"CHANGE", func(d diffEntry) string { return d.Change }},
				{"VERSION", func(d diffEntry) string { return strconv.FormatUint(uint64(d.Version), 10) }},
			}, all)
			return nil
		},
	})
}

func (r *runner) configVersion() *cli.Command {
	return r.command(commandSpec{
		name: "version", usage: "show the latest version and the version in force on each node",
		description: "Exits with code 5 if a node does not respond.",
		example:     "caroblane config version",
		action: func(ctx context.Context, _ *cli.Command, _ []string) error {
			stored, err := r.platform.list(ctx, configKinds()...)
			if err != nil {
				return err
			}
			responses := r.fetchStatus(ctx, nodesFromRosters(stored.ofKind(model.KindRoster), r.addresses, r.adminPort))
			if r.json {
				inForce := map[string]model.Version{}
				for _, response := range responses {
					if response.err == nil {
						inForce[string(response.Name)] = response.status.Version
					}
				}
				r.printJSON(struct {
					Newest model.Version
					Nodes  map[string]model.Version
				}{stored.latestVersion(), inForce})
				return unreachableError(responses)
			}
			_, _ = fmt.Fprintf(r.env.Out, "newest version %d\n", stored.latestVersion())
			if len(responses) > 0 {
				printTable(r, statusColumns(), responses)
			}
			return unreachableError(responses)
		},
	})
}

func (r *runner) configWait() *cli.Command {
	return r.command(commandSpec{
		name: "wait", usage: "wait until a version is in force on every node",
		description: "Without --version, waits for the latest version on the platform. Exits with code 6 on a timeout.",
		example:     "caroblane config wait --version 17 --within 20s",
		flags: []cli.Flag{
			&cli.Uint64Flag{Name: "version", Usage: "version to wait for"},
			&cli.DurationFlag{Name: "within", Usage: "timeout, 1s to 1h", Value: defaultWaitTimeout},
		},
		action: func(ctx context.Context, cmd *cli.Command, _ []string) error {
			timeout := cmd.Duration("within")
			if timeout < time.Second || timeout > time.Hour {
				return Usage.New("flag --within has value %s; accepted: 1s to 1h", timeout)
			}
			stored, err := r.platform.list(ctx, configKinds()...)
			if err != nil {
				return err
			}
			target := stored.latestVersion()
			if cmd.IsSet("version") {
				target = model.Version(cmd.Uint64("version"))
			}
			if target > stored.revision {
				return NotFound.New("version %d does not exist: the platform is at version %d", target, stored.revision)
			}
			nodes := nodesFromRosters(stored.ofKind(model.KindRoster), r.addresses, r.adminPort)
			if len(nodes) == 0 {
				return NotFound.New("no roster has members")
			}
			return r.waitForVersion(ctx, target, nodes, r.env.Now().Add(timeout))
		},
	})
}

// rollout is the progress of a configuration version across nodes.
type rollout struct {
	target model.Version
	// pending lists the nodes on which the version is not in force.
	pending []string
	total   int
	faults  []string
}

// newRollout computes the progress from the node responses of one poll.
func newRollout(target model.Version, responses []statusResponse) rollout {
	state := rollout{target: target, total: len(responses)}
	for _, response := range responses {
		if response.err != nil || response.status.Version < target {
			state.pending = append(state.pending, string(response.Name))
		}
		for name, fault := range response.status.Faults {
			state.faults = append(state.faults, fmt.Sprintf("node %s does not apply %s: %s", response.Name, name, fault))
		}
	}
	return state
}

// String returns the progress as a line of text.
func (s rollout) String() string {
	line := fmt.Sprintf("version %d is in force on %d of %d nodes", s.target, s.total-len(s.pending), s.total)
	if len(s.pending) > 0 {
		line += ", not on " + strings.Join(s.pending[:min(len(s.pending), 5)], ", ")
	}
	return line
}

// waitForVersion polls the nodes until the version is in force on all of them.
// The error is TimedOut if that is not the case at the deadline.
func (r *runner) waitForVersion(ctx context.Context, target model.Version, nodes []node, deadline time.Time) error {
	shown := ""
	for {
		state := newRollout(target, r.fetchStatus(ctx, nodes))
		if line := sanitize(state.String()); line != shown {
			shown = line
			r.showProgress(line)
		}
		if len(state.pending) == 0 {
			r.endProgress()
			for _, fault := range state.faults {
				_, _ = fmt.Fprintf(r.env.Err, "note: %s\n", sanitize(fault))
			}
			if r.json {
				r.printJSON(struct{ Version model.Version }{target})
				return nil
			}
			_, _ = fmt.Fprintf(r.env.Out, "version %d is in force on all %d nodes\n", target, state.total)
			return nil
		}
		if !r.env.Now().Before(deadline) {
			r.endProgress()
			return TimedOut.New("%s", state)
		}
		if err := r.env.Wait(ctx, pollInterval); err != nil {
			r.endProgress()
			return Failed.Wrap(err, "interrupted while %s", state)
		}
	}
}

// showProgress prints a progress line. On a terminal it replaces the previous
// one.
func (r *runner) showProgress(line string) {
	if r.env.Terminal {
		_, _ = fmt.Fprintf(r.env.Err, "\r\x1b[K%s", line)
		return
	}
	_, _ = fmt.Fprintln(r.env.Err, line)
}

func (r *runner) endProgress() {
	if r.env.Terminal {
		_, _ = fmt.Fprintln(r.env.Err)
	}
}
