package cmds

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
)

func (r *runner) usageCommand() *cli.Command {
	return r.command(commandSpec{
		name: "usage", usage: "list the closed usage windows",
		description: "The records are printed as stored on the platform.",
		example:     "caroblane usage --json",
		action: func(ctx context.Context, _ *cli.Command, _ []string) error {
			stored, err := r.platform.list(ctx, model.KindUsage)
			if err != nil {
				return err
			}
			windows := stored.ofKind(model.KindUsage)
			if r.json {
				documents := []document{}
				for _, obj := range windows {
					documents = append(documents, newDocument(obj))
				}
				r.printJSON(documents)
				return nil
			}
			printTable(r, []column[object]{
				{"WINDOW", func(obj object) string { return obj.name }},
				{"VERSION", func(obj object) string { return strconv.FormatUint(uint64(obj.version), 10) }},
				{"RECORD", func(obj object) string { return string(obj.raw) }},
			}, windows)
			return nil
		},
	})
}
