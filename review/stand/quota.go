//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["quota-after-removal"] = quotaAfterRemoval
}

// The limit of the tenant, in tokens, and the bounds of its window.
const (
	ratePerS     = 400_000
	burst        = 200_000
	tokens       = 10_000
	quotaWindow  = 8 * time.Second
	quotaAllowed = (ratePerS*8+burst)*1.1 + 140_000
)

// The installation of this case: how many nodes it has, how many of them are in the first zone, the
// pause between two requests at a node, and how long the tenant sends. Together the nodes get at
// most 5.3 times the limit.
const (
	quotaNodes    = 17
	smallZone     = 3
	quotaPause    = 80 * time.Millisecond
	quotaDuration = 95 * time.Second
)

// limited sets the limit of the tenant.
func limited(c map[string]any) {
	t := c["tenants"].([]map[string]any)[0]
	t["unit"], t["plainTokens"], t["ratePerS"], t["burst"] = "tokens", 1000, ratePerS, burst
}

// quotaAfterRemoval lets a tenant send many times its limit to all nodes, and stops one of them
// for good.
func quotaAfterRemoval(log *record, trouble bool) int {
	d := newDeployment(log)
	defer d.close()
	for i := range quotaNodes {
		d.addNode([]string{"za", "zb"}[min(i/smallZone, 1)])
	}
	var workers []*worker
	for i := range 4 {
		workers = append(workers, d.newWorker(fmt.Sprintf("i-%d", i+1), "app", []string{"za", "zb"}[i%2]))
	}
	d.start(config(1, limited), workers)
	time.Sleep(8 * time.Second)
	type sample struct{ sent, ran time.Time }
	var mu sync.Mutex
	var samples []sample
	sentAt := map[string]time.Time{}
	end := time.Now().Add(quotaDuration)
	var running sync.WaitGroup
	removed := d.nodes[0]
	for _, n := range d.nodes {
		running.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				if n == removed && trouble {
					return
				}
				at := time.Now()
				r := n.sendTokens(fmt.Sprintf("/read/%d", i))
				mu.Lock()
				sentAt[r.id] = at
				mu.Unlock()
				time.Sleep(quotaPause)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		removed.signal(syscall.SIGTERM)
		need(removed.waitEnd(12*time.Second), "%s did not end after SIGTERM", removed.name)
	}
	running.Wait()
	for _, w := range workers {
		for _, r := range w.runsAfter(time.Time{}) {
			if at, found := sentAt[r.id]; found {
				samples = append(samples, sample{at, r.at})
			}
		}
	}
	slices.SortFunc(samples, func(a, b sample) int { return a.sent.Compare(b.sent) })
	most, when, over := 0, time.Time{}, 0
	for i, first := range samples {
		sum := 0
		for _, s := range samples[i:] {
			if s.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if s.ran.Sub(first.sent) <= quotaWindow {
				sum += tokens
			}
		}
		if sum > most {
			most, when = sum, first.sent
		}
		if float64(sum) > quotaAllowed {
			over++
		}
	}
	return log.verdict(float64(most) > quotaAllowed, "QUOTA: %d tokens of the tenant were sent and ran within %v, from %.1f s on; allowed are %.0f, the limit is %d; %d windows of %d are above",
		most, quotaWindow, when.Sub(log.begin).Seconds(), quotaAllowed, ratePerS*8+burst, over, len(samples))
}

// sendTokens sends a request that states its tokens.
func (n *node) sendTokens(path string) reply {
	return n.sendWith(http.MethodGet, path, key, 2*time.Second, nil, map[string]string{"X-Caroblane-Token-Count": fmt.Sprintf("%d,%d", tokens-1000, 1000)})
}
