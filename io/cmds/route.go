package cmds

import (
	"strconv"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
)

func (r *runner) routeCommand() *cli.Command {
	routes := resource[model.Route]{noun: "route", kind: model.KindRoute, columns: []column[model.Route]{
		{"PREFIX", func(v model.Route) string { return v.Prefix }},
		{"UPSTREAMS", func(v model.Route) string { return joinNames(v.Upstreams) }},
		{"REPEATABLE", func(v model.Route) string { return strconv.FormatBool(v.Repeatable) }},
		{"OPEN", func(v model.Route) string { return strconv.FormatBool(v.Open) }},
	}}
	return groupCommand("route", "manage path prefixes of plain services",
		listCommand(r, routes, nil),
		showCommand(r, routes),
		applyCommand(r, routes),
	)
}
