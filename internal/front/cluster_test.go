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

// message is a message between VMs or to the target.
type message struct {
	id            int
	from          core.VM
	to            core.VM // empty for the target
	deliver, drop func()
}

// vm is one VM with its front and witness duties.
type vm struct {
	id      core.VM
	front   *Front
	witness *witness.Witness
	// generation is incremented by a crash. Results for an earlier generation
	// are dropped.
	generation   int
	disconnected bool
}

// run is a request that the fake target runs.
type run struct {
	request  core.Request
	deadline core.Instant
	finish   func(Finished)
}

// fakeTarget checks grants as specified in docs/design.md section 11.2.
type fakeTarget struct {
	token       core.Token
	front       core.VM
	ranges      []core.RangeID
	leaseEnd    core.Instant
	incarnation uint64
	running     []*run
	runCounts   map[core.RequestID]int
	lastRunAt   map[core.RequestID]core.Instant
	// rerunID is an id that ran again within the retention period.
	rerunID    core.RequestID
	maxRunning int
}

// submission is one request as its caller sees it.
type submission struct {
	name       string
	request    core.Request
	reply      chan Decision
	decision   *Decision
	at         core.Instant
	answered   core.Instant
	run        *run
	outcome    core.Outcome
	to         core.VM
	generation int
}

// cluster connects the duties of several VMs and one target on a virtual clock.
type cluster struct {
	now          core.Instant
	vms          map[core.VM]*vm
	order        []core.VM
	target       fakeTarget
	assignments  map[core.VM]Assignment
	inTransit    []message
	messageCount int
	// manualDelivery leaves messages in transit until the test delivers them.
	manualDelivery bool
	submissions    map[string]*submission
	// submissionOrder holds the submissions in order.
	submissionOrder []*submission
	drained         map[core.RangeID]bool
	loads           []core.TargetLoad
	retention       time.Duration
	wall            time.Time
}

func newCluster(ids ...core.VM) *cluster {
	c := &cluster{
		now: core.Instant(time.Hour), vms: make(map[core.VM]*vm), order: ids,
		target:      fakeTarget{incarnation: 1, runCounts: make(map[core.RequestID]int), lastRunAt: make(map[core.RequestID]core.Instant)},
		assignments: make(map[core.VM]Assignment), submissions: make(map[string]*submission),
		drained: make(map[core.RangeID]bool), retention: 10 * time.Minute,
		wall: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for _, id := range ids {
		c.vms[id] = &vm{id: id, front: New(id), witness: witness.New()}
	}
	return c
}

func (c *cluster) step(v *vm, m Message) {
	for _, o := range v.front.Step(c.now, m) {
		c.execute(v, o)
	}
}

// execute carries out an output as emitFront does in a process.
func (c *cluster) execute(v *vm, o Output) {
	switch o := o.(type) {
	case SendDecision:
		o.To <- o.Decision
		c.collect(v)
	case Drained:
		for _, r := range o.Ranges {
			c.drained[r] = true
		}
	case Report:
		c.loads = append(c.loads, o.Load)
	case SendRecallReply:
		o.To <- o.Reply
	case SendRememberRequest:
		result := RememberDone{Target: targetID, From: o.To, Number: o.Number}
		c.send(v, o.To, func() {
			reply := make(chan witness.RememberReply, 1)
			c.stepWitness(c.vms[o.To], witness.RememberRequested{Batch: o.Batch, Reply: reply})
			result.Reply = <-reply
		}, func() { c.step(v, result) })
	case SendRecallRequest:
		result := RecallDone{Target: targetID, From: o.From, Number: o.Number, Ranges: o.Request.Ranges, Failed: true}
		c.send(v, o.From, func() {
			result.Reply, result.Failed = c.recall(v, o), false
		}, func() { c.step(v, result) })
	}
}

func (c *cluster) stepWitness(v *vm, m witness.Message) {
	for _, o := range v.witness.Step(c.now, m) {
		switch o := o.(type) {
		case witness.SendRememberReply:
			o.To <- o.Reply
		case witness.SendRecallReply:
			o.To <- o.Reply
		}
	}
}

// recall answers a recall as recallForPeer does in a process.
func (c *cluster) recall(from *vm, o SendRecallRequest) witness.RecallReply {
	at := c.vms[o.From]
	kept := make(chan witness.RecallReply, 1)
	c.stepWitness(at, witness.RecallRequested{Request: o.Request, Reply: kept})
	if at == from {
		return <-kept
	}
	own := make(chan witness.RecallReply, 1)
	c.step(at, RecallRequested{Request: o.Request, Reply: own})
	return (<-own).Merge(<-kept)
}

// send puts a request from v in transit. On delivery act runs at the receiver
// unless it is disconnected, and then done at the sender unless it has crashed.
func (c *cluster) send(v *vm, to core.VM, act, done func()) {
	generation := v.generation
	finish := func() {
		if v.generation == generation {
			done()
		}
	}
	c.enqueue(message{from: v.id, to: to, drop: finish, deliver: func() {
		if r := c.vms[to]; r != nil && !r.disconnected {
			act()
		}
		finish()
	}})
}

func (c *cluster) enqueue(m message) {
	c.messageCount++
	m.id = c.messageCount
	c.inTransit = append(c.inTransit, m)
	if !c.manualDelivery {
		c.deliverAll()
	}
}

// deliverAll delivers all messages in order.
func (c *cluster) deliverAll() {
	for len(c.inTransit) > 0 {
		m := c.inTransit[0]
		c.inTransit = c.inTransit[1:]
		m.deliver()
	}
}

// deliverRequestsFrom delivers a VM's requests to the target. A renewal of the
// grant does not overtake the VM's requests, and a crash leaves none in transit.
func (c *cluster) deliverRequestsFrom(from core.VM) {
	for _, m := range slices.Clone(c.inTransit) {
		if m.from != from || m.to != "" {
			continue
		}
		c.inTransit = slices.DeleteFunc(c.inTransit, func(o message) bool { return o.id == m.id })
		m.deliver()
	}
}

// assignTo assigns the target to one VM. It notifies the VMs in notified, or all
// VMs if notified is empty.
func (c *cluster) assignTo(front core.VM, a Assignment, notified ...core.VM) {
	if len(notified) == 0 {
		notified = c.order
	}
	for _, id := range notified {
		m := Assigned{Targets: map[core.Target]Assignment{}, Retention: c.retention}
		if id == front {
			m.Targets[targetID] = a
		}
		c.step(c.vms[id], m)
	}
	c.assignments[front] = a
}

// renewGrant requests the grant of a VM's assignment from the target and reports
// the result to the VM. It returns false if the target has seen a greater token.
func (c *cluster) renewGrant(front core.VM) bool {
	c.deliverRequestsFrom(front)
	a, v := c.assignments[front], c.vms[front]
	if a.Token.Less(c.target.token) {
		c.step(v, GrantChanged{Target: targetID, View: grant.View{Token: a.Token, Incarnation: c.target.incarnation}})
		return false
	}
	t := &c.target
	t.token, t.front, t.leaseEnd = a.Token, front, c.now.Add(core.GrantLease)
	t.ranges = nil
	for r := range a.Ranges {
		t.ranges = append(t.ranges, r)
	}
	slices.SortFunc(t.ranges, core.RangeID.Compare)
	clock := grant.ClockReading{Clock: grant.TargetClock(c.now / 1e6), Sent: c.now, Received: c.now}
	c.step(v, GrantChanged{Target: targetID, View: grant.View{
		Token: a.Token, Ranges: t.ranges, HeldUntil: c.now.Add(core.MinusDrift(core.GrantLease)),
		Clock: clock, Incarnation: t.incarnation, InFlight: len(t.running),
	}})
	return true
}

func (c *cluster) submit(v *vm, s *submission) {
	s.reply = make(chan Decision, 1)
	s.at, s.to, s.generation = c.now, v.id, v.generation
	c.submissions[s.name] = s
	c.submissionOrder = append(c.submissionOrder, s)
	c.step(v, Submit{Request: s.request, Target: targetID, Wall: c.wall.Add(time.Duration(c.now)), Reply: s.reply})
}

// collect receives the decisions that are available and sends dispatched
// requests to the target.
func (c *cluster) collect(v *vm) {
	for _, s := range c.submissionOrder {
		if s.decision != nil {
			continue
		}
		select {
		case d := <-s.reply:
			s.decision, s.answered = &d, c.now
			if d.Dispatch != nil {
				c.dispatch(v, s, *d.Dispatch)
			} else {
				s.outcome = d.Outcome
			}
		default:
		}
	}
}

// dispatch sends a request to the target. If the message is dropped, its outcome
// is reported as unknown.
func (c *cluster) dispatch(v *vm, s *submission, d Dispatch) {
	generation, sent := v.generation, c.now
	finish := func(m Finished) {
		s.outcome = m.Outcome
		if v.generation == generation {
			m.DispatchID, m.Latency = d.ID, c.now.Sub(sent)
			c.step(v, m)
		}
	}
	c.enqueue(message{
		from: v.id, drop: func() { finish(Finished{Outcome: core.OutcomeUnknown}) },
		deliver: func() { c.receive(v, s, d, finish) },
	})
}

func (c *cluster) receive(v *vm, s *submission, d Dispatch, finish func(Finished)) {
	t := &c.target
	clock := grant.TargetClock(c.now / 1e6)
	stale := c.now >= t.leaseEnd || t.front != v.id || t.token.Less(d.Token) || !slices.Contains(t.ranges, s.request.Range)
	if clock >= d.Deadline || stale {
		finish(Finished{Outcome: core.OutcomeNotRun})
		return
	}
	s.run = &run{request: s.request, deadline: d.Until, finish: finish}
	t.running = append(t.running, s.run)
	t.maxRunning = max(t.maxRunning, len(t.running))
	if last, ok := t.lastRunAt[s.request.ID]; ok && c.now.Sub(last) < c.retention && !s.request.Idempotent {
		t.rerunID = s.request.ID
	}
	t.lastRunAt[s.request.ID] = c.now
	t.runCounts[s.request.ID]++
}

// end ends a run at the target and reports m, which is OutcomeUnknown for a lost
// response.
func (c *cluster) end(r *run, m Finished) {
	c.target.running = slices.DeleteFunc(c.target.running, func(o *run) bool { return o == r })
	r.finish(m)
}

// advance advances the clock in steps of at most TickInterval. The target ends
// runs at their deadlines.
func (c *cluster) advance(d time.Duration) {
	for until := c.now.Add(d); c.now.Before(until); {
		c.now = min(c.now.Add(TickInterval), until)
		for _, r := range slices.Clone(c.target.running) {
			if !c.now.Before(r.deadline) {
				c.end(r, Finished{Outcome: core.OutcomeUnknown})
			}
		}
		for _, id := range c.order {
			c.step(c.vms[id], Tick{})
			c.stepWitness(c.vms[id], witness.Tick{})
		}
	}
}

// crash replaces a VM by one with the same id and no state.
func (c *cluster) crash(id core.VM) {
	c.deliverRequestsFrom(id)
	v := c.vms[id]
	v.generation++
	v.front, v.witness = New(id), witness.New()
	delete(c.assignments, id)
}

func numberedRange(n uint32) core.RangeID { return core.RangeID{Service: service, Number: n} }

func answeredResult(r core.Request) Finished {
	return Finished{Outcome: core.OutcomeAnswered, Response: &witness.Response{Status: 200, Body: fmt.Appendf(nil, "response to %s", r.ID)}}
}

var testLimits = policy.Limits{
	QueueLength: 8, HoldTime: 300 * time.Millisecond, ColdSlots: 1, RampStep: 2, CallerShare: 0.5,
}
