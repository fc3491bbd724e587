package discovery

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/internal/core"
)

const start = core.Instant(time.Hour)

func registration(id string, startedAt int64) Registration {
	return Registration{ID: core.Target(id), Service: "s", FailureDomain: "d", Slots: 4, StartedAt: startedAt}
}

// Guards against new requests to a target that is draining or removed.
func TestLeavingTargets(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.MarkCurrent(start)
	r.Register(start, registration("a", 1))
	e := registration("a", 1)
	e.Draining, e.Sequence = true, 2
	r.Register(start.Add(time.Second), e)
	a := r.View().Targets["a"]
	is.True(!a.Usable())
	is.Equal(a.LeavingSince, start.Add(time.Second))
	e.Sequence = 3
	r.Register(start.Add(2*time.Second), e)
	is.Equal(r.View().Targets["a"].LeavingSince, start.Add(time.Second)) // from when draining was first seen
	r.Remove(start.Add(2*time.Second), "a")
	is.Equal(len(r.View().Targets), 0)
}

// Guards against late registrations, of an earlier process or older ones of the
// same process, that replace the newer one.
func TestOlderRegistrationsAreIgnored(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	e := registration("a", 7)
	e.Sequence = 4
	is.True(r.Register(start, e))
	is.True(!r.Register(start, registration("a", 6)))
	is.True(!r.Register(start, registration("a", 7)))
	is.Equal(r.View().Targets["a"].StartedAt, int64(7))
}

// Guards against the removal of running targets whose registrations lapsed
// during an outage of the directory, and against keeping targets that exited.
func TestLapsedTargetsMayReturn(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.MarkCurrent(start)
	r.Register(start, registration("a", 1))
	r.Register(start, registration("b", 1))
	back := start.Add(9 * time.Second)
	r.MarkCurrent(back)
	r.Remove(back, "a")
	r.Remove(back, "b")
	is.Equal(len(r.View().Targets), 2)
	r.Register(back.Add(time.Second), registration("a", 1))
	r.Tick(back.Add(reregisterTimeout))
	v := r.View()
	is.True(v.Targets["a"] != nil)
	is.True(v.Targets["b"] == nil)
}

// Guards against detecting an outage where there was none: a target that is
// removed in normal operation must disappear from the view at once.
func TestRemovalWithoutOutage(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	for i := range 10 {
		r.MarkCurrent(start.Add(time.Duration(i) * 2 * time.Second))
	}
	r.Register(start, registration("a", 1))
	r.Remove(start.Add(18*time.Second), "a")
	is.Equal(len(r.View().Targets), 0)
}

// Guards against requests to an evacuated failure domain, including targets that
// register there during the evacuation, and against full load on its return.
func TestEvacuation(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.SetColdStart("s", 3*time.Second)
	r.Register(start, registration("a", 1))
	r.SetEvacuated(start, "d", true)
	r.Register(start, registration("b", 1))
	v := r.View()
	is.True(!v.Targets["a"].Usable())
	is.True(!v.Targets["b"].Usable())
	r.SetEvacuated(start.Add(time.Second), "d", false)
	a := r.View().Targets["a"]
	is.True(a.Usable())
	is.Equal(a.ColdUntil, start.Add(4*time.Second))
}

// Guards against a cold start that is cut short by a later registration of the
// same process, and one that outlives the process.
func TestColdStart(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	e := registration("a", 1)
	e.ColdRemaining = 3 * time.Second
	r.Register(start, e)
	e.ColdRemaining, e.Sequence = 0, 1
	r.Register(start.Add(time.Second), e)
	is.Equal(r.View().Targets["a"].ColdUntil, start.Add(3*time.Second))
	r.Register(start.Add(time.Second), registration("a", 2))
	is.Equal(r.View().Targets["a"].ColdUntil, core.Instant(0))
	r.ExtendColdStart(start.Add(time.Second), "a", 2*time.Second)
	is.Equal(r.View().Targets["a"].ColdUntil, start.Add(3*time.Second))
}

// Guards against an owner that gets requests for its keys beyond the grace
// periods of draining and evacuation, and against one that gets none while its
// keys move.
func TestLeavingOwnersServeDuringGracePeriod(t *testing.T) {
	is := is.New(t)
	is.True((&Target{}).ServesOwnedKeys(start))
	draining := &Target{Registration: Registration{Draining: true}, LeavingSince: start}
	is.True(draining.ServesOwnedKeys(start.Add(drainGracePeriod)))
	is.True(!draining.ServesOwnedKeys(start.Add(drainGracePeriod + time.Millisecond)))
	evacuated := &Target{Evacuated: true, LeavingSince: start}
	is.True(evacuated.ServesOwnedKeys(start.Add(evacuationGracePeriod)))
	is.True(!evacuated.ServesOwnedKeys(start.Add(evacuationGracePeriod + time.Millisecond)))
	both := &Target{Registration: Registration{Draining: true}, Evacuated: true, LeavingSince: start}
	is.True(!both.ServesOwnedKeys(start.Add(drainGracePeriod + time.Millisecond)))
}

// Guards against new requests to a target that has announced that it leaves while
// its registration still says that it is ready, and against one that is taken out
// because of the former process of its id.
func TestAnnouncedLeavingOutlastsRegistrations(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Register(start, registration("a", 7))
	is.True(!r.MarkLeaving(start, "a", 6))
	is.True(r.View().Targets["a"].Usable())
	is.True(r.MarkLeaving(start.Add(time.Second), "a", 7))
	is.True(!r.MarkLeaving(start.Add(2*time.Second), "a", 7)) // no news
	e := registration("a", 7)
	e.Sequence = 2
	r.Register(start.Add(3*time.Second), e)
	a := r.View().Targets["a"]
	is.True(!a.Usable())
	is.Equal(a.LeavingSince, start.Add(time.Second))
	is.True(!a.ServesOwnedKeys(start.Add(time.Second + drainGracePeriod + time.Millisecond)))
	r.Register(start.Add(4*time.Second), registration("a", 8))
	is.True(r.View().Targets["a"].Usable())
}

// Guards against new requests to a target that has announced that it leaves, whose
// registration ends and comes back, as after a cut from the store or a store
// restored from an older copy.
func TestAnnouncedLeavingOutlastsRemoval(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Register(start, registration("a", 7))
	is.True(r.MarkLeaving(start, "a", 7))
	r.Remove(start.Add(time.Second), "a")
	is.True(!r.Register(start.Add(2*time.Second), registration("a", 6))) // of a former process
	is.True(r.Register(start.Add(3*time.Second), registration("a", 7)))
	a := r.View().Targets["a"]
	is.True(!a.Usable())
	is.Equal(a.LeavingSince, start)
	r.Remove(start.Add(4*time.Second), "a")
	is.True(r.Register(start.Add(5*time.Second), registration("a", 8)))
	is.True(r.View().Targets["a"].Usable())

	r.Remove(start.Add(6*time.Second), "a")
	is.True(r.MarkLeaving(start.Add(7*time.Second), "a", 8)) // by a response to an earlier request
	is.True(r.Register(start.Add(8*time.Second), registration("a", 8)))
	is.True(!r.View().Targets["a"].Usable())
}

// Guards against memory that grows with each target that has left.
func TestAnnouncedLeavingIsForgotten(t *testing.T) {
	is := is.New(t)
	r := NewRegistry()
	r.Register(start, registration("a", 7))
	r.MarkLeaving(start, "a", 7)
	r.Tick(start.Add(2 * leavingMemory))
	is.Equal(len(r.leaving), 1) // still registered
	r.Remove(start.Add(2*leavingMemory), "a")
	r.Tick(start.Add(2 * leavingMemory))
	is.Equal(len(r.leaving), 0)
}

// Guards against an owner that gets requests for its keys beyond the users' bound
// because the news that it leaves came late, as through a VM that had just lost the
// store: the bound counts from the record, the grace period from the news.
func TestLateNewsShortenTheGracePeriod(t *testing.T) {
	const bound = 2 * time.Second
	draining := registration("a", 1)
	draining.Draining, draining.Sequence = true, 2
	for name, learn := range map[string]func(r *Registry, now core.Instant){
		"registration": func(r *Registry, now core.Instant) { r.Register(now, draining) },
		"announcement": func(r *Registry, now core.Instant) { r.MarkLeaving(now, "a", 1) },
		"registration that returns": func(r *Registry, now core.Instant) {
			r.MarkLeaving(now, "a", 1)
			r.Remove(now, "a")
			r.Register(now, registration("a", 1))
		},
	} {
		for _, delay := range []time.Duration{0, 200 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(name, " after ", delay), func(t *testing.T) {
				is := is.New(t)
				r := NewRegistry()
				r.Register(start, registration("a", 1))
				r.MarkRegistrationsRead(start) // the record may be written right after
				learn(r, start.Add(delay))
				a := r.View().Targets["a"]
				is.True(!a.Usable())
				is.True(!a.ServesOwnedKeys(start.Add(max(bound, delay))))
				if delay <= 200*time.Millisecond { // its keys have time to move
					is.True(a.ServesOwnedKeys(start.Add(delay + drainGracePeriod)))
				}
				later := draining
				later.Sequence++
				r.MarkRegistrationsRead(start.Add(delay))
				r.Register(start.Add(delay+time.Second), later) // renews nothing
				is.True(!r.View().Targets["a"].ServesOwnedKeys(start.Add(max(bound, delay+time.Second))))
			})
		}
	}
}
