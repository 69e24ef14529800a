package cmds

import (
	"context"
	"io"
	"os"
	"strconv"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
)

// maxFile bounds a file of objects.
const maxFile = 64 << 20

// resource describes the commands that all kinds of objects have.
type resource[V any] struct {
	// noun is the name of the command.
	noun    string
	kind    model.Kind
	columns []column[V]
}

// row is an object in a table. The value is zero if the object has a fault.
type row[V any] struct {
	object
	decoded V
}

func listCommand[V any](r *runner, res resource[V], keep func(*cli.Command, V) bool, flags ...cli.Flag) *cli.Command {
	return r.leaf(spec{
		name: "list", usage: "list every " + res.noun, flags: flags,
		example: "caroblane " + res.noun + " list --json",
		action: func(ctx context.Context, cmd *cli.Command, _ []string) error {
			held, err := r.platform.list(ctx, res.kind)
			if err != nil {
				return err
			}
			var kept []object
			for _, o := range held.of(res.kind) {
				if value, ok := o.value.(V); !ok || keep == nil || keep(cmd, value) {
					kept = append(kept, o)
				}
			}
			printObjects(r, res, kept)
			return nil
		},
	})
}

func showCommand[V any](r *runner, res resource[V]) *cli.Command {
	return r.leaf(spec{
		name: "show", usage: "show one " + res.noun, args: "NAME",
		about:   "The output of --json is a file for apply. It holds the version, so that apply detects changes made meanwhile.",
		example: "caroblane " + res.noun + " show NAME --json >file.json",
		action: func(ctx context.Context, _ *cli.Command, args []string) error {
			o, err := r.platform.get(ctx, ref{res.kind, args[0]})
			if err != nil {
				return err
			}
			if r.json {
				r.printJSON(documentOf(o))
				return nil
			}
			printObjects(r, res, []object{o})
			return nil
		},
	})
}

func applyCommand[V any](r *runner, res resource[V]) *cli.Command {
	return r.leaf(spec{
		name: "apply", usage: "create or replace one " + res.noun + " from a file", args: "FILE",
		about: "FILE holds one object in JSON; - is standard input. Without Version, the current version is replaced;\n" +
			"Version 0 only creates.\n\n  {\"Kind\": \"" + res.kind.Name() + "\", \"Name\": \"NAME\", \"Value\": {...}}",
		example: "caroblane " + res.noun + " apply file.json",
		action: func(ctx context.Context, _ *cli.Command, args []string) error {
			found, err := r.readFile(args[0])
			if err != nil {
				return err
			}
			if len(found) != 1 || found[0].kind != res.kind {
				return Usage.New("%s: holds %d objects, the first of kind %s; accepted: one object of kind %s",
					args[0], len(found), found[0].kind.Name(), res.kind.Name())
			}
			return r.change(ctx, planApply(found[0]))
		},
	})
}

// readFile reads the objects of a file.
func (r *runner) readFile(name string) ([]object, error) {
	in := r.env.In
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, Usage.New("%v", err)
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFile+1))
	if err != nil {
		return nil, Usage.New("%v", err)
	}
	if len(data) > maxFile {
		return nil, Usage.New("%s: is too large; accepted: up to %d bytes", name, maxFile)
	}
	return parseFile(name, data)
}

// printObjects prints objects as a table or as JSON.
func printObjects[V any](r *runner, res resource[V], found []object) {
	if r.json {
		documents := []document{}
		for _, o := range found {
			documents = append(documents, documentOf(o))
		}
		r.printJSON(documents)
		return
	}
	columns := []column[row[V]]{{"NAME", func(o row[V]) string { return o.name }}}
	for _, c := range res.columns {
		columns = append(columns, column[row[V]]{c.title, func(o row[V]) string {
			if o.fault != nil {
				return ""
			}
			return c.cell(o.decoded)
		}})
	}
	columns = append(columns, column[row[V]]{"VERSION", func(o row[V]) string { return strconv.FormatUint(uint64(o.version), 10) }})
	var rows []row[V]
	faulty := false
	for _, o := range found {
		value, _ := o.value.(V)
		rows = append(rows, row[V]{o, value})
		faulty = faulty || o.fault != nil
	}
	if faulty {
		columns = append(columns, column[row[V]]{"FAULT", func(o row[V]) string {
			if o.fault == nil {
				return ""
			}
			return text(o.fault)
		}})
	}
	printTable(r, columns, rows)
}

// seenFlag lets an operator name the version that he saw.
func seenFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "if-version", Usage: "change nothing unless the object has this version"}
}

func seenOf(cmd *cli.Command) seenVersion {
	return seenVersion{given: cmd.IsSet("if-version"), version: model.Version(cmd.Uint64("if-version"))}
}
