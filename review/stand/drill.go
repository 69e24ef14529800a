//go:build review

package main

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["usage-after-drill"] = usageAfterDrill
	cases["drain-after-drill"] = drainAfterDrill
	cases["config-after-drill"] = configAfterDrill
}

// The drill of the store: how old the copy is and how long the store is away.
const (
	copyAge = 5 * time.Second
	awayFor = time.Second
)

// warmUp is how long the installation runs before the drill.
const warmUp = 10 * time.Second

// start starts the installation with a configuration.
func (d *deployment) start(config map[string]any, workers []*worker) {
	d.store.put("config", "main", config)
	for _, w := range workers {
		w.start()
	}
	for _, n := range d.nodes {
		n.start()
	}
	for _, n := range d.nodes {
		n.waitReady(15 * time.Second)
	}
}

// drainAfterDrill lets a worker leave some seconds after a drill of the store.
func drainAfterDrill(log *record, trouble bool) int {
	d := newDeployment(log)
	defer d.close()
	for _, zone := range []string{"za", "zb", "zc"} {
		d.addNode(zone)
	}
	workers := []*worker{d.newWorker("i-1", "app", "za"), d.newWorker("i-2", "app", "zb"), d.newWorker("i-3", "app", "zc")}
	d.start(config(1), workers)
	time.Sleep(warmUp)
	for _, n := range d.nodes {
		need(n.send(http.MethodGet, "/read/1", key, 2*time.Second, nil).status == http.StatusOK, "no answer before the drill")
	}
	if trouble {
		d.store.drill(copyAge, awayFor)
	}
	// The core is stable again after contactMs.
	time.Sleep(contact + time.Second)
	for _, n := range d.nodes {
		need(n.send(http.MethodGet, "/read/2", key, 2*time.Second, nil).status == http.StatusOK, "no answer after the drill")
	}
	acknowledged := workers[0].drain()
	time.Sleep(drainBound + time.Second)
	bound := time.Now()
	log.add("client: from here on, %v after the store accepted the report, requests are sent", bound.Sub(acknowledged))
	sent := 0
	for round := range 6 {
		for _, n := range d.nodes {
			n.send(http.MethodPost, fmt.Sprintf("/send/%d", round), key, 2*time.Second, []byte("x"))
			sent++
		}
		time.Sleep(200 * time.Millisecond)
	}
	late := workers[0].runsAfter(bound)
	log.add("revision of the store: %d", d.store.revision())
	return log.verdict(len(late) > 0, "DRAIN: %d of %d requests sent over %v after the store accepted that i-1 is draining ran there; drainMs is %v",
		len(late), sent, bound.Sub(acknowledged).Round(time.Millisecond), drainBound)
}

// configAfterDrill changes the configuration shortly before and some seconds after a drill of
// the store.
func configAfterDrill(log *record, trouble bool) int {
	d := newDeployment(log)
	defer d.close()
	for _, zone := range []string{"za", "zb", "zc"} {
		d.addNode(zone)
	}
	public := func(c map[string]any) { c["routes"].([]map[string]any)[0]["public"] = true }
	moved := func(c map[string]any) { c["routes"].([]map[string]any)[0]["service"] = "app2" }
	timeout := func(c map[string]any) { c["routes"].([]map[string]any)[1]["timeoutMs"] = 2500 }
	workers := []*worker{d.newWorker("i-1", "app", "za"), d.newWorker("i-2", "app", "zb"), d.newWorker("i-3", "app2", "zc")}
	d.start(config(1, public), workers)
	time.Sleep(warmUp)
	d.store.put("config", "main", config(4, public, timeout))
	log.add("operator: version 4 accepted at revision %d: another time-out", d.store.revision())
	time.Sleep(applyBound + time.Second)
	for _, n := range d.nodes {
		need(n.send(http.MethodGet, "/read/1", "", 2*time.Second, nil).status == http.StatusOK, "no answer before the drill")
	}
	if trouble {
		d.store.drill(copyAge, awayFor)
	}
	time.Sleep(contact + time.Second)
	d.store.put("config", "main", config(7, public, timeout, moved))
	acknowledged := time.Now()
	log.add("operator: version 7 accepted at revision %d: /read/ moves to app2", d.store.revision())
	time.Sleep(applyBound + 2*time.Second)
	bound := time.Now()
	sent, refused := 0, 0
	for round := range 6 {
		for _, n := range d.nodes {
			n.send(http.MethodGet, fmt.Sprintf("/read/%d", round), "", 2*time.Second, nil)
			sent++
			if n.send(http.MethodPost, fmt.Sprintf("/send/%d", round), key, 2*time.Second, []byte("x")).status == http.StatusServiceUnavailable {
				refused++
			}
		}
	}
	ready := 0
	for _, n := range d.nodes {
		if n.isReady() {
			ready++
		}
	}
	late := 0
	for _, w := range workers[:2] {
		for _, r := range w.runsAfter(bound) {
			if r.path[:6] == "/read/" {
				late++
			}
		}
	}
	log.add("requests with a key: %d of %d refused with 503; ready nodes: %d of %d; revision of the store: %d",
		refused, sent, ready, len(d.nodes), d.store.revision())
	return log.verdict(late > 0, "CONFIG: %d of %d requests on /read/, sent over %v after version 7 was accepted, ran at the service of version 4; configApplyMs is %v. Requests with a key: %d of %d refused with 503; ready nodes: %d of %d",
		late, sent, bound.Sub(acknowledged).Round(time.Millisecond), applyBound, refused, sent, ready, len(d.nodes))
}

// load sends requests at all nodes in turn until it is stopped.
func (d *deployment) load(pause time.Duration) (stop func()) {
	end := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-end:
				return
			case <-time.After(pause):
			}
			if n := d.nodes[i%len(d.nodes)]; n.running() {
				n.send(http.MethodGet, fmt.Sprintf("/read/%d", i), key, 2*time.Second, nil)
			}
		}
	})
	return func() {
		close(end)
		running.Wait()
	}
}

// usageAfterDrill restarts one node some seconds after a drill of the store.
func usageAfterDrill(log *record, trouble bool) int {
	d := newDeployment(log)
	defer d.close()
	for _, zone := range []string{"za", "zb", "zc"} {
		d.addNode(zone)
	}
	workers := []*worker{d.newWorker("i-1", "app", "za"), d.newWorker("i-2", "app", "zb"), d.newWorker("i-3", "app", "zc")}
	d.start(config(1), workers)
	stop := d.load(40 * time.Millisecond)
	defer stop()
	time.Sleep(warmUp)
	known := len(d.duties.reports())
	for end := time.Now().Add(30 * time.Second); len(d.duties.reports()) < known+2; time.Sleep(10 * time.Millisecond) {
		need(time.Now().Before(end), "no usage was reported")
	}
	last := d.duties.reports()[known+1]
	time.Sleep(500 * time.Millisecond)
	if trouble {
		d.store.drill(copyAge, awayFor)
	}
	time.Sleep(contact + time.Second)
	restarted := d.nodes[0]
	if restarted.name == last.holder {
		restarted = d.nodes[1]
	}
	restarted.signal(syscall.SIGTERM)
	need(restarted.waitEnd(10*time.Second), "%s did not end after SIGTERM", restarted.name)
	restarted.start()
	restarted.waitReady(15 * time.Second)
	time.Sleep(20 * time.Second)
	seen := map[int64]usage{}
	var differing []string
	for _, u := range d.duties.reports() {
		first, found := seen[u.window]
		if !found {
			seen[u.window] = u
		} else if !maps.Equal(first.counts, u.counts) {
			differing = append(differing, fmt.Sprintf("window %d: %v of %s with fence %d, then %v of %s with fence %d",
				u.window, first.counts, first.holder, first.fence, u.counts, u.holder, u.fence))
		}
	}
	for _, line := range differing {
		log.add("%s", line)
	}
	log.add("lease in the store: %s", d.store.spec("Lease", "duties"))
	return log.verdict(len(differing) > 0, "ONE: %d windows were reported twice with different counts, and both reports were accepted: %v", len(differing), differing)
}
