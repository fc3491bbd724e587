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

// TestRandomSchedules guards against combinations of faults that no scenario
// covers: each schedule mixes losses, suspensions, returns, network partitions,
// an unreliable log, lost responses and clock rates. Two targets must never hold
// a grant for the same range, and all ranges must be served after the faults end.
func TestRandomSchedules(t *testing.T) {
	if *seedFlag != 0 {
		c, err := runSchedule(*seedFlag)
		t.Log(strings.Join(c.trace, "\n"))
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
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // most allocations are short-lived
	startedAt := time.Now()
	first := uint64(startedAt.UnixNano())
	var next atomic.Uint64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := next.Add(1); i <= uint64(n) && !t.Failed(); i = next.Add(1) {
				if c, err := runSchedule(first + i); err != nil {
					t.Errorf("seed %d: %v\n%s", first+i, err, strings.Join(c.trace, "\n"))
				}
			}
		})
	}
	group.Wait()
	t.Logf("%d schedules with seeds from %d in %v", n, first+1, time.Since(startedAt).Round(time.Millisecond))
}

// runSchedule runs one schedule: startup, two to eight faults at intervals of less
// than a second, and recovery without faults.
func runSchedule(seed uint64) (*cluster, error) {
	c := newCluster(seed)
	c.tickInterval = 50 * time.Millisecond
	vms := []string{"a", "b", "c", "d", "e"}[:2+c.rand.IntN(4)]
	targets := []string{"t1", "t2", "t3", "t4"}[:3+c.rand.IntN(2)]
	domain := func(string) string { return "d1" }
	if len(vms) > 3 && c.rand.IntN(2) == 0 {
		domain = func(id string) string {
			return map[bool]string{true: "d2", false: "d1"}[strings.Contains("d e t3 t4", id)]
		}
	}
	isolation := []string{"keep", "yield"}[c.rand.IntN(2)]
	run := func(format string, args ...any) error { return c.command(fmt.Sprintf(format, args...)) }
	if err := run("policy ranges=6 candidates=%d isolation=%s move_after=%dms", c.rand.IntN(4), isolation, 1000+c.rand.IntN(1000)); err != nil {
		return c, err
	}
	for _, id := range vms {
		_ = run("vm %s %s", id, domain(id))
		_ = run("rate %s %f", id, 0.9975+0.005*c.rand.Float64())
	}
	for _, id := range targets {
		_ = run("target %s %s", id, domain(id))
		_ = run("rate %s %f", id, 0.9975+0.005*c.rand.Float64())
	}
	_ = run("start")
	if err := run("run 2s"); err != nil {
		return c, err
	}
	for range 2 + c.rand.IntN(7) {
		for _, fault := range c.randomFault(vms, targets) {
			if err := run("%s", fault); err != nil {
				return c, err
			}
		}
		if err := run("run %dms", c.rand.IntN(1000)); err != nil {
			return c, err
		}
	}
	return c, c.recover(vms, targets)
}

func (c *cluster) randomFault(vms, targets []string) []string {
	all := slices.Concat([]string{"holder:d1", "holder:" + c.policy.domains[len(c.policy.domains)-1]}, vms, targets)
	pick := func(from []string) string { return from[c.rand.IntN(len(from))] }
	switch c.rand.IntN(16) {
	case 0, 1:
		return []string{"kill " + pick(all)}
	case 2:
		return []string{"freeze " + pick(all)}
	case 3:
		return []string{"thaw " + pick(all)}
	case 4:
		return []string{"return " + pick(slices.Concat(vms, targets))}
	case 5:
		return []string{"cut " + pick(vms) + " " + pick(append(all, "log"))}
	case 6:
		return []string{"heal " + pick(vms) + " " + pick(append(all, "log"))}
	case 7:
		return []string{pick([]string{"log down", "log up", "log slow 400ms"})}
	case 8:
		return []string{pick([]string{"lose 0.1", "lose 0", "stall 0.05", "stall 0", "leave t1", "stay t1"})}
	case 9:
		return []string{"return " + pick(targets), "return " + pick(targets)}
	case 10:
		clear(c.partitions)
		return []string{"heal a log"}
	case 14, 15:
		return []string{fmt.Sprintf("demand %d %d", 6+6*c.rand.IntN(2)+c.rand.IntN(2), 50*c.rand.IntN(2))}
	case 11:
		return []string{"domain " + pick(c.policy.domains) + " " + pick([]string{"in", "out"})}
	}
	return c.randomPartition(slices.Concat(vms, targets, []string{"log"}))
}

// randomPartition splits the VMs, targets and the log into two groups that cannot
// reach each other.
func (c *cluster) randomPartition(all []string) []string {
	c.rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	n := 1 + c.rand.IntN(len(all)-1)
	var out []string
	for _, id := range all[:n] {
		out = append(out, "cut "+id+" "+strings.Join(all[n:], " "))
	}
	return out
}

// recover ends all faults and waits until all ranges are served.
func (c *cluster) recover(vms, targets []string) error {
	c.tracef("> end of faults")
	clear(c.partitions)
	c.lossRate, c.stallRate = 0, 0
	c.log.down, c.log.slow = false, 0
	for _, id := range vms {
		if v := c.vms[core.VM(id)]; !v.alive {
			c.injectFault("return", id)
		} else if v.suspended {
			c.injectFault("thaw", id)
		}
	}
	for _, id := range targets {
		if t := c.targets[core.Target(id)]; !t.alive {
			c.injectFault("return", id)
		} else if t.suspended {
			c.injectFault("thaw", id)
		}
	}
	for _, d := range c.policy.domains {
		c.appendDomain(d, "in")
	}
	if err := c.awaitServed(8 * time.Second); err != nil {
		return err
	}
	if len(c.violations) > 0 {
		return fmt.Errorf("%s", c.violations[0])
	}
	return nil
}
