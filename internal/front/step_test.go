package front

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/witness"
)

// readyCluster returns a cluster whose one front has the target at its full
// limit and complete records.
func readyCluster() (*cluster, *target) {
	c := newCluster("a", "w")
	a := Assignment{
		Service: service, Slots: 6, Limits: testLimits, Token: core.Token{Term: 1, Seq: 1},
		Ranges: map[core.RangeID]Range{numberedRange(0): {First: true}, numberedRange(1): {First: true}},
	}
	a.Limits.ColdSlots = 6
	c.assignTo("a", a)
	c.renewGrant("a")
	return c, c.vms["a"].front.targets[targetID]
}

// Guards against per-request work that grows with the number of ranges.
func TestRequestChecksDoNotAllocate(t *testing.T) {
	_, target := readyCluster()
	r := numberedRange(1)
	if n := testing.AllocsPerRun(100, func() { _ = target.rangeStatus(r); _ = target.canStart(0) }); n != 0 {
		t.Errorf("lookups allocate %v times", n)
	}
}

// Guards against load reports that miss a hot key, count the rates wrongly, or
// come too rarely.
func TestLoadReport(t *testing.T) {
	is := is.New(t)
	c, _ := readyCluster()
	c.advance(time.Second)
	c.loads = nil
	for i := range 40 {
		s := &submission{name: string(rune('a' + i)), request: core.Request{
			ID: "x", Service: service, Class: core.ClassLookup, Idempotent: true, Caller: "u",
			Range: numberedRange(uint32(i % 4 / 3)), KeyHash: uint64(100 + i%4/3*i), Deadline: c.now.Add(time.Second),
		}}
		c.submit(c.vms["a"], s)
		c.advance(TickInterval)
		c.end(s.run, answeredResult(s.request))
		c.renewGrant("a")
	}
	c.advance(TickInterval)
	is.Equal(len(c.loads), 1)
	load := c.loads[0]
	is.Equal(load.Limit, 6)
	is.True(load.RequestsPerSecond > 35 && load.RequestsPerSecond < 45)
	is.Equal(load.Ranges[numberedRange(0)], 3*load.Ranges[numberedRange(1)])
	is.Equal(load.HotKeys[0].KeyHash, uint64(100))            // 30 of 40 requests
	is.True(load.Utilisation > 0.1 && load.Utilisation < 0.2) // one slot of six
	is.True(load.HotKeys[0].RequestsPerSecond > load.RequestsPerSecond/2)
}

// Guards against a recall for a hot key that misses the records of the numbered
// range that the key was part of before.
func TestHotKeyMatchesItsNumberedRange(t *testing.T) {
	is := is.New(t)
	hot := core.RangeID{Service: service, HotKey: 9}
	match := witness.RangeMatcher([]core.RangeID{hot})
	is.True(match(hot))
	is.True(match(numberedRange(3)))
	is.True(!match(core.RangeID{Service: service, HotKey: 8}))
	is.True(!match(core.RangeID{Service: "other", Number: 3}))
	is.True(witness.RangeMatcher([]core.RangeID{numberedRange(3)})(hot))
	is.True(!witness.RangeMatcher([]core.RangeID{numberedRange(3)})(numberedRange(4)))
}

// BenchmarkSubmitAndFinish measures the two steps of one lookup request.
func BenchmarkSubmitAndFinish(b *testing.B) {
	c, _ := readyCluster()
	f := c.vms["a"].front
	reply := make(chan Decision, 1)
	m := Submit{Target: targetID, Reply: reply, Request: core.Request{
		ID: "x", Service: service, Class: core.ClassLookup, Idempotent: true, Caller: "u",
		Range: numberedRange(0), KeyHash: 5, Deadline: c.now.Add(time.Second),
	}}
	b.ReportAllocs()
	for b.Loop() {
		d := f.Step(c.now, m)[0].(SendDecision).Decision
		f.Step(c.now, Finished{DispatchID: d.Dispatch.ID, Outcome: core.OutcomeAnswered, Latency: time.Millisecond})
	}
}

// Guards against a reported count that frees the slots of requests that may
// still run: calls marked as ended by an earlier count must not be counted as
// ended by a later one.
func TestReportedCounts(t *testing.T) {
	is := is.New(t)
	var s slots
	until := core.Instant(time.Second)
	s.addForeign(2, until, 0)
	s.applyReportedCount(1, 0)
	is.Equal(s.used(), 1)
	s.addForeign(2, until, 1) // another front's, after the first have ended
	s.applyReportedCount(2, 1)
	is.Equal(s.used(), 2)
	is.True(!s.idle(numberedRange(0)))
	s.applyReportedCount(0, 1)
	is.Equal(s.used(), 0)
	is.True(s.idle(numberedRange(0)))
}
