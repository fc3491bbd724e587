package coordinate

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
)

// simVM runs the step functions of one entry VM's control duties and executes
// their outputs, as internal/app does.
type simVM struct {
	cluster     *cluster
	id          core.VM
	domain      core.FailureDomain
	rate        float64
	incarnation uint64
	alive       bool
	suspended   bool
	deferred    []func()

	coordinator *Coordinator
	members     *membership.Membership
	reader      *platformlog.Reader
	renewer     *grant.Renewer
	logState    platformlog.State
	policy      *policy.Policy
	maps        map[core.FailureDomain]*core.RangeMap
	views       map[core.Target]grant.View
	measuredAt  core.Instant
}

func (v *simVM) clock() core.Instant { return core.Instant(float64(v.cluster.now)*v.rate) + 1e9 }

// deliver runs a function on the VM: at once, after a suspended VM is resumed, or
// never on a VM that is down. It reports whether the VM is up.
func (v *simVM) deliver(run func()) bool {
	switch {
	case !v.alive:
		return false
	case v.suspended:
		v.deferred = append(v.deferred, run)
	default:
		run()
	}
	return true
}

func (v *simVM) info() membership.Info {
	return membership.Info{
		VM: v.id, FailureDomain: v.domain, Address: string(v.id), Incarnation: v.incarnation, Capacity: 1,
	}
}

// start starts a new process of the VM without any state.
func (v *simVM) start() {
	v.incarnation++
	v.alive, v.suspended, v.deferred = true, false, nil
	v.coordinator = New(v.id, v.domain, v.incarnation)
	v.reader = platformlog.NewReader(v.id)
	v.renewer = grant.NewRenewer(v.id, v.domain, v.incarnation)
	v.logState, v.policy = platformlog.State{}, nil
	v.maps = make(map[core.FailureDomain]*core.RangeMap)
	v.views = make(map[core.Target]grant.View)
	var seeds []membership.Info
	for _, other := range v.cluster.vms {
		if other != v {
			info := other.info()
			info.Incarnation = 0
			seeds = append(seeds, info)
		}
	}
	v.members = membership.New(v.info(), seeds)
	v.cluster.after(time.Duration(v.cluster.rand.Int64N(int64(v.cluster.tickInterval))), v.ticker(v.incarnation))
}

func (v *simVM) ticker(incarnation uint64) func() {
	var tick func()
	tick = func() {
		if v.incarnation != incarnation || !v.alive {
			return
		}
		v.cluster.after(v.cluster.tickInterval, tick)
		if v.suspended {
			return
		}
		if len(v.cluster.requestRates) > 0 && v.cluster.now.Sub(v.measuredAt) >= time.Second {
			v.measuredAt = v.cluster.now
			v.measureLoads()
		}
		v.stepMembership(membership.Tick{})
		v.stepReader(platformlog.Tick{})
		v.stepCoordinator(Tick{})
		v.stepRenewer(grant.Tick{})
	}
	return tick
}

// remote returns a function that delivers functions to another VM.
func (v *simVM) remote(id core.VM) func(func()) bool {
	return func(run func()) bool {
		other := v.cluster.vms[id]
		return other != nil && other.deliver(run)
	}
}

func (v *simVM) stepMembership(m membership.Message) {
	for _, o := range v.members.Step(v.clock(), m) {
		switch o := o.(type) {
		case membership.SendHeartbeat:
			var reply membership.Info
			v.cluster.call(v, string(o.VM), v.remote(o.VM), func() { reply = v.cluster.vms[o.VM].receiveInfo(o.Info) }, func(ok, _ bool) {
				if ok {
					v.stepMembership(membership.HeartbeatReceived{Info: reply})
				} else {
					v.stepMembership(membership.HeartbeatFailed{VM: o.VM})
				}
			})
		case membership.SendHeartbeatReply:
			o.To <- o.Info
		case membership.Changed:
			v.stepCoordinator(ViewChanged{View: o.View})
		case membership.NewerStateFound:
			v.fetchState(o.VM)
		}
	}
}

func (v *simVM) receiveInfo(info membership.Info) membership.Info {
	reply := make(chan membership.Info, 1)
	v.stepMembership(membership.HeartbeatReceived{Info: info, Reply: reply})
	return <-reply
}

func (v *simVM) fetchState(from core.VM) {
	var logState platformlog.State
	var maps []*core.RangeMap
	v.cluster.call(v, string(from), v.remote(from), func() {
		other := v.cluster.vms[from]
		logState = other.logState
		for _, m := range other.maps {
			maps = append(maps, m)
		}
	}, func(ok, _ bool) {
		if !ok {
			return
		}
		v.stepReader(platformlog.PeerState{State: logState})
		for _, m := range maps {
			v.receiveMap(m, true)
		}
	})
}

func (v *simVM) receiveMap(m *core.RangeMap, notify bool) {
	if old := v.maps[m.FailureDomain]; old != nil && !old.Version.Less(m.Version) {
		return
	}
	v.maps[m.FailureDomain] = m
	if notify {
		v.stepCoordinator(MapReceived{Map: m})
	}
	v.updateAssignments()
	v.publishVersions()
	v.cluster.checkKeys()
}

func (v *simVM) publishVersions() {
	versions := make(map[core.FailureDomain]core.Token)
	for d, m := range v.maps {
		versions[d] = m.Version
	}
	v.stepMembership(membership.VersionsChanged{LogOffset: v.logState.Offset, Maps: versions})
}

// measureLoads passes the loads of the VM's targets to the renewer. Each target can
// serve 100 requests per second.
func (v *simVM) measureLoads() {
	m := v.maps[v.domain]
	for id, view := range v.views {
		if m == nil || m.Targets[id].Front != v.id {
			continue
		}
		load := core.TargetLoad{Target: id, Ranges: make(map[core.RangeID]float64)}
		for hash, rate := range v.cluster.requestRates {
			r := core.RangeID{Service: "s", HotKey: hash}
			if _, ok := m.Ranges[r]; !ok {
				r = core.RangeOf("s", hash, uint32(v.cluster.policy.ranges))
			}
			if slices.Contains(view.Ranges, r) {
				load.RequestsPerSecond += rate
				load.Ranges[r] += rate
				load.HotKeys = append(load.HotKeys, core.KeyLoad{Service: "s", KeyHash: hash, RequestsPerSecond: rate})
			}
		}
		load.Utilisation = load.RequestsPerSecond / 100
		v.stepRenewer(grant.LoadMeasured{Load: load})
	}
}

// updateAssignments passes the VM's part of the map to the renewer.
func (v *simVM) updateAssignments() {
	m := v.maps[v.domain]
	if m == nil || v.policy == nil {
		return
	}
	targets := make(map[core.Target]grant.Assignment)
	for id, a := range m.Targets {
		if _, ok := v.policy.Targets[id]; ok && a.Front == v.id {
			targets[id] = grant.Assignment{
				Token: a.Token, Incarnation: a.Incarnation,
				Yield: v.policy.Services["s"].Isolation == policy.IsolationYield,
			}
		}
	}
	for id, r := range m.Ranges {
		a, ok := targets[r.Target]
		switch {
		case !ok:
			continue
		case r.State == core.RangeMoving:
			a.Moving = append(a.Moving, id)
		case r.State == core.RangeServing:
			a.Ranges = append(a.Ranges, id)
		}
		targets[r.Target] = a
	}
	for id, a := range targets {
		if len(a.Moving) > 0 {
			v.cluster.after(v.cluster.latency()*4, func() {
				v.deliver(func() { v.stepRenewer(grant.Drained{Target: id, Ranges: a.Moving}) })
			})
		}
	}
	v.stepRenewer(grant.Assigned{Holder: m.Holder, Version: m.Version, Targets: targets})
}

func (v *simVM) stepReader(m platformlog.Message) {
	for _, o := range v.reader.Step(v.clock(), m) {
		switch o := o.(type) {
		case platformlog.Read:
			v.read(o)
		case platformlog.StateChanged:
			v.logState = o.State
			if o.State.PolicyVersion == 0 {
				continue
			}
			v.policy = v.cluster.parse(o.State.Document)
			v.stepCoordinator(LogChanged{LogState: o.State, Policy: v.policy})
			v.updateAssignments()
			v.publishVersions()
		case platformlog.CaughtUp:
			v.stepCoordinator(LogFresh{ReadStartedAt: o.ReadStartedAt})
		}
	}
}

func (c *cluster) parse(document string) *policy.Policy {
	if c.parsedPolicies[document] == nil {
		p, err := policy.Parse([]byte(document))
		if err != nil {
			panic(err)
		}
		c.parsedPolicies[document] = p
	}
	return c.parsedPolicies[document]
}

func (v *simVM) read(o platformlog.Read) {
	c, incarnation := v.cluster, v.incarnation
	startedAt := v.clock()
	responded := false
	respond := func() {
		if responded {
			return
		}
		responded = true
		page := platformlog.Page{First: 1}
		if int(o.From) <= len(c.log.entries) {
			page.Entries = slices.Clone(c.log.entries[o.From-1 : min(len(c.log.entries), int(o.From)-1+o.Limit)])
		}
		ok := c.logReachable(v) && c.rand.Float64() >= c.lossRate
		c.after(c.latency(), func() {
			if v.incarnation != incarnation {
				return
			}
			v.deliver(func() {
				if ok {
					v.stepReader(platformlog.PageRead{StartedAt: startedAt, From: o.From, Limit: o.Limit, Page: page})
				} else {
					v.stepReader(platformlog.ReadFailed{Err: errSim})
				}
			})
		})
	}
	c.after(c.latency(), func() {
		if int(o.From) <= len(c.log.entries) || !c.logReachable(v) {
			respond()
			return
		}
		c.log.pendingReads = append(c.log.pendingReads, respond)
		c.after(o.Wait, respond)
	})
}

func (v *simVM) stepRenewer(m grant.Message) {
	for _, o := range v.renewer.Step(v.clock(), m) {
		switch o := o.(type) {
		case grant.SendOrder:
			done := grant.OrderDone{Target: o.Target, Order: o.Order, Sent: v.clock()}
			v.sendOrder(o.Target, o.Order, &done.Reply, func(ok, notSent bool) {
				done.Received = v.clock()
				if !ok {
					done.Err, done.NotSent = errSim, notSent
				}
				v.stepRenewer(done)
			})
		case grant.Changed:
			v.views[o.Target] = o.View
			v.cluster.checkFronts(o.Target)
		case grant.SendReport:
			sent := v.clock()
			reply := make(chan grant.ReportReply, 1)
			v.cluster.call(v, string(o.Holder), v.remote(o.Holder), func() {
				v.cluster.vms[o.Holder].stepCoordinator(ReportReceived{Report: o.Report, Reply: reply})
			}, func(ok, _ bool) {
				if ok {
					v.stepRenewer(grant.ReportDone{Sent: sent, Reply: <-reply})
				}
			})
		}
	}
}

func (v *simVM) sendOrder(id core.Target, o grant.Order, reply *grant.OrderReply, done func(ok, notSent bool)) {
	t := v.cluster.targets[id]
	v.cluster.call(v, string(id), t.deliver, func() { *reply = t.handleOrder(o) }, done)
}

func (v *simVM) stepCoordinator(m Message) {
	for _, o := range v.coordinator.Step(v.clock(), m) {
		switch o := o.(type) {
		case Append:
			v.append(o.Record)
		case Publish:
			v.cluster.moves += v.cluster.countMoves(v.maps[v.domain], o.Map)
			v.receiveMap(o.Map, false)
			for _, to := range o.To {
				v.cluster.call(v, string(to.VM), v.remote(to.VM), func() { v.cluster.vms[to.VM].receiveMap(o.Map, true) }, func(bool, bool) {})
			}
		case SendPromiseRequest:
			done := PromiseDone{From: o.To.VM, Request: o.Request, Sent: v.clock()}
			reply := make(chan PromiseReply, 1)
			v.cluster.call(v, string(o.To.VM), v.remote(o.To.VM), func() {
				v.cluster.vms[o.To.VM].stepCoordinator(PromiseRequested{Request: o.Request, Reply: reply})
			}, func(ok, _ bool) {
				if ok {
					done.Reply = <-reply
					v.stepCoordinator(done)
				}
			})
		case SendPromiseReply:
			o.To <- o.Reply
		case SendReportReply:
			o.To <- o.Reply
		case Inspect:
			done := InspectDone{Target: o.Target, Order: o.Order}
			v.sendOrder(o.Target, o.Order, &done.Reply, func(ok, _ bool) {
				done.OK = ok
				v.stepCoordinator(done)
			})
		case RoleChanged:
			v.cluster.tracef("%s holding=%t term %d rank %d", v.id, o.Holding, o.Term, o.Rank)
		}
	}
}

// append appends a record. With a slow log it takes effect after the caller's
// timeout.
func (v *simVM) append(r platformlog.Record) {
	c := v.cluster
	done := AppendDone{ID: r.ID}
	delay := c.latency() + c.log.slow
	reachable := c.logReachable(v)
	c.after(delay, func() {
		if reachable && !c.log.down {
			done.Offset = c.appendRecord(r)
			c.tracef("log %d: %s by %s base %d candidates %v", done.Offset, r.Kind, r.Author, r.Base, r.Candidates)
			done.OK = c.rand.Float64() >= c.lossRate && delay < simTimeout
		}
		c.after(c.latency(), func() { v.deliver(func() { v.stepCoordinator(done) }) })
	})
}

// countMoves counts the ranges whose target changes.
func (c *cluster) countMoves(old, next *core.RangeMap) int {
	n := 0
	if old == nil {
		return 0
	}
	for id, r := range next.Ranges {
		if oldTarget := old.Ranges[id].Target; oldTarget != "" && r.Target != "" && oldTarget != r.Target {
			n++
		}
	}
	return n
}

// unserved lists the ranges that no front can currently serve.
func (c *cluster) unserved() []string {
	served := make(map[core.RangeID]bool)
	for id, t := range c.targets {
		v := c.vms[t.front]
		if !t.held() || t.suspended || v == nil || !v.alive || v.suspended || c.partitioned(string(v.id), string(id)) {
			continue
		}
		m := v.maps[v.domain]
		if m == nil || !v.clock().Before(v.views[id].HeldUntil) {
			continue
		}
		for _, r := range v.views[id].Ranges {
			a := m.Ranges[r]
			if a.Target == id && a.State == core.RangeServing && slices.Contains(t.ranges, r) {
				served[r] = true
			}
		}
	}
	var out []string
	for n := range uint32(c.policy.ranges) {
		if id := (core.RangeID{Service: "s", Number: n}); !served[id] {
			out = append(out, id.String())
		}
	}
	return out
}
