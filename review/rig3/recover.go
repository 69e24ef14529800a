//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"caroblane/platform/stub"
)

const (
	// tenantRate and tenantBurst are the limit of the tenant in tokens, requestTokens what each
	// request costs, and requestRate the requests that the clients send in a second: six
	// tenths of the limit.
	tenantRate    = 469_423
	tenantBurst   = 469_423
	requestTokens = 9_000
	requestRate   = 31
	// replacedMachines is the number of machines that are removed for good, one each
	// replaceGap.
	replacedMachines = 30
	replaceGap       = 600 * time.Millisecond
	// calmTime is how long the clients send before the first machine is replaced.
	calmTime = 12 * time.Second
	// recoveryTime is the bound recoveryS, and watchTime how long the clients are served after
	// it.
	recoveryTime = 12 * time.Second
	watchTime    = 25 * time.Second
)

// tally counts requests.
type tally struct{ sent, served, limited, other atomic.Int32 }

func (t *tally) String() string {
	return fmt.Sprintf("sent %d, served %d, 429 %d, other %d", t.sent.Load(), t.served.Load(), t.limited.Load(), t.other.Load())
}

// runRecover shows whether machines that were removed for good keep the others from serving
// after all of them were killed.
func runRecover(r *rig) (int, error) {
	for i := range 4 {
		r.addWorker(fmt.Sprintf("i-desk-%d", i), "desk", fmt.Sprintf("z%d", i%3), 15*time.Millisecond)
	}
	config := plainConfig(1)
	config["tenants"] = []object{{
		"name": "desk-a", "apiKeys": []string{apiKey}, "unit": "tokens", "plainTokens": 200, "ratePerS": tenantRate, "burst": tenantBurst,
	}}
	r.put(stub.KindConfig, stub.ConfigName, config)
	live := make([]*node, 3)
	for i := range live {
		live[i] = r.addNode(i, nil)
	}
	if err := r.awaitReady(20 * time.Second); err != nil {
		return codeUnable, err
	}
	var mu sync.Mutex // Guards live.
	var before, back, after tally
	now := &before
	var phase sync.Mutex // Guards now.
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			case <-time.After(time.Second / requestRate):
			}
			mu.Lock()
			n := live[i%len(live)]
			mu.Unlock()
			phase.Lock()
			t := now
			phase.Unlock()
			clients.Go(func() {
				id := fmt.Sprintf("read-%d", i)
				text := strings.Replace(head("GET", "/read/1", id, 0), "\r\nAuthorization", fmt.Sprintf("\r\nX-Caroblane-Token-Count: %d,0\r\nAuthorization", requestTokens), 1)
				t.sent.Add(1)
				status, _, err := dialer{4 * time.Second}.once(n.front, text, nil)
				r.line("client: %s at %s has status %d, %v", id, n.name, status, err)
				switch {
				case err == nil && status == http.StatusOK:
					t.served.Add(1)
				case status == http.StatusTooManyRequests:
					t.limited.Add(1)
				default:
					t.other.Add(1)
				}
			})
		}
	})
	enter := func(t *tally) {
		phase.Lock()
		defer phase.Unlock()
		now = t
	}
	time.Sleep(calmTime)
	for k := range replacedMachines {
		begun := time.Now()
		if r.trouble {
			old := live[k%len(live)]
			// The machine falls silent for good. Another one comes at another address.
			old.signal(syscall.SIGSTOP)
			next := r.addNode(len(live)+k, nil)
			for !next.isReady() && time.Since(begun) < 5*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			mu.Lock()
			live[k%len(live)] = next
			mu.Unlock()
		}
		time.Sleep(max(0, replaceGap-time.Since(begun)))
	}
	r.line("final fault: all processes are killed")
	enter(&back)
	for _, n := range live {
		<-n.signal(syscall.SIGKILL)
	}
	time.Sleep(restartDelay)
	for _, n := range live {
		n.start()
	}
	for _, n := range live {
		for !n.isReady() {
			time.Sleep(20 * time.Millisecond)
		}
		r.line("node %s: ready again", n.name)
	}
	time.Sleep(recoveryTime)
	enter(&after)
	time.Sleep(watchTime)
	close(stopped)
	clients.Wait()
	r.summary("before the final fault: %s", &before)
	r.summary("until %v after the machines were back: %s", recoveryTime, &back)
	r.summary("in the %v after that: %s", watchTime, &after)
	if before.served.Load()*4 < before.sent.Load() {
		return codeUnable, fmt.Errorf("less than a quarter was served before the final fault")
	}
	if after.served.Load()*4 < after.sent.Load() {
		return codeBroken, nil
	}
	return codeHeld, nil
}
