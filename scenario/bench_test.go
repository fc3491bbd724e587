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

// size is a deployment in one failure domain.
type size struct{ vms, targets, ranges int }

// startSize runs a deployment as processes and waits until it serves.
func startSize(b *testing.B, s size) *world {
	b.Helper()
	w := newWorld(&testscript.Env{WorkDir: b.TempDir()})
	b.Cleanup(w.close)
	check := func(err error) {
		if err != nil {
			b.Fatal(err)
		}
	}
	check(w.startPlatform(nil))
	document := fmt.Sprintf("[deployment]\nname = bench\nfailure_domains = d1\n[service s]\ndivision = key\nranges = %d\ntimeout = 3s\n", s.ranges) +
		"[route get]\npath = /s/{key}\nservice = s\nkey = path:key\n[route put]\nmethod = PUT\npath = /s/{key}\nservice = s\nclass = booking\nkey = path:key\n"
	for i := range s.targets {
		id := fmt.Sprint("t", i)
		check(w.startTarget(id, "s", "d1", []string{"--slots", "64", "--service-time", "0s"}))
		document += fmt.Sprintf("[target %s]\nservice = s\nfailure_domain = d1\naddress = %s\nslots = 64\nconnections = 100\n", id, w.processes[id].address)
	}
	for i := range s.vms {
		check(w.startVM(fmt.Sprint("v", i), "d1", ""))
	}
	file := filepath.Join(w.dir, "policy.ini")
	check(os.WriteFile(file, []byte(document), 0o644))
	check(w.operate("policy", "submit", file))
	check(eventually("served", func() error {
		for i := range 50 {
			if a := w.exchange(w.processes["v0"], w.fill(request{method: http.MethodGet, path: "/s/{k}"}, strconv.Itoa(i))); a.outcome != outcomeAnswered {
				return fmt.Errorf("%s: %s", a.outcome, a.detail)
			}
		}
		return nil
	}))
	// Cold starts and the first changes of fronts are over after this time.
	time.Sleep(5 * time.Second)
	return w
}

// usage is what the kernel counts for a process.
type usage struct {
	cpu    time.Duration
	moved  uint64
	memory uint64
}

// clockTick is the unit of /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

func usageOf(b *testing.B, p *process) usage {
	b.Helper()
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return usage{
		cpu:    time.Duration(user+system) * clockTick,
		moved:  numberOf(dir+"io", "rchar:") + numberOf(dir+"io", "wchar:"),
		memory: numberOf(dir+"status", "VmRSS:") << 10,
	}
}

func numberOf(file, name string) uint64 {
	data, _ := os.ReadFile(file)
	for line := range strings.Lines(string(data)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == name {
			n, _ := strconv.ParseUint(f[1], 10, 64)
			return n
		}
	}
	return 0
}

// BenchmarkControl measures what a VM spends without requests: share of a
// core, bytes read and written a second, memory. docs/CAPACITY.md uses the slopes.
func BenchmarkControl(b *testing.B) {
	for _, s := range []size{{3, 6, 24}, {3, 6, 240}, {3, 24, 240}, {6, 6, 24}, {12, 6, 24}, {12, 24, 240}} {
		b.Run(fmt.Sprintf("vms=%d/targets=%d/ranges=%d", s.vms, s.targets, s.ranges), func(b *testing.B) {
			w := startSize(b, s)
			const period = 10 * time.Second
			before := make(map[string]usage)
			for _, vm := range w.of(kindVM) {
				before[vm.id] = usageOf(b, vm)
			}
			time.Sleep(period)
			var cpu, moved, memory, most float64
			for _, vm := range w.of(kindVM) {
				u := usageOf(b, vm)
				share := (u.cpu - before[vm.id].cpu).Seconds() / period.Seconds() * 100
				cpu, most = cpu+share, max(most, share)
				moved += float64(u.moved-before[vm.id].moved) / period.Seconds()
				memory += float64(u.memory) / (1 << 20)
			}
			n := float64(s.vms)
			b.ReportMetric(cpu/n, "%core/vm")
			b.ReportMetric(most, "%core-max")
			b.ReportMetric(moved/n/1000, "KB/s/vm")
			b.ReportMetric(memory/n, "MB/vm")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkRequests measures the processor time and the latency that entry and
// front add to a call, next to direct calls of the same targets in the same run.
func BenchmarkRequests(b *testing.B) {
	w := startSize(b, size{2, 8, 240})
	for _, clients := range []int{1, 32} {
		direct := func(c *http.Client, i int) error { return callDirect(c, w.processes[fmt.Sprint("t", i%8)]) }
		b.Run(fmt.Sprintf("direct/clients=%d", clients), func(b *testing.B) { drive(b, w, clients, direct) })
		get := func(_ *http.Client, i int) error { return callThrough(w, http.MethodGet, i) }
		b.Run(fmt.Sprintf("lookup/clients=%d", clients), func(b *testing.B) { drive(b, w, clients, get) })
		put := func(_ *http.Client, i int) error { return callThrough(w, http.MethodPut, i) }
		b.Run(fmt.Sprintf("booking/clients=%d", clients), func(b *testing.B) { drive(b, w, clients, put) })
	}
}

func callThrough(w *world, method string, i int) error {
	vm := w.processes[fmt.Sprint("v", i%2)]
	a := w.exchange(vm, w.fill(request{method: method, path: "/s/{k}"}, strconv.Itoa(i%5000)))
	if a.outcome != outcomeAnswered {
		return fmt.Errorf("%s: %s", a.outcome, a.detail)
	}
	return nil
}

func callDirect(c *http.Client, p *process) error {
	// An inspect without a token is answered by any target and changes nothing.
	client := target.NewClient(core.VM("bench"), c)
	_, err := client.Order(context.Background(), p.address, grant.Order{Kind: grant.OrderInspect})
	return err
}

// drive calls from a number of clients and reports latency and the VMs' cost.
func drive(b *testing.B, w *world, clients int, call func(*http.Client, int) error) {
	before := vmCPU(b, w)
	histograms := make([]*hdrhistogram.Histogram, clients)
	var failed error
	var once sync.Once
	var wg sync.WaitGroup
	b.ResetTimer()
	for c := range clients {
		histograms[c] = hdrhistogram.New(1, time.Minute.Microseconds(), 3)
		wg.Go(func() {
			for i := c; i < b.N; i += clients {
				began := time.Now()
				if err := call(w.http, i); err != nil {
					once.Do(func() { failed = err })
				}
				_ = histograms[c].RecordValue(time.Since(began).Microseconds())
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	if failed != nil {
		b.Fatal(failed)
	}
	for _, h := range histograms[1:] {
		histograms[0].Merge(h)
	}
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(histograms[0].ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64((vmCPU(b, w)-before).Microseconds())/float64(b.N), "vm-cpu-us/op")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func vmCPU(b *testing.B, w *world) time.Duration {
	var sum time.Duration
	for _, vm := range w.of(kindVM) {
		sum += usageOf(b, vm).cpu
	}
	return sum
}
