package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
)

const start = core.Instant(time.Hour)

type setup struct {
	members int
	targets []discovery.Target
	service routing.Service
	limits  RetryLimits
}

// fleet returns a balancer for each VM of a deployment.
func (s setup) fleet() []*Balancer {
	view := &discovery.View{Targets: map[core.Target]*discovery.Target{}, ByService: map[core.Service][]*discovery.Target{}}
	for i := range s.targets {
		t := &s.targets[i]
		view.Targets[t.ID] = t
		view.ByService["s"] = append(view.ByService["s"], t)
	}
	s.service.Name = "s"
	var out []*Balancer
	for i := range max(s.members, 1) {
		b := New("d0", s.limits, rand.New(rand.NewPCG(uint64(i), 7)))
		b.Step(start, ServicesChanged{Services: map[core.Service]routing.Service{"s": s.service}})
		r := roster.New(roster.Member{VM: core.VM(fmt.Sprint("v", i))})
		for j := range s.members {
			r.Renew(start, roster.Member{VM: core.VM(fmt.Sprint("v", j))})
		}
		b.Step(start, MembersChanged{View: r.View()})
		b.Step(start, TargetsChanged{View: view})
		out = append(out, b)
	}
	return out
}

func warm(id string) discovery.Target {
	return discovery.Target{Entry: discovery.Entry{ID: core.Target(id), Service: "s", FailureDomain: "d0", Slots: 4, Address: id}}
}

func ask(b *Balancer, now core.Instant, change ...func(*Ask)) Decision {
	a := Ask{Service: "s", Priority: 2, Until: now.Add(time.Second)}
	for _, f := range change {
		f(&a)
	}
	return b.Step(now, a)[0].(Decide).Decision
}

// Guards against more requests at a cold target than it bears, summed over all
// VMs, in any second.
func TestColdTargetOverAllVMs(t *testing.T) {
	for _, divided := range []bool{false, true} {
		for _, members := range []int{1, 9, 61} {
			is := is.New(t)
			cold := warm("a")
			cold.ColdUntil = start.Add(time.Minute)
			fleet := setup{members: members, targets: []discovery.Target{cold}, service: routing.Service{ColdRate: 21, DividedByKey: divided}}.fleet()
			if divided {
				for _, b := range fleet {
					b.Step(start, OwnersChanged{View: owned("a")})
				}
			}
			var sent []core.Instant
			for ms := range 4000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				for _, b := range fleet {
					if ms%20 == 0 && ask(b, now).Verdict == Send {
						sent = append(sent, now)
						b.Step(now, Done{Service: "s", Target: "a", Result: Answered, Took: time.Millisecond})
					}
				}
			}
			is.True(len(sent) > 12) // it gets some work
			for i := range sent {
				in := 0
				for _, at := range sent[i:] {
					if at.Sub(sent[i]) < time.Second {
						in++
					}
				}
				if limit := 21*3/2 + 5; in > limit {
					t.Fatalf("%d VMs, divided %v: %d requests in a second, the limit is %d", members, divided, in, limit)
				}
			}
		}
	}
}

func owned(id core.Target) *ownership.View {
	cells := ownership.NewAssignments()
	for u := range ownership.Units {
		cells.Set(u, ownership.Assignment{Owner: ownership.Holder{Target: id}, Token: 1})
	}
	return &ownership.View{Services: map[core.Service]*ownership.Assignments{"s": cells}}
}

// Guards against retries beyond the shared budget in any window, whichever VMs
// the failures meet.
func TestRetryBudgetOverAllVMs(t *testing.T) {
	is := is.New(t)
	limits := RetryLimits{Ratio: 0.2, Extra: 58}
	fleet := setup{members: 9, targets: []discovery.Target{warm("a"), warm("b")}, limits: limits}.fleet()
	const window = 10 * time.Second
	requests, retries := []core.Instant{}, []core.Instant{}
	for ms := 0; ms < 25000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b := fleet[ms/10%len(fleet)]
		requests = append(requests, now)
		for kind := First; kind <= Hedge; kind++ {
			d := ask(b, now, func(a *Ask) { a.Kind = kind; a.Counted = kind != First })
			if d.Verdict != Send {
				continue
			}
			b.Step(now, Done{Service: "s", Target: d.Target.ID, Result: Cancelled})
			if kind != First {
				retries = append(retries, now)
			}
		}
	}
	is.True(len(retries) > 100)
	for _, from := range retries {
		in := func(list []core.Instant) (n float64) {
			for _, at := range list {
				if !at.Before(from) && at.Sub(from) < window {
					n++
				}
			}
			return n
		}
		if used, allowed := in(retries), limits.Ratio*in(requests)+limits.Extra; used > allowed {
			t.Fatalf("%.0f retries in a window that allows %.0f", used, allowed)
		}
	}
}

// Guards against work for targets that leave, and against requests for the keys
// of a leaving owner after the keys had time to move.
func TestLeavingTargets(t *testing.T) {
	is := is.New(t)
	leaving := warm("a")
	leaving.Draining, leaving.LeavingSince = true, start
	b := setup{targets: []discovery.Target{leaving}}.fleet()[0]
	is.Equal(ask(b, start).Verdict, Refuse)

	b = setup{targets: []discovery.Target{leaving}, service: routing.Service{DividedByKey: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: owned("a")})
	is.Equal(ask(b, start.Add(time.Second)).Verdict, Send)
	is.Equal(ask(b, start.Add(1300*time.Millisecond)).Verdict, Wait)
}

// Guards against a request for a key that goes to a target while the key moves.
func TestMovingKeyWaits(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warm("a")}, service: routing.Service{DividedByKey: true}}.fleet()[0]
	is.Equal(ask(b, start).Verdict, Wait) // no owner yet
	cells := ownership.NewAssignments()
	cells.Set(0, ownership.Assignment{Owner: ownership.Holder{Target: "a"}, Token: 2, Previous: ownership.Holder{Target: "b"}})
	b.Step(start, OwnersChanged{View: &ownership.View{Services: map[core.Service]*ownership.Assignments{"s": cells}}})
	d := ask(b, start)
	is.Equal(d.Verdict, Wait)
	is.Equal(d.Reason, "moving")
}

// Guards against requests for a process that was replaced under its id, and
// against a place at the new one that is never given back.
func TestReplacedProcess(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warm("a")}}.fleet()[0]
	is.Equal(ask(b, start).Verdict, Send)
	b.Step(start, Done{Service: "s", Target: "a", Result: NoConnection})
	is.Equal(ask(b, start).Verdict, Refuse)
	next := warm("a")
	next.Born = 9
	b.Step(start, TargetsChanged{View: &discovery.View{
		Targets: map[core.Target]*discovery.Target{"a": &next}, ByService: map[core.Service][]*discovery.Target{"s": {&next}},
	}})
	is.Equal(ask(b, start).Verdict, Send)
}

// Guards against a target that stays out after it can be reached again, and one
// that comes back cold and gets full load.
func TestUnreachableTargetIsProbed(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warm("a")}, service: routing.Service{ColdRate: 10}}.fleet()[0]
	ask(b, start)
	out := b.Step(start, Done{Service: "s", Target: "a", Result: NoConnection})
	is.Equal(out[0], Output(Suspect{Target: "a"}))
	out = b.Step(start.Add(probeFirst), Tick{})
	is.Equal(out[0].(Probe).Target, core.Target("a"))
	b.Step(start.Add(probeFirst), Probed{Target: "a", Healthy: true, Cold: 3 * time.Second})
	sent := 0
	for range 20 {
		if ask(b, start.Add(probeFirst)).Verdict == Send {
			sent++
		}
	}
	is.Equal(sent, 1)
}

// Guards against a full target that gets more, and refusals that tell nobody
// when to come back.
func TestFullTargetRefuses(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warm("a")}}.fleet()[0]
	sent := 0
	for range 40 {
		d := ask(b, start, func(a *Ask) { a.Until = start.Add(time.Minute) })
		if d.Verdict == Send {
			sent++
			continue
		}
		is.Equal(d.Reason, "full")
		is.True(d.RetryAfter >= minRetryAfter && d.RetryAfter <= maxRetryAfter)
	}
	is.Equal(sent, int(4*(1+queue)))
	urgent := 0
	for range 40 {
		if ask(b, start, func(a *Ask) { a.Priority, a.Until = 1, start.Add(time.Minute) }).Verdict == Send {
			urgent++
		}
	}
	is.Equal(sent+urgent, int(4*(1+urgentQueue))) // room is kept for what is urgent
}

// Guards against a target that fails most requests and keeps getting them.
func TestFailingTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warm("a"), warm("b")}}.fleet()[0]
	got := map[core.Target]int{}
	for i := range 400 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		d := ask(b, now)
		if d.Verdict != Send {
			continue
		}
		got[d.Target.ID]++
		done := Done{Service: "s", Target: d.Target.ID, Result: Answered, Took: 50 * time.Millisecond}
		if d.Target.ID == "a" && i%3 > 0 {
			done.Result = Failed
		}
		b.Step(now, done)
	}
	is.True(got["b"] > 5*got["a"])
}

// Guards against a survey that loses or doubles requests.
func TestSurveyCountsRequestsByUnit(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warm("a")}, service: routing.Service{DividedByKey: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: owned("a")})
	reply := make(chan ownership.LoadReport, 1)
	b.Step(start, Survey{Reply: reply})
	for range 10 {
		ask(b, start, func(a *Ask) { a.Key = 4097 })
	}
	out := b.Step(start.Add(time.Second), Survey{Reply: reply})
	is.Equal(out[0].(Surveyed).Load.UnitLoads["s"][ownership.Unit(4097)], 10.0)
	out = b.Step(start.Add(2*time.Second), Survey{Reply: reply})
	is.Equal(len(out[0].(Surveyed).Load.UnitLoads["s"]), 0)
}

// Guards against a connection from each VM to each target in a large
// deployment, against targets that few VMs use, and against requests that are
// refused while targets outside a VM's own part have room.
func TestLargeServicesAreSharedOut(t *testing.T) {
	is := is.New(t)
	var targets []discovery.Target
	for i := range 67 {
		targets = append(targets, warm(fmt.Sprint("t", i)))
	}
	fleet := setup{members: 61, targets: targets}.fleet()
	users := make(map[core.Target]int)
	pairs := 0
	for _, b := range fleet {
		used := make(map[core.Target]bool)
		for i := range 300 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			d := ask(b, now)
			is.Equal(d.Verdict, Send)
			used[d.Target.ID] = true
			b.Step(now, Done{Service: "s", Target: d.Target.ID, Result: Answered, Took: defaultServiceTime})
		}
		for id := range used {
			users[id]++
		}
		pairs += len(used)
	}
	is.True(pairs <= 61*(subset+1))
	for _, target := range targets {
		is.True(users[target.ID] >= subset/2)
	}
	b := fleet[0]
	sent := make(map[core.Target]bool)
	for range 67 * 4 {
		d := ask(b, start.Add(time.Minute))
		is.Equal(d.Verdict, Send)
		sent[d.Target.ID] = true
	}
	is.True(len(sent) > 2*subset)
}

// Guards against targets of different speed that count as equal once the last
// load report is a moment old: slow ones get as many requests and keys as fast
// ones.
func TestSpeedOfTargetsIsRemembered(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warm("fast"), warm("slow")}, service: routing.Service{DividedByKey: true}}.fleet()[0]
	speed := map[core.Target]float64{"fast": 0.7, "slow": 1.6}
	now := start
	for range 40 {
		for id, x := range speed {
			now = now.Add(50 * time.Millisecond)
			b.Step(now, Done{
				Service: "s", Target: id, Result: Answered, Took: time.Duration(x * float64(100*time.Millisecond)),
				Load: &LoadReport{Running: 1, Slots: 4, Slowdown: x},
			})
		}
	}
	now = now.Add(3 * time.Second)
	fast, slow := b.targets["fast"], b.targets["slow"]
	is.True(slow.expected(now, 0) > 2*fast.expected(now, 0))
	load := b.survey(now).ServiceTime
	is.True(load["slow"] > 2*load["fast"])
}

// Guards against a target without a recent report that looks empty although it
// never is.
func TestOldReportsAreReplacedByTheUsual(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warm("a")}}.fleet()[0]
	now := start
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		b.Step(now, Done{Service: "s", Target: "a", Result: Answered, Took: time.Millisecond, Load: &LoadReport{Running: 4, Waiting: 4, Slots: 4}})
	}
	a := b.targets["a"]
	is.True(a.occupancy(now.Add(time.Second)) > 4)
	is.True(a.occupancy(now.Add(20*time.Second)) < 1) // it is tried again
}
