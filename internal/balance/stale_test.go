package balance

import (
	"math/rand/v2"
	"testing"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/routing"
)

// usedAgainWithin is a generous bound for liveness.
const usedAgainWithin = 20 * time.Second

// lightLoad sends one request after the other, and returns after how long one was
// sent to a target. It reports false if none was within usedAgainWithin.
func lightLoad(b *Balancer, now core.Instant, id core.Target) (time.Duration, bool) {
	random := rand.New(rand.NewPCG(3, 4))
	begin := now
	for now.Sub(begin) < usedAgainWithin {
		d := selectTarget(b, now)
		if d.Verdict == Send && d.Target.ID == id {
			return now.Sub(begin), true
		}
		elapsed := time.Duration(50+random.IntN(20)) * time.Millisecond
		now = now.Add(elapsed)
		if d.Verdict == Send {
			b.Step(now, AttemptDone{Service: "s", Target: d.Target.ID, Result: Succeeded, Elapsed: elapsed, Announced: &Announcement{}})
		}
	}
	return usedAgainWithin, false
}

// Guards against a target that gets no requests any more once its estimates are
// worse than those of others, as only requests update them. Under a light load no
// other target becomes more expensive.
func TestTargetIsUsedAgainAfterBadResults(t *testing.T) {
	failed := func(r Result, a *Announcement) AttemptDone {
		return AttemptDone{Service: "s", Target: "a", Result: r, Elapsed: time.Millisecond, Announced: a}
	}
	slow := AttemptDone{Service: "s", Target: "a", Result: Succeeded, Elapsed: 900 * time.Millisecond, Announced: &Announcement{}}
	for name, results := range map[string][]AttemptDone{
		"a pause":                {failed(Shed, &Announcement{Pause: time.Second})},
		"a failure":              {failed(Failed, &Announcement{})},
		"an ejection":            {failed(Failed, nil), failed(TimedOut, nil), failed(Failed, nil)},
		"a slow response":        {slow},
		"several slow responses": {slow, slow, slow, slow, slow, slow, slow, slow},
	} {
		t.Run(name, func(t *testing.T) {
			b := setup{targets: []discovery.Target{warmTarget("a"), warmTarget("b"), warmTarget("c")}}.fleet()[0]
			now := start
			for range 200 {
				d := selectTarget(b, now)
				now = now.Add(60 * time.Millisecond)
				b.Step(now, AttemptDone{Service: "s", Target: d.Target.ID, Result: Succeeded, Elapsed: 60 * time.Millisecond, Announced: &Announcement{}})
			}
			for _, r := range results {
				b.Step(now, r)
			}
			after, used := lightLoad(b, now, "a")
			if !used {
				t.Fatalf("no request in %v", after)
			}
			t.Logf("used again after %v", after)
		})
	}
}

// Guards against an owner whose keys a VM rejects without end: responses just
// within their deadline raise the estimate above it, and only responses lower it.
func TestOwnerIsUsedAgainAfterSlowResponses(t *testing.T) {
	b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{Sharded: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: ownedBy("a")})
	now := start
	for range 200 {
		now = now.Add(999 * time.Millisecond)
		if d := selectTarget(b, now); d.Verdict != Send {
			break
		}
		b.Step(now, AttemptDone{Service: "s", Target: "a", Result: Succeeded, Elapsed: 999 * time.Millisecond, Announced: &Announcement{}})
	}
	if d := selectTarget(b, now, func(r *SelectTarget) { r.Deadline = now.Add(900 * time.Millisecond) }); d.Verdict == Send {
		t.Fatal("the estimate is below the deadline")
	}
	for begin := now; now.Sub(begin) < usedAgainWithin; now = now.Add(100 * time.Millisecond) {
		if selectTarget(b, now, func(r *SelectTarget) { r.Deadline = now.Add(900 * time.Millisecond) }).Verdict == Send {
			t.Logf("used again after %v", now.Sub(begin))
			return
		}
	}
	t.Fatalf("no request in %v", usedAgainWithin)
}
