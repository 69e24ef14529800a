//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"caroblane/platform/stub"
)

const (
	// pauseSeconds is the Retry-After of a worker that has just started.
	pauseSeconds = 6
	// pauseSlack is the time after the answer in which requests may still arrive, and
	// maxInPause the number of those that may arrive in the rest of the pause.
	pauseSlack = 500 * time.Millisecond
	maxInPause = 2
	// downFor is how long the worker is down, and heartbeat the time until it writes its
	// entry.
	downFor   = 1200 * time.Millisecond
	heartbeat = 1200 * time.Millisecond
	rounds    = 3
)

// pausing is a worker that turns requests away for pauseSeconds, and says so once to each
// node.
type pausing struct {
	mu    sync.Mutex
	until time.Time
	// told is when each node was told of the pause, and late the requests that arrived from
	// it later than pauseSlack after that.
	told map[string]time.Time
	late map[string]int
}

// begin begins a pause.
func (p *pausing) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until, p.told, p.late = time.Now().Add(pauseSeconds*time.Second), map[string]time.Time{}, map[string]int{}
}

// answer turns a request away, or returns false if there is no pause.
func (p *pausing) answer(out http.ResponseWriter, node string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if !now.Before(p.until) {
		return false
	}
	told, known := p.told[node]
	if !known {
		p.told[node] = now
		out.Header().Set("Retry-After", fmt.Sprintf("%.3f", p.until.Sub(now).Seconds()))
	} else if now.Sub(told) > pauseSlack {
		p.late[node]++
	}
	out.Header().Set(stub.HeaderNotExecuted, "1")
	out.WriteHeader(http.StatusServiceUnavailable)
	return true
}

func init() { scenarios["pause-forgotten"] = entry{pauseForgotten, plainSite} }

// pauseForgotten lets a worker crash and start again under its id. It asks for a pause
// before its entry says that it is another process.
func pauseForgotten(ctx context.Context, in *installation) (bool, error) {
	var workers []*worker
	for i := range 6 {
		w, err := in.newWorker(ctx, fmt.Sprintf("i-%d", i+1), 6, 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	w, p := workers[5], &pausing{}
	w.handle = func(out http.ResponseWriter, a arrival) bool { return p.answer(out, in.nodeOf(a.id)) }
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loaded := make(chan []sent, 1)
	go func() { loaded <- in.newCaller().load(loadCtx, 200, "GET", "/status/") }()
	broken := false
	for round := range rounds {
		sleep(ctx, 5*time.Second)
		if trouble() {
			w.down()
			in.rec.say("round %d: %s crashes", round+1, w.name)
			sleep(ctx, downFor)
		}
		p.begin()
		if trouble() {
			if err := w.listen(); err != nil {
				return false, err
			}
			in.rec.say("%s is back under its id, and asks for a pause", w.name)
			sleep(ctx, heartbeat)
			w.register(ctx, "ready")
			in.rec.say("%s has written its entry", w.name)
		}
		sleep(ctx, time.Until(p.until))
		p.mu.Lock()
		for _, n := range in.nodes {
			in.rec.say("%s was told of the pause: %v; %d requests came from it later than %v after that; allowed: %d", n.name, !p.told[n.name].IsZero(), p.late[n.name], pauseSlack, maxInPause)
			broken = broken || p.late[n.name] > maxInPause
		}
		p.mu.Unlock()
	}
	stopLoad()
	in.rec.say("requests by status: %v", counts(<-loaded))
	return broken, nil
}
