package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against answers that are lost, and new work that is sent, when the
// cheap upstreams of a whole availability zone are reclaimed: the platform
// lists their VMs as leaving, and they are gone a moment later.
func TestReclaimOfZone(t *testing.T) {
	t.Parallel()
	const tokens, streams = 1500, 6
	in := install(t, 2)
	var cheap []string
	var processes []*process
	for i := range 2 {
		// Each engine has a VM of its own.
		cheap = append(cheap, in.standIn("engine", "--listen", fmt.Sprintf("127.0.0.%d:0", 201+i)))
		processes = append(processes, in.standIns[len(in.standIns)-1])
		in.write("Upstream", fmt.Sprintf("cheap-%d", i), map[string]any{
			"Kind": "Engine", "Address": cheap[i], "Zone": "b", "Models": []string{modelName}, "Slots": 16, "Cheap": true,
		})
	}
	in.write("Template", "account", map[string]any{"Rate": 1000, "Burst": 1000, "CheapShare": 1})
	for i, engine := range in.engines {
		in.write("Upstream", fmt.Sprintf("engine-%d", i), map[string]any{
			"Kind": "Engine", "Address": engine, "Zone": "a", "Models": []string{modelName}, "Slots": 16, "State": "Draining",
		})
	}
	in.inForce("Upstream", "engine-1")
	ended := make(chan answer, streams)
	for i := range streams {
		go func() { ended <- in.chat(i%2, tokens) }()
	}
	submitted := func() int { return in.engineStats(cheap[0]).Submitted + in.engineStats(cheap[1]).Submitted }
	in.eventually("the cheap engines run the streams", func() bool { return submitted() == streams })
	list := `{"Vms":[{"Name":"c0","Address":"127.0.0.201","Leaving":true},{"Name":"c1","Address":"127.0.0.202","Leaving":true}]}`
	response, err := http.Post("http://"+in.store+"/vms", "application/json", strings.NewReader(list))
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	for node := range in.nodes {
		// The other engines are drained, so that a request which would go to a
		// leaving one finds none.
		in.within(10*time.Second, "the node sends no new work to the leaving engines", func() bool {
			return in.chat(node, 1).refusal() == refusal{"NoUpstream", "NotRun"}
		})
	}
	before := submitted()
	for i, engine := range in.engines {
		in.write("Upstream", fmt.Sprintf("engine-%d", i), map[string]any{
			"Kind": "Engine", "Address": engine, "Zone": "a", "Models": []string{modelName}, "Slots": 16, "State": "Active",
		})
	}
	in.inForce("Upstream", "engine-1")
	for node := range in.nodes {
		if err := wholeStream(in.chat(node, 1), 1); err != nil {
			t.Errorf("node %d: %v", node, err)
		}
	}
	if n := submitted() - before; n != 0 {
		t.Errorf("the leaving engines got %d requests", n)
	}
	if len(ended) > 0 {
		t.Fatal("a stream ended before the engines were gone")
	}
	for _, p := range processes {
		p.kill()
	}
	for range streams {
		if err := wholeStream(<-ended, tokens); err != nil {
			t.Errorf("stream of a reclaimed engine: %v", err)
		}
	}
}
