package front

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

// readyWorld has one front with the target at its full limit and no gap.
func readyWorld() (*world, *target) {
	w := newWorld("a", "w")
	a := Assignment{
		Service: service, Slots: 6, Limits: testLimits, Token: core.Token{Term: 1, Seq: 1},
		Ranges: map[core.RangeID]Range{rangeNumber(0): {First: true}, rangeNumber(1): {First: true}},
	}
	a.Limits.ColdSlots = 6
	w.assignTo("a", a)
	w.take("a")
	return w, w.vms["a"].front.targets[targetID]
}

// Guards against per-request work that grows with the number of ranges.
func TestLookupsPerRequestDoNotAllocate(t *testing.T) {
	_, target := readyWorld()
	r := rangeNumber(1)
	if n := testing.AllocsPerRun(100, func() { _ = target.standing(r); _ = target.free(0) }); n != 0 {
		t.Errorf("lookups allocate %v times", n)
	}
}

// Guards against load reports that miss a hot key, count the rates wrongly, or
// come too rarely.
func TestLoadReport(t *testing.T) {
	is := is.New(t)
	w, _ := readyWorld()
	w.pass(time.Second)
	w.loads = nil
	for i := range 40 {
		s := &submission{name: string(rune('a' + i)), request: core.Request{
			ID: "x", Service: service, Class: core.ClassLookup, Idempotent: true, Caller: "u",
			Range: rangeNumber(uint32(i % 4 / 3)), KeyHash: uint64(100 + i%4/3*i), Deadline: w.now.Add(time.Second),
		}}
		w.submit(w.vms["a"], s)
		w.pass(TickEvery)
		w.end(s.run, answeredRun(s.request))
		w.take("a")
	}
	w.pass(TickEvery)
	is.Equal(len(w.loads), 1)
	load := w.loads[0]
	is.Equal(load.Limit, 6)
	is.True(load.RequestsPerSecond > 35 && load.RequestsPerSecond < 45)
	is.Equal(load.Ranges[rangeNumber(0)], 3*load.Ranges[rangeNumber(1)])
	is.Equal(load.HotKeys[0].KeyHash, uint64(100))            // 30 of 40 requests
	is.True(load.Utilisation > 0.1 && load.Utilisation < 0.2) // one slot of six
	is.True(load.HotKeys[0].RequestsPerSecond > load.RequestsPerSecond/2)
}

// Guards against a hot key whose ids are looked for in its own range only,
// though they ran in the numbered range that it came from.
func TestHotKeyMatchesItsNumberedRange(t *testing.T) {
	is := is.New(t)
	hot := core.RangeID{Service: service, HotKey: 9}
	match := witness.Matcher([]core.RangeID{hot})
	is.True(match(hot))
	is.True(match(rangeNumber(3)))
	is.True(!match(core.RangeID{Service: service, HotKey: 8}))
	is.True(!match(core.RangeID{Service: "other", Number: 3}))
	is.True(witness.Matcher([]core.RangeID{rangeNumber(3)})(hot))
	is.True(!witness.Matcher([]core.RangeID{rangeNumber(3)})(rangeNumber(4)))
}

// BenchmarkSubmitAndFinish measures the steps of one lookup.
func BenchmarkSubmitAndFinish(b *testing.B) {
	w, _ := readyWorld()
	f := w.vms["a"].front
	reply := make(chan Decision, 1)
	m := Submit{Target: targetID, Reply: reply, Request: core.Request{
		ID: "x", Service: service, Class: core.ClassLookup, Idempotent: true, Caller: "u",
		Range: rangeNumber(0), KeyHash: 5, Deadline: w.now.Add(time.Second),
	}}
	b.ReportAllocs()
	for b.Loop() {
		d := f.Step(w.now, m)[0].(Answer).Decision
		f.Step(w.now, Finished{Ticket: d.Dispatch.Ticket, Outcome: core.OutcomeAnswered, Latency: time.Millisecond})
	}
}

// Guards against a target's count that writes off requests which may still run:
// what an earlier count has written off doesn't stand for any of a later one.
func TestCountsOfTheTarget(t *testing.T) {
	is := is.New(t)
	var s slots
	until := core.Instant(time.Second)
	s.foreign(2, until, 0)
	s.reported(1, 0)
	is.Equal(s.used(), 1)
	s.foreign(2, until, 1) // another front's, after the first have ended
	s.reported(2, 1)
	is.Equal(s.used(), 2)
	is.True(!s.idle(rangeNumber(0)))
	s.reported(0, 1)
	is.Equal(s.used(), 0)
	is.True(s.idle(rangeNumber(0)))
}
