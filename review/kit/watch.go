//go:build review

package main

import (
	"context"
	"slices"
	"time"

	"caroblane/platform/stub"
)

const (
	// drainTerm is drainMs of the settings.
	drainTerm = 2 * time.Second
	// cutPause is the time between two cuts of the watches.
	cutPause = 1500 * time.Millisecond
	// servesOn is how long a worker serves after its entry was removed.
	servesOn = 10 * time.Second
)

func init() { scenarios["cut-watch"] = entry{cutWatch, plainSite} }

// cutWatch removes the entries of two workers, and counts the requests that reach them too
// late. The store cuts off the watches that wait once when it removes the first entry, and
// again every cutPause when it removes the second one.
func cutWatch(ctx context.Context, in *installation) (bool, error) {
	var workers []*worker
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4", "i-5"} {
		w, err := in.newWorker(ctx, name, 6, 15*time.Millisecond)
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	reads, sends := make(chan []sent, 1), make(chan []sent, 1)
	go func() { reads <- in.newCaller().load(loadCtx, 40, "GET", "/status/") }()
	go func() { sends <- in.newCaller().load(loadCtx, 40, "POST", "/confirm/") }()
	sleep(ctx, 5*time.Second)
	once := in.leave(ctx, workers[3], false)
	sleep(ctx, 5*time.Second)
	often := in.leave(ctx, workers[4], true)
	stopLoad()
	all := slices.Concat(<-reads, <-sends)
	in.rec.say("%d requests were sent, answers by status: %v", len(all), counts(all))
	return once+often > 0, nil
}

// leave removes the entry of a worker, which serves on for servesOn, and returns the number
// of requests that reach it too late.
func (in *installation) leave(ctx context.Context, w *worker, cutAgain bool) (late int) {
	in.cut()
	sleep(ctx, 20*time.Millisecond)
	in.store.Remove(ctx, stub.KindServers, w.name)
	removedAt := time.Now()
	in.rec.say("the removal of the entry of %s is acknowledged", w.name)
	for time.Since(removedAt) < servesOn {
		sleep(ctx, cutPause)
		if cutAgain {
			in.cut()
		}
	}
	w.down()
	in.rec.say("%s has ended", w.name)
	last := time.Duration(0)
	for _, a := range w.ran() {
		if after := a.at.Sub(removedAt); after > drainTerm {
			late, last = late+1, after
		}
	}
	in.rec.say("%d requests reached %s later than %v after the removal, the last one %v after it", late, w.name, drainTerm, last)
	return late
}

// cut cuts off the watches that wait.
func (in *installation) cut() {
	if trouble() {
		in.rec.say("the store cuts off %d watches", in.front.cutWatches())
	}
}
