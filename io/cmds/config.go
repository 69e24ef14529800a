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
	// pollEvery is the time between two rounds of questions to the nodes.
	pollEvery = 500 * time.Millisecond
	// defaultWait is above the 10 s within which a configuration is in force.
	defaultWait = 30 * time.Second
)

func (r *runner) configCommand() *cli.Command {
	return group("config", "the configuration as a whole",
		r.configValidate(), r.configDiff(), r.configVersion(), r.configWait())
}

func (r *runner) configValidate() *cli.Command {
	return r.leaf(spec{
		name: "validate", usage: "check a file of objects without the platform", args: "FILE", offline: true,
		about: "FILE holds one or more objects in JSON; - is standard input. Every fault is reported. Objects that are\n" +
			"named by others are looked for in the file only, and reported on standard error.",
		example: "caroblane config validate objects.json",
		action: func(_ context.Context, _ *cli.Command, args []string) error {
			found, err := r.readFile(args[0])
			if err != nil {
				return err
			}
			held := newObjects(0, found)
			for _, o := range found {
				for _, name := range references(o.value) {
					if _, ok := held.get(name); !ok {
						_, _ = fmt.Fprintf(r.env.Err, "note: %s names %s, which is not in the file\n",
							printable(o.String()), printable(name.String()))
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

// difference tells how an object of a file differs from the platform's.
type difference struct {
	Kind   string
	Name   string
	Change string
	// Version is that of the platform's object, or 0.
	Version model.Version
}

// differences compares the objects of a file with the platform's objects of
// the same kinds.
func differences(file []object, held objects) []difference {
	var all []difference
	inFile := newObjects(0, file)
	kinds := map[model.Kind]bool{}
	for _, o := range file {
		kinds[o.kind] = true
	}
	for _, kind := range configKinds() {
		if !kinds[kind] {
			continue
		}
		for _, o := range inFile.of(kind) {
			change := "create"
			old, exists := held.get(o.ref)
			switch {
			case exists && sameValue(old.value, o.value):
				change = "same"
			case exists:
				change = "update"
			}
			all = append(all, difference{kind.Name(), o.name, change, old.version})
		}
		for _, o := range held.of(kind) {
			if _, ok := inFile.get(o.ref); !ok {
				all = append(all, difference{kind.Name(), o.name, "not in file", o.version})
			}
		}
	}
	return all
}

func (r *runner) configDiff() *cli.Command {
	return r.leaf(spec{
		name: "diff", usage: "compare a file of objects with the platform", args: "FILE",
		about:   "Compares the kinds of objects that occur in FILE. Nothing is changed.",
		example: "caroblane config diff objects.json",
		action: func(ctx context.Context, _ *cli.Command, args []string) error {
			found, err := r.readFile(args[0])
			if err != nil {
				return err
			}
			var kinds []model.Kind
			for _, kind := range configKinds() {
				if len(newObjects(0, found).of(kind)) > 0 {
					kinds = append(kinds, kind)
				}
			}
			held, err := r.platform.list(ctx, kinds...)
			if err != nil {
				return err
			}
			all := differences(found, held)
			if r.json {
				r.printJSON(all)
				return nil
			}
			printTable(r, []column[difference]{
				{"KIND", func(d difference) string { return d.Kind }},
				{"NAME", func(d difference) string { return d.Name }},
				{"CHANGE", func(d difference) string { return d.Change }},
				{"VERSION", func(d difference) string { return strconv.FormatUint(uint64(d.Version), 10) }},
			}, all)
			return nil
		},
	})
}

func (r *runner) configVersion() *cli.Command {
	return r.leaf(spec{
		name: "version", usage: "show the newest version and the one in force on each node",
		about:   "Exit code 5 if a node does not answer.",
		example: "caroblane config version",
		action: func(ctx context.Context, _ *cli.Command, _ []string) error {
			held, err := r.platform.list(ctx, configKinds()...)
			if err != nil {
				return err
			}
			answers := r.ask(ctx, nodesOf(held.of(model.KindRoster), r.addresses, r.adminPort))
			if r.json {
				inForce := map[string]model.Version{}
				for _, a := range answers {
					if a.err == nil {
						inForce[string(a.Name)] = a.status.Version
					}
				}
				r.printJSON(struct {
					Newest model.Version
					Nodes  map[string]model.Version
				}{held.newest(), inForce})
				return silent(answers)
			}
			_, _ = fmt.Fprintf(r.env.Out, "newest version %d\n", held.newest())
			if len(answers) > 0 {
				printTable(r, statusColumns(), answers)
			}
			return silent(answers)
		},
	})
}

func (r *runner) configWait() *cli.Command {
	return r.leaf(spec{
		name: "wait", usage: "wait until a version is in force on every node",
		about:   "Without --version, the newest version on the platform. Exit code 6 when --within is over.",
		example: "caroblane config wait --version 17 --within 20s",
		flags: []cli.Flag{
			&cli.Uint64Flag{Name: "version", Usage: "version to wait for"},
			&cli.DurationFlag{Name: "within", Usage: "how long to wait, 1s to 1h", Value: defaultWait},
		},
		action: func(ctx context.Context, cmd *cli.Command, _ []string) error {
			within := cmd.Duration("within")
			if within < time.Second || within > time.Hour {
				return Usage.New("flag --within has value %s; accepted: 1s to 1h", within)
			}
			held, err := r.platform.list(ctx, configKinds()...)
			if err != nil {
				return err
			}
			target := held.newest()
			if cmd.IsSet("version") {
				target = model.Version(cmd.Uint64("version"))
			}
			if target > held.revision {
				return NotFound.New("version %d does not exist: the platform is at %d", target, held.revision)
			}
			nodes := nodesOf(held.of(model.KindRoster), r.addresses, r.adminPort)
			if len(nodes) == 0 {
				return NotFound.New("no roster has a member")
			}
			return r.await(ctx, target, nodes, r.env.Now().Add(within))
		},
	})
}

// rollout is how far a version has come.
type rollout struct {
	target model.Version
	// behind names the nodes that do not have it in force.
	behind []string
	total  int
	faults []string
}

// rolloutOf folds the answers of one round.
func rolloutOf(target model.Version, answers []answer) rollout {
	state := rollout{target: target, total: len(answers)}
	for _, a := range answers {
		if a.err != nil || a.status.Version < target {
			state.behind = append(state.behind, string(a.Name))
		}
		for name, fault := range a.status.Faults {
			state.faults = append(state.faults, fmt.Sprintf("node %s does not use %s: %s", a.Name, name, fault))
		}
	}
	return state
}

// String is a line of progress.
func (s rollout) String() string {
	line := fmt.Sprintf("version %d is in force on %d of %d nodes", s.target, s.total-len(s.behind), s.total)
	if len(s.behind) > 0 {
		line += ", not on " + strings.Join(s.behind[:min(len(s.behind), 5)], ", ")
	}
	return line
}

// await asks the nodes until the version is in force on all of them.
func (r *runner) await(ctx context.Context, target model.Version, nodes []node, by time.Time) error {
	shown := ""
	for {
		state := rolloutOf(target, r.ask(ctx, nodes))
		if line := printable(state.String()); line != shown {
			shown = line
			r.progress(line)
		}
		if len(state.behind) == 0 {
			r.endProgress()
			for _, fault := range state.faults {
				_, _ = fmt.Fprintf(r.env.Err, "note: %s\n", printable(fault))
			}
			if r.json {
				r.printJSON(struct{ Version model.Version }{target})
				return nil
			}
			_, _ = fmt.Fprintf(r.env.Out, "version %d is in force on all %d nodes\n", target, state.total)
			return nil
		}
		if !r.env.Now().Before(by) {
			r.endProgress()
			return TimedOut.New("%s", state)
		}
		if err := r.env.Wait(ctx, pollEvery); err != nil {
			r.endProgress()
			return Failed.Wrap(err, "stopped while %s", state)
		}
	}
}

// progress shows a line: on a terminal it replaces the one before.
func (r *runner) progress(line string) {
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
