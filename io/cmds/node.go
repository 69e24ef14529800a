package cmds

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"caroblane/core/model"
	"caroblane/io/admin"
)

func (r *runner) nodeCommand() *cli.Command {
	return group("node", "entry nodes", r.nodeList(), r.nodeStatus(), r.nodeDrain(), r.nodeForget())
}

func (r *runner) nodeList() *cli.Command {
	return r.leaf(spec{
		name: "list", usage: "list the members of every roster", example: "caroblane node list", byNode: true,
		action: func(ctx context.Context, _ *cli.Command, _ []string) error {
			nodes, err := r.nodes(ctx)
			if err != nil {
				return err
			}
			if r.json {
				type member struct {
					Name        model.NodeName
					Region      model.RegionName
					Zone        model.ZoneName
					Address     string
					Admin       string
					Incarnation model.Incarnation `json:",string"`
				}
				members := []member{}
				for _, n := range nodes {
					members = append(members, member{n.Name, n.region, n.Zone, n.Address, n.admin.String(), n.Incarnation})
				}
				r.printJSON(members)
				return nil
			}
			printTable(r, []column[node]{
				{"NAME", func(n node) string { return string(n.Name) }},
				{"REGION", func(n node) string { return string(n.region) }},
				{"ZONE", func(n node) string { return string(n.Zone) }},
				{"PEERS", func(n node) string { return n.Address }},
				{"ADMIN", func(n node) string { return n.admin.String() }},
				{"INCARNATION", func(n node) string { return strconv.FormatUint(uint64(n.Incarnation), 10) }},
			}, nodes)
			return nil
		},
	})
}

func (r *runner) nodeStatus() *cli.Command {
	return r.leaf(spec{
		name: "status", usage: "show what nodes say of themselves", args: "[NAME]", byNode: true,
		about:   "Exit code 5 if a node does not answer.",
		example: "caroblane node status entry-1 --json",
		action: func(ctx context.Context, _ *cli.Command, args []string) error {
			nodes, err := r.nodes(ctx)
			if err != nil {
				return err
			}
			if len(args) > 0 {
				one, err := named(nodes, args[0])
				if err != nil {
					return err
				}
				nodes = []node{one}
			}
			answers := r.ask(ctx, nodes)
			if r.json {
				statuses := []admin.Status{}
				for _, a := range answers {
					if a.err == nil {
						statuses = append(statuses, a.status)
					}
				}
				r.printJSON(statuses)
			} else {
				printTable(r, statusColumns(), answers)
			}
			return silent(answers)
		},
	})
}

func (r *runner) nodeDrain() *cli.Command {
	return r.leaf(spec{
		name: "drain", usage: "shut a node down gracefully", args: "NAME", byNode: true,
		about:   "The node fails its readiness, takes no new requests, finishes the open ones and ends.",
		example: "caroblane node drain entry-1",
		action: func(ctx context.Context, _ *cli.Command, args []string) error {
			nodes, err := r.nodes(ctx)
			if err != nil {
				return err
			}
			one, err := named(nodes, args[0])
			if err != nil {
				return err
			}
			if _, err := r.call(ctx, one, http.MethodPost, "/drain"); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(r.env.Out, "node %s drains\n", printable(string(one.Name)))
			return nil
		},
	})
}

func (r *runner) nodeForget() *cli.Command {
	return r.leaf(spec{
		name: "forget", usage: "state that the process of a node has stopped", args: "NAME", byNode: true,
		about: "The other nodes of the region then admit requests without news of the node, for example when the platform\n" +
			"is down and the VM is silent. If the process still runs, withdrawn keys may keep working on it and accounts\n" +
			"may get more than their rate. Stop the VM first, and confirm that with --stopped. A node that answers is not\n" +
			"forgotten.",
		example: "caroblane node forget entry-4 --stopped --admin entry-1=10.0.0.1:8082",
		flags:   []cli.Flag{&cli.BoolFlag{Name: "stopped", Usage: "the VM of the node is known to be stopped"}},
		action: func(ctx context.Context, cmd *cli.Command, args []string) error {
			if !cmd.Bool("stopped") {
				return Usage.New("flag --stopped is missing; accepted: only once the VM of node %s is known to be stopped", args[0])
			}
			nodes, err := r.nodes(ctx)
			if err != nil {
				return err
			}
			others, err := planForget(r.ask(ctx, nodes), args[0])
			if err != nil {
				return err
			}
			return r.forget(ctx, args[0], others)
		},
	})
}

// planForget returns the nodes to tell that a node has stopped: those of its
// region. Nodes that do not answer now are included, because they must not
// wait for it either.
func planForget(answers []answer, name string) ([]node, error) {
	nodes := make([]node, 0, len(answers))
	for _, a := range answers {
		nodes = append(nodes, a.node)
	}
	one, err := named(nodes, name)
	if err != nil {
		return nil, err
	}
	var others []node
	for _, a := range answers {
		switch {
		case a.Name == one.Name && a.err == nil:
			return nil, Failed.New("node %s answers at %s: it has not stopped", name, a.admin)
		case a.Name != one.Name && (a.region == one.region || one.region == "" || a.region == ""):
			others = append(others, a.node)
		}
	}
	if len(others) == 0 {
		return nil, NotFound.New("region %s has no other node to tell", one.region)
	}
	return others, nil
}

// forget tells nodes that a node has stopped.
func (r *runner) forget(ctx context.Context, name string, others []node) error {
	faults := each(others, func(n node) error {
		_, err := r.call(ctx, n, http.MethodPost, "/forget?"+url.Values{"node": {name}}.Encode())
		return err
	})
	var failed []string
	for i, err := range faults {
		if err != nil {
			failed = append(failed, text(err))
			continue
		}
		_, _ = fmt.Fprintf(r.env.Out, "node %s forgets %s\n", printable(string(others[i].Name)), printable(name))
	}
	if len(failed) > 0 {
		return Failed.New("%d of %d nodes were not told: %s", len(failed), len(others), strings.Join(failed, "; "))
	}
	return nil
}

func statusColumns() []column[answer] {
	answered := func(show func(admin.Status) string) func(answer) string {
		return func(a answer) string {
			if a.err != nil {
				return ""
			}
			return show(a.status)
		}
	}
	return []column[answer]{
		{"NAME", func(a answer) string { return string(a.Name) }},
		{"VERSION", answered(func(s admin.Status) string { return strconv.FormatUint(uint64(s.Version), 10) })},
		{"FRESH", answered(func(s admin.Status) string { return strconv.FormatBool(s.Fresh) })},
		{"DRAINING", answered(func(s admin.Status) string { return strconv.FormatBool(s.Draining) })},
		{"OPEN", answered(func(s admin.Status) string { return strconv.Itoa(s.OpenRequests) })},
		{"FAULTS", answered(func(s admin.Status) string { return strconv.Itoa(len(s.Faults)) })},
		{"ANSWER", func(a answer) string {
			if a.err != nil {
				return text(a.err)
			}
			return "ok"
		}},
	}
}

// silent returns an error if a node did not answer.
func silent(answers []answer) error {
	var names []string
	for _, a := range answers {
		if a.err != nil {
			names = append(names, string(a.Name))
		}
	}
	if len(names) == 0 {
		return nil
	}
	return Unreachable.New("%d of %d nodes do not answer: %s", len(names), len(answers), strings.Join(names, ", "))
}
