package cmds

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/model"
	"caroblane/io/admin"
)

// TestPlanForget guards against nodes that are not told that a node of their
// region has stopped, because they do not respond now, and against notifying
// the node itself or nodes of other regions.
func TestPlanForget(t *testing.T) {
	unreachable := errors.New("silent")
	at := func(name, region string, err error) statusResponse {
		return statusResponse{node: node{Member: model.Member{Name: model.NodeName(name)}, region: model.RegionName(region)}, err: err}
	}
	responses := []statusResponse{at("a", "north", nil), at("b", "north", unreachable), at("c", "north", unreachable), at("d", "west", nil), at("e", "", unreachable), at("f", "south", unreachable)}
	for name, want := range map[string][]string{"b": {"a", "c", "e"}, "a": nil, "z": nil, "f": {"e"}} {
		others, err := planForget(responses, name)
		var got []string
		for _, n := range others {
			got = append(got, string(n.Name))
		}
		if diff := cmp.Diff(want, got); diff != "" || (err == nil) != (want != nil) {
			t.Errorf("%s: %v %s", name, err, diff)
		}
	}
}

// TestNodesFromStatus guards against nodes that commands do not find while the
// platform is unreachable. They are then known only from the members that other
// nodes report, without the address of their admin listener.
func TestNodesFromStatus(t *testing.T) {
	status := admin.Status{Node: "a", Region: "north"}.WithMembers(
		admin.Member{Name: "a", Address: "10.0.0.1:8081"}, admin.Member{Name: "b", Address: "10.0.0.2:8081"}, admin.Member{Name: "c", Address: "lost"})
	nodes := nodesFromStatus([]statusResponse{{node: node{Member: model.Member{Name: "a"}}, status: status}}, nil, 9000)
	var got []string
	for _, n := range nodes {
		got = append(got, string(n.Name)+" "+string(n.region)+" "+n.Address+" "+n.admin.String())
	}
	want := []string{"a north 10.0.0.1:8081 invalid AddrPort", "b north 10.0.0.2:8081 10.0.0.2:9000", "c north lost invalid AddrPort"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
