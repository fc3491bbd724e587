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

// simVM runs the steps of one entry VM's control duties and carries out their
// outputs, as internal/app does.
type simVM struct {
	w           *world
	id          core.VM
	domain      core.FailureDomain
	rate        float64
	incarnation uint64
	alive       bool
	frozen      bool
	deferred    []func()

	coordinator *Coordinator
	members     *membership.Membership
	reader      *platformlog.Reader
	keeper      *grant.Keeper
	folded      platformlog.Folded
	policy      *policy.Policy
	maps        map[core.FailureDomain]*core.RangeMap
	views       map[core.Target]grant.View
	measuredAt  core.Instant
}

func (v *simVM) clock() core.Instant { return core.Instant(float64(v.w.now)*v.rate) + 1e9 }

// do runs something on the VM: now, when it goes on, or never.
func (v *simVM) do(run func()) bool {
	switch {
	case !v.alive:
		return false
	case v.frozen:
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

// start begins a new process under the VM's id, which knows nothing.
func (v *simVM) start() {
	v.incarnation++
	v.alive, v.frozen, v.deferred = true, false, nil
	v.coordinator = New(v.id, v.domain, v.incarnation)
	v.reader = platformlog.NewReader(v.id)
	v.keeper = grant.NewKeeper(v.id, v.domain, v.incarnation)
	v.folded, v.policy = platformlog.Folded{}, nil
	v.maps = make(map[core.FailureDomain]*core.RangeMap)
	v.views = make(map[core.Target]grant.View)
	var seeds []membership.Info
	for _, other := range v.w.vms {
		if other != v {
			info := other.info()
			info.Incarnation = 0
			seeds = append(seeds, info)
		}
	}
	v.members = membership.New(v.info(), seeds)
	v.w.after(time.Duration(v.w.rand.Int64N(int64(v.w.tick))), v.ticker(v.incarnation))
}

func (v *simVM) ticker(incarnation uint64) func() {
	var tick func()
	tick = func() {
		if v.incarnation != incarnation || !v.alive {
			return
		}
		v.w.after(v.w.tick, tick)
		if v.frozen {
			return
		}
		if len(v.w.demand) > 0 && v.w.now.Sub(v.measuredAt) >= time.Second {
			v.measuredAt = v.w.now
			v.measure()
		}
		v.stepMembers(membership.Tick{})
		v.stepReader(platformlog.Tick{})
		v.stepCoordinator(Tick{})
		v.stepKeeper(grant.Tick{})
	}
	return tick
}

// remote returns a function that runs something on another VM's process.
func (v *simVM) remote(id core.VM) func(func()) bool {
	return func(run func()) bool {
		other := v.w.vms[id]
		return other != nil && other.do(run)
	}
}

func (v *simVM) stepMembers(m membership.Message) {
	for _, o := range v.members.Step(v.clock(), m) {
		switch o := o.(type) {
		case membership.Send:
			var reply membership.Info
			v.w.call(v, string(o.VM), v.remote(o.VM), func() { reply = v.w.vms[o.VM].heard(o.Info) }, func(ok, _ bool) {
				if ok {
					v.stepMembers(membership.Heard{Info: reply})
				} else {
					v.stepMembers(membership.Silent{VM: o.VM})
				}
			})
		case membership.Reply:
			o.To <- o.Info
		case membership.Changed:
			v.stepCoordinator(ViewChanged{View: o.View})
		case membership.Behind:
			v.fetch(o.VM)
		}
	}
}

func (v *simVM) heard(info membership.Info) membership.Info {
	reply := make(chan membership.Info, 1)
	v.stepMembers(membership.Heard{Info: info, Reply: reply})
	return <-reply
}

func (v *simVM) fetch(from core.VM) {
	var folded platformlog.Folded
	var maps []*core.RangeMap
	v.w.call(v, string(from), v.remote(from), func() {
		other := v.w.vms[from]
		folded = other.folded
		for _, m := range other.maps {
			maps = append(maps, m)
		}
	}, func(ok, _ bool) {
		if !ok {
			return
		}
		v.stepReader(platformlog.PeerState{Folded: folded})
		for _, m := range maps {
			v.mapHeard(m, true)
		}
	})
}

func (v *simVM) mapHeard(m *core.RangeMap, pass bool) {
	if old := v.maps[m.FailureDomain]; old != nil && !old.Version.Less(m.Version) {
		return
	}
	v.maps[m.FailureDomain] = m
	if pass {
		v.stepCoordinator(MapHeard{Map: m})
	}
	v.assign()
	v.versions()
	v.w.checkKeys()
}

func (v *simVM) versions() {
	versions := make(map[core.FailureDomain]core.Token)
	for d, m := range v.maps {
		versions[d] = m.Version
	}
	v.stepMembers(membership.Versions{LogOffset: v.folded.Offset, Maps: versions})
}

// measure hands the keeper the loads of the VM's targets, each of which can run
// 100 requests a second.
func (v *simVM) measure() {
	m := v.maps[v.domain]
	for id, view := range v.views {
		if m == nil || m.Targets[id].Front != v.id {
			continue
		}
		load := core.TargetLoad{Target: id, Ranges: make(map[core.RangeID]float64)}
		for hash, rate := range v.w.demand {
			r := core.RangeID{Service: "s", HotKey: hash}
			if _, ok := m.Ranges[r]; !ok {
				r = core.RangeOf("s", hash, uint32(v.w.document.ranges))
			}
			if slices.Contains(view.Ranges, r) {
				load.RequestsPerSecond += rate
				load.Ranges[r] += rate
				load.HotKeys = append(load.HotKeys, core.KeyLoad{Service: "s", KeyHash: hash, RequestsPerSecond: rate})
			}
		}
		load.Utilisation = load.RequestsPerSecond / 100
		v.stepKeeper(grant.Measured{Load: load})
	}
}

// assign hands the keeper its part of the map.
func (v *simVM) assign() {
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
			v.w.after(v.w.latency()*4, func() {
				v.do(func() { v.stepKeeper(grant.Drained{Target: id, Ranges: a.Moving}) })
			})
		}
	}
	v.stepKeeper(grant.Assigned{Holder: m.Holder, Version: m.Version, Targets: targets})
}

func (v *simVM) stepReader(m platformlog.Message) {
	for _, o := range v.reader.Step(v.clock(), m) {
		switch o := o.(type) {
		case platformlog.Read:
			v.read(o)
		case platformlog.Changed:
			v.folded = o.Folded
			if o.Folded.PolicyVersion == 0 {
				continue
			}
			v.policy = v.w.parse(o.Folded.Document)
			v.stepCoordinator(LogChanged{Folded: o.Folded, Policy: v.policy})
			v.assign()
			v.versions()
		case platformlog.Fresh:
			v.stepCoordinator(LogFresh{Began: o.Began})
		}
	}
}

func (w *world) parse(document string) *policy.Policy {
	if w.parsed[document] == nil {
		p, err := policy.Parse([]byte(document))
		if err != nil {
			panic(err)
		}
		w.parsed[document] = p
	}
	return w.parsed[document]
}

func (v *simVM) read(o platformlog.Read) {
	w, incarnation := v.w, v.incarnation
	began := v.clock()
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		page := platformlog.Page{First: 1}
		if int(o.From) <= len(w.log.entries) {
			page.Entries = slices.Clone(w.log.entries[o.From-1 : min(len(w.log.entries), int(o.From)-1+o.Limit)])
		}
		ok := w.logReachable(v) && w.rand.Float64() >= w.lose
		w.after(w.latency(), func() {
			if v.incarnation != incarnation {
				return
			}
			v.do(func() {
				if ok {
					v.stepReader(platformlog.PageRead{Began: began, From: o.From, Limit: o.Limit, Page: page})
				} else {
					v.stepReader(platformlog.ReadFailed{Err: errSim})
				}
			})
		})
	}
	w.after(w.latency(), func() {
		if int(o.From) <= len(w.log.entries) || !w.logReachable(v) {
			answer()
			return
		}
		w.log.waiting = append(w.log.waiting, answer)
		w.after(o.Wait, answer)
	})
}

func (v *simVM) stepKeeper(m grant.Message) {
	for _, o := range v.keeper.Step(v.clock(), m) {
		switch o := o.(type) {
		case grant.SendOrder:
			done := grant.OrderDone{Target: o.Target, Order: o.Order, Sent: v.clock()}
			v.order(o.Target, o.Order, &done.Reply, func(ok, notSent bool) {
				done.Received = v.clock()
				if !ok {
					done.Err, done.NotSent = errSim, notSent
				}
				v.stepKeeper(done)
			})
		case grant.Changed:
			v.views[o.Target] = o.View
			v.w.checkFronts(o.Target)
		case grant.SendReport:
			sent := v.clock()
			reply := make(chan grant.ReportAnswer, 1)
			v.w.call(v, string(o.Holder), v.remote(o.Holder), func() {
				v.w.vms[o.Holder].stepCoordinator(Reported{Report: o.Report, Reply: reply})
			}, func(ok, _ bool) {
				if ok {
					v.stepKeeper(grant.ReportDone{Sent: sent, Answer: <-reply})
				}
			})
		}
	}
}

func (v *simVM) order(id core.Target, o grant.Order, reply *grant.OrderReply, done func(ok, notSent bool)) {
	t := v.w.targets[id]
	v.w.call(v, string(id), t.at, func() { *reply = t.order(o) }, done)
}

func (v *simVM) stepCoordinator(m Message) {
	for _, o := range v.coordinator.Step(v.clock(), m) {
		switch o := o.(type) {
		case Append:
			v.append(o.Record)
		case Publish:
			v.w.moves += v.w.countMoves(v.maps[v.domain], o.Map)
			v.mapHeard(o.Map, false)
			for _, to := range o.To {
				v.w.call(v, string(to.VM), v.remote(to.VM), func() { v.w.vms[to.VM].mapHeard(o.Map, true) }, func(bool, bool) {})
			}
		case AskPromise:
			done := PromiseAnswered{From: o.To.VM, Ask: o.Ask, Sent: v.clock()}
			reply := make(chan Answer, 1)
			v.w.call(v, string(o.To.VM), v.remote(o.To.VM), func() {
				v.w.vms[o.To.VM].stepCoordinator(PromiseAsked{Ask: o.Ask, Reply: reply})
			}, func(ok, _ bool) {
				if ok {
					done.Answer = <-reply
					v.stepCoordinator(done)
				}
			})
		case GivePromise:
			o.To <- o.Answer
		case AnswerReport:
			o.To <- o.Answer
		case Inspect:
			done := Inspected{Target: o.Target, Order: o.Order}
			v.order(o.Target, o.Order, &done.Reply, func(ok, _ bool) {
				done.OK = ok
				v.stepCoordinator(done)
			})
		case RoleChanged:
			v.w.note("%s holding=%t term %d rank %d", v.id, o.Holding, o.Term, o.Rank)
		}
	}
}

// append adds a record; in a slow log it takes effect after the caller gave up.
func (v *simVM) append(r platformlog.Record) {
	w := v.w
	done := AppendDone{ID: r.ID}
	delay := w.latency() + w.log.slow
	reachable := w.logReachable(v)
	w.after(delay, func() {
		if reachable && !w.log.down {
			done.Offset = w.appendRecord(r)
			w.note("log %d: %s by %s base %d candidates %v", done.Offset, r.Kind, r.Author, r.Base, r.Candidates)
			done.OK = w.rand.Float64() >= w.lose && delay < simTimeout
		}
		w.after(w.latency(), func() { v.do(func() { v.stepCoordinator(done) }) })
	})
}

// countMoves counts the ranges that change their target.
func (w *world) countMoves(old, next *core.RangeMap) int {
	n := 0
	if old == nil {
		return 0
	}
	for id, r := range next.Ranges {
		if was := old.Ranges[id].Target; was != "" && r.Target != "" && was != r.Target {
			n++
		}
	}
	return n
}

// unserved lists the ranges that no front can serve now.
func (w *world) unserved() []string {
	served := make(map[core.RangeID]bool)
	for id, t := range w.targets {
		v := w.vms[t.front]
		if !t.held() || t.frozen || v == nil || !v.alive || v.frozen || w.cut(string(v.id), string(id)) {
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
	for n := range uint32(w.document.ranges) {
		if id := (core.RangeID{Service: "s", Number: n}); !served[id] {
			out = append(out, id.String())
		}
	}
	return out
}
