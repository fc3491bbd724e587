package coordinate

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestSingleLosses guards against recovery that takes longer than the bounds in
// section 5.4: after a single loss all ranges are served again within 2 s, with
// the platform up or down, for random clock rates and phases of renewals and
// heartbeats.
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
					c, d, err := singleLoss(seed, loss, platform)
					if err != nil {
						t.Fatalf("seed %d: %v\n%s", seed, err, strings.Join(c.trace, "\n"))
					}
					worst = max(worst, d)
				}
				t.Logf("%s, log %s: served again after at most %v", loss, platform, worst)
			})
		}
	}
}

func singleLoss(seed uint64, loss, platform string) (*cluster, time.Duration, error) {
	c := newCluster(seed)
	script := fmt.Sprintf("vm a d1 b d1 c d1 d d1\nrate a %f\nrate b %f\ntarget t1 d1 t2 d1 t3 d1 t4 d1\nrate t1 %f\nrate t2 %f\nstart\nrun 4s\nlog %s\nrun %dms\nexpect served\n%s\nrun 10ms",
		0.9975+0.005*c.rand.Float64(), 0.9975+0.005*c.rand.Float64(), 0.9975+0.005*c.rand.Float64(), 0.9975+0.005*c.rand.Float64(),
		platform, 2000+c.rand.IntN(1000), loss)
	for _, line := range strings.Split(script, "\n") {
		if err := c.command(line); err != nil {
			return c, 0, err
		}
	}
	startedAt := c.now
	// A loss becomes visible only when the grant or the front's confirmation has
	// expired, so the whole period is checked.
	last := c.now
	for c.now.Sub(startedAt) < 4*time.Second {
		c.run(10 * time.Millisecond)
		if len(c.unserved()) > 0 {
			last = c.now
		}
		if len(c.violations) > 0 {
			return c, 0, fmt.Errorf("%s", c.violations[0])
		}
	}
	d := last.Sub(startedAt) + 20*time.Millisecond
	if d > 2*time.Second {
		c.traceHolders()
		return c, d, fmt.Errorf("served again only after %v", d)
	}
	return c, d, nil
}
