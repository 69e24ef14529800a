package cmds

import (
	"strconv"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
)

func (r *runner) modelCommand() *cli.Command {
	models := resource[model.Model]{noun: "model", kind: model.KindModel, columns: []column[model.Model]{
		{"MAXTOKENS", func(v model.Model) string { return strconv.Itoa(v.MaxTokens) }},
	}}
	return groupCommand("model", "manage models that callers can request",
		listCommand(r, models, nil),
		showCommand(r, models),
		applyCommand(r, models),
	)
}
