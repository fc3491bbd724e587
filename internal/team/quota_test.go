package team

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

var (
	large = Team{Name: "large", Rate: 200, Burst: 50}
	small = Team{Name: "small", Rate: 4, Burst: 6}
	// tight has no burst: nothing but the rate allows its requests.
	tight = Team{Name: "tight", Rate: 40}
)

// overload sends more of each team than its quota allows, to all VMs and some of them
// to one.
func (w *world) overload() {
	w.load("large", 500, w.all()...)
	w.load("large", 300, 0)
	w.load("small", 30, w.all()...)
	w.load("tight", 150, w.all()...)
}

// The simulations run with the seeds from firstSeed on.
var (
	seeds     = flag.Uint64("seeds", 3, "number of seeds for each simulation")
	firstSeed = flag.Uint64("first-seed", 0, "first seed of the simulations")
)

// faulty runs a failure under overload with several seeds and checks that no quota is
// exceeded. Half of the time passes before the failure.
func faulty(t *testing.T, vms int, fail func(w *world)) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed, vms, large, small, tight)
			w.after(w.between(0, 2*time.Second), w.overload)
			w.run(12*time.Second + w.between(0, 2*time.Second))
			fail(w)
			w.run(30 * time.Second)
			w.check(0, large, small, tight)
			if n := len(w.sent["large"]); n < 1000 {
				t.Errorf("only %d requests sent", n) // the check would hold if nothing were sent
			}
		})
	}
}

func (w *world) leaderVM() *worldVM { return w.find(w.store.leader.vm) }

// Guards against quotas that are exceeded, or hardly used, without any failure.
func TestQuotaUnderOverload(t *testing.T) {
	faulty(t, 9, func(w *world) {
		w.judge = true
		before := len(w.sent["large"])
		w.run(20 * time.Second)
		if n := len(w.sent["large"]) - before; float64(n) < 0.9*20*large.Rate {
			w.t.Errorf("%d of %v requests sent", n, 20*large.Rate)
		}
	})
}

// Guards against a quota that is exceeded while the account moves.
func TestQuotaWhenTheAccountIsKilled(t *testing.T) {
	faulty(t, 9, func(w *world) {
		for range 3 {
			w.leaderVM().up = false
			w.run(w.between(4*time.Second, 9*time.Second))
		}
	})
}

// Guards against an account that issues permits after a suspension in which another
// took over, and against permits that are used after one.
func TestQuotaWhenVMsAreSuspended(t *testing.T) {
	faulty(t, 9, func(w *world) {
		for range 4 {
			a, b := w.leaderVM(), w.vms[w.random.IntN(len(w.vms))]
			a.suspended, b.suspended = true, true
			w.run(w.between(100*time.Millisecond, 8*time.Second))
			for _, v := range []*worldVM{a, b} {
				v.suspended = false
				deferred := v.deferred
				v.deferred = nil
				for _, run := range deferred {
					run()
				}
			}
			w.run(w.between(0, 5*time.Second))
		}
	})
}

// Guards against a quota that starts anew with each process.
func TestQuotaWhenVMsRestart(t *testing.T) {
	faulty(t, 9, func(w *world) {
		for range 3 {
			for _, v := range w.vms {
				w.start(v)
				w.run(w.between(0, time.Second))
			}
		}
	})
}

// Guards against a quota for each side of a partition, whichever side has the store,
// the account and the majority.
func TestQuotaWhenVMsArePartitioned(t *testing.T) {
	faulty(t, 9, func(w *world) {
		for range 3 {
			for _, v := range w.vms {
				v.group = w.random.IntN(2)
			}
			w.store.group = w.random.IntN(2)
			w.run(w.between(time.Second, 30*time.Second))
			for _, v := range w.vms {
				v.group = 0
			}
			w.store.group = 0
			w.run(w.between(0, 10*time.Second))
		}
	})
}

// Guards against an old account that goes on beside a new one when a majority is cut
// off from the store for longer than the records of VMs last.
func TestQuotaWhenTheMajorityLosesTheStore(t *testing.T) {
	faulty(t, 9, func(w *world) {
		leader := w.leaderVM()
		others := 0
		for _, v := range w.vms {
			if v != leader && others < 4 {
				v.group = 1
				others++
			}
		}
		w.store.group = 1
		w.run(60 * time.Second)
	})
}

// Guards against an account that goes on in a minority without the store beside the new
// one.
func TestQuotaWhenTheAccountIsCutOff(t *testing.T) {
	faulty(t, 9, func(w *world) {
		old := w.leaderVM()
		old.group, w.vms[0].group, w.vms[1].group = 1, 1, 1
		w.run(15 * time.Second)
		if w.leaderVM() == old || !w.leaderVM().account.open(w.now) {
			w.t.Error("no new account")
		}
	})
}

// Guards against an account in a minority that opens because its VM has restarted and no
// longer knows the majority, which goes on without the store.
func TestQuotaWhenAMinorityRestarts(t *testing.T) {
	faulty(t, 9, func(w *world) {
		leader := w.leaderVM()
		others := 0
		for _, v := range w.vms {
			if v != leader && others < 4 {
				v.group = 1
				others++
			}
		}
		w.store.group = 1
		w.run(30 * time.Second) // the records of the majority have expired
		for _, v := range w.vms {
			if v.group == 1 && others > 1 {
				w.start(v)
				others--
				w.run(5 * time.Second)
			}
		}
		w.run(20 * time.Second)
	})
}

// Guards against a quota that is exceeded or, as long as the leader and a majority
// run, not available while the store is down.
func TestQuotaWhenTheStoreIsDown(t *testing.T) {
	faulty(t, 9, func(w *world) {
		w.store.down = true
		before := len(w.sent["large"])
		w.run(30 * time.Second)
		if n := len(w.sent["large"]) - before; float64(n) < 0.8*30*large.Rate {
			w.t.Errorf("%d of %v requests sent", n, 30*large.Rate)
		}
		w.store.down = false
	})
}

// Guards against a quota that is exceeded while what VMs read of the store is old, as
// when leaders change often.
func TestQuotaWhenTheStoreIsSlow(t *testing.T) {
	faulty(t, 9, func(w *world) {
		w.store.slow = true
		for range 5 {
			v := w.leaderVM()
			v.group = 1
			w.run(w.between(time.Second, 10*time.Second))
			v.group = 0
		}
		w.store.slow = false
	})
}

// Guards against two accounts when the store comes back with an earlier leader.
func TestQuotaWhenTheStoreIsOlder(t *testing.T) {
	faulty(t, 9, func(w *world) {
		w.leaderVM().suspended = true
		w.run(8 * time.Second)
		for _, v := range w.vms {
			v.suspended, v.deferred = false, nil
		}
		w.store.leader = w.store.previous
		w.store.next += 1 << 40
		w.store.renewed = w.now
	})
}

// Guards against new VMs that each have a quota of their own.
func TestQuotaWhenVMsAreAdded(t *testing.T) {
	faulty(t, 3, func(w *world) {
		for range 10 {
			w.add()
			w.load("large", 100, len(w.vms)-1)
			w.run(w.between(0, 2*time.Second))
		}
	})
}

// Guards against a lowered quota that doesn't bind one window after the configuration
// applies, also at VMs that are cut off, and against a raised one that isn't used.
func TestChangedQuotas(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed, 9, large, small, tight)
			w.overload()
			w.run(12 * time.Second)
			if seed%2 == 1 {
				w.vms[w.random.IntN(len(w.vms))].group = 1
			}
			lower := Team{Name: "large", Rate: 5, Burst: 1}
			w.configure(lower, small, tight)
			from := w.now.Add(testLimits.Apply + testLimits.Window)
			w.run(25 * time.Second)
			w.check(from, lower)
			w.configure(large, small, tight)
			w.run(10 * time.Second)
			before := len(w.sent["large"])
			w.run(10 * time.Second)
			w.check(0, large)
			if n := len(w.sent["large"]) - before; float64(n) < 0.9*10*large.Rate {
				t.Errorf("%d of %v requests sent", n, 10*large.Rate)
			}
		})
	}
}

// Guards against rejections for quota within the quota on a calm day.
func TestNothingIsRejectedWithinTheQuota(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed, 20, large, small, tight)
			w.calm = true
			w.run(8 * time.Second)
			w.judge = true
			w.load("large", 0.5*large.Rate, w.all()...)
			w.load("large", 0.3*large.Rate, 3)
			w.load("small", 0.5*small.Rate, w.all()...)
			w.load("tight", 0.6*tight.Rate, w.all()...)
			w.run(60 * time.Second)
			for name, v := range w.verdicts {
				if v[Exceeded]+v[Unavailable] > 0 {
					t.Errorf("team %s: %d sent, %d exceeded, %d without an account", name, v[Admitted], v[Exceeded], v[Unavailable])
				}
			}
			t.Logf("%d calls in 60 s", w.calls)
		})
	}
}

// Guards against a team at one VM that gets less than its whole quota.
func TestOneVMGetsTheWholeQuota(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, 79, large)
	w.load("large", 3*large.Rate, 5)
	w.run(10 * time.Second)
	before := len(w.sent["large"])
	w.run(20 * time.Second)
	is.True(float64(len(w.sent["large"])-before) > 0.95*20*large.Rate)
	w.check(0, large)
}

// Guards against callers that return when they were told and find the quota exceeded
// again, although together they stay within it.
func TestCallersThatReturnInTimeAreAdmitted(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed, 9, tight)
			w.calm = true
			w.run(10 * time.Second)
			returned, again := 0, 0
			for i := range 150 { // at once: more than a second of the quota
				v := w.vms[i%len(w.vms)]
				w.send(v, "tight", func(first Verdict) {
					if first.Outcome != Exceeded {
						return
					}
					w.after(first.RetryAfter+5*time.Millisecond, func() {
						w.send(v, "tight", func(second Verdict) {
							if returned++; second.Outcome != Admitted {
								again++
							}
						})
					})
				})
			}
			w.run(10 * time.Second)
			t.Logf("%d returned, %d were rejected again", returned, again)
			if returned < 80 || 4*again > returned {
				t.Errorf("%d returned, %d were rejected again", returned, again)
			}
		})
	}
}

// Guards against a Retry-After after which the quota is exceeded as before.
func TestRetryAfterOfAnExceededQuota(t *testing.T) {
	is := is.New(t)
	const now = core.Instant(time.Hour)
	b := &bucket{quota: quota{rate: 10, burst: 5}, levelAt: now}
	b.level = b.capacity()
	at := now
	for issued := 0; issued < 200; {
		if b.available(at, testLimits) > 0 {
			b.issue(at, 1)
			issued++
			continue
		}
		d := b.wait(at, testLimits)
		is.True(d > 0)
		is.Equal(b.available(at.Add(d-time.Millisecond), testLimits), 0)
		at = at.Add(d + time.Microsecond)
		is.True(b.available(at, testLimits) > 0)
	}
	is.True(at.Sub(now) > 17*time.Second) // 185 of 200 at 10 a second
	is.True(at.Sub(now) < 21*time.Second)
}

// Guards against permits that are credited twice, to another account, or beyond what
// was issued.
func TestReturnedPermits(t *testing.T) {
	is := is.New(t)
	const now = core.Instant(time.Hour)
	b := &bucket{quota: quota{rate: 10, burst: 5}, levelAt: now, level: 15}
	issue := b.issue(now, 10)
	is.Equal(b.available(now, testLimits), 5)
	b.takeBack(issue, 4)
	is.Equal(b.available(now, testLimits), 9)
	b.takeBack(issue.Add(1), 4)
	is.Equal(b.available(now, testLimits), 9)
	b.takeBack(issue, 100)
	b.takeBack(issue, -100)
	is.Equal(b.available(now, testLimits), 15)
}

func BenchmarkTake(b *testing.B) {
	h := NewHolder(testLimits, worldStart)
	now := worldStart
	reply := make(chan Verdict, 1)
	m := Take{Team: &large, Version: 1, Until: now.Add(time.Second), Reply: reply}
	h.Step(now, m)
	h.Step(now, AskDone{Seq: 1, Reply: AskReply{Items: []Issued{{Count: 1 << 30}}}})
	b.ReportAllocs()
	for b.Loop() {
		if len(h.Step(now, m)) != 1 {
			b.Fatal("no decision")
		}
	}
}

func BenchmarkIssue(b *testing.B) {
	a := NewAccount(testLimits, true)
	now := worldStart
	a.Step(now, LedgerRead{NoLeader: true, AsOf: now})
	a.Step(now, LedgerRead{Leading: true, Next: 1, AsOf: now})
	item := AskItem{Team: "large", Version: 1, Rate: 1e6, Burst: 50, Needed: 1}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(2 * time.Microsecond)
		a.asOf = now
		if r := a.answer(now, []AskItem{item}); r.Closed || r.Items[0].Count != 1 {
			b.Fatal("no permit", r)
		}
	}
}

// Guards against calls while no team has a quota: without teams nothing changes.
func TestWithoutQuotasNobodyIsCalled(t *testing.T) {
	w := newWorld(t, 1, 5, Team{Name: "free", Keys: []Key{"k"}})
	w.load("free", 100, w.all()...)
	w.run(10 * time.Second)
	w.store.down = true
	w.run(10 * time.Second)
	is := is.New(t)
	is.Equal(w.calls, 0)
	is.Equal(w.checks, 0)
	is.True(len(w.sent["free"]) > 1000)
}

// Guards against a wait for the account that never ends, and against a share without
// the account at a VM that has just started or has an old configuration.
func TestLocalShare(t *testing.T) {
	is := is.New(t)
	few := Team{Name: "few", Rate: 10, Burst: 100}
	h := NewHolder(testLimits, worldStart)
	count := func(now core.Instant) (admitted int) {
		var replies []chan Verdict
		for range 100 {
			reply := make(chan Verdict, 1)
			replies = append(replies, reply)
			for _, o := range h.Step(now, Take{Team: &few, Version: 1, Until: now.Add(100 * time.Millisecond), Reply: reply}) {
				if ask, ok := o.(Ask); ok {
					h.Step(now, AskDone{Seq: ask.Seq, Failed: true})
				}
			}
		}
		for _, o := range h.Step(now.Add(100*time.Millisecond), Tick{}) {
			if o, ok := o.(TakeReply); ok {
				o.To <- o.Verdict
			}
		}
		for _, r := range replies {
			if v := <-r; v.Outcome == Admitted {
				admitted++
			} else {
				is.Equal(v.Outcome, Unavailable)
				is.True(v.RetryAfter > 0)
			}
		}
		return admitted
	}
	now := worldStart.Add(time.Second)
	h.Step(now, ConfigRead{AsOf: now})
	is.Equal(count(now), 0)
	now = worldStart.Add(time.Minute)
	is.Equal(count(now), 0)
	h.Step(now, ConfigRead{AsOf: now})
	most := int(testLimits.tolerance(quota{rate: few.Rate, burst: few.Burst}))
	n := count(now)
	is.True(n > 0 && n < most)
	is.Equal(count(now.Add(time.Second)), 0)
	now = now.Add(testLimits.Window + time.Second)
	h.Step(now, ConfigRead{AsOf: now})
	is.Equal(count(now), n)
}
