package balance

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/routing"
)

// admittedVMs returns how many VMs apply an admission.
func (f *exchangeFleet) admittedVMs() int {
	n := 0
	for i := range f.vms {
		if f.admitted(i) {
			n++
		}
	}
	return n
}

// Guards against VMs that go on with the shares of a leader that is gone, and against
// a new leader that never divides the capacity.
func TestLeaderDisappears(t *testing.T) {
	is := is.New(t)
	f := newExchangeFleet(1, hotDemand(58), 0)
	f.run(5 * time.Second)
	is.Equal(f.admittedVMs(), 58)
	f.leaderGone = true
	f.run(loadview.EntryTTL + 10*time.Millisecond)
	is.Equal(f.admittedVMs(), 0)
	// Each VM decides from its own observations and still uses the target.
	f.run(5 * time.Second)
	is.True(count(f.served, 9*time.Second, 4*time.Second) >= hotCapacity*4*9/10)

	f.leaderGone = false
	f.lead(ownership.Leader{VM: "v1", Incarnation: 6})
	f.run(time.Second)
	is.Equal(f.admittedVMs(), 58)
	f.run(20 * time.Second)
	const from = 15 * time.Second
	sent := f.sentIn(from, 18*time.Second)
	t.Logf("sent %d of %d under the new leader", sent, hotCapacity*18)
	is.True(sent <= hotCapacity*18*11/10)
	is.True(count(f.served, from, 18*time.Second) >= hotCapacity*18*9/10)
}

// Guards against the share of a VM that is gone staying unused.
func TestVMsDisappear(t *testing.T) {
	is := is.New(t)
	f := newExchangeFleet(2, hotDemand(58), 0)
	f.run(5 * time.Second)
	for i := range f.silent {
		f.silent[i] = i%2 == 1
	}
	f.run(15 * time.Second)
	const from, d = 8 * time.Second, 12 * time.Second
	served, sent := count(f.served, from, d), f.sentIn(from, d)
	t.Logf("served %d, sent %d of %d", served, sent, hotCapacity*12)
	is.True(served >= hotCapacity*12*9/10)
	is.True(sent <= hotCapacity*12*11/10)
}

// Guards against an admission that exceeds the limit that a target announces: from 3 s
// after it was first named, 1.5 times the limit and 5 requests in any 4 s. Guards also
// against two buckets in a row, which leave half of the limit unused.
func TestAdmissionKeepsAnnouncedLimit(t *testing.T) {
	for _, vms := range []int{9, 58, 95} {
		is := is.New(t)
		const limit = 10
		f := newExchangeFleet(3, hotDemand(vms), limit)
		f.run(30 * time.Second)
		most := 0
		for ms := 5000; ms < 26000; ms += 100 {
			most = max(most, f.sentIn(time.Duration(ms)*time.Millisecond, 4*time.Second))
		}
		t.Logf("%d VMs: at most %d requests in 4 s, %d sent in 24 s", vms, most, f.sentIn(5*time.Second, 24*time.Second))
		is.True(most <= limit*4*3/2+5)
		is.True(f.sentIn(5*time.Second, 24*time.Second) >= limit*24*9/10)
	}
}

// Guards against load control that changes decisions or sends observations where it is
// not switched on.
func TestExchangeIsOffWithoutLoadControl(t *testing.T) {
	for _, sharded := range []bool{false, true} {
		is := is.New(t)
		newFleet := func() []*Balancer {
			fleet := setup{members: 3, targets: []discovery.Target{warmTarget("a"), warmTarget("b")}, service: routing.Service{Sharded: sharded}}.fleet()
			for _, b := range fleet {
				b.Step(start, OwnersChanged{View: ledBy("v0", 1)})
			}
			return fleet
		}
		plain, other := newFleet(), newFleet()
		random := rand.New(rand.NewPCG(1, 2))
		for ms := range 20000 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			i := random.IntN(3)
			if ms%50 == 0 {
				other[i].Step(now, DigestChanged{AsOf: now, Digest: loadview.Digest{
					Leader: ownership.Leader{VM: "v0", Incarnation: 1}, Sequence: uint64(ms + 1), Full: true,
					Entries: []loadview.Entry{hotEntry("a"), hotEntry("b")},
				}})
				o := observationsOf(other[i], now)
				is.Equal(len(o.Report.Observations)+len(o.Unreachable), 0)
			}
			d := selectTarget(plain[i], now)
			is.Equal(d, selectTarget(other[i], now))
			if d.Verdict == Send && random.IntN(4) > 0 {
				done := AttemptDone{
					Service: "s", Target: d.Target.ID, Result: Result(random.IntN(4)), Elapsed: time.Duration(random.IntN(200)) * time.Millisecond,
					Load: &TargetLoad{Running: random.IntN(5), Waiting: random.IntN(5), Slots: 4, Slowdown: 1 + random.Float64()},
				}
				plain[i].Step(now, done)
				other[i].Step(now, done)
			}
		}
	}
}

// ledBy returns a ledger in which the target a owns all keys.
func ledBy(vm core.VM, incarnation int64) *ownership.View {
	v := ownedBy("a")
	v.Leader = ownership.Leader{VM: vm, Incarnation: incarnation}
	return v
}

// hotEntry is the entry of a target that is slow, full and under admission.
func hotEntry(id core.Target) loadview.Entry {
	return loadview.Entry{
		Process: loadview.Process{Target: id}, Slots: 4, ServiceTime: 400 * time.Millisecond, Demand: 100, Admit: 0.5,
		Load: &loadview.Load{Running: 4, Waiting: 6, Slowdown: 1},
	}
}

func newControlled() *Balancer {
	b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{Sharded: true, LoadControl: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: ledBy("v0", 2)})
	return b
}

func digestOf(incarnation int64, sequence uint64, entries ...loadview.Entry) loadview.Digest {
	return loadview.Digest{Leader: ownership.Leader{VM: "v0", Incarnation: incarnation}, Sequence: sequence, Full: true, Entries: entries}
}

// Guards against a digest of an old leader, of another process of the target, or that
// a later one has overtaken.
func TestForeignDigestsAreIgnored(t *testing.T) {
	is := is.New(t)
	b := newControlled()
	a := b.targets["a"]
	b.Step(start, DigestChanged{Digest: digestOf(1, 9, hotEntry("a")), AsOf: start})
	is.Equal(a.digested, digested{}) // old leader
	b.Step(start, DigestChanged{Digest: digestOf(2, 0, hotEntry("a")), AsOf: start})
	is.Equal(a.digested, digested{}) // not the leader in its own view
	e := hotEntry("a")
	e.StartedAt = 77
	b.Step(start, DigestChanged{Digest: digestOf(2, 5, e), AsOf: start})
	is.Equal(a.digested, digested{}) // another process
	b.Step(start, DigestChanged{Digest: digestOf(2, 7, hotEntry("a")), AsOf: start})
	is.Equal(a.digested.admission.perSecond, 0.5)
	late := hotEntry("a")
	late.Admit = 3
	b.Step(start, DigestChanged{Digest: digestOf(2, 6, late), AsOf: start.Add(-time.Millisecond)})
	is.Equal(a.digested.admission.perSecond, 0.5) // overtaken
	late.Removed = true
	b.Step(start, DigestChanged{Digest: digestOf(2, 8, late), AsOf: start})
	is.Equal(a.digested, digested{})
}

// Guards against estimates that become infinite, negative or invalid by a digest.
func TestDigestValuesAreBounded(t *testing.T) {
	for _, v := range []float64{math.Inf(1), math.Inf(-1), math.NaN(), -5, 1e300} {
		is := is.New(t)
		b := newControlled()
		b.Step(start, DigestChanged{AsOf: start, Digest: digestOf(2, 1, loadview.Entry{
			Process: loadview.Process{Target: "a"}, Slots: math.MaxInt, ServiceTime: math.MaxInt64, Demand: v, TurnedAway: v, Admit: v,
			Load: &loadview.Load{Running: math.MaxInt, Waiting: -5, Slowdown: v, Age: math.MinInt64},
		})})
		now := start.Add(time.Millisecond)
		d := selectTarget(b, now)
		a := b.targets["a"]
		for _, x := range []float64{a.occupancy(now), a.slowdown(now), a.paceOrUsual(now), a.digested.admission.tokens, float64(d.RetryAfter)} {
			is.True(!math.IsNaN(x) && !math.IsInf(x, 0) && x >= 0)
		}
		is.True(d.ExpectedLatency >= 0)
	}
}

// Guards against the load or the service time of a digest in place of the VM's own
// estimates: the service time over all VMs contains queueing that no VM knows of, and
// with them fewer requests were answered in time on calm and on heavy days.
func TestDigestLeavesTheEstimatesAlone(t *testing.T) {
	is := is.New(t)
	b := newControlled()
	a := b.targets["a"]
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		is.Equal(selectTarget(b, now).Verdict, Send)
		b.Step(now, AttemptDone{
			Service: "s", Target: "a", Result: Succeeded, Elapsed: 80 * time.Millisecond, Load: &TargetLoad{Running: 1, Slots: 4, Slowdown: 1},
		})
	}
	now := start.Add(4 * time.Second)
	latency, occupancy, pace := a.expectedLatency(now, b.workOf(now, SelectTarget{Service: "s"})), a.occupancy(now), a.paceOrUsual(now)
	e := hotEntry("a")
	e.ServiceTime = 5 * b.work.mean("s")
	b.Step(now, DigestChanged{Digest: digestOf(2, 1, e), AsOf: now})
	is.Equal(a.expectedLatency(now, b.workOf(now, SelectTarget{Service: "s"})), latency)
	is.Equal(a.occupancy(now), occupancy)
	is.Equal(a.paceOrUsual(now), pace)
	is.True(a.digested.admission.perSecond > 0)
}

// Guards against an entry that stays in use although the leader no longer repeats it,
// and against one that expires although it has only not changed.
func TestUnchangedEntriesAreRefreshed(t *testing.T) {
	is := is.New(t)
	b := newControlled()
	a := b.targets["a"]
	b.Step(start, DigestChanged{Digest: digestOf(2, 1, hotEntry("a")), AsOf: start})
	now := start.Add(2900 * time.Millisecond)
	unchanged := digestOf(2, 1)
	unchanged.Full = false
	b.Step(now, DigestChanged{Digest: unchanged, AsOf: now})
	is.Equal(a.digested.weight(now.Add(time.Second)), 1.0)
	later := now.Add(time.Second)
	b.Step(later, DigestChanged{Digest: digestOf(2, 5), AsOf: later})
	is.Equal(a.digested.weight(now.Add(loadview.EntryTTL)), 0.0)
}

// Guards against rejections that the counters of the reasons don't show, and against
// callers told to return at once or never.
func TestRejectionByAdmission(t *testing.T) {
	is := is.New(t)
	b := newControlled()
	e := hotEntry("a")
	e.Load, e.ServiceTime = nil, 0
	b.Step(start, DigestChanged{Digest: digestOf(2, 1, e), AsOf: start})
	b.targets["a"].digested.admission.tokens = 0
	d := selectTarget(b, start, func(a *SelectTarget) { a.Priority = 0 })
	is.Equal(d.Verdict, Reject)
	is.Equal(d.Reason, "admission")
	is.True(d.RetryAfter >= minRetryAfter && d.RetryAfter <= maxRetryAfter)
	o := observationsOf(b, start.Add(time.Second))
	is.Equal(len(o.Report.Observations), 1)
	is.Equal(o.Report.Observations[0].Demand, 1) // wanted, not sent
	is.Equal(o.Report.Observations[0].Sent, 0)
	is.Equal(o.Report.Have, uint64(1))
	is.Equal(len(observationsOf(b, start.Add(2*time.Second)).Report.Observations), 0)
	is.Equal(selectTarget(b, start).Verdict, Send) // a less urgent one may wait in the queue
}
