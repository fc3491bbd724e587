package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/routing"
)

// respond ends an attempt that was sent elapsed ago with a response that names a
// rate limit, or none if it is 0.
func respond(b *Balancer, now core.Instant, limit float64, elapsed time.Duration) []Output {
	return b.Step(now, AttemptDone{
		Service: "s", Target: "a", Result: Succeeded, Elapsed: elapsed, Announced: &Announcement{RateLimit: limit},
	})
}

// Guards against a rate limit that is not logged when it is named, changed or
// lifted, or that is lifted by a response that was sent before it was named.
func TestRateLimitIsFollowed(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}}.fleet()[0]
	is.Equal(len(respond(b, start, 0, time.Millisecond)), 0)
	is.Equal(len(respond(b, start.Add(time.Second), 20, time.Millisecond)), 1)
	is.Equal(len(respond(b, start.Add(2*time.Second), 20, time.Millisecond)), 0)
	is.Equal(len(respond(b, start.Add(3*time.Second), 30, time.Millisecond)), 1)
	is.Equal(len(respond(b, start.Add(3100*time.Millisecond), 0, 200*time.Millisecond)), 0)
	is.Equal(b.targets["a"].announced.RateLimit, 30.0)
	is.Equal(len(respond(b, start.Add(3200*time.Millisecond), 0, 200*time.Millisecond)), 0) // sent at the same moment
	is.Equal(len(respond(b, start.Add(3300*time.Millisecond), 0, 100*time.Millisecond)), 1)
	is.Equal(b.targets["a"].announced.RateLimit, 0.0)
}

// limitedFleet sends requests of many VMs to a target that names a rate limit in
// its responses.
type limitedFleet struct {
	vms    []*Balancer
	random *rand.Rand
	// told is when each VM first got a response that names the limit.
	told []core.Instant
	// pending are the attempts that have not ended.
	pending []pendingAttempt
	// sent are the requests to the target from VMs that had been told toldDelay
	// before.
	sent []core.Instant
	// total and rejected count the requests of callers.
	total, rejected int
}

type pendingAttempt struct {
	vm     int
	target core.Target
	sentAt core.Instant
}

const (
	// toldDelay and limitWindow, limitOverrun, limitSlack are those of the users'
	// rule on rate limits.
	toldDelay    = 500 * time.Millisecond
	limitWindow  = 4 * time.Second
	limitOverrun = 1.5
	limitSlack   = 5
	// workTime is how long a request runs.
	workTime = 60 * time.Millisecond
)

// run sends requests at a rate a second for a time. Every third VM gets three
// times as many callers as the others. The limit is 0 if the target names none.
func (f *limitedFleet) run(from core.Instant, d time.Duration, rate, limit float64) core.Instant {
	const step = time.Millisecond
	now := from
	for ; now.Before(from.Add(d)); now = now.Add(step) {
		f.endAttempts(now, limit)
		if f.random.Float64() < rate*step.Seconds() {
			f.request(now)
		}
	}
	return now
}

func (f *limitedFleet) request(now core.Instant) {
	vm := f.random.IntN(len(f.vms))
	if vm%3 != 0 && f.random.IntN(3) != 0 {
		vm -= vm % 3
	}
	f.total++
	d := selectTarget(f.vms[vm], now, func(r *SelectTarget) { r.Key = uint16(f.random.IntN(1 << 16)) })
	if d.Verdict != Send {
		f.rejected++
		return
	}
	f.pending = append(f.pending, pendingAttempt{vm, d.Target.ID, now})
	if told := f.told[vm]; d.Target.ID == "a" && told != 0 && now.Sub(told) >= toldDelay {
		f.sent = append(f.sent, now)
	}
}

func (f *limitedFleet) endAttempts(now core.Instant, limit float64) {
	for len(f.pending) > 0 && now.Sub(f.pending[0].sentAt) >= workTime {
		p := f.pending[0]
		f.pending = f.pending[1:]
		announcement := &Announcement{}
		if p.target == "a" && limit > 0 {
			announcement.RateLimit = limit
			if f.told[p.vm] == 0 {
				f.told[p.vm] = now
			}
		}
		f.vms[p.vm].Step(now, AttemptDone{Service: "s", Target: p.target, Result: Succeeded, Elapsed: workTime, Announced: announcement})
	}
}

// mostInWindow returns the largest number of requests in a window of limitWindow
// that ends after the given time.
func (f *limitedFleet) mostInWindow(after core.Instant) int {
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= limitWindow {
			first++
		}
		if at.After(after) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// limitCase is a deployment and the limit that its target "a" names.
type limitCase struct {
	sharded bool
	vms     int
	limit   float64
}

func (c limitCase) String() string {
	return fmt.Sprintf("sharded=%v,vms=%d,limit=%v", c.sharded, c.vms, c.limit)
}

func limitCases() []limitCase {
	var out []limitCase
	for _, sharded := range []bool{false, true} {
		for _, vms := range []int{1, 9, 12, 61, 95} {
			for _, limit := range []float64{4, 22, 80} {
				out = append(out, limitCase{sharded, vms, limit})
			}
		}
	}
	return out
}

// limitContact is the time from which the limit binds after it was first named.
const limitContact = 3 * time.Second

// name starts a deployment under three times the limit. After 5 s, the target
// names the limit. It returns the time 15 s later, and when the limit was named.
func (c limitCase) name() (f *limitedFleet, now, named core.Instant) {
	targets := []discovery.Target{warmTarget("a")}
	targets[0].Slots = 64
	f = &limitedFleet{
		vms:  setup{members: c.vms, targets: targets, service: routing.Service{Sharded: c.sharded}}.fleet(),
		told: make([]core.Instant, c.vms), random: rand.New(rand.NewPCG(1, uint64(c.vms))),
	}
	if c.sharded {
		for _, b := range f.vms {
			b.Step(start, OwnersChanged{View: ownedBy("a")})
		}
	}
	named = f.run(start, 5*time.Second, 3*c.limit, 0)
	return f, f.run(named, 15*time.Second, 3*c.limit, c.limit), named
}

// Guards against a target that gets more requests than the rate limit that it
// names, summed over all VMs (macky-brana capped): under steady overload, and when
// many callers come after a calm time.
func TestRateLimitOverAllVMs(t *testing.T) {
	for _, c := range limitCases() {
		t.Run(c.String(), func(t *testing.T) {
			f, now, named := c.name()
			now = f.run(now, 10*time.Second, c.limit/2, c.limit)
			f.run(now, 10*time.Second, 8*c.limit, c.limit)
			allowed := int(limitOverrun*c.limit*limitWindow.Seconds()) + limitSlack
			if most := f.mostInWindow(named.Add(limitContact)); most > allowed {
				t.Errorf("%d requests in 4 s, %d are allowed", most, allowed)
			}
		})
	}
}

// Guards against parts of a rate limit whose sum exceeds the limit, whatever part
// of the VMs usually sends to the target, and against a VM without a part.
func TestPartsOfARateLimit(t *testing.T) {
	for _, members := range []int{1, 2, 9, 12, 61, 95, 300} {
		for users := 1; users <= members; users++ {
			for _, limit := range []float64{0.5, 1, 4, 22, 80, 1000} {
				sum := 0.0
				var slot, turn time.Duration
				others := 0
				for rank := range members {
					p := divideLimit(limit, rank, users, members)
					if p.probeInterval > 0 {
						others++
						slot, turn = p.probeSlot, p.probeInterval
						continue
					}
					if p.perSecond <= 0 || p.burst < 1 {
						t.Fatalf("limit %v, %d of %d VMs: rank %d has the part %+v", limit, users, members, rank, p)
					}
					sum += p.perSecond*limitWindow.Seconds() + p.burst
				}
				if others > 0 {
					turn /= time.Duration(others)
					sum += min((limitWindow+slot).Seconds()/turn.Seconds(), 3*float64(others))
				}
				if allowed := limitOverrun*limit*limitWindow.Seconds() + limitSlack; sum > allowed+1e-3 {
					t.Fatalf("limit %v, %d of %d VMs: %v requests in 4 s, %v are allowed", limit, users, members, sum, allowed)
				}
			}
		}
	}
}

// Guards against a rate limit that turns away callers whom the target would
// serve: under steady overload it gets half of its limit at least.
func TestRateLimitIsUsed(t *testing.T) {
	for _, c := range limitCases() {
		t.Run(c.String(), func(t *testing.T) {
			f, _, named := c.name()
			if most, want := f.mostInWindow(named.Add(limitContact)), int(c.limit*limitWindow.Seconds()/2); most < want {
				t.Errorf("%d requests in 4 s, %d are expected", most, want)
			}
		})
	}
}

// Guards against a VM that sends nothing to a target for good, or no longer as
// much as before, after the target has lifted its limit.
func TestLiftedRateLimitIsNoticed(t *testing.T) {
	const calm = 30.0
	for _, test := range []struct {
		vms      int
		recovery time.Duration
	}{{9, 5 * time.Second}, {61, time.Minute}} {
		t.Run(fmt.Sprintf("vms=%d", test.vms), func(t *testing.T) {
			f, now, _ := limitCase{sharded: true, vms: test.vms, limit: 4}.name()
			now = f.run(now, test.recovery, calm, 0)
			f.rejected = 0
			f.run(now, 5*time.Second, calm, 0)
			if f.rejected > 0 {
				t.Errorf("%d requests rejected after the limit was lifted", f.rejected)
			}
		})
	}
}

// Guards against the callers of a service that wait or are turned away because of
// one target's rate limit, while another target has room.
func TestOtherTargetsServeBeyondTheRateLimit(t *testing.T) {
	is := is.New(t)
	targets := []discovery.Target{warmTarget("a"), warmTarget("b")}
	targets[1].Slots = 64
	f := limitedFleet{
		vms:  setup{members: 9, targets: targets, service: routing.Service{}}.fleet(),
		told: make([]core.Instant, 9), random: rand.New(rand.NewPCG(1, 9)),
	}
	f.run(start, 10*time.Second, 60, 5)
	is.Equal(f.rejected, 0)
}

// Guards against keys that stay at an owner that has named a limit, so that their
// callers are turned away while other targets have room.
func TestRateLimitIsReportedAsServiceTime(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{Sharded: true}}.fleet()[0]
	b.Step(start, OwnersChanged{View: ownedBy("a")})
	respond(b, start.Add(time.Second), 0, 60*time.Millisecond)
	usual := b.loadReport(start.Add(time.Second)).ServiceTime["a"]
	respond(b, start.Add(2*time.Second), 5, 60*time.Millisecond)
	is.Equal(b.loadReport(start.Add(2 * time.Second)).ServiceTime["a"], 800*time.Millisecond) // four slots, five a second
	respond(b, start.Add(3*time.Second), 0, 60*time.Millisecond)
	is.True(b.loadReport(start.Add(3 * time.Second)).ServiceTime["a"] < 2*usual)
}

// announce ends an attempt at the target "a" with an announcement.
func announce(b *Balancer, now core.Instant, result Result, a Announcement) []Output {
	return b.Step(now, AttemptDone{Service: "s", Target: "a", Result: result, Elapsed: time.Millisecond, Announced: &a})
}

// Guards against requests to a target that has asked for none for a time, and
// against a target that is left out for longer.
func TestPausedTargetGetsNoRequests(t *testing.T) {
	for _, sharded := range []bool{false, true} {
		is := is.New(t)
		b := setup{targets: []discovery.Target{warmTarget("a"), warmTarget("b")}, service: routing.Service{Sharded: sharded}}.fleet()[0]
		if sharded {
			b.Step(start, OwnersChanged{View: ownedBy("a")})
		}
		now := start.Add(time.Second)
		announce(b, now, Shed, Announcement{Pause: 2 * time.Second})
		announce(b, now, Shed, Announcement{Pause: time.Second}) // a shorter one doesn't end it
		withoutB := func(r *SelectTarget) { r.Tried = []core.Target{"b"} }
		for ms := range 2000 {
			is.Equal(selectTarget(b, now.Add(time.Duration(ms)*time.Millisecond), withoutB).Verdict, Reject)
		}
		d := selectTarget(b, now.Add(2*time.Second), withoutB)
		is.True(d.Verdict == Send && d.Target.ID == "a")
	}
}

// Guards against callers of a paused target that are told to return in the pause, all
// at its end, or later than needed to spread them.
func TestCallersOfPausedTargetReturnSpreadOut(t *testing.T) {
	for _, pause := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, time.Second, 10 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			b := setup{targets: []discovery.Target{warmTarget("a")}, service: routing.Service{Sharded: true}}.fleet()[0]
			b.Step(start, OwnersChanged{View: ownedBy("a")})
			now := start.Add(time.Second)
			end := now.Add(pause)
			announce(b, now, Shed, Announcement{Pause: pause})
			const callers = 1000 // evenly over the last second of the pause
			last := min(pause, maxPausedRetryAfter)
			var returns []core.Instant
			for i := range callers {
				at := end.Add(-last + last*time.Duration(i)/callers)
				d := selectTarget(b, at)
				if d.Verdict != Reject || d.Reason != "paused" {
					t.Fatalf("decision is %+v", d)
				}
				back := at.Add(d.RetryAfter)
				if back.Before(end) || back.After(end.Add(max(last, minRetryAfter))) {
					t.Fatalf("caller at %v before the end returns %v after it", end.Sub(at), back.Sub(end))
				}
				returns = append(returns, back)
			}
			slices.Sort(returns)
			// Evenly spread callers would be a tenth of them in each tenth of the time.
			window := max(last, minRetryAfter) / 10
			for i := range returns {
				if j := i + callers/4; j < len(returns) && returns[j].Sub(returns[i]) < window {
					t.Fatalf("more than %d of %d callers return within %v", callers/4, callers, window)
				}
			}
		})
	}
}

// Guards against a target's malformed announcement that is reported with each
// response, or not at all.
func TestMalformedAnnouncementIsReportedOnce(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}}.fleet()[0]
	now := start.Add(time.Second)
	is.Equal(announce(b, now, Succeeded, Announcement{Malformed: true}), []Output{MalformedAnnouncement{Target: "a", Service: "s"}})
	for range 3 {
		now = now.Add(time.Second)
		is.Equal(len(announce(b, now, Succeeded, Announcement{Malformed: true})), 0)
		is.Equal(len(announce(b, now, Succeeded, Announcement{})), 0)
	}
}

// Guards against health checks of a target that wants no requests for a time.
func TestPausedTargetIsNotChecked(t *testing.T) {
	is := is.New(t)
	b := setup{targets: []discovery.Target{warmTarget("a")}}.fleet()[0]
	now := start.Add(time.Second)
	announce(b, now, Shed, Announcement{Pause: 3 * time.Second})
	b.Step(now, AttemptDone{Service: "s", Target: "a", Result: ConnectionLost}) // sent before the pause
	for ; now.Before(start.Add(4 * time.Second)); now = now.Add(50 * time.Millisecond) {
		is.Equal(len(b.Step(now, Tick{})), 0)
	}
	is.Equal(len(b.Step(now, Tick{})), 1)
}

// Guards against requests to a target that has announced that it leaves before
// its registration says so, and against one that is taken out because of the
// former process of its id.
func TestLeavingTargetIsReported(t *testing.T) {
	is := is.New(t)
	target := warmTarget("a")
	target.StartedAt = 7
	b := setup{targets: []discovery.Target{target}}.fleet()[0]
	now := start.Add(time.Second)
	reported, ok := announce(b, now, Succeeded, Announcement{Leaving: true})[0].(TargetLeaving)
	is.True(ok)
	is.Equal(reported, TargetLeaving{Target: "a", StartedAt: 7})

	restarted := target
	restarted.StartedAt = 8
	b.Step(now, TargetsChanged{View: &discovery.View{Targets: map[core.Target]*discovery.Target{"a": &restarted}}})
	is.Equal(len(announce(b, now, Succeeded, Announcement{Leaving: true})), 0) // sent before the process was known
	is.Equal(len(announce(b, now.Add(time.Second), Succeeded, Announcement{Leaving: true})), 1)

	restarted.Draining = true
	is.Equal(len(announce(b, now.Add(2*time.Second), Succeeded, Announcement{Leaving: true})), 0) // known
}
