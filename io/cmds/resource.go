package cmds

import (
	"context"
	"io"
	"os"
	"strconv"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
)

// maxFileBytes is the maximum size of an object file in bytes.
const maxFileBytes = 64 << 20

// resource defines the commands that are common to all kinds of objects.
type resource[V any] struct {
	// noun is the name of the command group.
	noun    string
	kind    model.Kind
	columns []column[V]
}

// objectRow is an object in a table. decoded is zero if the object could not be
// decoded.
type objectRow[V any] struct {
	object
	decoded V
}

func listCommand[V any](r *runner, res resource[V], filter func(*cli.Command, V) bool, flags ...cli.Flag) *cli.Command {
	return r.command(commandSpec{
		name: "list", usage: "list every " + res.noun, flags: flags,
		example: "caroblane " + res.noun + " list --json",
		action: func(ctx context.Context, cmd *cli.Command, _ []string) error {
			stored, err := r.platform.list(ctx, res.kind)
			if err != nil {
				return err
			}
			var kept []object
			for _, obj := range stored.ofKind(res.kind) {
				if value, ok := obj.value.(V); !ok || filter == nil || filter(cmd, value) {
					kept = append(kept, obj)
				}
			}
			printObjects(r, res, kept)
			return nil
		},
	})
}

func showCommand[V any](r *runner, res resource[V]) *cli.Command {
	return r.command(commandSpec{
		name: "show", usage: "show one " + res.noun, args: "NAME",
		description: "The output of --json can be passed to apply. It contains the version, so that apply detects concurrent changes.",
		example:     "caroblane " + res.noun + " show NAME --json >file.json",
		action: func(ctx context.Context, _ *cli.Command, args []string) error {
			obj, err := r.platform.get(ctx, ref{res.kind, args[0]})
			if err != nil {
				return err
			}
			if r.json {
				r.printJSON(newDocument(obj))
				return nil
			}
			printObjects(r, res, []object{obj})
			return nil
		},
	})
}

func applyCommand[V any](r *runner, res resource[V]) *cli.Command {
	return r.command(commandSpec{
		name: "apply", usage: "create or replace one " + res.noun + " from a file", args: "FILE",
		description: "FILE contains one object in JSON; - is standard input. Without Version, the current version is replaced;\n" +
			"with Version 0, the object must not exist yet.\n\n  {\"Kind\": \"" + res.kind.Name() + "\", \"Name\": \"NAME\", \"Value\": {...}}",
		example: "caroblane " + res.noun + " apply file.json",
		action: func(ctx context.Context, _ *cli.Command, args []string) error {
			found, err := r.readFile(args[0])
			if err != nil {
				return err
			}
			if len(found) != 1 || found[0].kind != res.kind {
				return Usage.New("%s: contains %d objects, the first of kind %s; accepted: one object of kind %s",
					args[0], len(found), found[0].kind.Name(), res.kind.Name())
			}
			return r.executeAndReport(ctx, planApply(found[0]))
		},
	})
}

// readFile reads objects from a file, or from standard input if the name is "-".
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
	data, err := io.ReadAll(io.LimitReader(in, maxFileBytes+1))
	if err != nil {
		return nil, Usage.New("%v", err)
	}
	if len(data) > maxFileBytes {
		return nil, Usage.New("%s: file is too large; accepted: up to %d bytes", name, maxFileBytes)
	}
	return parseFile(name, data)
}

// printObjects prints objects as a table or as JSON. The table has a column
// FAULT if an object could not be decoded.
func printObjects[V any](r *runner, res resource[V], found []object) {
	if r.json {
		documents := []document{}
		for _, obj := range found {
			documents = append(documents, newDocument(obj))
		}
		r.printJSON(documents)
		return
	}
	columns := []column[objectRow[V]]{{"NAME", func(obj objectRow[V]) string { return obj.name }}}
	for _, c := range res.columns {
		columns = append(columns, column[objectRow[V]]{c.title, func(obj objectRow[V]) string {
			if obj.decodeErr != nil {
				return ""
			}
			return c.cell(obj.decoded)
		}})
	}
	columns = append(columns, column[objectRow[V]]{"VERSION", func(obj objectRow[V]) string { return strconv.FormatUint(uint64(obj.version), 10) }})
	var rows []objectRow[V]
	faulty := false
	for _, obj := range found {
		value, _ := obj.value.(V)
		rows = append(rows, objectRow[V]{obj, value})
		faulty = faulty || obj.decodeErr != nil
	}
	if faulty {
		columns = append(columns, column[objectRow[V]]{"FAULT", func(obj objectRow[V]) string {
			if obj.decodeErr == nil {
				return ""
			}
			return errorText(obj.decodeErr)
		}})
	}
	printTable(r, columns, rows)
}

// ifVersionFlag returns the flag for the version that the object must have.
func ifVersionFlag() cli.Flag {
	return &cli.Uint64Flag{Name: "if-version", Usage: "change nothing unless the object has this version"}
}

func expectedVersionFrom(cmd *cli.Command) expectedVersion {
	return expectedVersion{isSet: cmd.IsSet("if-version"), version: model.Version(cmd.Uint64("if-version"))}
}
