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
	return groupCommand("node", "inspect, drain and forget entry nodes", r.nodeList(), r.nodeStatus(), r.nodeDrain(), r.nodeForget())
}

func (r *runner) nodeList() *cli.Command {
	return r.command(commandSpec{
		name: "list", usage: "list the members of all rosters", example: "caroblane node list", platformOptional: true,
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
	return r.command(commandSpec{
		name: "status", usage: "show the status of nodes", args: "[NAME]", platformOptional: true,
		description: "Exits with code 5 if a node does not respond.",
		example:     "caroblane node status entry-1 --json",
		action: func(ctx context.Context, _ *cli.Command, args []string) error {
			nodes, err := r.nodes(ctx)
			if err != nil {
				return err
			}
			if len(args) > 0 {
				target, err := findNode(nodes, args[0])
				if err != nil {
					return err
				}
				nodes = []node{target}
			}
			responses := r.fetchStatus(ctx, nodes)
			if r.json {
				statuses := []admin.Status{}
				for _, response := range responses {
					if response.err == nil {
						statuses = append(statuses, response.status)
					}
				}
				r.printJSON(statuses)
			} else {
				printTable(r, statusColumns(), responses)
			}
			return unreachableError(responses)
		},
	})
}

func (r *runner) nodeDrain() *cli.Command {
	return r.command(commandSpec{
		name: "drain", usage: "shut a node down gracefully", args: "NAME", platformOptional: true,
		description: "The node fails its readiness check, rejects new requests, completes the open ones and exits.",
		example:     "caroblane node drain entry-1",
		action: func(ctx context.Context, _ *cli.Command, args []string) error {
			nodes, err := r.nodes(ctx)
			if err != nil {
				return err
			}
			target, err := findNode(nodes, args[0])
			if err != nil {
				return err
			}
			if _, err := r.callAdmin(ctx, target, http.MethodPost, "/drain"); err != nil {
				return err
			}
			_, _ = fmt.Fprintf(r.env.Out, "node %s is draining\n", sanitize(string(target.Name)))
			return nil
		},
	})
}

func (r *runner) nodeForget() *cli.Command {
	return r.command(commandSpec{
		name: "forget", usage: "confirm that the process of a node has stopped", args: "NAME", platformOptional: true,
		description: "The other nodes of the region then admit requests without hearing from the node, for example when the platform\n" +
			"is down and the VM does not respond. If the process still runs, withdrawn keys may keep working on it and client\n" +
			"accounts may exceed their rate. Stop the VM first, and confirm that with --stopped. A node that responds is not\n" +
			"forgotten.",
		example: "caroblane node forget entry-4 --stopped --admin entry-1=10.0.0.1:8082",
		flags:   []cli.Flag{&cli.BoolFlag{Name: "stopped", Usage: "confirm that the VM of the node is stopped"}},
		action: func(ctx context.Context, cmd *cli.Command, args []string) error {
			if !cmd.Bool("stopped") {
				return Usage.New("flag --stopped is missing; accepted: only after the VM of node %s was stopped", args[0])
			}
			nodes, err := r.nodes(ctx)
			if err != nil {
				return err
			}
			others, err := planForget(r.fetchStatus(ctx, nodes), args[0])
			if err != nil {
				return err
			}
			return r.forget(ctx, args[0], others)
		},
	})
}

// planForget returns the nodes to notify that a node has stopped: the other
// nodes of its region and those whose region is unknown. Nodes that do not
// respond now are included, because they must not wait for the stopped node
// either.
func planForget(responses []statusResponse, name string) ([]node, error) {
	nodes := make([]node, 0, len(responses))
	for _, response := range responses {
		nodes = append(nodes, response.node)
	}
	target, err := findNode(nodes, name)
	if err != nil {
		return nil, err
	}
	var others []node
	for _, response := range responses {
		switch {
		case response.Name == target.Name && response.err == nil:
			return nil, Failed.New("node %s responds at %s: it has not stopped", name, response.admin)
		case response.Name != target.Name && (response.region == target.region || target.region == "" || response.region == ""):
			others = append(others, response.node)
		}
	}
	if len(others) == 0 {
		return nil, NotFound.New("region %s has no other node to notify", target.region)
	}
	return others, nil
}

// forget notifies nodes that a node has stopped.
func (r *runner) forget(ctx context.Context, name string, others []node) error {
	errs := parallelMap(others, func(n node) error {
		_, err := r.callAdmin(ctx, n, http.MethodPost, "/forget?"+url.Values{"node": {name}}.Encode())
		return err
	})
	var failed []string
	for i, err := range errs {
		if err != nil {
			failed = append(failed, errorText(err))
			continue
		}
		_, _ = fmt.Fprintf(r.env.Out, "node %s was notified that %s has stopped\n", sanitize(string(others[i].Name)), sanitize(name))
	}
	if len(failed) > 0 {
		return Failed.New("%d of %d nodes could not be notified: %s", len(failed), len(others), strings.Join(failed, "; "))
	}
	return nil
}

func statusColumns() []column[statusResponse] {
	ifReachable := func(show func(admin.Status) string) func(statusResponse) string {
		return func(response statusResponse) string {
			if response.err != nil {
				return ""
			}
			return show(response.status)
		}
	}
	return []column[statusResponse]{
		{"NAME", func(response statusResponse) string { return string(response.Name) }},
		{"VERSION", ifReachable(func(s admin.Status) string { return strconv.FormatUint(uint64(s.Version), 10) })},
		{"FRESH", ifReachable(func(s admin.Status) string { return strconv.FormatBool(s.Fresh) })},
		{"DRAINING", ifReachable(func(s admin.Status) string { return strconv.FormatBool(s.Draining) })},
		{"OPEN", ifReachable(func(s admin.Status) string { return strconv.Itoa(s.OpenRequests) })},
		{"FAULTS", ifReachable(func(s admin.Status) string { return strconv.Itoa(len(s.Faults)) })},
		{"ANSWER", func(response statusResponse) string {
			if response.err != nil {
				return errorText(response.err)
			}
			return "ok"
		}},
	}
}

// unreachableError returns an error that lists the nodes that did not respond,
// or nil.
func unreachableError(responses []statusResponse) error {
	var names []string
	for _, response := range responses {
		if response.err != nil {
			names = append(names, string(response.Name))
		}
	}
	if len(names) == 0 {
		return nil
	}
	return Unreachable.New("%d of %d nodes do not respond: %s", len(names), len(responses), strings.Join(names, ", "))
}
