package team

import (
	"slices"
	"testing"
	"time"
)

func TestTrialGap(t *testing.T) {
	for seed := uint64(0); seed < 10; seed++ {
		w := newWorld(t, seed, 20, large)
		w.calm = true
		w.run(10 * time.Second)
		w.load("large", 150, w.all()...)
		w.run(10 * time.Second)
		at := w.now
		w.leaderVM().up = false
		w.run(20 * time.Second)
		times := slices.Sorted(slices.Values(w.sent["large"]))
		gap := time.Duration(0)
		n := 0
		for i := 1; i < len(times); i++ {
			if times[i].After(at) && times[i].Before(at.Add(10*time.Second)) {
				n++
				gap = max(gap, times[i].Sub(times[i-1]))
			}
		}
		t.Log("gap", gap, "sent in 10 s", n)
	}
}
