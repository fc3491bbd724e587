package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// smokeSeed is any seed; its schedule has stops, kills and pauses.
	smokeSeed   = 7
	smokeLength = 25 * time.Second
	// smokeSlack allows for a machine on which other tests run. Promises without
	// a bound in time are not affected.
	smokeSlack = 4
)

func build(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "celeryhook")
	out, err := exec.Command("go", "build", "-o", program, "celeryhook.example/celeryhook/cmd/celeryhook").CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

func play(t *testing.T, seed uint64, length time.Duration) Report {
	r, err := Run(context.Background(), Options{
		Seed: seed, Length: length, Size: testSize, Program: build(t), Dir: t.TempDir(), Slack: smokeSlack,
	})
	is.New(t).NoErr(err)
	if len(r.Violations) > 0 {
		var b strings.Builder
		r.Write(&b)
		t.Error(b.String())
		keepLogs(t, r.Dir)
	}
	return r
}

// keepLogs shows the ends of the processes' logs, as the folder is removed.
func keepLogs(t *testing.T, dir string) {
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

// Guards against broken promises under overlapping faults, with real processes.
func TestSoak(t *testing.T) {
	is := is.New(t)
	r := play(t, smokeSeed, smokeLength)
	is.True(r.Counts["runs"] > 100)
	is.True(r.Counts["status 200"] > 100)
}

// Guards against two processes of one VM, of which the second would fail and the
// first would be left behind, when a stop and a kill of it overlap (seed 2000).
func TestOverlappingRestarts(t *testing.T) {
	is := is.New(t)
	program := filepath.Join(t.TempDir(), "program")
	is.NoErr(os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700))
	g := &gateway{name: "vm0", dir: t.TempDir(), program: program}
	ended := func(bool, *os.ProcessState) {}
	is.NoErr(g.start(ended))
	is.NoErr(g.start(ended))
	is.Equal(g.starts, 1)
	is.True(g.signal(syscall.SIGKILL))
	is.True(g.wait(progressTime))
	is.True(!g.signal(syscall.SIGTERM))
}
