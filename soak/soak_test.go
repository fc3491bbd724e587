package soak

import (
	"context"
	"flag"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	// The schedule of the default seed has stops, kills and pauses of VMs, a restored
	// store, a request that ends targets, and targets that announce each of leaving,
	// a pause and a rate limit.
	firstSeed = flag.Uint64("soak.seed", 21755, "seed of the first schedule; 0 picks a random one")
	seeds     = flag.Int("soak.seeds", 1, "number of schedules to run, with consecutive seeds")
	minutes   = flag.Float64("soak.minutes", 25.0/60, "length of each schedule")
	numVMs    = flag.Int("soak.vms", testSize.VMs, "gateway VMs, each a process")
	targets   = flag.Int("soak.targets", testSize.Targets, "targets, at least 2")
	domains   = flag.Int("soak.domains", testSize.Domains, "failure domains")
	logDir    = flag.String("soak.dir", "", "directory in which settings and logs are kept")
	// The default allows for a host on which other tests run. Invariants without
	// a time bound are not affected.
	slack = flag.Int("soak.slack", 4, "factor for time bounds, for busy hosts")
)

func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "celeryhook")
	out, err := exec.Command("go", "build", "-o", program, "celeryhook.example/celeryhook/cmd/celeryhook").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// runSchedule runs the schedule of a seed and writes its report to the test's log.
func runSchedule(ctx context.Context, t *testing.T, program string, seed uint64) Report {
	dir := t.TempDir()
	if *logDir != "" {
		var err error
		dir, err = NewDir(*logDir, seed)
		is.New(t).NoErr(err)
	}
	r, err := Run(ctx, Options{
		Seed: seed, Length: time.Duration(*minutes * float64(time.Minute)), Program: program, Dir: dir, Slack: *slack,
		Size: Size{VMs: *numVMs, Targets: *targets, Domains: *domains},
	})
	is.New(t).NoErr(err)
	var b strings.Builder
	r.Write(&b)
	if len(r.Violations) == 0 {
		t.Log(b.String())
		return r
	}
	t.Error(b.String())
	if *logDir == "" {
		logProcessOutput(t, dir)
	}
	return r
}

// logProcessOutput logs the ends of the processes' logs, because the test removes
// the directory.
func logProcessOutput(t *testing.T, dir string) {
	const tail = 4000
	files, _ := filepath.Glob(filepath.Join(dir, "*.log"))
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			continue
		}
		t.Logf("%s:\n%s", filepath.Base(f), b[max(0, len(b)-tail):])
	}
}

// Guards against violations of the invariants under overlapping faults, with real
// processes. docs/PROOFS.md describes runs with many seeds. An interrupt ends the
// processes.
func TestSoak(t *testing.T) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	program := build(t)
	first := *firstSeed
	if first == 0 {
		first = uint64(rand.Uint32())
	}
	for seed := first; seed < first+uint64(*seeds) && ctx.Err() == nil; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			is := is.New(t)
			r := runSchedule(ctx, t, program, seed)
			is.True(r.Counts["runs"] > 100)
			is.True(r.Counts["status 200"] > 100)
		})
	}
}

// Guards against two processes of one VM when a stop and a kill of it overlap: the
// second would fail, and the first would be left running. Found with seed 2000.
func TestOverlappingRestarts(t *testing.T) {
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "program")
	is.NoErr(os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700))
	g := &gateway{name: "vm0", dir: t.TempDir(), program: program}
	onExit := func(bool, *os.ProcessState) {}
	is.NoErr(g.start(onExit))
	is.NoErr(g.start(onExit))
	is.Equal(g.starts, 1)
	is.True(g.signal(syscall.SIGKILL))
	is.True(g.wait(progressTimeout))
	is.True(!g.signal(syscall.SIGTERM))
}
