package main

import (
	"strings"
	"testing"
)

// leaseHolders returns the number of nodes that report that they hold the lease.
func (in *installation) leaseHolders() int {
	holders := 0
	for _, node := range in.nodes {
		if strings.Contains(getText(in.t, "http://"+node.admin+"/metrics"), "caroblane_lease_held 1\n") {
			holders++
		}
	}
	return holders
}

// TestLeaseHolderIsReplaced guards against two holders of the lease, and against a
// lease without a holder after the holder was killed and could not release it.
func TestLeaseHolderIsReplaced(t *testing.T) {
	in := startInstallation(t, 3)
	in.eventually("one node holds the lease", func() bool { return in.leaseHolders() == 1 })
	for i, node := range in.nodes {
		if strings.Contains(getText(t, "http://"+node.admin+"/metrics"), "caroblane_lease_held 1\n") {
			in.nodes[i].kill()
			in.nodes = append(in.nodes[:i], in.nodes[i+1:]...)
			break
		}
	}
	in.eventually("another node holds the lease", func() bool { return in.leaseHolders() == 1 })
}
