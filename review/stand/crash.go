//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crashes-after-kills"] = crashesAfterKills }

// The case of a request that crashes workers: how long a worker is away after a crash, how often all
// machines are killed, and how long after a start machines are in touch.
const (
	workerAway  = 2 * time.Second
	allKills    = 3
	inTouch     = contact + time.Second
	deadlyPath  = "/send/deadly"
	deadlyTries = 4
)

// crashesAfterKills sends a request that crashes workers again and again, and kills all machines
// several times.
func crashesAfterKills(log *record, trouble bool) int {
	d := newDeployment(log)
	defer d.close()
	for _, zone := range []string{"za", "zb", "zc"} {
		d.addNode(zone)
	}
	var mu sync.Mutex
	var crashes []time.Time
	var workers []*worker
	for i := range 4 {
		w := d.newWorker(fmt.Sprintf("i-%d", i+1), "app", []string{"za", "zb", "zc"}[i%3])
		w.handle = func(rw http.ResponseWriter, r *http.Request) {
			if !strings.HasPrefix(r.URL.Path, deadlyPath) {
				rw.Header().Set("X-Caroblane-Server-Stamp", "stamp."+w.id)
				_, _ = rw.Write([]byte("ok"))
				return
			}
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			log.add("worker %s crashes", w.id)
			go func() {
				_ = w.server.Close()
				time.Sleep(workerAway)
				w.born = time.Now().UnixMilli()
				w.start()
			}()
			time.Sleep(100 * time.Millisecond)
		}
		workers = append(workers, w)
	}
	d.start(config(1), workers)
	body := []byte("the same body each time")
	for kill := range allKills + 1 {
		time.Sleep(inTouch)
		for range deadlyTries {
			for _, n := range d.nodes[:1] {
				n.send(http.MethodPost, deadlyPath, key, 2*time.Second, body)
			}
			time.Sleep(workerAway + 1500*time.Millisecond)
		}
		if !trouble || kill == allKills {
			continue
		}
		for _, n := range d.nodes {
			n.signal(syscall.SIGKILL)
		}
		for _, n := range d.nodes {
			n.waitEnd(time.Second)
		}
		time.Sleep(time.Second)
		for _, n := range d.nodes {
			n.start()
		}
		for _, n := range d.nodes {
			n.waitReady(15 * time.Second)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, at := range crashes {
		if i > 2 && at.After(crashes[2].Add(contact)) {
			late++
		}
	}
	return log.verdict(late > 3, "BUDGET: the request crashed workers %d times, %d of them later than %v after the third; 3 are allowed",
		len(crashes), late, contact)
}
