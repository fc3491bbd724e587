package scenario

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rogpeppe/go-internal/testscript"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/target"
)

// deploymentSize describes a deployment in one failure domain.
type deploymentSize struct{ vms, targets, ranges int }

// startDeployment starts the processes of a deployment and waits until it
// serves requests.
func startDeployment(b *testing.B, s deploymentSize) *cluster {
	b.Helper()
	c := newCluster(&testscript.Env{WorkDir: b.TempDir()})
	b.Cleanup(c.close)
	must := func(err error) {
		if err != nil {
			b.Fatal(err)
		}
	}
	must(c.startPlatform(nil))
	document := fmt.Sprintf("[deployment]\nname = bench\nfailure_domains = d1\n[service s]\ndivision = key\nranges = %d\ntimeout = 3s\n", s.ranges) +
		"[route get]\npath = /s/{key}\nservice = s\nkey = path:key\n[route put]\nmethod = PUT\npath = /s/{key}\nservice = s\nclass = booking\nkey = path:key\n"
	for i := range s.targets {
		id := fmt.Sprint("t", i)
		must(c.startTarget(id, "s", "d1", []string{"--slots", "64", "--service-time", "0s"}))
		document += fmt.Sprintf("[target %s]\nservice = s\nfailure_domain = d1\naddress = %s\nslots = 64\nconnections = 100\n", id, c.processes[id].address)
	}
	for i := range s.vms {
		must(c.startVM(fmt.Sprint("v", i), "d1", ""))
	}
	file := filepath.Join(c.dir, "policy.ini")
	must(os.WriteFile(file, []byte(document), 0o644))
	must(c.runOperatorCommand("policy", "submit", file))
	must(eventually("served", func() error {
		for i := range 50 {
			if got := c.roundTrip(c.processes["v0"], c.instantiate(request{method: http.MethodGet, path: "/s/{k}"}, strconv.Itoa(i))); got.outcome != outcomeAnswered {
				return fmt.Errorf("%s: %s", got.outcome, got.detail)
			}
		}
		return nil
	}))
	// Cold starts and the first changes of fronts finish within this time.
	time.Sleep(5 * time.Second)
	return c
}

// resourceUsage is what the kernel accounts to a process.
type resourceUsage struct {
	cpu     time.Duration
	ioBytes uint64
	memory  uint64
}

// clockTick is the unit of CPU times in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

func readUsage(b *testing.B, p *process) resourceUsage {
	b.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return resourceUsage{
		cpu:     time.Duration(user+system) * clockTick,
		ioBytes: readProcField(dir+"io", "rchar:") + readProcField(dir+"io", "wchar:"),
		memory:  readProcField(dir+"status", "VmRSS:") << 10,
	}
}

func readProcField(file, name string) uint64 {
	data, _ := os.ReadFile(file)
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == name {
			n, _ := strconv.ParseUint(f[1], 10, 64)
			return n
		}
	}
	return 0
}

// BenchmarkControl measures the resource usage of a VM that serves no requests:
// percentage of a core, bytes read and written per second, and resident memory.
// docs/CAPACITY.md uses the slopes.
func BenchmarkControl(b *testing.B) {
	for _, s := range []deploymentSize{{3, 6, 24}, {3, 6, 240}, {3, 24, 240}, {6, 6, 24}, {12, 6, 24}, {12, 24, 240}} {
		b.Run(fmt.Sprintf("vms=%d/targets=%d/ranges=%d", s.vms, s.targets, s.ranges), func(b *testing.B) {
			c := startDeployment(b, s)
			const period = 10 * time.Second
			before := make(map[string]resourceUsage)
			for _, vm := range c.processesOfKind(kindVM) {
				before[vm.id] = readUsage(b, vm)
			}
			time.Sleep(period)
			var cpu, ioBytes, memory, maxCPU float64
			for _, vm := range c.processesOfKind(kindVM) {
				u := readUsage(b, vm)
				percent := (u.cpu - before[vm.id].cpu).Seconds() / period.Seconds() * 100
				cpu, maxCPU = cpu+percent, max(maxCPU, percent)
				ioBytes += float64(u.ioBytes-before[vm.id].ioBytes) / period.Seconds()
				memory += float64(u.memory) / (1 << 20)
			}
			n := float64(s.vms)
			b.ReportMetric(cpu/n, "%core/vm")
			b.ReportMetric(maxCPU, "%core-max")
			b.ReportMetric(ioBytes/n/1000, "KB/s/vm")
			b.ReportMetric(memory/n, "MB/vm")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkRequests measures the CPU time and the latency that entry VM and front
// add to a call, compared with direct calls to the same targets in the same run.
func BenchmarkRequests(b *testing.B) {
	c := startDeployment(b, deploymentSize{2, 8, 240})
	for _, clients := range []int{1, 32} {
		direct := func(httpClient *http.Client, i int) error {
			return callDirect(httpClient, c.processes[fmt.Sprint("t", i%8)])
		}
		b.Run(fmt.Sprintf("direct/clients=%d", clients), func(b *testing.B) { measure(b, c, clients, direct) })
		get := func(_ *http.Client, i int) error { return callViaVM(c, http.MethodGet, i) }
		b.Run(fmt.Sprintf("lookup/clients=%d", clients), func(b *testing.B) { measure(b, c, clients, get) })
		put := func(_ *http.Client, i int) error { return callViaVM(c, http.MethodPut, i) }
		b.Run(fmt.Sprintf("booking/clients=%d", clients), func(b *testing.B) { measure(b, c, clients, put) })
	}
}

func callViaVM(c *cluster, method string, i int) error {
	vm := c.processes[fmt.Sprint("v", i%2)]
	got := c.roundTrip(vm, c.instantiate(request{method: method, path: "/s/{k}"}, strconv.Itoa(i%5000)))
	if got.outcome != outcomeAnswered {
		return fmt.Errorf("%s: %s", got.outcome, got.detail)
	}
	return nil
}

func callDirect(httpClient *http.Client, p *process) error {
	// Any target answers an inspect order without a token, which changes nothing.
	client := target.NewClient(core.VM("bench"), httpClient)
	_, err := client.Order(context.Background(), p.address, grant.Order{Kind: grant.OrderInspect})
	return err
}

// measure issues calls from concurrent clients and reports their latency and
// the CPU time of the VMs.
func measure(b *testing.B, c *cluster, clients int, call func(*http.Client, int) error) {
	before := vmCPU(b, c)
	histograms := make([]*hdrhistogram.Histogram, clients)
	var firstErr error
	var once sync.Once
	var wg sync.WaitGroup
	b.ResetTimer()
	for n := range clients {
		histograms[n] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		wg.Go(func() {
			for i := n; i < b.N; i += clients {
				start := time.Now()
				if err := call(c.httpClient, i); err != nil {
					once.Do(func() { firstErr = err })
				}
				_ = histograms[n].RecordValue(time.Since(start).Microseconds())
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	if firstErr != nil {
		b.Fatal(firstErr)
	}
	for _, h := range histograms[1:] {
		histograms[0].Merge(h)
	}
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64((vmCPU(b, c)-before).Microseconds())/float64(b.N), "vm-cpu-us/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func vmCPU(b *testing.B, c *cluster) time.Duration {
	var sum time.Duration
	for _, vm := range c.processesOfKind(kindVM) {
		sum += readUsage(b, vm).cpu
	}
	return sum
}
