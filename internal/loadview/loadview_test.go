package loadview

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
)

const start = core.Instant(time.Hour)

var self = ownership.Leader{VM: "v0", Incarnation: 3}

func newLeading() *Aggregator {
	a := NewAggregator(self)
	a.Step(start, LeaderChanged{Leader: self})
	return a
}

// send passes a report to the aggregator and returns its digest and other outputs.
func send(a *Aggregator, now core.Instant, r Report) (Digest, []Output) {
	r.Reply = make(chan Digest, 1)
	if r.Interval == 0 {
		r.Interval = 250 * time.Millisecond
	}
	var d Digest
	var other []Output
	for _, o := range a.Step(now, r) {
		if reply, ok := o.(SendReply); ok {
			d = reply.Digest
			continue
		}
		other = append(other, o)
	}
	return d, other
}

// observed returns an observation of a target with 4 slots that takes 160 ms.
func observed(id core.Target, demand int) Observation {
	return Observation{
		Process: Process{Target: id, StartedAt: 7}, Slots: 4, Demand: demand, Sent: min(demand, 1), Samples: 1, ServiceTime: 160 * time.Millisecond,
	}
}

func from(vm int, observations ...Observation) Report {
	return Report{VM: core.VM(fmt.Sprint("v", vm)), Incarnation: 1, Observations: observations}
}

// Guards against a VM that aggregates although another one leads, and against a new
// leader that starts with entries of an earlier term.
func TestOnlyTheLeaderAggregates(t *testing.T) {
	is := is.New(t)
	a := NewAggregator(self)
	d, _ := send(a, start, from(1, observed("t", 100)))
	is.Equal(d, Digest{Leader: self})

	a.Step(start, LeaderChanged{Leader: self})
	d, _ = send(a, start, from(1, observed("t", 100)))
	is.True(d.Full)
	is.Equal(len(d.Entries), 1)
	first := d.Sequence

	a.Step(start, LeaderChanged{Leader: ownership.Leader{VM: "v0", Incarnation: 4}})
	d, _ = send(a, start.Add(time.Second), from(1, observed("t", 100)))
	is.Equal(d, Digest{Leader: self}) // a later process of the same VM leads
	a.Step(start, LeaderChanged{Leader: self})
	r := from(1)
	r.Leader, r.Have = self, first
	d, _ = send(a, start.Add(2*time.Second), r)
	is.True(d.Full) // digests of the earlier term don't count
	is.True(d.Sequence > first)
	is.Equal(len(d.Entries), 0)
}

// Guards against a digest that repeats what a VM has, or lacks what it needs.
func TestDigestHoldsWhatChanged(t *testing.T) {
	is := is.New(t)
	a := newLeading()
	now := start
	step := func(observations ...Observation) Digest {
		now = now.Add(250 * time.Millisecond)
		d, _ := send(a, now, from(1, observations...))
		return d
	}
	for range 20 {
		step(observed("t", 2), observed("u", 2))
	}
	have := step(observed("t", 2), observed("u", 2)).Sequence
	r := from(2)
	r.Leader, r.Have = self, have
	d, _ := send(a, now, r)
	is.True(!d.Full)
	is.Equal(len(d.Entries), 0)
	slow := observed("t", 2)
	slow.ServiceTime, slow.Samples = time.Second, 5
	step(slow, observed("u", 2))
	d, _ = send(a, now, r)
	is.Equal(len(d.Entries), 1)
	is.Equal(d.Entries[0].Target, core.Target("t"))
	r.Have = d.Sequence

	now = now.Add(EntryTTL + time.Second)
	a.Step(now, Tick{})
	d, _ = send(a, now, r)
	is.Equal(len(d.Entries), 2)
	is.True(d.Entries[0].Removed && d.Entries[1].Removed)
	r.Have = 0
	d, _ = send(a, now, r)
	is.True(d.Full)
	is.Equal(len(d.Entries), 0)
}

// admits returns what each of n VMs may send after they reported for some seconds.
// One of sendEvery VMs sends a request in each interval.
func admits(a *Aggregator, n, sendEvery int, limit float64, demand func(vm int) int) ([]float64, core.Instant) {
	now := start
	out := make([]float64, n)
	for step := range 16 {
		now = now.Add(250 * time.Millisecond)
		for vm := range n {
			o := observed("t", demand(vm))
			if (vm+step)%sendEvery != 0 {
				o.Sent = 0
			}
			o.Limit = limit
			d, _ := send(a, now, from(vm, o))
			out[vm] = 0
			if len(d.Entries) > 0 {
				out[vm] = d.Entries[0].Admit
			}
		}
	}
	return out, now
}

func sum(list []float64) float64 {
	var s float64
	for _, x := range list {
		s += x
	}
	return s
}

// Guards against shares that exceed the capacity by far, that don't follow the demand,
// or that exceed the limit that the target announced.
func TestCapacityIsDividedByDemand(t *testing.T) {
	is := is.New(t)
	list, _ := admits(newLeading(), 30, 5, 0, func(vm int) int { return 1 + vm%3 })
	// 4 slots and 160 ms make 25 requests per second; 240 are wanted.
	t.Logf("shares %.2f, sum %.1f", list[:3], sum(list))
	is.True(sum(list) > 25 && sum(list) < 25*1.3*1.2)
	is.True(math.Abs(list[1]/list[0]-2) < 0.1)
	is.True(math.Abs(list[2]/list[0]-3) < 0.1)

	list, _ = admits(newLeading(), 30, 14, 10, func(vm int) int { return 1 + vm%3 })
	t.Logf("shares %.2f, sum %.4f with a limit of 10", list[:3], sum(list))
	// The total may be refreshInterval older than the demand of the VM that reports.
	is.True(sum(list) > 9.5 && sum(list) <= 10.2)
	is.True(math.Abs(list[2]/list[0]-3) < 0.1)
}

// Guards against an admission while the target can serve what is wanted, and one that
// never ends.
func TestAdmissionBeginsAndEnds(t *testing.T) {
	is := is.New(t)
	a := newLeading()
	list, now := admits(a, 20, 5, 0, func(vm int) int { return vm % 4 / 3 }) // 20 a second
	is.Equal(sum(list), 0.0)
	var events []string
	run := func(d time.Duration, demand int) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(250 * time.Millisecond)
			for vm := range 20 {
				_, out := send(a, now, from(vm, observed("t", demand)))
				for _, o := range out {
					if e, ok := o.(Event); ok {
						events = append(events, e.Text)
					}
				}
			}
		}
	}
	run(time.Second, 3)
	is.Equal(events, []string{"target under admission"})
	d, _ := send(a, now, from(1))
	is.Equal(d.Admitting, 1)
	run(4*time.Second, 0)
	is.Equal(events, []string{"target under admission", "target no longer under admission"})
	d, _ = send(a, now, from(1))
	is.Equal(d.Admitting, 0)
	is.Equal(d.Entries[0].Admit, 0.0)
}

// Guards against the demand of VMs that are gone, of which others could use the share.
func TestSilentVMsExpire(t *testing.T) {
	is := is.New(t)
	a := newLeading()
	list, now := admits(a, 10, 5, 0, func(int) int { return 10 })
	before := list[0]
	for range 14 {
		now = now.Add(250 * time.Millisecond)
		d, _ := send(a, now, from(0, observed("t", 10)))
		list[0] = d.Entries[0].Admit
	}
	is.True(list[0] > 5*before)
	for _, state := range a.targets {
		is.Equal(len(state.byVM), 1)
	}
	now = now.Add(EntryTTL + time.Second)
	a.Step(now, Tick{})
	is.Equal(len(a.targets), 0)
	is.Equal(len(a.vms), 0)
	now = now.Add(EntryTTL + maxInterval + time.Second)
	a.Step(now, Tick{})
	is.Equal(len(a.removed), 0)
}

// Guards against demand that is counted several times while a VM reports none: with
// many VMs each sends a target one request every few seconds.
func TestRareRequestsCountOnce(t *testing.T) {
	is := is.New(t)
	a := newLeading()
	const vms, seconds = 60, 30
	total, n := 0.0, 0
	for step := range seconds * 4 {
		now := start.Add(time.Duration(step) * 250 * time.Millisecond)
		for vm := range vms {
			var list []Observation
			if (step+vm*7)%24 == 0 { // every 6 s, so that 10 a second are wanted
				list = append(list, observed("t", 1))
			}
			send(a, now, from(vm, list...))
		}
		if step > 40 {
			a.refreshedAt = 0
			a.refresh(now)
			for _, s := range a.targets {
				total += s.total.demand
				n++
			}
		}
	}
	t.Logf("mean demand %.2f a second", total/float64(n))
	is.True(math.Abs(total/float64(n)-10) < 3)
	is.Equal(a.admitting, 0)
}

// Guards against a target that turns slow and is noticed only after a minute.
func TestSlowTargetIsSeenWithinTwoSeconds(t *testing.T) {
	is := is.New(t)
	a := newLeading()
	now := start
	var last time.Duration
	run := func(d, service time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(250 * time.Millisecond)
			// 10 requests per second, by VMs in turn.
			for i := range 5 {
				if i%2 == 0 {
					o := observed("t", 1)
					o.ServiceTime = service
					send(a, now, from(int(now/core.Instant(250*time.Millisecond))%20*3+i, o))
					last = a.targets[o.Process].serviceTime()
				}
			}
		}
	}
	run(20*time.Second, 100*time.Millisecond)
	is.True(last > 95*time.Millisecond && last < 105*time.Millisecond)
	run(2*time.Second, 300*time.Millisecond)
	is.True(last > 220*time.Millisecond)
}

// Guards against values that a faulty VM reports, and against state without a bound.
func TestReportedValuesAreBounded(t *testing.T) {
	is := is.New(t)
	a := newLeading()
	now := start
	for _, v := range []float64{math.Inf(1), math.NaN(), math.Inf(-1), -3} {
		for _, n := range []int{math.MaxInt, math.MinInt, 0} {
			now = now.Add(250 * time.Millisecond)
			r := from(1, Observation{
				Process: Process{Target: "t"}, Slots: max(n, 1), Demand: n, Sent: n, TurnedAway: n, Samples: n, ServiceTime: time.Duration(n), Limit: v,
				Load: &Load{Running: n, Waiting: n, Slowdown: v, Age: time.Duration(n)},
			}, Observation{Process: Process{Target: "u"}, Slots: n}, Observation{Slots: 4})
			r.Interval = time.Duration(n)
			send(a, now, r)
			d, _ := send(a, now, from(2, observed("t", 1)))
			for _, e := range d.Entries {
				for _, x := range []float64{e.Demand, e.TurnedAway, e.Admit, float64(e.ServiceTime)} {
					is.True(!math.IsNaN(x) && !math.IsInf(x, 0) && x >= 0)
				}
				is.True(e.ServiceTime <= maxServiceTime)
			}
		}
	}
	var many []Observation
	for i := range maxTargets + 10 {
		many = append(many, observed(core.Target(fmt.Sprint("x", i)), 1))
	}
	send(a, now, from(1, many...))
	is.True(len(a.targets) <= maxTargets)
}

// Guards against a report of a VM's former process that arrives after its restart.
func TestFormerProcessOfAVM(t *testing.T) {
	is := is.New(t)
	a := newLeading()
	r := from(1, observed("t", 1))
	r.Incarnation = 5
	send(a, start, r)
	r = from(1, observed("u", 1))
	r.Incarnation = 4
	d, _ := send(a, start, r)
	is.Equal(d, Digest{Leader: self})
	is.Equal(len(a.targets), 1)
}

// Guards against reports of all VMs that together exceed what a leader takes.
func TestReportInterval(t *testing.T) {
	is := is.New(t)
	for vms, d := range map[int]time.Duration{
		0: 250 * time.Millisecond, 9: 250 * time.Millisecond, 58: 250 * time.Millisecond, 59: time.Second / 3,
		95: 500 * time.Millisecond, 300: time.Second, 13000: time.Second,
	} {
		is.Equal(ReportInterval(vms), d)
	}
}

func BenchmarkReport58VMs(b *testing.B) {
	a := newLeading()
	var list []Observation
	for i := range 25 {
		list = append(list, observed(core.Target(fmt.Sprint("target-", i)), 1))
	}
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(250 * time.Millisecond / 58)
		send(a, now, from(i%58, list...))
	}
}

// Guards against an admission that leaves a target idle which turns half of the
// requests away although it has room: those take no time there. And against an
// admission of a target that reports free slots.
func TestTurnedAwayRequestsTakeNoCapacity(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Hour)
	from := &sender{at: now}
	state := func(wanted, sent, turnedAway, running, waiting int) *targetState {
		s := &targetState{byVM: make(map[core.VM]*demand), trim: 1}
		for range 20 { // the rates are smoothed
			now = now.Add(time.Second)
			from.at = now
			s.observe(now, "v", from, time.Second, Observation{
				Slots: 4, Demand: wanted, Sent: sent, TurnedAway: turnedAway, Samples: 10, ServiceTime: 100 * time.Millisecond,
				Load: &Load{Running: running, Waiting: waiting, Slowdown: 1},
			})
			s.refresh(now, time.Second, 0)
		}
		return s
	}
	s := state(400, 100, 50, 4, 1)
	is.True(s.admitting)
	is.True(s.attemptCapacity() > 75 && s.attemptCapacity() < 85)   // 40 a second are run
	is.Equal(int(state(200, 100, 50, 4, 12).attemptCapacity()), 40) // the queue is full
	is.True(!state(150, 50, 0, 4, 8).admitting)
}
