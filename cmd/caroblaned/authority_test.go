package main

import (
	"strings"
	"testing"
)

// leaseHolders counts the nodes that take themselves for the lease holder.
func (in *installation) leaseHolders() int {
	holders := 0
	for _, node := range in.nodes {
		if strings.Contains(httpText(in.t, "http://"+node.admin+"/metrics"), "caroblane_lease_held 1\n") {
			holders++
		}
	}
	return holders
}

// Guards against nodes that run without a lease holder, and against a killed
// holder that is never replaced.
func TestLeaseHolderIsReplaced(t *testing.T) {
	in := install(t, 3)
	in.eventually("one node holds the lease", func() bool { return in.leaseHolders() == 1 })
	for i, node := range in.nodes {
		if strings.Contains(httpText(t, "http://"+node.admin+"/metrics"), "caroblane_lease_held 1\n") {
			in.nodes[i].kill()
			in.nodes = append(in.nodes[:i], in.nodes[i+1:]...)
			break
		}
	}
	in.eventually("another node holds the lease", func() bool { return in.leaseHolders() == 1 })
}
