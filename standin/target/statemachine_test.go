package target

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
)

var testRange = core.RangeID{Service: "rozvrh", Number: 3}

func at(d time.Duration) core.Instant { return core.Instant(d) }

// newGranted returns a target that granted testRange to front f1 until 10 s.
func newGranted(is *is.I, f Faults) *StateMachine {
	is.Helper()
	m := NewStateMachine(Options{ID: "t1", Slots: 3, Checks: true, Incarnation: 7, Faults: f})
	reply := orderAt(m, 0, grant.Order{
		Kind: grant.OrderTake, Token: core.Token{Term: 1, Seq: 1}, Front: "f1",
		Ranges: []core.RangeID{testRange}, Deadline: 100, LeaseEnd: 10_000,
	})
	is.True(reply.Accepted)
	return m
}

func orderAt(m *StateMachine, now time.Duration, o grant.Order) grant.OrderReply {
	reply := make(chan grant.OrderReply, 1)
	out := m.Step(at(now), Order{Order: o, Reply: reply})
	return out[0].(SendOrderReply).Reply
}

func beginAt(m *StateMachine, now time.Duration, deadline grant.TargetClock, id core.RequestID) BeginReply {
	run := Run{Request: id, Attempt: 1, Range: testRange, Front: "f1", Token: core.Token{Term: 1, Seq: 1}}
	out := m.Step(at(now), Begin{Run: run, Deadline: deadline, Reply: make(chan BeginReply, 1)})
	return out[0].(SendBeginReply).Reply
}

func endAt(m *StateMachine, now time.Duration, number int) []Output {
	return m.Step(at(now), End{Number: number, Reply: make(chan Run, 1)})
}

// Guards against a run that is reported as completed although it ended after its
// deadline, as on a target that was frozen meanwhile.
func TestRunIsCancelledAtItsDeadline(t *testing.T) {
	is := is.New(t)
	m := newGranted(is, Faults{})
	inTime, late := beginAt(m, time.Second, 2000, "a"), beginAt(m, time.Second, 2000, "b")
	is.Equal(late.Remaining, time.Second)
	done := endAt(m, 1999*time.Millisecond, inTime.Number)[0].(SendEndReply).Run
	is.True(!done.Cancelled)
	cancelled := endAt(m, 5*time.Second, late.Number)[0].(SendEndReply).Run
	is.True(cancelled.Cancelled)
	is.Equal(cancelled.Ended, grant.TargetClock(2000))
	is.Equal(cancelled.EndedAt, cancelled.DeadlineAt)
}

// Guards against a request that runs after its deadline, without a grant, for
// a front other than the grant's, or for a range outside the grant.
func TestRejectsRequestsOutsideGrant(t *testing.T) {
	is := is.New(t)
	m := newGranted(is, Faults{})
	is.Equal(beginAt(m, 3*time.Second, 3000, "a").Status, statusDeadlinePassed)
	is.Equal(beginAt(m, 10*time.Second, 11_000, "a").Status, statusStaleGrant)
	other := Run{Range: core.RangeID{Service: "rozvrh", Number: 4}, Front: "f1", Token: core.Token{Term: 1, Seq: 1}}
	is.Equal(m.begin(at(time.Second), Begin{Run: other, Deadline: 2000}).Status, statusStaleGrant)
	other.Range, other.Front = testRange, "f2"
	is.Equal(m.begin(at(time.Second), Begin{Run: other, Deadline: 2000}).Status, statusStaleGrant)
	restarted := NewStateMachine(Options{ID: "t1", Slots: 3, Checks: true, Incarnation: 8})
	is.Equal(beginAt(restarted, time.Second, 2000, "a").Status, statusStaleGrant)
}

// Guards against a cold target that runs more requests than its cold slots,
// whose cold start never ends, or that can't begin another cold start.
func TestColdTarget(t *testing.T) {
	is := is.New(t)
	m := newGranted(is, Faults{ColdSlots: 1, ColdRequests: 1})
	first := beginAt(m, time.Second, 9000, "a")
	is.Equal(beginAt(m, time.Second, 9000, "b").Status, statusOverloaded)
	is.Equal(m.status().Overloads, 1)
	endAt(m, time.Second, first.Number)
	is.Equal(beginAt(m, 2*time.Second, 9000, "c").RejectReason, "")
	is.Equal(beginAt(m, 2*time.Second, 9000, "d").RejectReason, "")
	m.Step(at(3*time.Second), StartCold{})
	is.True(m.status().Cold)
	is.Equal(beginAt(m, 3*time.Second, 9000, "e").Status, statusOverloaded)
	slow := newGranted(is, Faults{ColdSlots: 1, ColdDelay: 4 * time.Second, ColdTime: time.Second})
	beginAt(slow, time.Millisecond, 9000, "a")
	is.Equal(beginAt(slow, time.Millisecond, 9000, "b").Service, 4*time.Second)
	is.Equal(beginAt(slow, time.Second, 9000, "c").Service, time.Duration(0))
}

// Guards against a frozen target that responds, or that loses the responses that
// it withheld.
func TestFreezeWithholdsResponses(t *testing.T) {
	is := is.New(t)
	m := newGranted(is, Faults{})
	set := func(v string) []Output {
		return m.Step(at(time.Second), SetFaults{Changes: map[string]string{"freeze": v}, Reply: make(chan SetFaultsReply, 1)})
	}
	set("true")
	is.Equal(len(m.Step(at(time.Second), Report{Reply: make(chan Status, 1)})), 0)
	is.Equal(len(m.Step(at(time.Second), Order{Order: grant.Order{Kind: grant.OrderInspect}, Reply: make(chan grant.OrderReply, 1)})), 0)
	out := set("false")
	is.Equal(len(out), 3)
	is.True(out[2].(SendOrderReply).Reply.Accepted)
}

// Guards against responses that keep their order although the fault is set, and
// against a reordered response that is never sent.
func TestReorderedResponses(t *testing.T) {
	is := is.New(t)
	m := newGranted(is, Faults{Reorder: 1})
	a, b := beginAt(m, time.Second, 9000, "a"), beginAt(m, time.Second, 9000, "b")
	is.Equal(len(endAt(m, time.Second, a.Number)), 0)
	m.faults.Reorder = 0
	out := endAt(m, time.Second, b.Number)
	is.Equal(out[0].(SendEndReply).Run.Request, core.RequestID("b"))
	is.Equal(out[1].(SendEndReply).Run.Request, core.RequestID("a"))
	m.faults.Reorder = 1
	c := beginAt(m, 2*time.Second, 9000, "c")
	is.Equal(len(endAt(m, 2*time.Second, c.Number)), 0)
	is.Equal(len(m.Step(at(2*time.Second+reorderTime), Tick{})), 1)
}

// Guards against reports that ignore ReportLag or Mislead, and against a drain
// that is reported before DrainLag has passed.
func TestReports(t *testing.T) {
	is := is.New(t)
	m := newGranted(is, Faults{Drain: true, DrainLag: 2 * time.Second, ReportLag: time.Second})
	m.Step(at(time.Second), Tick{})
	beginAt(m, 1500*time.Millisecond, 9000, "a")
	m.Step(at(1500*time.Millisecond), Tick{})
	is.Equal(m.report(at(2*time.Second)).InFlight, 0)
	is.Equal(m.report(at(2500*time.Millisecond)).InFlight, 1)
	inspect := grant.Order{Kind: grant.OrderInspect}
	is.True(!orderAt(m, 1999*time.Millisecond, inspect).Draining)
	is.True(orderAt(m, 2*time.Second, inspect).Draining)
	m.faults.Mislead = true
	is.True(!orderAt(m, 4*time.Second, inspect).Draining)
	is.Equal(m.report(at(4*time.Second)).InFlight, 0)
}

// Guards against changes of faults that are applied in part or not validated,
// and against a crossed response with its own headers.
func TestFaultChanges(t *testing.T) {
	is := is.New(t)
	_, err := Faults{}.With(map[string]string{"drop": "0.6", "cut": "0.6"})
	is.True(err != nil)
	_, err = Faults{}.With(map[string]string{"drop": "1.5"})
	is.True(err != nil)
	_, err = Faults{}.With(map[string]string{"no-such": "1"})
	is.True(err != nil)
	f, err := Faults{Freeze: true}.With(map[string]string{"cross": "1", "delay": "1", "delay-time": "30ms"})
	is.NoErr(err)
	is.Equal(f, Faults{Freeze: true, Cross: 1, Delay: 1, DelayTime: 30 * time.Millisecond})
	f.Freeze = false
	m := newGranted(is, f)
	is.Equal(beginAt(m, time.Second, 9000, "a").HeaderRun.Request, core.RequestID("crossed"))
	second := beginAt(m, time.Second, 9000, "b")
	is.Equal(second.Response, ResponseCrossed)
	is.Equal(second.HeaderRun.Request, core.RequestID("a"))
	is.Equal(second.Delay, 30*time.Millisecond)
}
