package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"celeryhook.example/celeryhook/standin/wire"
)

// bench is a checker with a VM and two targets that hold keys.
type bench struct {
	*checker
	vm   *gateway
	a, b *wire.Server
}

func newBench(t *testing.T) *bench {
	c := newChecker(&history{}, 1)
	store := wire.NewStore()
	out := &bench{checker: c, vm: &gateway{name: "vm0"}}
	for _, s := range []**wire.Server{&out.a, &out.b} {
		o := wire.ServerOptions{ID: "a", Service: "seats", Zone: "z0", Slots: 1, Sharded: true}
		if s == &out.b {
			o.ID = "b"
		}
		var err error
		*s, err = wire.StartServer(store, o)
		is.New(t).NoErr(err)
		t.Cleanup((*s).Stop)
	}
	c.nextConfig(1)
	c.acceptedConfig()
	return out
}

// sent notes a request that was sent some time ago.
func (b *bench) sent(id, method, uri string, ago time.Duration) *request {
	r := &request{id: id, method: method, uri: uri, idempotent: method == http.MethodGet, vm: b.vm, life: 1}
	b.send(r)
	r.sent = time.Now().Add(-ago)
	return r
}

func run(r *request, s *wire.Server, key int) wire.Run {
	return wire.Run{Server: s.ID, ID: r.id, Method: r.method, URI: r.uri, Key: key, At: time.Now()}
}

func (b *bench) grant(t *testing.T, s *wire.Server, fence int64) {
	is.New(t).NoErr(wire.Grant(s.Address(), 0, 15, fence, 5*time.Second))
	b.Granted(s, 0, 15, fence)
}

// Guards against a checker that misses what it is there for: each case breaks
// one promise and must be reported as exactly that one.
func TestCheckerReports(t *testing.T) {
	for _, c := range []struct {
		promise Promise
		act     func(t *testing.T, b *bench)
	}{
		{AtMostOnce, func(_ *testing.T, b *bench) {
			r := b.sent("1", "POST", "/book/1", 0)
			b.RunStarted(b.a, run(r, b.a, -1))
			b.RunStarted(b.b, run(r, b.b, -1))
		}},
		{TrueRefusal, func(_ *testing.T, b *bench) {
			r := b.sent("1", "POST", "/book/1", 0)
			b.RunStarted(b.a, run(r, b.a, -1))
			b.finish(r, outcome{status: http.StatusServiceUnavailable})
		}},
		{TrueRefusal, func(_ *testing.T, b *bench) {
			r := b.sent("1", "POST", "/book/1", 0)
			b.finish(r, outcome{status: http.StatusTooManyRequests})
			b.RunStarted(b.a, run(r, b.a, -1))
		}},
		{OwnRequest, func(_ *testing.T, b *bench) {
			r := b.sent("1", "POST", "/book/1", 0)
			x := run(r, b.a, -1)
			x.Body = "smuggled"
			b.RunStarted(b.a, x)
		}},
		{WholeAnswer, func(_ *testing.T, b *bench) {
			r := b.sent("1", "GET", "/read/1", 0)
			b.finish(r, outcome{status: http.StatusOK, stamp: "a.2", body: "answer of a to 2"})
		}},
		{WholeAnswer, func(_ *testing.T, b *bench) {
			r := b.sent("1", "GET", "/read/1", 0)
			b.finish(r, outcome{status: http.StatusOK, stamp: "a.1", body: "answer of a to 1", stray: 4})
		}},
		{OneOwner, func(t *testing.T, b *bench) {
			b.grant(t, b.a, 1)
			b.grant(t, b.b, 2)
			b.RunStarted(b.a, run(b.sent("1", "GET", "/seat/1", 0), b.a, 3))
			b.RunStarted(b.b, run(b.sent("2", "GET", "/seat/2", 0), b.b, 3))
		}},
		{OneOwner, func(t *testing.T, b *bench) {
			b.grant(t, b.a, 1)
			b.grant(t, b.b, 2)
			b.compareOwners(time.Now())
			b.compareOwners(time.Now().Add(time.Second))
		}},
		{Token, func(t *testing.T, b *bench) {
			b.grant(t, b.a, 2)
			b.grant(t, b.b, 2)
		}},
		{Draining, func(_ *testing.T, b *bench) {
			b.setLeaving("a")
			b.leaving["a"] = time.Now().Add(-drainBound - time.Second)
			b.RunStarted(b.a, run(b.sent("1", "GET", "/read/1", 0), b.a, -1))
		}},
		{Evacuated, func(_ *testing.T, b *bench) {
			b.setEvacuated("z0", true)
			b.evacuated["z0"] = time.Now().Add(-evacuateBound - time.Second)
			b.RunStarted(b.a, run(b.sent("1", "GET", "/read/1", 0), b.a, -1))
		}},
		{ColdLimit, func(t *testing.T, b *bench) {
			s, err := wire.StartServer(wire.NewStore(), wire.ServerOptions{ID: "c", Service: "desk", Zone: "z1", Slots: 1, Cold: time.Minute})
			is.New(t).NoErr(err)
			defer s.Stop()
			for range 37 {
				b.RunStarted(s, run(b.sent("1", "GET", "/read/1", 0), s, -1))
			}
		}},
		{InForce, func(_ *testing.T, b *bench) {
			b.configs.list[0].accepted = time.Now().Add(-time.Minute)
			b.finish(b.sent("1", "GET", "/v/1/x", 0), outcome{status: http.StatusNotFound})
		}},
		{InForce, func(_ *testing.T, b *bench) {
			b.configs.list[0].accepted = time.Now().Add(-time.Minute)
			b.RunStarted(b.a, run(b.sent("1", "GET", "/v/7/x", 0), b.a, -1))
		}},
		{NeverBack, func(_ *testing.T, b *bench) {
			b.nextConfig(1)
			b.RunStarted(b.a, run(b.sent("1", "GET", "/v/2/x", 0), b.a, -1))
			b.configs.seen[life{vm: "vm0", start: 1}] = seen{index: 1, at: time.Now().Add(-time.Second)}
			b.finish(b.sent("2", "GET", "/v/2/y", 0), outcome{status: http.StatusNotFound})
		}},
		{PlannedStop, func(_ *testing.T, b *bench) {
			end, at := b.history.beginAt("vm0")
			r := b.sent("1", "POST", "/book/1", 0)
			b.RunStarted(b.a, run(r, b.a, -1))
			b.finish(r, outcome{stoppedByPlan: at})
			end()
		}},
	} {
		t.Run(string(c.promise), func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			c.act(t, b)
			_, violations := b.summary()
			is.Equal(len(violations), 1)
			is.Equal(violations[0].Promise, c.promise)
		})
	}
}

// Guards against bounds in time that are asserted where they do not hold: while
// the VM, the target or the store is disturbed, and shortly after.
func TestDisturbedPartsAreExcused(t *testing.T) {
	is := is.New(t)
	for _, p := range []place{"vm0", "a", theStore, thisMachine} {
		b := newBench(t)
		b.history.instant(p)
		b.setLeaving("a")
		b.leaving["a"] = time.Now().Add(-drainBound - time.Second)
		b.RunStarted(b.a, run(b.sent("1", "GET", "/read/1", 0), b.a, -1))
		_, violations := b.summary()
		is.Equal(len(violations), 0)
	}
	b := newBench(t)
	b.history.instant("vm9")
	b.setLeaving("a")
	b.leaving["a"] = time.Now().Add(-drainBound - time.Second)
	b.RunStarted(b.a, run(b.sent("1", "GET", "/read/1", 0), b.a, -1))
	_, violations := b.summary()
	is.Equal(len(violations), 1)
}
