package balance

import (
	"fmt"
	"testing"
	"time"
)

// Guards against an admission that wastes capacity where the demand is a little above
// it, or that rejects requests of a target that has room.
func TestAdmissionNearTheCapacity(t *testing.T) {
	for _, vms := range []int{1, 9, 58} {
		for _, perSecond := range []float64{18, 22, 26, 30, 40, 60, 100} {
			t.Run(fmt.Sprintf("vms=%d,demand=%.0f", vms, perSecond), func(t *testing.T) {
				f := newExchangeFleet(4, demandOf(vms, perSecond), 0)
				f.run(60 * time.Second)
				served, sent := count(f.served, 2*time.Second, 57*time.Second), f.sentIn(2*time.Second, 57*time.Second)
				plain := newExchangeFleet(4, demandOf(vms, perSecond), 0)
				plain.leaderGone = true
				plain.run(60 * time.Second)
				alone := count(plain.served, 2*time.Second, 57*time.Second)
				t.Logf("served %d, sent %d of %d; without digests served %d, sent %d; rejected %v, %v",
					served, sent, hotCapacity*57, alone, plain.sentIn(2*time.Second, 57*time.Second), f.rejected, plain.rejected)
				if perSecond < 4*hotCapacity && (served != alone || len(f.rejected) > 0 && f.rejected["admission"] > 0) {
					t.Errorf("%d requests served, %d without digests; rejected %v", served, alone, f.rejected)
				}
				if served*100 < alone*94 {
					t.Errorf("%d requests served, %d without digests", served, alone)
				}
				// Below four times the capacity the target's own queue is relied on.
				if perSecond > 4*hotCapacity && sent > hotCapacity*57*21/20 {
					t.Errorf("%d requests sent to a target that serves %d", sent, hotCapacity*57)
				}
			})
		}
	}
}
