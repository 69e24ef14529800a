//go:build review

package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["fence-after-drill"] = fenceAfterDrill
}

// handoverDelay is how long after a usage report of the first holder it is stopped. The next holder
// has then reported a window before the drill, and held nothing at the time of the copy.
const handoverDelay = 2 * time.Second

// fenceAfterDrill stops and starts the node that holds the duties, with a drill of the store
// shortly after the next holder has taken over.
func fenceAfterDrill(log *record, trouble bool) int {
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
	first := d.duties.nextReport(30 * time.Second)
	holder := d.node(first.holder)
	time.Sleep(time.Until(first.at.Add(handoverDelay)))
	holder.signal(syscall.SIGTERM)
	second := d.duties.nextReport(12 * time.Second)
	need(second.holder != first.holder, "%s was stopped and still reports", first.holder)
	time.Sleep(200 * time.Millisecond)
	log.add("lease in the store: %s", d.store.spec("Lease", "duties"))
	if trouble {
		d.store.drill(copyAge, awayFor)
		log.add("lease in the store: %s", d.store.spec("Lease", "duties"))
	}
	calm := time.Now().Add(contact + time.Second)
	need(holder.waitEnd(10*time.Second), "%s did not end after SIGTERM", holder.name)
	time.Sleep(time.Until(calm))
	holder.start()
	holder.waitReady(15 * time.Second)
	time.Sleep(20 * time.Second)
	log.add("lease in the store: %s", d.store.spec("Lease", "duties"))
	holders := map[uint64]string{}
	var shared []string
	for _, u := range d.duties.reports() {
		before, found := holders[u.fence]
		if holders[u.fence] = u.holder; found && before != u.holder {
			shared = append(shared, fmt.Sprintf("%d by %s, then by %s for window %d", u.fence, before, u.holder, u.window))
		}
	}
	return log.verdict(len(shared) > 0, "ONE: %d times a holder reported usage with the fencing token of another holder, and the reports were accepted: %v", len(shared), shared)
}

// nextReport waits for the next usage report that is accepted.
func (d *duties) nextReport(limit time.Duration) usage {
	known := len(d.reports())
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if reports := d.reports(); len(reports) > known {
			return reports[known]
		}
	}
	panic(failure{"no usage was reported"})
}

// node returns the node of a name.
func (d *deployment) node(name string) *node {
	for _, n := range d.nodes {
		if n.name == name {
			return n
		}
	}
	panic(failure{"no node is named " + name})
}
