package cmds

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
)

func (r *runner) templateCommand() *cli.Command {
	number := func(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
	templates := resource[model.Template]{noun: "template", kind: model.KindTemplate, columns: []column[model.Template]{
		{"RATE/S", func(t model.Template) string { return number(t.Rate) }},
		{"BURST", func(t model.Template) string { return number(t.Burst) }},
		{"PRIORITY", func(t model.Template) string { return strconv.Itoa(t.Priority) }},
		{"CHEAP", func(t model.Template) string { return number(t.CheapShare) }},
		{"MODELS", func(t model.Template) string {
			if len(t.Models) == 0 {
				return "all"
			}
			return joinNames(t.Models)
		}},
	}}
	return groupCommand("template", "manage templates of client accounts",
		listCommand(r, templates, nil),
		showCommand(r, templates),
		applyCommand(r, templates),
		r.templateEdit(),
		r.templateDelete(),
	)
}

func (r *runner) templateDelete() *cli.Command {
	return r.command(commandSpec{
		name: "delete", usage: "delete the template of a client account", args: "NAME",
		description: "A template whose account has active keys is not deleted: withdraw the keys first, or use --force.",
		example:     "caroblane template delete acme --if-version 17",
		flags:       []cli.Flag{ifVersionFlag(), &cli.BoolFlag{Name: "force", Usage: "delete even if active keys stop working"}},
		action: func(ctx context.Context, cmd *cli.Command, args []string) error {
			return r.executeAndReport(ctx, planDeleteTemplate(args[0], expectedVersionFrom(cmd), cmd.Bool("force")))
		},
	})
}

func (r *runner) templateEdit() *cli.Command {
	return r.command(commandSpec{
		name: "edit", usage: "change fields of a template", args: "NAME", keepCommas: true,
		description: "The other fields keep their values. If the template is changed concurrently, the command reports a\n" +
			"conflict and changes nothing. Fields: Models (comma-separated names), Priority, Rate, Burst, CheapShare.",
		example: "caroblane template edit acme --set Rate=50 --set Burst=100",
		flags: []cli.Flag{
			ifVersionFlag(),
			&cli.StringSliceFlag{Name: "set", Usage: "field to change as Field=Value, can be repeated"},
		},
		action: func(ctx context.Context, cmd *cli.Command, args []string) error {
			settings := cmd.StringSlice("set")
			if len(settings) == 0 {
				return Usage.New("flag --set is missing; accepted: Field=Value")
			}
			p, err := planEdit(ref{model.KindTemplate, args[0]}, expectedVersionFrom(cmd), settings)
			if err != nil {
				return err
			}
			return r.executeAndReport(ctx, p)
		},
	})
}
