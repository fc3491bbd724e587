package ownership

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/eventqueue"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
)

const service = core.Service("seats")

// cluster runs the assigners and renewers of several VMs against a store and
// targets that check fencing tokens, all on one virtual clock. It records every
// violation of single ownership.
type cluster struct {
	now    core.Instant
	rng    *rand.Rand
	events eventqueue.Queue
	log    []replica.Record
	// era is the era of the store, and loggedAt is when each record was appended.
	era      int64
	loggedAt []core.Instant
	storeUp  bool
	// losses is set if the faults include losses of the store's newest records.
	losses bool
	// started is set once the VMs have started for the first time.
	started bool
	// distinguishProcesses is set if two processes of a target count as two holders.
	distinguishProcesses bool
	// holds is the grant with the highest token that any target accepted.
	holds [Units]struct {
		token  int64
		holder string
	}
	vms        []*simVM
	targets    []*simTarget
	violations []string
	trace      []string
}

type simVM struct {
	longestRequest time.Duration
	*cluster
	name         core.VM
	up           bool
	incarnation  int64
	reachesStore bool
	reachesPeers bool
	assigner     *Assigner
	renewer      *Renewer
	ledger       *Ledger
	asOf         core.Instant
	applied      []replica.Record
	// era is the era of applied.
	era         int64
	directoryAt core.Instant
}

type simTarget struct {
	id         core.Target
	up         bool
	startedAt  int64
	cutOffFrom map[core.VM]bool
	// registered is set while the directory lists the target.
	registered    bool
	reachesStore  bool
	lastHeartbeat core.Instant
	token         [Units]int64
	heldUntil     [Units]core.Instant
	// clockFactor is how much slower than real time its clock runs.
	clockFactor float64
}

func newCluster(seed uint64, vms, targets int) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), storeUp: true, now: core.Instant(time.Hour), era: 1}
	for i := range targets {
		t := &simTarget{id: core.Target(fmt.Sprintf("t%d", i)), cutOffFrom: map[core.VM]bool{}, clockFactor: 1 + 0.02*c.rng.Float64()}
		c.targets = append(c.targets, t)
		t.start(c)
	}
	for i := range vms {
		v := &simVM{cluster: c, name: core.VM(fmt.Sprintf("v%d", i)), reachesStore: true, reachesPeers: true}
		c.vms = append(c.vms, v)
		v.start()
	}
	c.started = true
	c.every(200*time.Millisecond, c.updateRegistrations)
	return c
}

func (c *cluster) after(d time.Duration, f func()) {
	c.events.Add(c.now.Add(d), f)
}

func (c *cluster) every(d time.Duration, f func()) {
	c.after(d, func() { f(); c.every(d, f) })
}

func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	for e, ok := c.events.Next(end); ok; e, ok = c.events.Next(end) {
		c.now = e.At
		e.Run()
	}
	c.now = end
}

func (c *cluster) tracef(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%8.3f ", c.now.Sub(core.Instant(time.Hour)).Seconds())+fmt.Sprintf(format, args...))
}

// oneWayDelay returns a random one-way network delay.
func (c *cluster) oneWayDelay() time.Duration {
	return time.Millisecond + time.Duration(c.rng.IntN(15))*time.Millisecond
}

func (t *simTarget) start(c *cluster) {
	t.up, t.reachesStore, t.registered = true, true, true
	t.startedAt, t.lastHeartbeat = int64(c.now/core.Instant(time.Millisecond)), c.now
	t.token, t.heldUntil = [Units]int64{}, [Units]core.Instant{}
}

// updateRegistrations renews the registrations of running targets that reach the
// directory, and expires the others.
func (c *cluster) updateRegistrations() {
	if !c.storeUp {
		return
	}
	for _, t := range c.targets {
		if t.up && t.reachesStore {
			t.lastHeartbeat, t.registered = c.now, true
		} else if c.now.Sub(t.lastHeartbeat) > 2600*time.Millisecond {
			t.registered = false
		}
	}
}

// services is the configuration of a VM. VMs may have different versions of it.
func (v *simVM) services() ServicesChanged {
	return ServicesChanged{Services: map[core.Service]routing.Service{
		service: {Name: service, Sharded: true, LongestRequest: v.longestRequest},
	}}
}

func (v *simVM) start() {
	v.up = true
	v.incarnation = int64(v.now)
	v.assigner = NewAssigner(Leader{VM: v.name, Incarnation: v.incarnation}, !v.started)
	v.renewer = NewRenewer(v.now)
	v.ledger, v.asOf, v.applied, v.era, v.directoryAt = NewLedger(), 0, nil, 0, 0
	incarnation := v.incarnation
	alive := func() bool { return v.up && v.incarnation == incarnation }
	v.post(incarnation, v.services())
	v.shareRoster()
	var loop func()
	loop = func() {
		if !alive() {
			return
		}
		v.refresh()
		v.step(Tick{})
		v.after(80*time.Millisecond+time.Duration(v.rng.IntN(40))*time.Millisecond, loop)
	}
	v.after(v.oneWayDelay(), loop)
}

// shareRoster gives every VM the same roster.
func (v *simVM) shareRoster() {
	r := roster.New(roster.Member{VM: v.name, Incarnation: v.incarnation})
	for _, o := range v.vms {
		r.Renew(v.now, roster.Member{VM: o.name, Incarnation: o.incarnation})
	}
	view := r.View()
	for _, o := range v.vms {
		if o.up && o.assigner != nil {
			o.step(MembersChanged{View: viewFor(o, view)})
		}
	}
}

func viewFor(o *simVM, v *roster.View) *roster.View {
	r := roster.New(roster.Member{VM: o.name, Incarnation: o.incarnation})
	for _, m := range v.All() {
		if m.VM != o.name {
			r.Renew(0, m)
		}
	}
	return r.View()
}

// refresh reads the ledger and the directory from the store, or the ledger from a
// peer with a newer copy.
func (v *simVM) refresh() {
	switch {
	case v.reachesStore && v.storeUp:
		v.applyLog(v.cluster.era, v.log, v.now)
		v.readDirectory()
	case v.reachesPeers:
		for _, o := range v.vms {
			if o != v && o.up && o.reachesPeers && o.asOf > v.asOf && replica.NewOffset(o.era, int64(len(o.applied))) >= replica.NewOffset(v.era, int64(len(v.applied))) {
				v.applyLog(o.era, o.applied, o.asOf)
				return
			}
		}
	}
}

func (v *simVM) applyLog(era int64, log []replica.Record, asOf core.Instant) {
	fresh := log
	if era == v.era {
		fresh = log[len(v.applied):]
	}
	v.era, v.applied = era, log[:len(log):len(log)]
	if err := v.ledger.Apply(fresh, replica.NewOffset(era, int64(len(log)))); err != nil {
		v.ledgerError(err)
	}
	v.asOf = asOf
	view := v.ledger.View()
	v.step(LedgerChanged{View: view, AsOf: asOf, LeaderWrote: len(fresh) > 0 && view.InForce()})
}

// ledgerError records an error as a violation, unless records of an earlier era are
// to be expected.
func (v *simVM) ledgerError(err error) {
	if v.era > 1 {
		v.tracef("%s: %v", v.name, err)
		return
	}
	v.violations = append(v.violations, err.Error())
}

// loseRecords restores the store from a copy of the given age.
func (c *cluster) loseRecords(age time.Duration) {
	kept := 0
	for kept < len(c.log) && c.now.Sub(c.loggedAt[kept]) > age {
		kept++
	}
	c.tracef("store restored from a copy %v old: %d of %d records are kept", age, kept, len(c.log))
	c.era++
	log := make([]replica.Record, kept)
	for i, r := range c.log[:kept] {
		r.Offset = replica.NewOffset(c.era, int64(i))
		log[i] = r
	}
	c.log, c.loggedAt = log, c.loggedAt[:kept:kept]
}

func (v *simVM) readDirectory() {
	view := &discovery.View{Targets: map[core.Target]*discovery.Target{}, ByService: map[core.Service][]*discovery.Target{}}
	for _, t := range v.targets {
		if t.registered {
			d := &discovery.Target{Registration: discovery.Registration{ID: t.id, Service: service, Slots: 4, StartedAt: t.startedAt, Address: string(t.id)}}
			view.Targets[t.id] = d
			view.ByService[service] = append(view.ByService[service], d)
		}
	}
	v.directoryAt = v.now
	v.step(TargetsChanged{View: view})
	v.step(DirectoryRead{AsOf: v.now})
}

// step passes a message to the state machines that take it, and carries out their
// outputs.
func (v *simVM) step(m Message) {
	switch m.(type) {
	case Renewed, GrantSent, GrantQuery, DirectoryRead, GrantMissing:
		v.emit(v.renewer, v.renewer.Step(v.now, m))
	case Appended, Released, Granted, GrantExpiry, ServicesChanged, LoadReport, Unreachable:
		v.emit(v.assigner, v.assigner.Step(v.now, m))
	default:
		v.emit(v.renewer, v.renewer.Step(v.now, m))
		v.emit(v.assigner, v.assigner.Step(v.now, m))
	}
}

// post delivers a message if the process with this incarnation still runs.
func (v *simVM) post(incarnation int64, m Message) {
	if v.up && v.incarnation == incarnation {
		v.step(m)
	}
}

// stepper is the Assigner or the Renewer.
type stepper interface {
	Step(now core.Instant, m Message) []Output
}

// postTo delivers a message to one of the state machines.
func (v *simVM) postTo(to stepper, incarnation int64, m Message) {
	if v.up && v.incarnation == incarnation {
		v.emit(to, to.Step(v.now, m))
	}
}

func (v *simVM) emit(from stepper, out []Output) {
	incarnation := v.incarnation
	for _, o := range out {
		switch o := o.(type) {
		case Event:
			v.tracef("%s: %s %v", v.name, o.Text, o.Fields)
		case Append:
			v.append(incarnation, o)
		case Release:
			v.release(incarnation, o)
		case Grant:
			v.step(GrantSent{Target: o.Holder.Target})
			if v.looksRestarted(o.Holder) {
				v.after(2*v.oneWayDelay(), func() { v.post(incarnation, Granted{Move: o.Move}) })
				continue
			}
			v.sendGrant(incarnation, o.Holder, o.From, o.To, o.Token, o.Duration, func(ok, responded bool) {
				v.post(incarnation, GrantSent{Target: o.Holder.Target})
				v.post(incarnation, Granted{Move: o.Move, OK: ok && responded})
			})
		case Renew:
			v.renew(incarnation, o)
		case QueryGrantExpiry:
			v.queryGrantExpiry(incarnation, o)
		case CheckQuorum:
			v.checkQuorum(from, incarnation, o)
		}
	}
}

func (v *simVM) append(incarnation int64, o Append) {
	reach := v.reachesStore && v.storeUp
	v.after(v.oneWayDelay(), func() {
		if !reach || !v.storeUp {
			v.after(300*time.Millisecond, func() { v.post(incarnation, Appended{Err: fmt.Errorf("no response")}) })
			return
		}
		// The condition of an append doesn't name the era.
		if int64(len(v.log)) != replica.Index(o.At) {
			v.after(v.oneWayDelay(), func() { v.post(incarnation, Appended{Err: replica.ErrConflict}) })
			return
		}
		for _, r := range o.Records {
			r.Offset = replica.NewOffset(v.cluster.era, int64(len(v.log)))
			v.log, v.loggedAt = append(v.log, r), append(v.loggedAt, v.now)
		}
		next := replica.NewOffset(v.cluster.era, int64(len(v.log)))
		if v.cluster.era != replica.Era(o.At) {
			v.after(v.oneWayDelay(), func() { v.post(incarnation, Appended{Err: replica.ErrEraChanged}) })
			return
		}
		if v.rng.IntN(20) == 0 {
			v.after(500*time.Millisecond, func() { v.post(incarnation, Appended{Err: fmt.Errorf("response lost")}) })
			return
		}
		v.after(v.oneWayDelay(), func() { v.post(incarnation, Appended{Next: next}) })
	})
}

// query sends a query to another VM and delivers its reply.
func (v *simVM) query(incarnation int64, name core.VM, q GrantQuery, done func(GrantQueryReply)) {
	for _, o := range v.vms {
		if o.name != name {
			continue
		}
		v.after(v.oneWayDelay(), func() {
			if !o.up || o != v && (!o.reachesPeers || !v.reachesPeers) {
				return
			}
			for _, out := range o.renewer.Step(v.now, q) {
				if a, ok := out.(SendReply); ok {
					v.after(v.oneWayDelay(), func() {
						if v.up && v.incarnation == incarnation {
							done(a.Reply)
						}
					})
				}
			}
		})
	}
}

func (v *simVM) queryGrantExpiry(incarnation int64, o QueryGrantExpiry) {
	for _, m := range o.Members {
		for _, e := range o.Evictions {
			v.query(incarnation, m.VM, GrantQuery{Target: e.Holder.Target, Offset: e.Offset}, func(r GrantQueryReply) {
				v.post(incarnation, GrantExpiry{Eviction: e, VM: m.VM, Applied: r.Applied, Remaining: r.Remaining})
			})
		}
	}
}

func (v *simVM) checkQuorum(asker stepper, incarnation int64, o CheckQuorum) {
	result := QuorumResult{Started: v.now}
	for _, m := range o.Members {
		if m.VM != v.name {
			v.query(incarnation, m.VM, GrantQuery{Offset: o.Next + 1}, func(r GrantQueryReply) {
				if r.NothingNewer {
					result.Agreeing++
				}
				if r.Applied {
					result.Newer++
				}
			})
		}
	}
	v.after(100*time.Millisecond, func() { v.postTo(asker, incarnation, result) })
}

// unitsHeld returns how many units are held by a running target.
func (c *cluster) unitsHeld() int {
	n := 0
	for u := range Units {
		for _, t := range c.targets {
			if t.up && t.heldUntil[u].After(c.now) {
				n++
				break
			}
		}
	}
	return n
}

// restart kills a VM's process and starts another after the given time.
func (c *cluster) restart(v *simVM, down time.Duration) {
	c.tracef("%s killed", v.name)
	v.up = false
	c.after(down, func() {
		v.start()
		c.tracef("%s back", v.name)
	})
}

// traceTail returns the trace up to the first violation, or its end.
func (c *cluster) traceTail() []string {
	end := len(c.trace)
	for i, l := range c.trace {
		if strings.Contains(l, "FAULT") {
			end = i + 1
			break
		}
	}
	return c.trace[max(0, end-50):end]
}
