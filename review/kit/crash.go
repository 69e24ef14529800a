//go:build review

package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	// contactTerm is contactMs of the settings.
	contactTerm = 3 * time.Second
	// crashedFor is how long a worker is down after a crash.
	crashedFor = 2 * time.Second
	// maxLateRuns is the number of runs that the rule allows after the third crash.
	maxLateRuns = 3
	// kills is how often the node is killed, tries how often the request comes between two
	// kills, and retryPause the time between two tries.
	kills      = 3
	tries      = 4
	retryPause = 3500 * time.Millisecond
	poisonPath = "/confirm/poison"
)

func init() { scenarios["crash-count"] = entry{crashCount, plainSite} }

// crashCount sends a request again and again that crashes the worker that runs it, while
// the node that takes it is killed and started again a few times.
func crashCount(ctx context.Context, in *installation) (bool, error) {
	for i := range 4 {
		w, err := in.newWorker(ctx, fmt.Sprintf("i-%d", i+1), 6, 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		w.handle = func(out http.ResponseWriter, a arrival) bool {
			if a.path != poisonPath {
				return false
			}
			in.rec.say("%s crashes of %s", w.name, a.id)
			go func() {
				w.down()
				sleep(ctx, crashedFor)
				if err := w.up(ctx); err != nil {
					in.rec.say("%s cannot start: %v", w.name, err)
				}
			}()
			<-time.After(crashedFor)
			panic(http.ErrAbortHandler)
		}
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	loaded := make(chan []sent, 1)
	go func() { loaded <- in.newCaller().load(loadCtx, 20, "GET", "/status/") }()
	sleep(ctx, 4*time.Second)
	target, caller := in.nodes[0], in.newCaller()
	for round := range kills + 1 {
		for range tries {
			// The node is in touch once it has been running for contactTerm.
			sleep(ctx, contactTerm+200*time.Millisecond-target.runsFor())
			s := caller.send(ctx, target, "POST", poisonPath, "", "the same body")
			in.rec.say("the request comes again, round %d: %s is answered %d", round+1, s.id, s.status)
			sleep(ctx, retryPause)
		}
		if round < kills && trouble() {
			target.kill()
			sleep(ctx, 500*time.Millisecond)
			if err := target.start(); err != nil {
				return false, err
			}
			if err := target.awaitReady(ctx); err != nil {
				return false, err
			}
			in.rec.say("%s was killed and is back", target.name)
		}
	}
	stopLoad()
	in.rec.say("other requests by status: %v", counts(<-loaded))
	return in.tooManyLateRuns(), nil
}

// tooManyLateRuns judges the runs of the request that crashes workers.
func (in *installation) tooManyLateRuns() bool {
	var runs []time.Time
	for _, w := range in.workers {
		for _, a := range w.ran() {
			if a.path == poisonPath {
				runs = append(runs, a.at)
			}
		}
	}
	sortTimes(runs)
	late := 0
	for i, at := range runs {
		if i >= 3 && at.Sub(runs[2]) > contactTerm {
			late++
		}
	}
	in.rec.say("the request reached workers %d times, %d of them later than %v after the third crash; allowed: %d", len(runs), late, contactTerm, maxLateRuns)
	return late > maxLateRuns
}
