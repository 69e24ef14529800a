//go:build review

package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The command of the deploy file that starts the entry daemon.
const (
	daemon  = "target/caroblaned"
	command = "platform"
)

// The bounds of the small deployments.
const (
	contact     = 3 * time.Second
	drainBound  = 2 * time.Second
	applyBound  = 2 * time.Second
	revokeBound = 5 * time.Second
	usageWindow = 5 * time.Second
)

// deployment is a small installation on loopback.
type deployment struct {
	dir      string
	log      *record
	store    *store
	duties   *duties
	nodes    []*node
	fencing  bool
	memoryMB int
	// contracts are those of the small sites.
	contracts []string
}

// node is one entry daemon.
type node struct {
	deployment             *deployment
	name, zone             string
	front, ready, settings string
	ports                  [2]int
	bootstrap              bool
	// storeAddress, if set, is where the node reaches the store.
	storeAddress string
	process      *exec.Cmd
	ended        chan struct{}
	log          *os.File
}

// The ports of the cases, below those that systems give to outgoing connections.
const (
	firstPort = 12000
	lastPort  = 31000
)

// nextPort is the port to try next. It differs between runs at the same time.
var nextPort = firstPort + rand.IntN(lastPort-firstPort)

// freePort returns a port that is free for TCP and UDP.
func freePort() int {
	for range lastPort - firstPort {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		if isFree(nextPort) {
			return nextPort
		}
	}
	panic(failure{"no free port"})
}

// isFree reports whether a port is free for TCP and UDP.
func isFree(port int) bool {
	listener, err := net.Listen("tcp", address(port))
	if err != nil {
		return false
	}
	_ = listener.Close()
	packet, err := net.ListenPacket("udp", address(port))
	if err != nil {
		return false
	}
	_ = packet.Close()
	return true
}

// freePair returns two consecutive free ports.
func freePair() [2]int {
	for range 100 {
		if first := freePort(); freePort() == first+1 {
			return [2]int{first, first + 1}
		}
	}
	panic(failure{"no free pair of ports"})
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func newDeployment(log *record) *deployment {
	dir, err := os.MkdirTemp("", "review")
	check(err, "create a temporary folder")
	d := &deployment{
		dir: dir, log: log, store: newStore(address(freePort()), log), duties: newDuties(address(freePort()), log), fencing: true, memoryMB: 284,
		contracts: []string{
			"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "tenants", "leader", "quota", "platform",
		},
	}
	d.store.open()
	d.duties.open()
	return d
}

// addNode adds a node in a zone. It is not started yet.
func (d *deployment) addNode(zone string) *node {
	name := fmt.Sprintf("front-%s-%d", zone, len(d.nodes)+1)
	n := &node{
		deployment: d, name: name, zone: zone, front: address(freePort()), ready: address(freePort()), ports: freePair(),
		settings: filepath.Join(d.dir, name+".json"), bootstrap: true,
	}
	d.nodes = append(d.nodes, n)
	return n
}

// writeSettings writes the settings file of a node.
func (n *node) writeSettings() {
	d := n.deployment
	settings := map[string]any{
		"node": n.name, "role": "entry", "machineClass": "front", "serves": []string{"front"}, "ip": "127.0.0.1",
		"zone": n.zone, "region": "r", "zones": map[string]string{"za": "r", "zb": "r", "zc": "r"},
		"listen":        map[string]string{"front": n.front, "ready": n.ready},
		"internalPorts": []int{n.ports[0], n.ports[1]}, "seeds": []string{}, "bootstrap": n.bootstrap, "inTolerance": false,
		"limits":  map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": d.memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200, "contracts": d.contracts,
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "skewMs": 5000, "strictRevoke": true, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 54, "quotaWindowS": 8, "quotaOvershoot": 0.1,
			"quotaSlack": 140000, "requireFencing": d.fencing, "leaseMs": 3000, "thawSlackMs": 300, "usageWindowS": 5, "usageOff": 0.05,
			"usageLateS": 10, "recoveryS": 12, "transitMs": 120, "againS": 7.9,
		},
		"platform": map[string]any{
			"address": cmp.Or(n.storeAddress, d.store.address), "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
		"cloud": map[string]any{"address": d.duties.address, "ratePerS": 50.0, "duties": []string{"usage", "scaling"}, "dutyPerS": 50.0},
	}
	data, err := json.Marshal(settings)
	check(err, "encode settings")
	check(os.WriteFile(n.settings, data, 0o600), "write settings")
}

// start starts the daemon of a node.
func (n *node) start() {
	n.writeSettings()
	var err error
	n.log, err = os.OpenFile(filepath.Join(n.deployment.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err, "open the log of a node")
	cmd := exec.Command(daemon, command)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "CAROBLANE_NODE_FILE=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	// The daemon ends with this process, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(cmd.Start(), "start the daemon")
	ended := make(chan struct{})
	n.process, n.ended, n.bootstrap = cmd, ended, false
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	n.deployment.log.add("%s started, process %d", n.name, cmd.Process.Pid)
}

// signal sends a signal to the daemon.
func (n *node) signal(s syscall.Signal) {
	n.deployment.log.add("%s gets %v", n.name, s)
	_ = n.process.Process.Signal(s)
}

// waitEnd waits until the daemon has ended.
func (n *node) waitEnd(limit time.Duration) bool {
	select {
	case <-n.ended:
		n.deployment.log.add("%s ended: %v", n.name, n.process.ProcessState)
		return true
	case <-time.After(limit):
		return false
	}
}

// running reports whether the daemon runs.
func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// isReady asks the daemon whether it is ready.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until the daemon is ready.
func (n *node) waitReady(limit time.Duration) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if n.isReady() {
			n.deployment.log.add("%s is ready", n.name)
			return
		}
	}
	panic(failure{n.name + " is not ready"})
}

// memory returns the peak of the resident memory of the daemon in MB.
func (n *node) memory() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			var kb float64
			_, _ = fmt.Sscan(strings.TrimSpace(text), &kb)
			return kb / 1024
		}
	}
	return 0
}

// close ends all processes.
func (d *deployment) close() {
	for _, n := range d.nodes {
		if n.process != nil && n.running() {
			_ = n.process.Process.Kill()
			<-n.ended
		}
		if n.log != nil {
			_ = n.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}
