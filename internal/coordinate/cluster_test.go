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

// cluster simulates a deployment on a virtual clock: VMs that run the real
// step functions of the duties, targets, the log and the links between them.
type cluster struct {
	now            core.Instant
	events         eventqueue.Queue
	rand           *rand.Rand
	vms            map[core.VM]*simVM
	targets        map[core.Target]*simTarget
	log            simLog
	partitions     map[[2]string]bool
	tickInterval   time.Duration
	policy         policyConfig
	parsedPolicies map[string]*policy.Policy
	violations     []string
	trace          []string
	moves          int
	// requestRates are the requests per second for each key hash.
	requestRates map[uint64]float64
	// lossRate is the share of responses that are lost.
	lossRate float64
	// stallRate is the share of messages that are delayed by up to 3 s.
	stallRate float64
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		rand: rand.New(rand.NewPCG(seed, 1)), tickInterval: 25 * time.Millisecond,
		vms: make(map[core.VM]*simVM), targets: make(map[core.Target]*simTarget),
		partitions: make(map[[2]string]bool), requestRates: make(map[uint64]float64), parsedPolicies: make(map[string]*policy.Policy),
		policy: policyConfig{ranges: 12, candidates: 2, isolation: "keep", moveAfter: "10s"},
	}
}

func (c *cluster) after(d time.Duration, run func()) {
	c.events.Add(c.now.Add(d), run)
}

func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.violations) == 0 {
		e, ok := c.events.Next(end)
		if !ok {
			break
		}
		c.now = e.At
		e.Run()
	}
	c.now = end
}

func (c *cluster) tracef(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%9.3f ", time.Duration(c.now).Seconds())+fmt.Sprintf(format, args...))
}

func (c *cluster) partitioned(a, b string) bool {
	return c.partitions[[2]string{a, b}] || c.partitions[[2]string{b, a}]
}

func (c *cluster) latency() time.Duration {
	if c.stallRate > 0 && c.rand.Float64() < c.stallRate {
		return time.Duration(c.rand.Int64N(int64(3 * time.Second)))
	}
	return 500*time.Microsecond + time.Duration(c.rand.Int64N(int64(2*time.Millisecond)))
}

const simTimeout = 250 * time.Millisecond

// call delivers a request from a VM to a destination and the response back. A
// suspended destination processes the request when it is resumed, possibly after
// the caller's timeout.
func (c *cluster) call(from *simVM, to string, deliver func(func()) bool, serve func(), done func(ok, notSent bool)) {
	finished, incarnation := false, from.incarnation
	finish := func(ok, notSent bool) {
		if !finished && from.incarnation == incarnation {
			finished = true
			from.deliver(func() { done(ok, notSent) })
		}
	}
	c.after(simTimeout, func() { finish(false, false) })
	c.after(c.latency(), func() {
		if c.partitioned(string(from.id), to) {
			return
		}
		reached := deliver(func() {
			serve()
			lost := c.partitioned(string(from.id), to) || c.rand.Float64() < c.lossRate
			c.after(c.latency(), func() {
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

// simTarget is a simulated target that makes all checks of section 11.2.
type simTarget struct {
	cluster     *cluster
	id          core.Target
	rate        float64
	started     core.Instant
	alive       bool
	suspended   bool
	deferred    []func()
	incarnation uint64
	token       core.Token
	granted     core.Token
	front       core.VM
	ranges      []core.RangeID
	leaseEnd    grant.TargetClock
	draining    bool
	// unchecked is set for a target that accepts all orders.
	unchecked bool
}

func (t *simTarget) clock() grant.TargetClock {
	return grant.TargetClock(float64(t.cluster.now.Sub(t.started)) * t.rate / 1e6)
}

func (t *simTarget) held() bool { return t.alive && t.front != "" && t.clock() < t.leaseEnd }

func (t *simTarget) deliver(run func()) bool {
	switch {
	case !t.alive:
		return false
	case t.suspended:
		t.deferred = append(t.deferred, run)
	default:
		run()
	}
	return true
}

func (t *simTarget) handleOrder(o grant.Order) grant.OrderReply {
	reason := t.applyOrder(o)
	if reason == "" && o.Kind != grant.OrderInspect {
		t.cluster.checkRanges(t, o)
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

func (t *simTarget) applyOrder(o grant.Order) string {
	if t.unchecked && o.Kind != grant.OrderInspect {
		t.token, t.front, t.leaseEnd = o.Token, o.Front, o.LeaseEnd
		if o.Kind == grant.OrderTake {
			t.ranges = append([]core.RangeID(nil), o.Ranges...)
		}
		return ""
	}
	comparison := o.Token.Compare(t.token)
	if o.Kind != grant.OrderInspect && (t.clock() > o.Deadline || o.Incarnation != t.incarnation) {
		return "late or for another incarnation"
	}
	switch o.Kind {
	case grant.OrderInspect:
		if comparison > 0 {
			t.token = o.Token
		}
	case grant.OrderTake:
		if comparison < 0 || comparison == 0 && t.front != "" && t.front != o.Front {
			return "older token"
		}
		t.token, t.granted, t.front, t.leaseEnd = o.Token, o.Token, o.Front, o.LeaseEnd
		t.ranges = append([]core.RangeID(nil), o.Ranges...)
	case grant.OrderRenew:
		if comparison != 0 || !t.held() || t.front != o.Front {
			return "no such grant"
		}
		t.leaseEnd = max(t.leaseEnd, o.LeaseEnd)
	}
	return ""
}

// checkRanges checks that no two targets hold a grant for the same range. A
// suspended target holds its grant until the lease expires.
func (c *cluster) checkRanges(t *simTarget, o grant.Order) {
	for _, other := range c.targets {
		if other == t || !other.held() {
			continue
		}
		for _, a := range t.ranges {
			for _, b := range other.ranges {
				if a == b {
					c.violationf("TWO OWNERS of %s: %s (%s by %s %s) and %s (%s %s)", a, t.id, o.Kind, o.Front, o.Token, other.id, other.front, other.token)
					return
				}
			}
		}
	}
	c.checkKeys()
}

func (c *cluster) violationf(format string, args ...any) {
	c.tracef(format, args...)
	c.violations = append(c.violations, c.trace[len(c.trace)-1])
}

// checkFronts checks that at most one front sends requests to a target that does
// not check grants.
func (c *cluster) checkFronts(id core.Target) {
	var fronts []core.VM
	for vm, v := range c.vms {
		if v.alive && v.clock().Before(v.views[id].HeldUntil) {
			fronts = append(fronts, vm)
		}
	}
	if len(fronts) > 1 && c.targets[id].unchecked {
		c.violationf("TWO FRONTS of %s: %v", id, fronts)
	}
}

// checkKeys checks that requests for a key cannot run at two targets. A front
// serves a key as part of a numbered range only if its map does not contain the
// key as a range of its own.
func (c *cluster) checkKeys() {
	for hash := range c.requestRates {
		var servedAt []string
		for id, t := range c.targets {
			v := c.vms[t.front]
			if v == nil || !t.held() || !v.alive || !v.clock().Before(v.views[id].HeldUntil) || v.maps[v.domain] == nil {
				continue
			}
			m := v.maps[v.domain]
			r := core.RangeID{Service: "s", HotKey: hash}
			if _, ok := m.Ranges[r]; !ok {
				r = core.RangeOf("s", hash, uint32(c.policy.ranges))
			}
			if a := m.Ranges[r]; a.Target == id && a.State == core.RangeServing && slices.Contains(t.ranges, r) {
				servedAt = append(servedAt, fmt.Sprintf("%s by %s %s", id, v.id, m.Version))
			}
		}
		if len(servedAt) > 1 {
			c.violationf("TWO OWNERS of key %d: %v", hash, servedAt)
		}
	}
}

// simLog simulates the platform's log.
type simLog struct {
	entries []platformlog.Entry
	state   platformlog.State
	down    bool
	// slow delays appends, so that they can take effect after their timeout.
	slow         time.Duration
	pendingReads []func()
}

var errSim = errors.New("no response")

func (c *cluster) logReachable(vm *simVM) bool {
	return !c.log.down && !c.partitioned(string(vm.id), "log")
}

func (c *cluster) appendRecord(r platformlog.Record) uint64 {
	data, err := r.Encode()
	if err != nil {
		panic(err)
	}
	offset := uint64(len(c.log.entries) + 1)
	c.log.entries = append(c.log.entries, platformlog.Entry{Offset: offset, Data: data})
	c.log.state, _ = c.log.state.Apply(offset, r) // on an error the record is skipped
	pending := c.log.pendingReads
	c.log.pendingReads = nil
	for _, run := range pending {
		run()
	}
	return offset
}

// policyConfig is the part of the policy that scenarios vary.
type policyConfig struct {
	domains    []string
	targets    []string
	ranges     int
	candidates int
	isolation  string
	moveAfter  string
	leaving    map[string]bool
	unchecked  map[string]bool
}

func (p policyConfig) String() string {
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
