package coordinate

import (
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

var (
	schedules = flag.Int("schedules", 0, "number of random schedules; 0 for the default")
	seedFlag  = flag.Uint64("seed", 0, "run only the schedule of this seed, with its trace")
)

// TestRandomSchedules guards against combinations of faults that nobody thought
// of: each schedule mixes losses, freezes, returns, cuts, an unreliable log,
// lost answers and clock rates. Two targets must never hold a grant for the
// same range, and all ranges are served once the faults are over.
func TestRandomSchedules(t *testing.T) {
	if *seedFlag != 0 {
		w, err := runSchedule(*seedFlag)
		t.Log(strings.Join(w.trace, "\n"))
		if err != nil {
			t.Fatal(err)
		}
		return
	}
	n := *schedules
	if n == 0 {
		n = 10_000
		if raceEnabled {
			n = 300
		}
		if testing.Short() {
			n = 500
		}
	}
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // most of the memory is short-lived
	began := time.Now()
	first := uint64(began.UnixNano())
	var next atomic.Uint64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := next.Add(1); i <= uint64(n) && !t.Failed(); i = next.Add(1) {
				if w, err := runSchedule(first + i); err != nil {
					t.Errorf("seed %d: %v\n%s", first+i, err, strings.Join(w.trace, "\n"))
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d schedules with seeds from %d in %v", n, first+1, time.Since(began).Round(time.Millisecond))
}

// runSchedule runs one schedule: a start, up to eight faults within four
// seconds, and a time without faults.
func runSchedule(seed uint64) (*world, error) {
	w := newWorld(seed)
	w.tick = 50 * time.Millisecond
	vms := []string{"a", "b", "c", "d", "e"}[:2+w.rand.IntN(4)]
	targets := []string{"t1", "t2", "t3", "t4"}[:3+w.rand.IntN(2)]
	domain := func(string) string { return "d1" }
	if len(vms) > 3 && w.rand.IntN(2) == 0 {
		domain = func(id string) string {
			return map[bool]string{true: "d2", false: "d1"}[strings.Contains("d e t3 t4", id)]
		}
	}
	isolation := []string{"keep", "yield"}[w.rand.IntN(2)]
	run := func(format string, args ...any) error { return w.command(fmt.Sprintf(format, args...)) }
	if err := run("policy ranges=6 candidates=%d isolation=%s move_after=%dms", w.rand.IntN(4), isolation, 1000+w.rand.IntN(1000)); err != nil {
		return w, err
	}
	for _, id := range vms {
		_ = run("vm %s %s", id, domain(id))
		_ = run("rate %s %f", id, 0.9975+0.005*w.rand.Float64())
	}
	for _, id := range targets {
		_ = run("target %s %s", id, domain(id))
		_ = run("rate %s %f", id, 0.9975+0.005*w.rand.Float64())
	}
	_ = run("start")
	if err := run("run 2s"); err != nil {
		return w, err
	}
	for range 2 + w.rand.IntN(7) {
		for _, fault := range w.randomFault(vms, targets) {
			if err := run("%s", fault); err != nil {
				return w, err
			}
		}
		if err := run("run %dms", w.rand.IntN(1000)); err != nil {
			return w, err
		}
	}
	return w, w.recover(vms, targets)
}

func (w *world) randomFault(vms, targets []string) []string {
	all := slices.Concat([]string{"holder:d1", "holder:" + w.document.domains[len(w.document.domains)-1]}, vms, targets)
	one := func(from []string) string { return from[w.rand.IntN(len(from))] }
	switch w.rand.IntN(16) {
	case 0, 1:
		return []string{"kill " + one(all)}
	case 2:
		return []string{"freeze " + one(all)}
	case 3:
		return []string{"thaw " + one(all)}
	case 4:
		return []string{"return " + one(slices.Concat(vms, targets))}
	case 5:
		return []string{"cut " + one(vms) + " " + one(append(all, "log"))}
	case 6:
		return []string{"heal " + one(vms) + " " + one(append(all, "log"))}
	case 7:
		return []string{one([]string{"log down", "log up", "log slow 400ms"})}
	case 8:
		return []string{one([]string{"lose 0.1", "lose 0", "stall 0.05", "stall 0", "leave t1", "stay t1"})}
	case 9:
		return []string{"return " + one(targets), "return " + one(targets)}
	case 10:
		clear(w.cuts)
		return []string{"heal a log"}
	case 14, 15:
		return []string{fmt.Sprintf("demand %d %d", 6+6*w.rand.IntN(2)+w.rand.IntN(2), 50*w.rand.IntN(2))}
	case 11:
		return []string{"domain " + one(w.document.domains) + " " + one([]string{"in", "out"})}
	}
	return w.randomPartition(slices.Concat(vms, targets, []string{"log"}))
}

// randomPartition cuts two groups of VMs, targets and the log from each other.
func (w *world) randomPartition(all []string) []string {
	w.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := 1 + w.rand.IntN(len(all)-1)
	var out []string
	for _, id := range all[:n] {
		out = append(out, "cut "+id+" "+strings.Join(all[n:], " "))
	}
	return out
}

// recover ends all faults and waits until everything is served.
func (w *world) recover(vms, targets []string) error {
	w.note("> end of faults")
	clear(w.cuts)
	w.lose, w.stall = 0, 0
	w.log.down, w.log.slow = false, 0
	for _, id := range vms {
		if v := w.vms[core.VM(id)]; !v.alive {
			w.fault("return", id)
		} else if v.frozen {
			w.fault("thaw", id)
		}
	}
	for _, id := range targets {
		if t := w.targets[core.Target(id)]; !t.alive {
			w.fault("return", id)
		} else if t.frozen {
			w.fault("thaw", id)
		}
	}
	for _, d := range w.document.domains {
		w.appendDomain(d, "in")
	}
	if err := w.awaitServed(8 * time.Second); err != nil {
		return err
	}
	if len(w.faults) > 0 {
		return fmt.Errorf("%s", w.faults[0])
	}
	return nil
}
