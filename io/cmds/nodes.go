package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"caroblane/core/model"
	"caroblane/io/admin"
)

// maxCalls bounds the nodes that are asked at once.
const maxCalls = 32

// node is an entry node with the address of its admin listener.
type node struct {
	model.Member
	region model.RegionName
	admin  netip.AddrPort
}

// answer is what a node said to GET /status.
type answer struct {
	node
	status admin.Status
	err    error
}

// nodesOf returns the nodes of all rosters in order of their names. The admin
// listener is the one that the operator named, or has the node's peer address
// and the given port.
func nodesOf(rosters []object, named map[string]netip.AddrPort, port uint16) []node {
	var nodes []node
	seen := map[string]bool{}
	for _, o := range rosters {
		roster, _ := o.value.(model.Roster)
		for _, member := range roster.Members {
			nodes = append(nodes, node{member, roster.Region, adminOf(member, named, port)})
			seen[string(member.Name)] = true
		}
	}
	for name, address := range named {
		if !seen[name] {
			nodes = append(nodes, node{Member: model.Member{Name: model.NodeName(name)}, admin: address})
		}
	}
	return sorted(nodes)
}

// nodesSeen returns the nodes that answered and the members that they know.
func nodesSeen(answers []answer, named map[string]netip.AddrPort, port uint16) []node {
	byName := map[model.NodeName]node{}
	for _, a := range answers {
		if a.err != nil {
			continue
		}
		for _, m := range a.status.Members {
			member := model.Member{Name: m.Name, Address: m.Address, Zone: m.Zone}
			if _, known := byName[m.Name]; !known {
				byName[m.Name] = node{member, a.status.Region, adminOf(member, named, port)}
			}
		}
	}
	for _, a := range answers {
		n := a.node
		if a.err == nil {
			n.region, n.Zone, n.Incarnation = a.status.Region, a.status.Zone, a.status.Incarnation
		}
		if known, ok := byName[n.Name]; ok {
			n.Address = known.Address
		}
		byName[n.Name] = n
	}
	nodes := make([]node, 0, len(byName))
	for _, n := range byName {
		nodes = append(nodes, n)
	}
	return sorted(nodes)
}

func adminOf(member model.Member, named map[string]netip.AddrPort, port uint16) netip.AddrPort {
	if address, ok := named[string(member.Name)]; ok {
		return address
	}
	peer, err := netip.ParseAddrPort(member.Address)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(peer.Addr(), port)
}

func sorted(nodes []node) []node {
	slices.SortFunc(nodes, func(a, b node) int { return cmp.Compare(a.Name, b.Name) })
	return nodes
}

// nodes reads the rosters. While the platform cannot be reached, it asks the
// nodes that the operator named for the others.
func (r *runner) nodes(ctx context.Context) ([]node, error) {
	var unreachable error
	if r.platform.client == nil {
		unreachable = Unreachable.New("no platform is given")
	} else {
		held, err := r.platform.list(ctx, model.KindRoster)
		if err == nil {
			return nodesOf(held.of(model.KindRoster), r.addresses, r.adminPort), nil
		}
		unreachable = err
	}
	if exitCode(unreachable) != CodeUnreachable || len(r.addresses) == 0 {
		return nil, unreachable
	}
	answers := r.ask(ctx, nodesOf(nil, r.addresses, r.adminPort))
	return nodesSeen(answers, r.addresses, r.adminPort), nil
}

// ask asks nodes for their status, some at once.
func (r *runner) ask(ctx context.Context, nodes []node) []answer {
	return each(nodes, func(n node) answer {
		a := answer{node: n}
		var data []byte
		if data, a.err = r.call(ctx, n, http.MethodGet, "/status"); a.err == nil {
			if err := json.Unmarshal(data, &a.status); err != nil {
				a.err = Unreachable.New("node %s answers no status: %v", n.Name, err)
			}
		}
		return a
	})
}

// call makes one call to the admin listener of a node.
func (r *runner) call(ctx context.Context, n node, method, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.admin.String()+path, http.NoBody)
	if err != nil {
		return nil, Unreachable.New("node %s has no usable address %q", n.Name, n.Address)
	}
	status, data, err := exchange(r.client, request)
	if err != nil {
		return nil, Unreachable.Wrap(err, "node %s does not answer at %s", n.Name, n.admin)
	}
	if status >= http.StatusMultipleChoices {
		var refusal wireRefusal
		if json.Unmarshal(data, &refusal) != nil || refusal.Message == "" {
			refusal.Message = strings.TrimSpace(string(data[:min(len(data), 200)]))
		}
		kind := Failed
		if status == http.StatusNotFound {
			kind = NotFound
		}
		return nil, kind.New("node %s answers %s %s with status %d: %s", n.Name, method, path, status, refusal.Message)
	}
	return data, nil
}

// each applies do to all items, up to maxCalls at once, and keeps the order.
func each[T, R any](items []T, do func(T) R) []R {
	results := make([]R, len(items))
	slots := make(chan struct{}, maxCalls)
	var running sync.WaitGroup
	for i, item := range items {
		slots <- struct{}{}
		running.Go(func() {
			results[i] = do(item)
			<-slots
		})
	}
	running.Wait()
	return results
}

// named returns the node of a name.
func named(nodes []node, name string) (node, error) {
	i := slices.IndexFunc(nodes, func(n node) bool { return string(n.Name) == name })
	if i < 0 {
		return node{}, NotFound.New("node %s is in no roster", name)
	}
	return nodes[i], nil
}
