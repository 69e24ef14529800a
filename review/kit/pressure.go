//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"time"
)

const (
	// quotaWindow, quotaOvershoot and quotaSlack are those of the settings.
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 140_000
	// requestTokens is what each request counts, and hotRate the number of requests a second
	// of the client account. Together they are nine times its usual, if its limit is 1.8
	// times its usual as on the sites.
	requestTokens = 10_000
	hotRate       = 50
)

// press sends requests of one client account to nodes in turn, at a rate, until the
// function that it returns is called.
func (in *installation) press(ctx context.Context, nodes []*node, perSecond int) (stop func()) {
	loadCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c := in.newCaller()
		c.nodes, c.tokens = nodes, fmt.Sprintf("%d,0", requestTokens)
		in.rec.say("answers by status: %v", counts(c.load(loadCtx, perSecond, "POST", "/confirm/")))
	}()
	return func() {
		cancel()
		<-done
	}
}

// overLimit reports whether more ran in some window than a limit allows with all slack.
func (in *installation) overLimit(rate, burst float64) bool {
	most := in.mostInWindow()
	limit := (rate*quotaWindow.Seconds()+burst)*(1+quotaOvershoot) + quotaSlack
	in.rec.say("%d tokens ran in some %v, the limit with all slack is %.0f", most, quotaWindow, limit)
	return float64(most) > limit
}

// mostInWindow returns the most tokens that began to run in a window.
func (in *installation) mostInWindow() int {
	var runs []time.Time
	for _, w := range in.workers {
		for _, a := range w.ran() {
			runs = append(runs, a.at)
		}
	}
	sortTimes(runs)
	most, first := 0, 0
	for i, at := range runs {
		for at.Sub(runs[first]) > quotaWindow {
			first++
		}
		most = max(most, (i-first+1)*requestTokens)
	}
	return most
}

func sortTimes(times []time.Time) { slices.SortFunc(times, time.Time.Compare) }
