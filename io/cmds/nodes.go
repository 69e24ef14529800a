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

// maxConcurrentCalls limits the number of concurrent calls to nodes.
const maxConcurrentCalls = 32

// node is an entry node and the address of its admin listener.
type node struct {
	model.Member
	region model.RegionName
	admin  netip.AddrPort
}

// statusResponse is the response of a node to GET /status.
type statusResponse struct {
	node
	status admin.Status
	err    error
}

// nodesFromRosters returns the nodes in all rosters and those given with
// --admin, sorted by name. The address of the admin listener is the one given
// with --admin, or else the host of the peer listener with the given port.
func nodesFromRosters(rosters []object, adminAddresses map[string]netip.AddrPort, port uint16) []node {
	var nodes []node
	seen := map[string]bool{}
	for _, o := range rosters {
		roster, _ := o.value.(model.Roster)
		for _, member := range roster.Members {
			nodes = append(nodes, node{member, roster.Region, adminAddress(member, adminAddresses, port)})
			seen[string(member.Name)] = true
		}
	}
	for name, address := range adminAddresses {
		if !seen[name] {
			nodes = append(nodes, node{Member: model.Member{Name: model.NodeName(name)}, admin: address})
		}
	}
	return sortByName(nodes)
}

// nodesFromStatus returns the nodes that were asked and the members that they
// reported.
func nodesFromStatus(responses []statusResponse, adminAddresses map[string]netip.AddrPort, port uint16) []node {
	byName := map[model.NodeName]node{}
	for _, response := range responses {
		if response.err != nil {
			continue
		}
		for _, m := range response.status.Members {
			member := model.Member{Name: m.Name, Address: m.Address, Zone: m.Zone}
			if _, known := byName[m.Name]; !known {
				byName[m.Name] = node{member, response.status.Region, adminAddress(member, adminAddresses, port)}
			}
		}
	}
	for _, response := range responses {
		n := response.node
		if response.err == nil {
			n.region, n.Zone, n.Incarnation = response.status.Region, response.status.Zone, response.status.Incarnation
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
	return sortByName(nodes)
}

func adminAddress(member model.Member, adminAddresses map[string]netip.AddrPort, port uint16) netip.AddrPort {
	if address, ok := adminAddresses[string(member.Name)]; ok {
		return address
	}
	peer, err := netip.ParseAddrPort(member.Address)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(peer.Addr(), port)
}

func sortByName(nodes []node) []node {
	slices.SortFunc(nodes, func(a, b node) int { return cmp.Compare(a.Name, b.Name) })
	return nodes
}

// nodes returns the nodes in the rosters. If the platform is unreachable, it
// discovers them through the nodes given with --admin.
func (r *runner) nodes(ctx context.Context) ([]node, error) {
	var unreachable error
	if r.platform.client == nil {
		unreachable = Unreachable.New("flag --platform is not set")
	} else {
		stored, err := r.platform.list(ctx, model.KindRoster)
		if err == nil {
			return nodesFromRosters(stored.ofKind(model.KindRoster), r.addresses, r.adminPort), nil
		}
		unreachable = err
	}
	if exitCode(unreachable) != CodeUnreachable || len(r.addresses) == 0 {
		return nil, unreachable
	}
	responses := r.fetchStatus(ctx, nodesFromRosters(nil, r.addresses, r.adminPort))
	return nodesFromStatus(responses, r.addresses, r.adminPort), nil
}

// fetchStatus requests the status of nodes concurrently.
func (r *runner) fetchStatus(ctx context.Context, nodes []node) []statusResponse {
	return parallelMap(nodes, func(n node) statusResponse {
		response := statusResponse{node: n}
		var data []byte
		if data, response.err = r.callAdmin(ctx, n, http.MethodGet, "/status"); response.err == nil {
			if err := json.Unmarshal(data, &response.status); err != nil {
				response.err = Unreachable.New("node %s returned an invalid status: %v", n.Name, err)
			}
		}
		return response
	})
}

// callAdmin sends a request to the admin listener of a node.
func (r *runner) callAdmin(ctx context.Context, n node, method, path string) ([]byte, error) {
	return r.callAdminUpTo(ctx, n, method, path, maxResponseBytes)
}

// callAdminUpTo is callAdmin for a response of which at most maxBytes are read.
func (r *runner) callAdminUpTo(ctx context.Context, n node, method, path string, maxBytes int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.admin.String()+path, http.NoBody)
	if err != nil {
		return nil, Unreachable.New("node %s has an invalid address %q", n.Name, n.Address)
	}
	status, data, err := doRequest(r.client, request, maxBytes)
	if err != nil {
		return nil, Unreachable.Wrap(err, "node %s does not respond at %s", n.Name, n.admin)
	}
	if status >= http.StatusMultipleChoices {
		var failure wireError
		if json.Unmarshal(data, &failure) != nil || failure.Message == "" {
			failure.Message = strings.TrimSpace(string(data[:min(len(data), 200)]))
		}
		kind := Failed
		if status == http.StatusNotFound {
			kind = NotFound
		}
		return nil, kind.New("node %s responded to %s %s with status %d: %s", n.Name, method, path, status, failure.Message)
	}
	return data, nil
}

// parallelMap calls do for all items with up to maxConcurrentCalls calls at a time. The
// results are in the order of the items.
func parallelMap[T, R any](items []T, do func(T) R) []R {
	results := make([]R, len(items))
	slots := make(chan struct{}, maxConcurrentCalls)
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

func findNode(nodes []node, name string) (node, error) {
	i := slices.IndexFunc(nodes, func(n node) bool { return string(n.Name) == name })
	if i < 0 {
		return node{}, NotFound.New("node %s is not in any roster", name)
	}
	return nodes[i], nil
}
