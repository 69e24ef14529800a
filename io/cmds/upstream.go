package cmds

import (
	"context"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
)

func (r *runner) upstreamCommand() *cli.Command {
	upstreams := resource[model.Upstream]{noun: "upstream", kind: model.KindUpstream, columns: []column[model.Upstream]{
		{"KIND", func(u model.Upstream) string { return strings.TrimPrefix(u.Kind.String(), "Upstream") }},
		{"ADDRESS", func(u model.Upstream) string { return u.Address }},
		{"ZONE", func(u model.Upstream) string { return string(u.Zone) }},
		{"ROLE", func(u model.Upstream) string { return strings.TrimPrefix(u.Role.String(), "Role") }},
		{"STATE", func(u model.Upstream) string { return strings.TrimPrefix(u.State.String(), "Upstream") }},
		{"SLOTS", func(u model.Upstream) string { return strconv.Itoa(u.Slots) }},
		{"CHEAP", func(u model.Upstream) string { return strconv.FormatBool(u.Cheap) }},
		{"MODELS", func(u model.Upstream) string { return join(u.Models) }},
	}}
	return group("upstream", "model engines and plain services",
		listCommand(r, upstreams, nil),
		showCommand(r, upstreams),
		applyCommand(r, upstreams),
		r.leaf(spec{
			name: "drain", usage: "give an upstream no new work", args: "NAME",
			about:   "Running work runs to its end. To take the upstream back, apply it with State Active.",
			example: "caroblane upstream drain engine-7",
			flags:   []cli.Flag{seenFlag()},
			action: func(ctx context.Context, cmd *cli.Command, args []string) error {
				return r.change(ctx, planChange(ref{model.KindUpstream, args[0]}, seenOf(cmd), draining))
			},
		}),
	)
}
