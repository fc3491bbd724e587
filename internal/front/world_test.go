package front

import (
	"fmt"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/witness"
)

const (
	targetID = core.Target("t")
	service  = core.Service("s")
)

// packet is a message between VMs or to the target.
type packet struct {
	id            int
	from          core.VM
	to            core.VM // empty for the target
	deliver, drop func()
}

// vm is one VM with its front and witness duties.
type vm struct {
	id     core.VM
	front  *Front
	keeper *witness.Keeper
	// life changes with a crash; results for an earlier life are dropped.
	life int
	cut  bool
}

// run is a request that the fake target runs.
type run struct {
	request  core.Request
	deadline core.Instant
	finish   func(Finished)
}

// fakeTarget checks grants as docs/design.md section 11.2 says.
type fakeTarget struct {
	token       core.Token
	front       core.VM
	ranges      []core.RangeID
	leaseEnd    core.Instant
	incarnation uint64
	running     []*run
	ran         map[core.RequestID]int
	lastRan     map[core.RequestID]core.Instant
	// twice is an id that ran again within the remember time.
	twice core.RequestID
	most  int
}

// submission is one request as its caller sees it.
type submission struct {
	name     string
	request  core.Request
	reply    chan Decision
	decision *Decision
	at       core.Instant
	answered core.Instant
	run      *run
	outcome  core.Outcome
	to       core.VM
	life     int
}

// world joins the duties of a few VMs with one target, on a virtual clock.
type world struct {
	now     core.Instant
	vms     map[core.VM]*vm
	order   []core.VM
	target  fakeTarget
	assigns map[core.VM]Assignment
	transit []packet
	packets int
	// manual leaves packets in transit until the test delivers them.
	manual bool
	subs   map[string]*submission
	// sequence holds the submissions in order.
	sequence []*submission
	drained  map[core.RangeID]bool
	loads    []core.TargetLoad
	remember time.Duration
	wall     time.Time
}

func newWorld(ids ...core.VM) *world {
	w := &world{
		now: core.Instant(time.Hour), vms: make(map[core.VM]*vm), order: ids,
		target:  fakeTarget{incarnation: 1, ran: make(map[core.RequestID]int), lastRan: make(map[core.RequestID]core.Instant)},
		assigns: make(map[core.VM]Assignment), subs: make(map[string]*submission),
		drained: make(map[core.RangeID]bool), remember: 10 * time.Minute,
		wall: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for _, id := range ids {
		w.vms[id] = &vm{id: id, front: New(id), keeper: witness.NewKeeper()}
	}
	return w
}

func (w *world) step(v *vm, m Message) {
	for _, o := range v.front.Step(w.now, m) {
		w.carry(v, o)
	}
}

// carry does what emitFront does in a process.
func (w *world) carry(v *vm, o Output) {
	switch o := o.(type) {
	case Answer:
		o.To <- o.Decision
		w.collect(v)
	case Drained:
		for _, r := range o.Ranges {
			w.drained[r] = true
		}
	case Report:
		w.loads = append(w.loads, o.Load)
	case Told:
		o.To <- o.Memory
	case Remember:
		result := Remembered{Target: targetID, At: o.To, Number: o.Number}
		w.send(v, o.To, func() {
			reply := make(chan witness.Stored, 1)
			w.keeperStep(w.vms[o.To], witness.Remember{Batch: o.Batch, Reply: reply})
			result.Stored = <-reply
		}, func() { w.step(v, result) })
	case Recall:
		result := Recalled{Target: targetID, From: o.From, Number: o.Number, Ranges: o.Question.Ranges, Failed: true}
		w.send(v, o.From, func() {
			result.Memory, result.Failed = w.recall(v, o), false
		}, func() { w.step(v, result) })
	}
}

func (w *world) keeperStep(v *vm, m witness.Message) {
	for _, o := range v.keeper.Step(w.now, m) {
		switch o := o.(type) {
		case witness.AnswerStored:
			o.To <- o.Stored
		case witness.AnswerMemory:
			o.To <- o.Memory
		}
	}
}

// recall does what recallForPeer does in a process.
func (w *world) recall(from *vm, o Recall) witness.Memory {
	at := w.vms[o.From]
	kept := make(chan witness.Memory, 1)
	w.keeperStep(at, witness.Recall{Question: o.Question, Reply: kept})
	if at == from {
		return <-kept
	}
	own := make(chan witness.Memory, 1)
	w.step(at, Tell{Question: o.Question, Reply: own})
	return (<-own).Join(<-kept)
}

// send puts a question from v in transit: act happens at the receiver unless
// it is cut off, and done at the sender unless it crashed meanwhile.
func (w *world) send(v *vm, to core.VM, act, done func()) {
	life := v.life
	finish := func() {
		if v.life == life {
			done()
		}
	}
	w.put(packet{from: v.id, to: to, drop: finish, deliver: func() {
		if r := w.vms[to]; r != nil && !r.cut {
			act()
		}
		finish()
	}})
}

func (w *world) put(p packet) {
	w.packets++
	p.id = w.packets
	w.transit = append(w.transit, p)
	if !w.manual {
		w.flush()
	}
}

// flush delivers all packets in order.
func (w *world) flush() {
	for len(w.transit) > 0 {
		p := w.transit[0]
		w.transit = w.transit[1:]
		p.deliver()
	}
}

// arriveAll delivers the requests of a VM to the target. A VM's order does not
// overtake its requests, and a crash leaves none in transit.
func (w *world) arriveAll(from core.VM) {
	for _, p := range slices.Clone(w.transit) {
		if p.from != from || p.to != "" {
			continue
		}
		w.transit = slices.DeleteFunc(w.transit, func(o packet) bool { return o.id == p.id })
		p.deliver()
	}
}

// assignTo gives the target to one VM and takes it from all that are told.
func (w *world) assignTo(front core.VM, a Assignment, told ...core.VM) {
	if len(told) == 0 {
		told = w.order
	}
	for _, id := range told {
		m := Assigned{Targets: map[core.Target]Assignment{}, Remember: w.remember}
		if id == front {
			m.Targets[targetID] = a
		}
		w.step(w.vms[id], m)
	}
	w.assigns[front] = a
}

// take makes the target accept the grant of a VM's assignment, and tells the
// VM. It returns false if the target has seen a greater token.
func (w *world) take(front core.VM) bool {
	w.arriveAll(front)
	a, v := w.assigns[front], w.vms[front]
	if a.Token.Less(w.target.token) {
		w.step(v, GrantChanged{Target: targetID, View: grant.View{Token: a.Token, Incarnation: w.target.incarnation}})
		return false
	}
	t := &w.target
	t.token, t.front, t.leaseEnd = a.Token, front, w.now.Add(core.GrantLease)
	t.ranges = nil
	for r := range a.Ranges {
		t.ranges = append(t.ranges, r)
	}
	slices.SortFunc(t.ranges, core.RangeID.Compare)
	clock := grant.ClockReading{Clock: grant.TargetClock(w.now / 1e6), Sent: w.now, Received: w.now}
	w.step(v, GrantChanged{Target: targetID, View: grant.View{
		Token: a.Token, Ranges: t.ranges, HeldUntil: w.now.Add(core.MinusDrift(core.GrantLease)),
		Clock: clock, Incarnation: t.incarnation, InFlight: len(t.running),
	}})
	return true
}

func (w *world) submit(v *vm, s *submission) {
	s.reply = make(chan Decision, 1)
	s.at, s.to, s.life = w.now, v.id, v.life
	w.subs[s.name] = s
	w.sequence = append(w.sequence, s)
	w.step(v, Submit{Request: s.request, Target: targetID, Wall: w.wall.Add(time.Duration(w.now)), Reply: s.reply})
}

// collect takes the decisions that have arrived and sends what is to be sent.
func (w *world) collect(v *vm) {
	for _, s := range w.sequence {
		if s.decision != nil {
			continue
		}
		select {
		case d := <-s.reply:
			s.decision, s.answered = &d, w.now
			if d.Dispatch != nil {
				w.transmit(v, s, *d.Dispatch)
			} else {
				s.outcome = d.Outcome
			}
		default:
		}
	}
}

// transmit sends a request to the target; if it gets lost, the edge reports
// that its outcome is unknown.
func (w *world) transmit(v *vm, s *submission, d Dispatch) {
	life, sent := v.life, w.now
	finish := func(m Finished) {
		s.outcome = m.Outcome
		if v.life == life {
			m.Ticket, m.Latency = d.Ticket, w.now.Sub(sent)
			w.step(v, m)
		}
	}
	w.put(packet{
		from: v.id, drop: func() { finish(Finished{Outcome: core.OutcomeUnknown}) },
		deliver: func() { w.arrive(v, s, d, finish) },
	})
}

func (w *world) arrive(v *vm, s *submission, d Dispatch, finish func(Finished)) {
	t := &w.target
	clock := grant.TargetClock(w.now / 1e6)
	stale := w.now >= t.leaseEnd || t.front != v.id || t.token.Less(d.Token) || !slices.Contains(t.ranges, s.request.Range)
	if clock >= d.Deadline || stale {
		finish(Finished{Outcome: core.OutcomeNotRun})
		return
	}
	s.run = &run{request: s.request, deadline: d.Until, finish: finish}
	t.running = append(t.running, s.run)
	t.most = max(t.most, len(t.running))
	if last, ok := t.lastRan[s.request.ID]; ok && w.now.Sub(last) < w.remember && !s.request.Idempotent {
		t.twice = s.request.ID
	}
	t.lastRan[s.request.ID] = w.now
	t.ran[s.request.ID]++
}

// end ends a run at the target; the response may get lost.
func (w *world) end(r *run, m Finished) {
	w.target.running = slices.DeleteFunc(w.target.running, func(o *run) bool { return o == r })
	r.finish(m)
}

// pass moves the clock on in ticks. The target ends runs at their deadlines.
func (w *world) pass(d time.Duration) {
	for until := w.now.Add(d); w.now.Before(until); {
		w.now = min(w.now.Add(TickEvery), until)
		for _, r := range slices.Clone(w.target.running) {
			if !w.now.Before(r.deadline) {
				w.end(r, Finished{Outcome: core.OutcomeUnknown})
			}
		}
		for _, id := range w.order {
			w.step(w.vms[id], Tick{})
			w.keeperStep(w.vms[id], witness.Tick{})
		}
	}
}

// crash replaces a VM by one with the same id and no memory.
func (w *world) crash(id core.VM) {
	w.arriveAll(id)
	v := w.vms[id]
	v.life++
	v.front, v.keeper = New(id), witness.NewKeeper()
	delete(w.assigns, id)
}

func rangeNumber(n uint32) core.RangeID { return core.RangeID{Service: service, Number: n} }

func answeredRun(r core.Request) Finished {
	return Finished{Outcome: core.OutcomeAnswered, Response: &witness.Response{Status: 200, Body: fmt.Appendf(nil, "response to %s", r.ID)}}
}

var testLimits = policy.Limits{
	QueueLength: 8, HoldTime: 300 * time.Millisecond, ColdSlots: 1, RampStep: 2, CallerShare: 0.5,
}
