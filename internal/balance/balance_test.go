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

func warmTarget(id string) discovery.Target {
	return discovery.Target{Registration: discovery.Registration{ID: core.Target(id), Service: "s", FailureDomain: "d0", Slots: 4, Address: id}}
}

func selectTarget(b *Balancer, now core.Instant, change ...func(*SelectTarget)) Decision {
	a := SelectTarget{Service: "s", Priority: 2, Deadline: now.Add(time.Second)}
	for _, f := range change {
		f(&a)
	}
	return b.Step(now, a)[0].(DecisionReply).Decision
}

// Guards against exceeding the cold rate of a target in any second, summed over
// all VMs.
func TestColdTargetOverAllVMs(t *testing.T) {
	for _, sharded := range []bool{false, true} {
		for _, members := range []int{1, 9, 61} {
			is := is.New(t)
			cold := warmTarget("a")
			cold.ColdUntil = start.Add(time.Minute)
			fleet := setup{members: members, targets: []discovery.Target{cold}, service: routing.Service{ColdRate: 21, Sharded: sharded}}.fleet()
			if sharded {
				for _, b := range fleet {
					b.Step(start, OwnersChanged{View: ownedBy("a")})
				}
			}
			var sent []core.Instant
			for ms := range 4000 {
				now := start.Add(time.Duration(ms) * time.Millisecond)
				for _, b := range fleet {
					if ms%20 == 0 && selectTarget(b, now).Verdict == Send {
						sent = append(sent, now)
						b.Step(now, AttemptDone{Service: "s", Target: "a", Result: Succeeded, Elapsed: time.Millisecond})
					}
				}
			}
			is.True(len(sent) > 12) // it gets some requests
			for i := range sent {
				in := 0
				for _, at := range sent[i:] {
					if at.Sub(sent[i]) < time.Second {
						in++
					}
				}
				if limit := 21*3/2 + 5; in > limit {
					t.Fatalf("%d VMs, sharded %v: %d requests in a second, the limit is %d", members, sharded, in, limit)
				}
			}
		}
	}
}

func ownedBy(id core.Target) *ownership.View {
	assignments := ownership.NewAssignments()
	for u := range ownership.Units {
		assignments.Set(u, ownership.Assignment{Owner: ownership.Holder{Target: id}, Token: 1})
	}
	return &ownership.View{Services: map[core.Service]*ownership.Assignments{"s": assignments}}
}

// Guards against exceeding the retry limits of the deployment in any window,
// however the failures are distributed over the VMs.
func TestRetryBudgetOverAllVMs(t *testing.T) {
	for _, loadControl := range []bool{false, true} {
		testRetryBudgetOverAllVMs(t, loadControl)
	}
}

func testRetryBudgetOverAllVMs(t *testing.T, loadControl bool) {
	t.Helper()
	is := is.New(t)
	limits := RetryLimits{Ratio: 0.2, Extra: 58}
	fleet := setup{members: 9, targets: []discovery.Target{warmTarget("a"), warmTarget("b")}, limits: limits, service: routing.Service{LoadControl: loadControl}}.fleet()
	const window = 10 * time.Second
	requests, retries := []core.Instant{}, []core.Instant{}
	for ms := 0; ms < 25000; ms += 10 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		b := fleet[ms/10%len(fleet)]
		requests = append(requests, now)
		for kind := First; kind <= Hedge; kind++ {
			d := selectTarget(b, now, func(a *SelectTarget) {
				a.Kind, a.Counted = kind, kind != First
				a.Patience = time.Second - time.Duration(ms%3)*100*time.Millisecond // some have returned
			})
			if d.Verdict != Send {
				continue
			}
			b.Step(now, AttemptDone{Service: "s", Target: d.Target.ID, Result: Cancelled})
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

// Guards against requests to draining targets, and against requests for the keys
// of a draining owner after the grace period in which the keys move.
func TestLeavingTargets(t *testing.T) {
	is := is.New(t)
	leaving := warmTarget("a")
	leaving.Draining, leaving.LeavingSince = true, start
	b := setup{targets: []discovery.Target{leaving}}.fleet()[0]
	is.Equal(selectTarget(b, start).Verdict, Reject)

	b = setup{targets: []discovery.Target{leaving}, service: routing.Service{Sharded: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: ownedBy("a")})
	is.Equal(selectTarget(b, start.Add(time.Second)).Verdict, Send)
	is.Equal(selectTarget(b, start.Add(1300*time.Millisecond)).Verdict, Wait)
}

// Guards against sending a request for a key to a target while the key is moving
// to another owner.
func TestMovingKeyWaits(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{Sharded: true}}.fleet()[0]
	is.Equal(selectTarget(b, start).Verdict, Wait) // no owner yet
	assignments := ownership.NewAssignments()
	assignments.Set(0, ownership.Assignment{Owner: ownership.Holder{Target: "a"}, Token: 2, Previous: ownership.Holder{Target: "b"}})
	b.Step(start, OwnersChanged{View: &ownership.View{Services: map[core.Service]*ownership.Assignments{"s": assignments}}})
	d := selectTarget(b, start)
	is.Equal(d.Verdict, Wait)
	is.Equal(d.Reason, "moving")
	is.Equal(d.MaxWait, minOwnerWait)
	// Requests with time to spare outlast the running ones that the move waits for.
	is.Equal(selectTarget(b, start, func(a *SelectTarget) { a.Objective = 2 * time.Second }).MaxWait, time.Second)
}

// Guards against callers that spend their retries within the seconds in which
// the keys of a lost owner have none.
func TestLostOwnerIsNotRetriedSoon(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{Sharded: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: ownedBy("a")})
	is.Equal(selectTarget(b, start).Verdict, Send)
	b.Step(start, AttemptDone{Service: "s", Target: "a", Result: ConnectFailed})
	d := selectTarget(b, start, func(a *SelectTarget) { a.Objective = 2 * time.Second })
	is.Equal(d.Verdict, Wait)
	is.Equal(d.MaxWait, minOwnerWait)
	is.Equal(d.RetryAfter, ownerLostRetryAfter)
}

// Guards against requests to a process that was replaced under its id, and
// against requests in flight at the old process that are never released.
func TestReplacedProcess(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}}.fleet()[0]
	is.Equal(selectTarget(b, start).Verdict, Send)
	b.Step(start, AttemptDone{Service: "s", Target: "a", Result: ConnectFailed})
	is.Equal(selectTarget(b, start).Verdict, Reject)
	next := warmTarget("a")
	next.StartedAt = 9
	b.Step(start, TargetsChanged{View: &discovery.View{
		Targets: map[core.Target]*discovery.Target{"a": &next}, ByService: map[core.Service][]*discovery.Target{"s": {&next}},
	}})
	is.Equal(selectTarget(b, start).Verdict, Send)
}

// Guards against a target that gets no requests after it is reachable again, and
// against full load on one that returns cold.
func TestUnreachableTargetIsProbed(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{ColdRate: 10}}.fleet()[0]
	selectTarget(b, start)
	out := b.Step(start, AttemptDone{Service: "s", Target: "a", Result: ConnectFailed})
	is.Equal(out[0], Output(TargetUnreachable{Target: "a"}))
	out = b.Step(start.Add(minProbeBackoff), Tick{})
	is.Equal(out[0].(Probe).Target, core.Target("a"))
	b.Step(start.Add(minProbeBackoff), ProbeDone{Target: "a", Healthy: true, ColdRemaining: 3 * time.Second})
	sent := 0
	for range 20 {
		if selectTarget(b, start.Add(minProbeBackoff)).Verdict == Send {
			sent++
		}
	}
	is.Equal(sent, 1)
}

// Guards against a target that has exited under a request and isn't noticed until
// another request is sent to it, against one that is taken for exited because it is
// slow, and against checks without bound.
func TestTargetThatClosesAConnectionIsChecked(t *testing.T) {
	for name, c := range map[string]struct {
		result ProbeDone
		exited bool
	}{
		"refused": {ProbeDone{Target: "a", Refused: true}, true},
		"slow":    {ProbeDone{Target: "a"}, false},
		"healthy": {ProbeDone{Target: "a", Healthy: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target := warmTarget("a")
			target.StartedAt = 5
			b := setup{targets: []discovery.Target{target}}.fleet()[0]
			now := start.Add(time.Second)
			lose := func() {
				selectTarget(b, now)
				b.Step(now, AttemptDone{Service: "s", Target: "a", Result: ConnectionLost})
			}
			lose()
			out := b.Step(now, Tick{})
			is.Equal(len(out), 1)
			is.Equal(out[0].(Probe).Target, core.Target("a"))
			is.Equal(len(b.Step(now, Tick{})), 0) // one at a time
			out = b.Step(now, c.result)
			is.Equal(len(out) > 0, c.exited)
			if c.exited {
				is.Equal(out[0], TargetUnreachable{Target: "a", StartedAt: 5})
				return
			}
			is.Equal(selectTarget(b, now).Verdict, Send)
			lose()
			is.Equal(len(b.Step(now.Add(checkInterval-time.Millisecond), Tick{})), 0)
			is.Equal(len(b.Step(now.Add(checkInterval), Tick{})), 1)
		})
	}
}

// Guards against requests to a full target, and against rejections without a
// retry delay.
func TestFullTargetRejects(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}}.fleet()[0]
	sent := 0
	for range 40 {
		d := selectTarget(b, start, func(a *SelectTarget) { a.Deadline = start.Add(time.Minute) })
		if d.Verdict == Send {
			sent++
			continue
		}
		is.Equal(d.Reason, "full")
		is.True(d.RetryAfter >= minRetryAfter && d.RetryAfter <= maxRetryAfter)
	}
	is.Equal(sent, int(4*(1+queueFactor)))
	urgent := 0
	for range 40 {
		if selectTarget(b, start, func(a *SelectTarget) { a.Priority, a.Deadline = 1, start.Add(time.Minute) }).Verdict == Send {
			urgent++
		}
	}
	is.Equal(sent+urgent, int(4*(1+urgentQueueFactor))) // queue space is reserved for urgent requests
}

// Guards against a target that keeps getting requests although it fails most of
// them.
func TestFailingTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a"), warmTarget("b")}}.fleet()[0]
	got := map[core.Target]int{}
	for i := range 400 {
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		d := selectTarget(b, now)
		if d.Verdict != Send {
			continue
		}
		got[d.Target.ID]++
		done := AttemptDone{Service: "s", Target: d.Target.ID, Result: Succeeded, Elapsed: 50 * time.Millisecond}
		if d.Target.ID == "a" && i%3 > 0 {
			done.Result = Failed
		}
		b.Step(now, done)
	}
	is.True(got["b"] > 5*got["a"])
}

// Guards against load reports that lose requests or count them twice.
func TestLoadReportCountsRequestsByUnit(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{Sharded: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: ownedBy("a")})
	reply := make(chan ownership.LoadReport, 1)
	b.Step(start, LoadReportRequest{Reply: reply})
	for range 10 {
		selectTarget(b, start, func(a *SelectTarget) { a.Key = 4097 })
	}
	out := b.Step(start.Add(time.Second), LoadReportRequest{Reply: reply})
	is.Equal(out[0].(LoadReportReply).Load.UnitLoads["s"][ownership.Unit(4097)], 10.0)
	out = b.Step(start.Add(2*time.Second), LoadReportRequest{Reply: reply})
	is.Equal(len(out[0].(LoadReportReply).Load.UnitLoads["s"]), 0)
}

// Guards against connections from every VM to every target in a large
// deployment, against targets that only few VMs use, and against requests that
// are rejected while targets outside the VM's subset have room.
func TestLargeServicesAreSubset(t *testing.T) {
	is := is.New(t)
	var targets []discovery.Target
	for i := range 67 {
		targets = append(targets, warmTarget(fmt.Sprint("t", i)))
	}
	fleet := setup{members: 61, targets: targets}.fleet()
	users := make(map[core.Target]int)
	pairs := 0
	for _, b := range fleet {
		used := make(map[core.Target]bool)
		for i := range 300 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			d := selectTarget(b, now)
			is.Equal(d.Verdict, Send)
			used[d.Target.ID] = true
			b.Step(now, AttemptDone{Service: "s", Target: d.Target.ID, Result: Succeeded, Elapsed: defaultWork})
		}
		for id := range used {
			users[id]++
		}
		pairs += len(used)
	}
	is.True(pairs <= 61*(subsetSize+1))
	for _, target := range targets {
		is.True(users[target.ID] >= subsetSize/2)
	}
	b := fleet[0]
	sent := make(map[core.Target]bool)
	for range 67 * 4 {
		d := selectTarget(b, start.Add(time.Minute))
		is.Equal(d.Verdict, Send)
		sent[d.Target.ID] = true
	}
	is.True(len(sent) > 2*subsetSize)
}

// Guards against treating targets of different speed as equal once the last load
// report is old, so that slow ones get as many requests and keys as fast ones.
func TestTargetSpeedOutlivesReport(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("fast"), warmTarget("slow")}, service: routing.Service{Sharded: true}}.fleet()[0]
	speed := map[core.Target]float64{"fast": 0.7, "slow": 1.6}
	now := start
	for range 40 {
		for id, x := range speed {
			now = now.Add(50 * time.Millisecond)
			b.Step(now, AttemptDone{
				Service: "s", Target: id, Result: Succeeded, Elapsed: time.Duration(x * float64(100*time.Millisecond)),
				Load: &TargetLoad{Running: 1, Slots: 4, Slowdown: x},
			})
		}
	}
	now = now.Add(3 * time.Second)
	fast, slow := b.targets["fast"], b.targets["slow"]
	usual := work{request: 100 * time.Millisecond, queued: 100 * time.Millisecond}
	is.True(slow.expectedLatency(now, usual) > 2*fast.expectedLatency(now, usual))
	load := b.loadReport(now).ServiceTime
	is.True(load["slow"] > 2*load["fast"])
}

// Guards against assuming that a constantly loaded target is idle because its
// last load report is old.
func TestOldReportFallsBackToMeanLoad(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}}.fleet()[0]
	now := start
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		b.Step(now, AttemptDone{Service: "s", Target: "a", Result: Succeeded, Elapsed: time.Millisecond, Load: &TargetLoad{Running: 4, Waiting: 4, Slots: 4}})
	}
	a := b.targets["a"]
	is.True(a.occupancy(now.Add(time.Second)) > 4)
	is.True(a.occupancy(now.Add(20*time.Second)) < 1) // it is tried again
}

// Guards against a limit of connections for VMs that never use a target: the VMs
// that do use it then open and close connections all day.
func TestConnectionsAreSharedByTheUsersOfATarget(t *testing.T) {
	is := is.New(t)
	var targets []discovery.Target
	for i := range 104 {
		targets = append(targets, warmTarget(fmt.Sprint("t", i)))
	}
	for _, sharded := range []bool{false, true} {
		fleet := setup{members: 95, targets: targets, service: routing.Service{MaxConnections: 630, Sharded: sharded}}.fleet()
		limit := 0
		for _, b := range fleet {
			if sharded {
				b.Step(start, OwnersChanged{View: ownedBy("t0")})
			}
			for i := range 300 {
				d := selectTarget(b, start.Add(time.Duration(i)*100*time.Millisecond))
				is.Equal(d.Verdict, Send)
				limit = d.Target.MaxConnections
				b.Step(start, AttemptDone{Service: "s", Target: d.Target.ID, Result: Cancelled})
			}
		}
		if sharded {
			is.Equal(limit, 4) // every VM uses every owner
			is.True(limit*len(fleet) <= 630)
			continue
		}
		is.True(limit >= 20)
		is.True(limit*subsetUsers(95, 104) <= 630)
	}
}

// Guards against sending more requests to a target that turns connections away.
// The pattern is the owner of a hot key in a large deployment: each VM sends it
// few requests, so that no report tells how many are there.
func TestTargetThatTurnsAwayIsFull(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{Sharded: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: ownedBy("a")})
	urgent := func(a *SelectTarget) { a.Priority = 0 }
	is.Equal(selectTarget(b, start, urgent).Verdict, Send)
	b.Step(start, AttemptDone{Service: "s", Target: "a", Result: TurnedAway})
	d := selectTarget(b, start.Add(10*time.Millisecond), urgent)
	is.Equal(d.Reason, "full")
	is.True(d.RetryAfter > minRetryAfter)
	is.Equal(selectTarget(b, start.Add(time.Second), urgent).Verdict, Send) // it is tried again
}

// Guards against an infinite rate, and against requests that are lost, when two
// load reports are requested in one instant.
func TestTwoLoadReportsInOneInstant(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{Sharded: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: ownedBy("a")})
	b.loadReport(start)
	selectTarget(b, start, func(a *SelectTarget) { a.Key = 4097 })
	is.Equal(len(b.loadReport(start).UnitLoads["s"]), 0)
	is.Equal(b.loadReport(start.Add(2 * time.Second)).UnitLoads["s"][ownership.Unit(4097)], 0.5)
}
