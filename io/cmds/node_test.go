package cmds

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"caroblane/core/model"
	"caroblane/io/admin"
)

// TestPlanForget guards against telling nodes of other regions, telling the
// node itself, and leaving out nodes that do not answer now.
func TestPlanForget(t *testing.T) {
	silent := errors.New("silent")
	at := func(name, region string, err error) answer {
		return answer{node: node{Member: model.Member{Name: model.NodeName(name)}, region: model.RegionName(region)}, err: err}
	}
	answers := []answer{at("a", "north", nil), at("b", "north", silent), at("c", "north", silent), at("d", "west", nil), at("e", "", silent), at("f", "south", silent)}
	for name, want := range map[string][]string{"b": {"a", "c", "e"}, "a": nil, "z": nil, "f": {"e"}} {
		others, err := planForget(answers, name)
		var got []string
		for _, n := range others {
			got = append(got, string(n.Name))
		}
		if diff := cmp.Diff(want, got); diff != "" || (err == nil) != (want != nil) {
			t.Errorf("%s: %v %s", name, err, diff)
		}
	}
}

// TestNodesSeen guards against members that are lost or get the wrong admin
// listener while the platform cannot be reached.
func TestNodesSeen(t *testing.T) {
	status := admin.Status{Node: "a", Region: "north"}.WithMembers(
		admin.Member{Name: "a", Address: "10.0.0.1:8081"}, admin.Member{Name: "b", Address: "10.0.0.2:8081"}, admin.Member{Name: "c", Address: "lost"})
	nodes := nodesSeen([]answer{{node: node{Member: model.Member{Name: "a"}}, status: status}}, nil, 9000)
	var got []string
	for _, n := range nodes {
		got = append(got, string(n.Name)+" "+string(n.region)+" "+n.Address+" "+n.admin.String())
	}
	want := []string{"a north 10.0.0.1:8081 invalid AddrPort", "b north 10.0.0.2:8081 10.0.0.2:9000", "c north lost invalid AddrPort"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
