//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["poll-after-crashes"] = pollAfterCrashes }

// The case of a client that polls: how many pollers there are, the pause of each, the key of their
// tenant, and how long the case sends.
const (
	pollers      = 24
	pollPause    = 30 * time.Millisecond
	pollerKey    = "key-of-tenant-y-0123456789"
	pollDuration = 70 * time.Second
	pollWork     = 15 * time.Millisecond
)

// pollAfterCrashes lets two workers crash, one after the other, while the clients of a tenant ask for
// one path again and again and those of another tenant for many.
func pollAfterCrashes(log *record, trouble bool) int {
	d := newDeployment(log)
	defer d.close()
	d.addNode("za")
	d.addNode("zb")
	var workers []*worker
	for i := range 4 {
		w := d.newWorker(fmt.Sprintf("i-%d", i+1), "app", []string{"za", "zb"}[i%2])
		w.work = pollWork
		workers = append(workers, w)
	}
	c := config(1)
	c["tenants"] = []map[string]any{{"name": tenant, "apiKeys": []string{key}}, {"name": "tenant-y", "apiKeys": []string{pollerKey}}}
	d.start(c, workers)
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	polled, others := map[int]int{}, map[int]int{}
	end := time.Now().Add(pollDuration)
	var running sync.WaitGroup
	ask := func(k int, apiKey string, counts map[int]int, path func(i int) string) {
		running.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				status := d.nodes[(i+k)%len(d.nodes)].send(http.MethodGet, path(i), apiKey, 2*time.Second, nil).status
				mu.Lock()
				counts[status]++
				mu.Unlock()
				time.Sleep(pollPause)
			}
		})
	}
	for k := range pollers {
		ask(k, pollerKey, polled, func(int) string { return "/read/status" })
		ask(k, key, others, func(i int) string { return fmt.Sprintf("/read/%d-%d", k, i) })
	}
	for _, w := range workers[:2] {
		time.Sleep(3 * time.Second)
		if !trouble {
			continue
		}
		log.add("worker %s crashes", w.id)
		_ = w.server.Close()
		time.Sleep(3 * time.Second)
		w.born = time.Now().UnixMilli()
		w.start()
		log.add("worker %s is back", w.id)
	}
	running.Wait()
	share := func(counts map[int]int) float64 {
		all := 0
		for _, n := range counts {
			all += n
		}
		return float64(counts[http.StatusOK]) / float64(max(1, all))
	}
	all := map[int]int{}
	for _, counts := range []map[int]int{polled, others} {
		for status, n := range counts {
			all[status] += n
		}
	}
	return log.verdict(share(polled) < share(all)/4, "Starved: the tenant that polls one path had %.1f%% of its requests served (%v), all tenants %.1f%%; a quarter of that is the bound",
		100*share(polled), polled, 100*share(all))
}
