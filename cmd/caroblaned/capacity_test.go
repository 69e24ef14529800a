package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"
)

// BenchmarkIdle runs entry nodes without requests against a fake platform and reports
// the mean per node of: CPU time and I/O bytes until the nodes are ready; CPU time, I/O
// bytes and store requests in the idleDuration after that; and memory at the end. Run
// it with -benchtime 1x. GOGC is passed on to the nodes. docs/CAPACITY.md quotes the
// results.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []struct{ nodes, accounts, upstreams int }{{1, 5, 20}, {8, 5, 20}, {24, 5, 20}, {1, 11_000, 1_900}} {
		b.Run(fmt.Sprintf("nodes=%d/accounts=%d/upstreams=%d", size.nodes, size.accounts, size.upstreams), func(b *testing.B) {
			for range b.N {
				measureIdle(b, size.nodes, size.accounts, size.upstreams)
			}
		})
	}
}

const idleDuration = 20 * time.Second

var gcTraceLine = regexp.MustCompile(`(\d+)->(\d+)->(\d+) MB, (\d+) MB goal`)

// processUsage is the resource usage of processes since they started.
type processUsage struct {
	cpu   time.Duration
	bytes float64
	rss   float64
	// anon is the anonymous part of rss, which is not backed by a file.
	anon float64
}

func measureIdle(b *testing.B, nodes, accounts, upstreams int) {
	dir := b.TempDir()
	store := startProcess(b, "caroblane-fake", "store", "--seed", writeSeed(b, dir, accounts, upstreams)).log.String()
	b.Setenv("GODEBUG", "gctrace=1")
	defer b.Setenv("GODEBUG", "")
	var processes []*process
	var admins []string
	for i := range nodes {
		admin := freeAddress(b)
		path := filepath.Join(dir, fmt.Sprintf("%d.ini", i))
		text := fmt.Sprintf("[Node]\nName = node-%d\n[Listen]\nCallers = %s\nPeers = %s\nAdmin = %s\n[Platform]\nAddress = %s\n",
			i, freeAddress(b), freeAddress(b), admin, store)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			b.Fatal(err)
		}
		processes = append(processes, startProcess(b, "caroblaned", "--settings", path))
		admins = append(admins, admin)
	}
	start := time.Now()
	for i, admin := range admins {
		for !isReady(admin) {
			if time.Since(start) > waitTimeout {
				b.Fatalf("node %d is not ready:\n%s", i, processes[i].log)
			}
			time.Sleep(pollInterval)
		}
	}
	perNode := func(before, after float64) float64 { return (after - before) / float64(nodes) }
	b.ReportMetric(time.Since(start).Seconds(), "ready-s")
	first, firstReads, firstWrites := totalUsage(b, processes), 0.0, 0.0
	b.ReportMetric(first.cpu.Seconds()/float64(nodes), "start-cpu-s")
	b.ReportMetric(perNode(0, first.bytes), "start-B")
	// Within this time the nodes settle their shares of the limits and the roster is
	// written.
	time.Sleep(10 * time.Second)
	first = totalUsage(b, processes)
	firstReads, firstWrites = storeCalls(b, store)
	time.Sleep(idleDuration)
	last := totalUsage(b, processes)
	reads, writes := storeCalls(b, store)
	b.ReportMetric(perNode(float64(first.cpu), float64(last.cpu))/float64(idleDuration)*100, "idle-%core")
	b.ReportMetric(perNode(first.bytes, last.bytes)/idleDuration.Seconds(), "idle-B/s")
	b.ReportMetric(perNode(firstReads, reads)/idleDuration.Seconds(), "reads/s")
	b.ReportMetric(perNode(firstWrites, writes)/idleDuration.Seconds(), "writes/s")
	b.ReportMetric(perNode(0, last.rss)/1e6, "rss-MB")
	b.ReportMetric(perNode(0, last.anon)/1e6, "anon-MB")
	lines := gcTraceLine.FindAllStringSubmatch(processes[0].log.String(), -1)
	if len(lines) > 0 {
		line := lines[len(lines)-1]
		b.Logf("%d garbage collections in node 0, last: %s", len(lines), line[0])
		live, _ := strconv.ParseFloat(line[3], 64)
		goal, _ := strconv.ParseFloat(line[4], 64)
		b.ReportMetric(live, "heap-live-MB")
		b.ReportMetric(goal, "heap-goal-MB")
	}
	b.ReportMetric(float64(len(getText(b, "http://"+admins[0]+"/metrics"))), "metrics-B")
	b.ReportMetric(float64(measureInForce(b, store, admins).Milliseconds()), "in-force-ms")
	b.ReportMetric(0, "ns/op")
}

// writeSeed writes a file with the initial objects of the store and returns its path.
func writeSeed(b *testing.B, dir string, accounts, upstreams int) string {
	objects := []object{{"Model", modelName, map[string]any{"MaxTokens": 4096}}}
	for i := range accounts {
		name := fmt.Sprintf("account-%d", i)
		hash := sha256.Sum256([]byte(name))
		objects = append(objects,
			object{"Template", name, map[string]any{"Rate": 10, "Burst": 20}},
			object{"Key", name, map[string]any{"Account": name, "Hash": hex.EncodeToString(hash[:]), "State": "Active"}})
	}
	for i := range upstreams {
		objects = append(objects, object{"Upstream", fmt.Sprintf("engine-%d", i), map[string]any{
			"Kind": "Engine", "Address": fmt.Sprintf("127.0.0.1:%d", 20_000+i), "Zone": "a", "Models": []string{modelName}, "Slots": 16,
		}})
	}
	data, err := json.Marshal(objects)
	if err != nil {
		b.Fatal(err)
	}
	path := filepath.Join(dir, "seed.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		b.Fatal(err)
	}
	return path
}

// measureInForce writes a template and returns the time until it is in force on all
// nodes.
func measureInForce(b *testing.B, store string, admins []string) time.Duration {
	request, err := http.NewRequestWithContext(b.Context(), http.MethodPut, "http://"+store+"/objects/Template/late", strings.NewReader(`{"Rate":1,"Burst":1}`))
	if err != nil {
		b.Fatal(err)
	}
	request.Header.Set("If-Version", "0")
	start := time.Now()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var written, status struct{ Version uint64 }
	if err := json.NewDecoder(response.Body).Decode(&written); err != nil || written.Version == 0 {
		b.Fatalf("store returned version %d, error %v", written.Version, err)
	}
	for _, admin := range admins {
		for {
			if err := json.Unmarshal([]byte(getText(b, "http://"+admin+"/status")), &status); err != nil {
				b.Fatal(err)
			}
			if status.Version >= written.Version {
				break
			}
			if time.Since(start) > waitTimeout {
				b.Fatalf("%s is at version %d, want %d", admin, status.Version, written.Version)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}

func isReady(admin string) bool {
	response, err := http.Get("http://" + admin + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func storeCalls(b *testing.B, store string) (reads, writes float64) {
	var stats struct{ Reads, Writes float64 }
	if err := json.Unmarshal([]byte(getText(b, "http://"+store+"/stats")), &stats); err != nil {
		b.Fatal(err)
	}
	return stats.Reads, stats.Writes
}

func totalUsage(b *testing.B, processes []*process) processUsage {
	var total processUsage
	for _, p := range processes {
		read := func(name string) string {
			data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.command.Process.Pid, name))
			if err != nil {
				b.Fatal(err)
			}
			return string(data)
		}
		// The fields follow the program name in parentheses. utime and stime are
		// in clock ticks of 10 ms.
		stat := read("stat")
		fields := strings.Fields(stat[strings.LastIndex(stat, ")")+1:])
		for _, field := range fields[11:13] {
			total.cpu += time.Duration(parseNumber(b, field)) * 10 * time.Millisecond
		}
		for line := range strings.Lines(read("io")) {
			if name, value, _ := strings.Cut(line, ":"); name == "rchar" || name == "wchar" {
				total.bytes += parseNumber(b, value)
			}
		}
		for line := range strings.Lines(read("status")) {
			if name, value, _ := strings.Cut(line, ":"); name == "VmRSS" || name == "RssAnon" {
				size := parseNumber(b, strings.TrimSuffix(strings.TrimSpace(value), " kB")) * 1024
				if name == "VmRSS" {
					total.rss += size
				} else {
					total.anon += size
				}
			}
		}
	}
	return total
}

func parseNumber(b *testing.B, text string) float64 {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil {
		b.Fatal(err)
	}
	return n
}
