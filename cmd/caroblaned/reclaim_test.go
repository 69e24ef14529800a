package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestReclaimOfZone guards against lost responses and new work on leaving upstreams
// when the platform reclaims all cheap upstreams of an availability zone: it lists
// their VMs as leaving, and they stop shortly afterwards while their streams are open.
func TestReclaimOfZone(t *testing.T) {
	t.Parallel()
	const tokens, streams = 1500, 6
	in := startInstallation(t, 2)
	var cheap []string
	var processes []*process
	for i := range 2 {
		// VMs are identified by IP address, so each engine gets its own.
		cheap = append(cheap, in.startFake("engine", "--listen", fmt.Sprintf("127.0.0.%d:0", 201+i)))
		processes = append(processes, in.fakes[len(in.fakes)-1])
		in.writeObject("Upstream", fmt.Sprintf("cheap-%d", i), map[string]any{
			"Kind": "Engine", "Address": cheap[i], "Zone": "b", "Models": []string{modelName}, "Slots": 16, "Cheap": true,
		})
	}
	in.writeObject("Template", "account", map[string]any{"Rate": 1000, "Burst": 1000, "CheapShare": 1})
	for i, engine := range in.engines {
		in.writeObject("Upstream", fmt.Sprintf("engine-%d", i), map[string]any{
			"Kind": "Engine", "Address": engine, "Zone": "a", "Models": []string{modelName}, "Slots": 16, "State": "Draining",
		})
	}
	in.waitInForce("Upstream", "engine-1")
	done := make(chan result, streams)
	for i := range streams {
		go func() { done <- in.chat(i%2, tokens) }()
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
		// The other engines are draining, so a node that excludes the leaving
		// engines has no upstream for a request.
		in.waitWithin(10*time.Second, "the node sends no new work to the leaving engines", func() bool {
			return in.chat(node, 1).errorBody() == errorBody{"NoUpstream", "NotRun"}
		})
	}
	before := submitted()
	for i, engine := range in.engines {
		in.writeObject("Upstream", fmt.Sprintf("engine-%d", i), map[string]any{
			"Kind": "Engine", "Address": engine, "Zone": "a", "Models": []string{modelName}, "Slots": 16, "State": "Active",
		})
	}
	in.waitInForce("Upstream", "engine-1")
	for node := range in.nodes {
		if err := checkStream(in.chat(node, 1), 1); err != nil {
			t.Errorf("node %d: %v", node, err)
		}
	}
	if n := submitted() - before; n != 0 {
		t.Errorf("the leaving engines received %d requests", n)
	}
	if len(done) > 0 {
		t.Fatal("a stream ended before the engines were stopped")
	}
	for _, p := range processes {
		p.kill()
	}
	for range streams {
		if err := checkStream(<-done, tokens); err != nil {
			t.Errorf("stream on a reclaimed engine: %v", err)
		}
	}
}
