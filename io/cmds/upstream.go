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
		{"MODELS", func(u model.Upstream) string { return joinNames(u.Models) }},
	}}
	return groupCommand("upstream", "manage model engines and plain services",
		listCommand(r, upstreams, nil),
		showCommand(r, upstreams),
		applyCommand(r, upstreams),
		r.command(commandSpec{
			name: "drain", usage: "stop sending new requests to an upstream", args: "NAME",
			description: "Running requests continue to their end. To return the upstream to service, apply it with State Active.",
			example:     "caroblane upstream drain engine-7",
			flags:       []cli.Flag{ifVersionFlag()},
			action: func(ctx context.Context, cmd *cli.Command, args []string) error {
				return r.executeAndReport(ctx, planUpdate(ref{model.KindUpstream, args[0]}, expectedVersionFrom(cmd), drainUpstream))
			},
		}),
	)
}
