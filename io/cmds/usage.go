package cmds

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
)

func (r *runner) usageCommand() *cli.Command {
	return r.leaf(spec{
		name: "usage", usage: "list the frozen usage windows",
		about:   "The records are printed as the platform holds them.",
		example: "caroblane usage --json",
		action: func(ctx context.Context, _ *cli.Command, _ []string) error {
			held, err := r.platform.list(ctx, model.KindUsage)
			if err != nil {
				return err
			}
			windows := held.of(model.KindUsage)
			if r.json {
				documents := []document{}
				for _, o := range windows {
					documents = append(documents, documentOf(o))
				}
				r.printJSON(documents)
				return nil
			}
			printTable(r, []column[object]{
				{"WINDOW", func(o object) string { return o.name }},
				{"VERSION", func(o object) string { return strconv.FormatUint(uint64(o.version), 10) }},
				{"RECORD", func(o object) string { return string(o.raw) }},
			}, windows)
			return nil
		},
	})
}
