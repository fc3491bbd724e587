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

// world runs assigners and keepers of several VMs against a store and targets
// that check tokens, all on one virtual clock. It reports every violation of
// single ownership.
type world struct {
	now     core.Instant
	random  *rand.Rand
	events  eventqueue.Queue
	log     []replica.Record
	storeUp bool
	vms     []*vm
	targets []*target
	faults  []string
	trace   []string
}

type vm struct {
	*world
	name        core.VM
	up          bool
	incarnation int64
	store       bool // whether it reaches the store
	peers       bool // whether it reaches the other VMs
	assigner    *Assigner
	keeper      *Keeper
	ledger      *Ledger
	asOf        core.Instant
	known       []replica.Record
	directoryAt core.Instant
}

type target struct {
	id    core.Target
	up    bool
	born  int64
	cutTo map[core.VM]bool
	// registered is what the directory shows; silentSince is when it last heard.
	registered bool
	store      bool
	lastBeat   core.Instant
	fence      [Units]int64
	until      [Units]core.Instant
	// slow is the factor of its clock.
	slow float64
}

func newWorld(seed uint64, vms, targets int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), storeUp: true, now: core.Instant(time.Hour)}
	for i := range targets {
		t := &target{id: core.Target(fmt.Sprintf("t%d", i)), cutTo: map[core.VM]bool{}, slow: 1 + 0.02*w.random.Float64()}
		w.targets = append(w.targets, t)
		t.start(w)
	}
	for i := range vms {
		v := &vm{world: w, name: core.VM(fmt.Sprintf("v%d", i)), store: true, peers: true}
		w.vms = append(w.vms, v)
		v.start()
	}
	w.every(200*time.Millisecond, w.beat)
	return w
}

func (w *world) after(d time.Duration, f func()) {
	w.events.Add(w.now.Add(d), f)
}

func (w *world) every(d time.Duration, f func()) {
	w.after(d, func() { f(); w.every(d, f) })
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for e, ok := w.events.Next(end); ok; e, ok = w.events.Next(end) {
		w.now = e.At
		e.Run()
	}
	w.now = end
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(core.Instant(time.Hour)).Seconds())+fmt.Sprintf(format, args...))
}

// delay is a one-way time on the network.
func (w *world) delay() time.Duration {
	return time.Millisecond + time.Duration(w.random.IntN(15))*time.Millisecond
}

func (t *target) start(w *world) {
	t.up, t.store, t.registered = true, true, true
	t.born, t.lastBeat = int64(w.now/core.Instant(time.Millisecond)), w.now
	t.fence, t.until = [Units]int64{}, [Units]core.Instant{}
}

// beat keeps the registrations of the targets that reach the directory.
func (w *world) beat() {
	if !w.storeUp {
		return
	}
	for _, t := range w.targets {
		if t.up && t.store {
			t.lastBeat, t.registered = w.now, true
		} else if w.now.Sub(t.lastBeat) > 2600*time.Millisecond {
			t.registered = false
		}
	}
}

func (v *vm) start() {
	v.up = true
	v.incarnation = int64(v.now)
	v.assigner = NewAssigner(Lead{VM: v.name, Incarnation: v.incarnation})
	v.keeper = NewKeeper(v.now)
	v.ledger, v.asOf, v.known, v.directoryAt = NewLedger(), 0, nil, 0
	mine := v.incarnation
	alive := func() bool { return v.up && v.incarnation == mine }
	services := ServicesChanged{Services: map[core.Service]routing.Service{service: {Name: service, DividedByKey: true}}}
	v.post(mine, services)
	v.members()
	var loop func()
	loop = func() {
		if !alive() {
			return
		}
		v.read()
		v.step(Tick{})
		v.after(80*time.Millisecond+time.Duration(v.random.IntN(40))*time.Millisecond, loop)
	}
	v.after(v.delay(), loop)
}

// members gives every VM the same roster.
func (v *vm) members() {
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

func viewFor(o *vm, v *roster.View) *roster.View {
	r := roster.New(roster.Member{VM: o.name, Incarnation: o.incarnation})
	for _, m := range v.All() {
		if m.VM != o.name {
			r.Renew(0, m)
		}
	}
	return r.View()
}

// read brings the ledger and the directory from the store, or from a peer with
// a newer copy.
func (v *vm) read() {
	switch {
	case v.store && v.storeUp:
		v.learn(v.log, v.now)
		v.seeDirectory()
	case v.peers:
		for _, o := range v.vms {
			if o != v && o.up && o.peers && o.asOf > v.asOf && len(o.known) >= len(v.known) {
				v.learn(o.known, o.asOf)
				return
			}
		}
	}
}

func (v *vm) learn(log []replica.Record, asOf core.Instant) {
	fresh := log[len(v.known):]
	v.known = log[:len(log):len(log)]
	if err := v.ledger.Apply(fresh, int64(len(log))); err != nil {
		v.faults = append(v.faults, err.Error())
	}
	v.asOf = asOf
	v.step(LedgerChanged{View: v.ledger.View(), AsOf: asOf, LeadRenewed: len(fresh) > 0})
}

func (v *vm) seeDirectory() {
	view := &discovery.View{Targets: map[core.Target]*discovery.Target{}, ByService: map[core.Service][]*discovery.Target{}}
	for _, t := range v.targets {
		if t.registered {
			d := &discovery.Target{Entry: discovery.Entry{ID: t.id, Service: service, Slots: 4, Born: t.born, Address: string(t.id)}}
			view.Targets[t.id] = d
			view.ByService[service] = append(view.ByService[service], d)
		}
	}
	v.directoryAt = v.now
	v.step(TargetsChanged{View: view})
	v.step(DirectoryRead{AsOf: v.now})
}

// step gives a message to both machines and carries out what they want.
func (v *vm) step(m Message) {
	switch m.(type) {
	case Renewed, Ordered, Quorum, Query, DirectoryRead, Missing:
		v.emit(v.keeper.Step(v.now, m))
	case Appended, Released, Granted, Settled, ServicesChanged, Load, Unreachable:
		v.emit(v.assigner.Step(v.now, m))
	default:
		v.emit(v.keeper.Step(v.now, m))
		v.emit(v.assigner.Step(v.now, m))
	}
}

// post delivers a message to the process that is meant, if it still runs.
func (v *vm) post(incarnation int64, m Message) {
	if v.up && v.incarnation == incarnation {
		v.step(m)
	}
}

func (v *vm) emit(out []Output) {
	mine := v.incarnation
	for _, o := range out {
		switch o := o.(type) {
		case Event:
			v.note("%s: %s %v", v.name, o.Text, o.Fields)
		case Append:
			v.append(mine, o)
		case Release:
			v.release(mine, o)
		case Grant:
			v.step(Ordered{Target: o.Holder.Target})
			if v.restarted(o.Holder) {
				v.after(2*v.delay(), func() { v.post(mine, Granted{Task: o.Task}) })
				continue
			}
			v.order(mine, o.Holder, o.From, o.To, o.Fence, func(ok, answered bool) {
				v.post(mine, Ordered{Target: o.Holder.Target})
				v.post(mine, Granted{Task: o.Task, OK: ok && answered})
			})
		case Renew:
			v.renew(mine, o)
		case Settle:
			v.settle(mine, o)
		case AskQuorum:
			v.quorum(mine, o)
		}
	}
}

func (v *vm) append(mine int64, o Append) {
	reach := v.store && v.storeUp
	v.after(v.delay(), func() {
		if !reach || !v.storeUp {
			v.after(300*time.Millisecond, func() { v.post(mine, Appended{Err: fmt.Errorf("no answer")}) })
			return
		}
		if int64(len(v.log)) != o.At {
			v.after(v.delay(), func() { v.post(mine, Appended{Err: replica.ErrConflict}) })
			return
		}
		for _, r := range o.Records {
			r.Offset = int64(len(v.log))
			v.log = append(v.log, r)
		}
		next := int64(len(v.log))
		if v.random.IntN(20) == 0 {
			v.after(500*time.Millisecond, func() { v.post(mine, Appended{Err: fmt.Errorf("answer lost")}) })
			return
		}
		v.after(v.delay(), func() { v.post(mine, Appended{Next: next}) })
	})
}

// ask carries a question to another VM and its answer back.
func (v *vm) ask(mine int64, name core.VM, q Query, done func(QueryReply)) {
	for _, o := range v.vms {
		if o.name != name {
			continue
		}
		v.after(v.delay(), func() {
			if !o.up || o != v && (!o.peers || !v.peers) {
				return
			}
			for _, out := range o.keeper.Step(v.now, q) {
				if a, ok := out.(Answer); ok {
					v.after(v.delay(), func() {
						if v.up && v.incarnation == mine {
							done(a.Reply)
						}
					})
				}
			}
		})
	}
}

func (v *vm) settle(mine int64, o Settle) {
	for _, m := range o.Members {
		v.ask(mine, m.VM, Query{Target: o.Holder.Target, Offset: o.Offset}, func(r QueryReply) {
			v.post(mine, Settled{Holder: o.Holder, Offset: o.Offset, VM: m.VM, Applied: r.Applied, Remaining: r.Remaining})
		})
	}
}

func (v *vm) quorum(mine int64, o AskQuorum) {
	started, same := v.now, 0
	for _, m := range o.Members {
		if m.VM != v.name {
			v.ask(mine, m.VM, Query{Offset: o.Next + 1}, func(r QueryReply) {
				if r.Same {
					same++
				}
			})
		}
	}
	v.after(100*time.Millisecond, func() { v.post(mine, Quorum{Started: started, Same: same}) })
}

// held returns how many units some running target holds.
func (w *world) held() int {
	n := 0
	for u := range Units {
		for _, t := range w.targets {
			if t.up && t.until[u].After(w.now) {
				n++
				break
			}
		}
	}
	return n
}

// restart ends a VM's process and starts another after a while.
func (w *world) restart(v *vm, down time.Duration) {
	w.note("%s killed", v.name)
	v.up = false
	w.after(down, func() {
		v.start()
		w.note("%s back", v.name)
	})
}

// lines returns the trace before the first fault, or its end.
func (w *world) lines() []string {
	end := len(w.trace)
	for i, l := range w.trace {
		if strings.Contains(l, "FAULT") {
			end = i + 1
			break
		}
	}
	return w.trace[max(0, end-50):end]
}
