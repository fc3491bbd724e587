package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Options configure a run.
type Options struct {
	Seed   uint64
	Length time.Duration
	Size   Size
	// Program is the path of the celeryhook binary under test.
	Program string
	// Dir is the directory for settings and logs. It must exist.
	Dir string
	// Slack is the factor for time bounds; values below 1 count as 1.
	Slack int
}

// Report is the result of a run.
type Report struct {
	Options
	Events     []Event
	Counts     map[string]int
	Violations []Violation
}

const ownerCheckInterval = 100 * time.Millisecond

// Run runs the schedule of a seed and returns the report. It returns an error only
// if the deployment did not start.
func Run(ctx context.Context, o Options) (Report, error) {
	r := Report{Options: o, Events: NewPlan(o.Seed, o.Length, o.Size)}
	h := &history{}
	check := newChecker(h, max(o.Slack, 1))
	c, err := startCluster(o.Program, o.Dir, o.Size, check)
	defer c.close()
	if err != nil {
		return r, err
	}
	done := make(chan struct{})
	defer close(done)
	go h.watchStalls(done)
	go check.watchOwners(done)
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callers := c.callers(callersCtx, o.Seed)
	c.runEvents(ctx, r.Events)
	c.clearFaults()
	if ctx.Err() == nil {
		c.checkRecovery()
	}
	stopCallers()
	callers.Wait()
	r.Counts, r.Violations = check.summary()
	return r, nil
}

func (c *checker) watchOwners(done <-chan struct{}) {
	t := time.NewTicker(ownerCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-t.C:
			c.checkOwners(now)
		}
	}
}

// checkRecovery checks that each VM serves each path prefix after the last
// fault.
func (c *cluster) checkRecovery() {
	from := time.Now()
	missing := []string{}
	if eventually(func() bool { missing = c.check.notServed(c.vms, from); return len(missing) == 0 }) {
		return
	}
	c.check.report(Recovery, "not served within %v: %v", progressTimeout, missing)
}

var pathPrefixes = []string{"/read/", "/book/", "/seat/", "/hold/"}

// notServed returns the VMs and path prefixes without a successful response
// to any request sent after a time.
func (c *checker) notServed(vms []*gateway, from time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := make(map[string]bool)
	for _, r := range c.requests {
		if r.served && r.sent.After(from) {
			served[r.vm.name+r.uri[:6]] = true
		}
	}
	var out []string
	for _, g := range vms {
		for _, prefix := range pathPrefixes {
			if !served[g.name+prefix] {
				out = append(out, g.name+" "+prefix)
			}
		}
	}
	return out
}

// Write prints the report. The logs of the processes are in Dir.
func (r Report) Write(w io.Writer) {
	fmt.Fprintf(w, "seed %d, %v, %d VMs, %d targets, logs in %s\n", r.Seed, r.Length, r.Size.VMs, r.Size.Targets, r.Dir)
	for _, e := range r.Events {
		fmt.Fprintf(w, "  event %v\n", e)
	}
	names := make([]string, 0, len(r.Counts))
	for n := range r.Counts {
		names = append(names, n)
	}
	slices.Sort(names)
	for _, n := range names {
		fmt.Fprintf(w, "  %-12s %d\n", n, r.Counts[n])
	}
	for _, v := range r.Violations {
		fmt.Fprintf(w, "  BROKEN %v\n", v)
	}
	fmt.Fprintf(w, "seed %d: %d invariants violated\n", r.Seed, len(r.Violations))
}

// NewDir creates the directory for the files of a seed.
func NewDir(parent string, seed uint64) (string, error) {
	dir := filepath.Join(parent, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	return dir, nil
}
