package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

const start = core.Instant(time.Hour)

func record(key string, offset int64) Record {
	return Record{Key: key, Offset: offset, Value: []byte(key)}
}

// Guards against a copy that goes back when an older answer arrives late.
func TestCopyNeverGoesBack(t *testing.T) {
	is := is.New(t)
	c := NewCopy()
	is.Equal(len(c.Apply(Batch{Stream: Config, Records: []Record{record("a", 5)}, Next: 6, AsOf: start})), 1)
	is.Equal(len(c.Apply(Batch{Stream: Config, Records: []Record{record("a", 3)}, Next: 4, AsOf: start.Add(time.Second)})), 0)
	is.Equal(c.Next(Config), int64(6))
	asOf, _ := c.AsOf(Config)
	is.Equal(asOf, start) // an older state says nothing on the age of the newer one
}

// Guards against keys that stay after the store has dropped its history and
// they are missing in a complete read, also for followers.
func TestCompleteBatchDropsMissingKeys(t *testing.T) {
	is := is.New(t)
	c := NewCopy()
	c.Apply(Batch{Stream: Targets, Records: []Record{record("a", 1), record("b", 2)}, Next: 3, AsOf: start})
	changed := c.Apply(Batch{Stream: Targets, Records: []Record{record("b", 2)}, Next: 9, Complete: true, AsOf: start})
	is.Equal(len(changed), 1)
	is.True(changed[0].Deleted)
	since := c.Since(Targets, 3)
	is.Equal(len(since), 1)
	is.True(since[0].Deleted)
}

func fresh(r *Replica, at core.Instant, source string) []Output {
	var out []Output
	for s := range NumStreams {
		out = append(out, r.Step(at, Fetched{Batch: Batch{Stream: s, Next: 1, AsOf: at, Source: source}})...)
	}
	return out
}

func last[T Output](out []Output) (T, bool) {
	var found T
	ok := false
	for _, o := range out {
		if v, is := o.(T); is {
			found, ok = v, true
		}
	}
	return found, ok
}

// Guards against VMs that all go on reading the store for long after they have
// started together.
func TestStartReadsBriefly(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Step(start, Tick{})
	fresh(r, start, fromStore)
	r.Step(start, Elected{Reader: false})
	reading, ok := last[Reading](r.Step(start.Add(startTime+time.Millisecond), Tick{}))
	is.True(ok && !reading.On)
}

// Guards against all VMs reading the store: one that is not elected only
// follows, and reads itself only after all others had nothing new for long.
func TestOnlyElectedReadersRead(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Step(start, Tick{})
	fresh(r, start, fromStore)
	now := start.Add(directTime + 100*time.Millisecond)
	fresh(r, now, fromStore)
	out := r.Step(now, Elected{Reader: false})
	reading, ok := last[Reading](out)
	is.True(ok && !reading.On)
	following, ok := last[Following](out)
	is.True(ok && following.On)
	is.Equal(len(r.Step(now.Add(staleAge+100*time.Millisecond), Tick{})), 0)
	reading, ok = last[Reading](r.Step(now.Add(directAge+100*time.Millisecond), Tick{}))
	is.True(ok && reading.On && !reading.Eager)
}

// Guards against a reader that the store turns away and that waits until its
// copy is old (macky-brana trouble-1: EVAC, CONFIG), or stops to follow after
// one answer.
func TestReaderFollowsWhileTheStoreTurnsItAway(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Step(start, Tick{})
	fresh(r, start, fromStore)
	following, ok := last[Following](r.Step(start.Add(100*time.Millisecond), Lost{}))
	is.True(ok && following.On)
	_, changed := last[Following](fresh(r, start.Add(200*time.Millisecond), "v2"))
	is.True(!changed) // word from a peer doesn't end it
	following, ok = last[Following](fresh(r, start.Add(300*time.Millisecond), fromStore))
	is.True(ok && !following.On)
}

// Guards against followers that take a copy from a VM that itself follows
// (two of them took each other's copy for fresh).
func TestAnswerTellsWhetherTheSourceReads(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Step(start, Tick{})
	fresh(r, start, fromStore)
	reply := make(chan Reply, 1)
	ask := Ask{Have: []Position{{Stream: Config, Next: 0}}, Until: start.Add(time.Second), Reply: reply}
	answer, ok := last[Answer](r.Step(start, ask))
	is.True(ok && answer.Reply.Direct)
	r.Step(start, Lost{})
	answer, ok = last[Answer](r.Step(start, ask))
	is.True(ok && !answer.Reply.Direct)
}

// Guards against a follower's call that is answered at once without news, or
// never.
func TestAskWaitsForNews(t *testing.T) {
	is := is.New(t)
	r := New()
	r.Step(start, Tick{})
	fresh(r, start, fromStore)
	ask := Ask{Have: []Position{{Stream: Config, Next: 1}}, Until: start.Add(time.Second), Reply: make(chan Reply, 1)}
	_, answered := last[Answer](r.Step(start, ask))
	is.True(!answered)
	out := r.Step(start.Add(100*time.Millisecond), Fetched{Batch: Batch{Stream: Config, Records: []Record{record("a", 1)}, Next: 2, AsOf: start}})
	answer, ok := last[Answer](out)
	is.True(ok)
	is.Equal(len(answer.Reply.Batches[0].Records), 1)
	r.Step(start, ask)
	ask.Have[0].Next = 2
	r.Step(start, ask)
	_, answered = last[Answer](r.Step(start.Add(2*time.Second), Tick{}))
	is.True(answered)
}
