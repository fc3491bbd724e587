package coordinate

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/eventqueue"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// world is a deployment on a virtual clock: VMs that run the real steps of the
// duties, targets, the log and the links between them.
type world struct {
	now      core.Instant
	events   eventqueue.Queue
	rand     *rand.Rand
	vms      map[core.VM]*simVM
	targets  map[core.Target]*simTarget
	log      simLog
	cuts     map[[2]string]bool
	tick     time.Duration
	document policyText
	parsed   map[string]*policy.Policy
	faults   []string
	trace    []string
	moves    int
	// demand is the requests a second for keys, by hash.
	demand map[uint64]float64
	// lose is the share of answers that are lost.
	lose float64
	// stall is the share of messages that are under way for up to 3 s.
	stall float64
}

func newWorld(seed uint64) *world {
	return &world{
		rand: rand.New(rand.NewPCG(seed, 1)), tick: 25 * time.Millisecond,
		vms: make(map[core.VM]*simVM), targets: make(map[core.Target]*simTarget),
		cuts: make(map[[2]string]bool), demand: make(map[uint64]float64), parsed: make(map[string]*policy.Policy),
		document: policyText{ranges: 12, candidates: 2, isolation: "keep", moveAfter: "10s"},
	}
}

func (w *world) after(d time.Duration, run func()) {
	w.events.Add(w.now.Add(d), run)
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.faults) == 0 {
		e, ok := w.events.Next(end)
		if !ok {
			break
		}
		w.now = e.At
		e.Run()
	}
	w.now = end
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%9.3f ", time.Duration(w.now).Seconds())+fmt.Sprintf(format, args...))
}

func (w *world) cut(a, b string) bool { return w.cuts[[2]string{a, b}] || w.cuts[[2]string{b, a}] }

func (w *world) latency() time.Duration {
	if w.stall > 0 && w.rand.Float64() < w.stall {
		return time.Duration(w.rand.Int64N(int64(3 * time.Second)))
	}
	return 500*time.Microsecond + time.Duration(w.rand.Int64N(int64(2*time.Millisecond)))
}

const simTimeout = 250 * time.Millisecond

// call carries a request from a VM to a place and the answer back. The place
// may be frozen: it then gets the request when it goes on, after the caller's
// timeout.
func (w *world) call(from *simVM, to string, at func(func()) bool, serve func(), done func(ok, notSent bool)) {
	finished, incarnation := false, from.incarnation
	finish := func(ok, notSent bool) {
		if !finished && from.incarnation == incarnation {
			finished = true
			from.do(func() { done(ok, notSent) })
		}
	}
	w.after(simTimeout, func() { finish(false, false) })
	w.after(w.latency(), func() {
		if w.cut(string(from.id), to) {
			return
		}
		reached := at(func() {
			serve()
			lost := w.cut(string(from.id), to) || w.rand.Float64() < w.lose
			w.after(w.latency(), func() {
				if !lost {
					finish(true, false)
				}
			})
		})
		if !reached {
			finish(false, true)
		}
	})
}

// simTarget is a strict target: it checks everything that section 11.2 asks.
type simTarget struct {
	w           *world
	id          core.Target
	rate        float64
	started     core.Instant
	alive       bool
	frozen      bool
	deferred    []func()
	incarnation uint64
	token       core.Token
	granted     core.Token
	front       core.VM
	ranges      []core.RangeID
	leaseEnd    grant.TargetClock
	draining    bool
	// unchecked is set for a target that takes orders from anybody.
	unchecked bool
}

func (t *simTarget) clock() grant.TargetClock {
	return grant.TargetClock(float64(t.w.now.Sub(t.started)) * t.rate / 1e6)
}

func (t *simTarget) held() bool { return t.alive && t.front != "" && t.clock() < t.leaseEnd }

func (t *simTarget) at(run func()) bool {
	switch {
	case !t.alive:
		return false
	case t.frozen:
		t.deferred = append(t.deferred, run)
	default:
		run()
	}
	return true
}

func (t *simTarget) order(o grant.Order) grant.OrderReply {
	reason := t.apply(o)
	if reason == "" && o.Kind != grant.OrderInspect {
		t.w.check(t, o)
	}
	r := grant.OrderReply{
		Accepted: reason == "", Reason: reason, Token: t.token, Granted: t.granted, Held: t.held(), LeaseEnd: t.leaseEnd,
		Clock: t.clock(), Incarnation: t.incarnation, Draining: t.draining,
	}
	if r.Held {
		r.Front, r.Ranges = t.front, append([]core.RangeID(nil), t.ranges...)
	}
	return r
}

func (t *simTarget) apply(o grant.Order) string {
	if t.unchecked && o.Kind != grant.OrderInspect {
		t.token, t.front, t.leaseEnd = o.Token, o.Front, o.LeaseEnd
		if o.Kind == grant.OrderTake {
			t.ranges = append([]core.RangeID(nil), o.Ranges...)
		}
		return ""
	}
	order := o.Token.Compare(t.token)
	if o.Kind != grant.OrderInspect && (t.clock() > o.Deadline || o.Incarnation != t.incarnation) {
		return "late or for another incarnation"
	}
	switch o.Kind {
	case grant.OrderInspect:
		if order > 0 {
			t.token = o.Token
		}
	case grant.OrderTake:
		if order < 0 || order == 0 && t.front != "" && t.front != o.Front {
			return "older token"
		}
		t.token, t.granted, t.front, t.leaseEnd = o.Token, o.Token, o.Front, o.LeaseEnd
		t.ranges = append([]core.RangeID(nil), o.Ranges...)
	case grant.OrderRenew:
		if order != 0 || !t.held() || t.front != o.Front {
			return "no such grant"
		}
		t.leaseEnd = max(t.leaseEnd, o.LeaseEnd)
	}
	return ""
}

// check is the checker: no two targets hold a grant for the same range, also
// not a frozen one whose lease runs.
func (w *world) check(t *simTarget, o grant.Order) {
	for _, other := range w.targets {
		if other == t || !other.held() {
			continue
		}
		for _, a := range t.ranges {
			for _, b := range other.ranges {
				if a == b {
					w.fail("TWO OWNERS of %s: %s (%s by %s %s) and %s (%s %s)", a, t.id, o.Kind, o.Front, o.Token, other.id, other.front, other.token)
					return
				}
			}
		}
	}
	w.checkKeys()
}

func (w *world) fail(format string, args ...any) {
	w.note(format, args...)
	w.faults = append(w.faults, w.trace[len(w.trace)-1])
}

// checkFronts checks that at most one front sends to a target that checks no
// grants.
func (w *world) checkFronts(id core.Target) {
	var at []core.VM
	for vm, v := range w.vms {
		if v.alive && v.clock().Before(v.views[id].HeldUntil) {
			at = append(at, vm)
		}
	}
	if len(at) > 1 && w.targets[id].unchecked {
		w.fail("TWO FRONTS of %s: %v", id, at)
	}
}

// checkKeys checks that no key in demand can run at two targets. A front runs a
// key of a range only if its map does not name the key as a range of its own.
func (w *world) checkKeys() {
	for hash := range w.demand {
		var at []string
		for id, t := range w.targets {
			v := w.vms[t.front]
			if v == nil || !t.held() || !v.alive || !v.clock().Before(v.views[id].HeldUntil) || v.maps[v.domain] == nil {
				continue
			}
			m := v.maps[v.domain]
			r := core.RangeID{Service: "s", HotKey: hash}
			if _, ok := m.Ranges[r]; !ok {
				r = core.RangeOf("s", hash, uint32(w.document.ranges))
			}
			if a := m.Ranges[r]; a.Target == id && a.State == core.RangeServing && slices.Contains(t.ranges, r) {
				at = append(at, fmt.Sprintf("%s by %s %s", id, v.id, m.Version))
			}
		}
		if len(at) > 1 {
			w.fail("TWO OWNERS of key %d: %v", hash, at)
		}
	}
}

// simLog is the platform's log.
type simLog struct {
	entries []platformlog.Entry
	folded  platformlog.Folded
	down    bool
	// slow delays appends, which then take effect after their timeout.
	slow    time.Duration
	waiting []func()
}

var errSim = errors.New("no response")

func (w *world) logReachable(vm *simVM) bool { return !w.log.down && !w.cut(string(vm.id), "log") }

func (w *world) appendRecord(r platformlog.Record) uint64 {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	offset := uint64(len(w.log.entries) + 1)
	w.log.entries = append(w.log.entries, platformlog.Entry{Offset: offset, Data: data})
	w.log.folded, _ = w.log.folded.Apply(offset, r) // an error says that it was skipped
	waiting := w.log.waiting
	w.log.waiting = nil
	for _, run := range waiting {
		run()
	}
	return offset
}

// policyText is the part of the policy that scenarios vary.
type policyText struct {
	domains    []string
	targets    []string
	ranges     int
	candidates int
	isolation  string
	moveAfter  string
	leaving    map[string]bool
	unchecked  map[string]bool
}

func (p policyText) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[deployment]\nname = sim\nfailure_domains = %s\n", strings.Join(p.domains, ","))
	fmt.Fprintf(&b, "[control]\ncandidates = %d\nmove_after = %s\nmoves_in_flight = 2\n", p.candidates, p.moveAfter)
	fmt.Fprintf(&b, "[service s]\ndivision = key\nranges = %d\nisolation = %s\n", p.ranges, p.isolation)
	b.WriteString("[route get]\npath = /s/{k}\nservice = s\nkey = path:k\n")
	for i, t := range p.targets {
		id, domain, _ := strings.Cut(t, "@")
		fmt.Fprintf(&b, "[target %s]\nservice = s\nfailure_domain = %s\naddress = 127.0.0.1:%d\nslots = 4\nleaving = %t\nchecks_grants = %t\n", id, domain, i+1, p.leaving[id], !p.unchecked[id])
	}
	return b.String()
}
