//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

const (
	quotaRate  = 100_000
	quotaBurst = 1_000_000
	// burstTime is the time for which the account sends before the nodes are killed.
	burstTime = 1700 * time.Millisecond
)

func init() { scenarios["quota-kill"] = entry{quotaKill, quotaSite} }

// quotaSite is the configuration with a limit that callers reach.
func quotaSite() object { return site(quotaRate, quotaBurst) }

// quotaKill lets a client account use a part of its burst, kills all nodes at the same
// moment and starts them again, and adds up what runs in each window.
func quotaKill(ctx context.Context, in *installation) (bool, error) {
	for i := range 4 {
		if _, err := in.newWorker(ctx, fmt.Sprintf("i-%d", i+1), 64, 5*time.Millisecond); err != nil {
			return false, err
		}
	}
	sleep(ctx, 10*time.Second)
	stop := in.press(ctx, in.nodes, hotRate)
	sleep(ctx, burstTime)
	if trouble() {
		for _, n := range in.nodes {
			n.signalKill()
		}
		in.rec.say("all nodes are killed")
		sleep(ctx, 300*time.Millisecond)
		for _, n := range in.nodes {
			n.kill()
			if err := n.start(); err != nil {
				return false, err
			}
		}
	}
	sleep(ctx, quotaWindow)
	stop()
	return in.overLimit(quotaRate, quotaBurst), nil
}
