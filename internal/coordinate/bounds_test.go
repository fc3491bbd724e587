package coordinate

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestSingleLosses guards the bounds of section 5.4: after one loss all ranges
// are served again within 2 s, with the platform up or down, wherever clocks,
// renewals and heartbeats happen to stand.
func TestSingleLosses(t *testing.T) {
	seeds := 60
	if raceEnabled || testing.Short() {
		seeds = 4
	}
	for _, loss := range []string{"kill t1", "freeze t1", "kill front:t1", "freeze front:t1", "kill holder:d1", "freeze holder:d1", "return t1", "return front:t1", "return holder:d1"} {
		for _, platform := range []string{"up", "down"} {
			t.Run(loss+", log "+platform, func(t *testing.T) {
				t.Parallel()
				var worst time.Duration
				for seed := range uint64(seeds) {
					w, d, err := singleLoss(seed, loss, platform)
					if err != nil {
						t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(w.trace, "\n"))
					}
					worst = max(worst, d)
				}
				t.Logf("%s, log %s: served again after at most %v", loss, platform, worst)
			})
		}
	}
}

func singleLoss(seed uint64, loss, platform string) (*world, time.Duration, error) {
	w := newWorld(seed)
	script := fmt.Sprintf("vm a d1 b d1 c d1 d d1\nrate a %f\nrate b %f\ntarget t1 d1 t2 d1 t3 d1 t4 d1\nrate t1 %f\nrate t2 %f\nstart\nrun 4s\nlog %s\nrun %dms\nexpect served\n%s\nrun 10ms",
		0.9975+0.005*w.rand.Float64(), 0.9975+0.005*w.rand.Float64(), 0.9975+0.005*w.rand.Float64(), 0.9975+0.005*w.rand.Float64(),
		platform, 2000+w.rand.IntN(1000), loss)
	for _, line := range strings.Split(script, "\n") {
		if err := w.command(line); err != nil {
			return w, 0, err
		}
	}
	began := w.now
	// A loss shows only when its grant or its front's confirmation has ended.
	last := w.now
	for w.now.Sub(began) < 4*time.Second {
		w.run(10 * time.Millisecond)
		if len(w.unserved()) > 0 {
			last = w.now
		}
		if len(w.faults) > 0 {
			return w, 0, fmt.Errorf("%s", w.faults[0])
		}
	}
	d := last.Sub(began) + 20*time.Millisecond
	if d > 2*time.Second {
		w.noteHolders()
		return w, d, fmt.Errorf("served again only after %v", d)
	}
	return w, d, nil
}
