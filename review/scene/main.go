// Command scene plays a case of the review: it starts gateway processes, and the
// store, the servers and the callers around them as stand-ins, and checks the rules
// from what these see. It exits with 1 if a rule was broken, with 0 if none was, and
// with 2 if the case couldn't run.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"
)

// scene is a deployment that runs.
type scene struct {
	*world
	program, dir string
	trouble      bool
	size         size
	gateways     []*gateway
	running      sync.WaitGroup
}

// cases are the cases by name. A case returns an error if it couldn't run.
var cases = map[string]func(ctx context.Context, s *scene) error{
	"extra-late":   joinCase,
	"endless-body": releaseCase("endless-body", 0.02),
	"endless-head": releaseCase("endless-head", 0.05),
	"large-bodies": largeBodies,
}

// maxLength bounds a case.
const maxLength = 100 * time.Second

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "the case")
	program := flag.String("program", "target/celeryhook", "the gateway program")
	record := flag.String("record", "record.txt", "where the record is written")
	trouble := flag.Bool("trouble", true, "play the disruption too")
	keep := flag.String("logs", "", "folder for the logs of the gateways; none are kept without it")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		return 2
	}
	w, err := newWorld(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = w.out.Close() }()
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	s := &scene{world: w, program: *program, dir: dir, trouble: *trouble, size: usualSize}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxLength)
	err = run(ctx, s)
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	cancel()
	s.running.Wait()
	for _, g := range s.gateways {
		s.record("machine %s: %d starts, running %v, peak of its own memory %d MB, %d times over the limit",
			g.name, g.starts, g.alive(), g.peakKb.Load()>>10, g.ends.Load())
		g.close()
	}
	return s.result(err)
}

// result writes the summary and returns the exit code.
func (s *scene) result(err error) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s.write("count: %s: %d", name, s.counts[name])
	}
	for _, g := range s.gateways {
		s.write("count: requests of kept connections that %s passed on to sound servers and left without an answer: %d", g.name, s.lostBy[g])
	}
	switch {
	case err != nil:
		s.write("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case len(s.broken) > 0:
		s.write("%d violations", len(s.broken))
		fmt.Println("BROKEN:", len(s.broken), "violations, the first:", s.broken[0])
		return 1
	}
	s.write("no rule was broken")
	fmt.Println("held")
	return 0
}

// startStore serves the store and returns its address.
func (s *scene) startStore() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("store: %w", err)
	}
	go func() { _ = (&http.Server{Handler: s.store, ReadHeaderTimeout: time.Second}).Serve(l) }()
	return l.Addr().String(), nil
}

var zones = []string{"za", "zb", "zc"}

// startGateways starts one machine in each zone and waits until all are ready.
func (s *scene) startGateways(ctx context.Context) error {
	store, err := s.startStore()
	if err != nil {
		return err
	}
	var seeds []string
	for i, z := range zones {
		g, err := newGateway(s.world, s.program, s.dir, "front-"+z+"-1", z, i, store)
		if err != nil {
			return err
		}
		g.size = s.size
		s.gateways = append(s.gateways, g)
		seeds = append(seeds, g.control)
	}
	for _, g := range s.gateways {
		if err := g.writeSettings(zones, seeds, store, true); err != nil {
			return err
		}
		if err := g.start(); err != nil {
			return err
		}
	}
	err = s.eventually(ctx, "all machines are ready", func() bool {
		for _, g := range s.gateways {
			if !g.isReady() {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	for _, g := range s.gateways {
		// Only the first start of the whole system has the flag set.
		if err := g.writeSettings(zones, seeds, store, false); err != nil {
			return err
		}
	}
	return nil
}

func (s *scene) eventually(ctx context.Context, what string, f func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	for !f() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: not within 30 s", what)
		case <-time.After(50 * time.Millisecond):
		}
	}
	s.record("%s", what)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
