package target

import (
	"math/rand/v2"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
)

// Options configure a target.
type Options struct {
	ID          core.Target
	Slots       int
	Checks      bool
	Incarnation uint64
	Faults      Faults
	// Seed determines which requests the faults affect.
	Seed uint64
	// Epoch is the Unix time in nanoseconds at which the clock reads zero.
	Epoch int64
}

// StateMachine implements duty.Step. It owns the grant, the faults and the log
// of runs.
type StateMachine struct {
	options Options
	faults  Faults
	random  *rand.Rand
	token   core.Token
	// granted is the token of the last accepted take order.
	granted  core.Token
	front    core.VM
	ranges   []core.RangeID
	leaseEnd grant.TargetClock
	inFlight int
	runs     []Run
	cold     coldState
	drain    drainState
	// samples are past statuses, oldest first, for ReportLag.
	samples []sample
	// withheld are the outputs of a frozen target.
	withheld []Output
	// reordered are the responses that wait for a later one to be sent first.
	reordered []reordered
}

type sample struct {
	at     core.Instant
	status Status
}

type reordered struct {
	output Output
	until  core.Instant
}

const (
	// reorderTime limits how long a reordered response waits for a later one.
	reorderTime = 100 * time.Millisecond
	// maxSampleAge is the retention of samples, and so the longest ReportLag.
	maxSampleAge = 30 * time.Second
)

// NewStateMachine returns a target without a grant. It begins with a cold start
// if the faults have cold slots.
func NewStateMachine(o Options) *StateMachine {
	return &StateMachine{
		options: o,
		faults:  o.Faults,
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		cold:    coldState{on: true},
	}
}

func targetClock(now core.Instant) grant.TargetClock {
	return grant.TargetClock(time.Duration(now) / time.Millisecond)
}

// Step implements duty.Step.
func (m *StateMachine) Step(now core.Instant, msg Message) []Output {
	m.drain.step(now, m.faults)
	m.cold.step(now, m.faults)
	switch msg := msg.(type) {
	case Tick:
		m.sample(now)
		return m.withhold(m.dueReordered(now))
	case SetFaults:
		return m.stepFaults(msg)
	case StartCold:
		m.cold = coldState{on: true, since: now}
		return nil
	case ListRuns:
		return []Output{SendRuns{To: msg.Reply, Runs: slices.Clone(m.runs)}}
	case Inspect:
		return []Output{SendStatus{To: msg.Reply, Status: m.status()}}
	}
	return m.withhold(m.serve(now, msg))
}

// serve handles the messages whose outputs a frozen target withholds.
func (m *StateMachine) serve(now core.Instant, msg Message) []Output {
	switch msg := msg.(type) {
	case Order:
		reply := m.order(targetClock(now), msg.Order)
		if m.random.Float64() < m.faults.DropOrders {
			return []Output{DropOrderReply{To: msg.Reply}}
		}
		return []Output{SendOrderReply{To: msg.Reply, Reply: reply}}
	case Begin:
		return []Output{SendBeginReply{To: msg.Reply, Reply: m.begin(now, msg)}}
	case End:
		return m.end(now, msg)
	case Report:
		return []Output{SendStatus{To: msg.Reply, Status: m.report(now)}}
	}
	return nil
}

func (m *StateMachine) withhold(out []Output) []Output {
	if !m.faults.Freeze {
		return out
	}
	m.withheld = append(m.withheld, out...)
	return nil
}

func (m *StateMachine) stepFaults(s SetFaults) []Output {
	next, err := m.faults.With(s.Changes)
	if err == nil {
		m.faults = next
	}
	out := []Output{SendSetFaultsReply{To: s.Reply, Reply: SetFaultsReply{Faults: m.faults, Err: err}}}
	if !m.faults.Freeze {
		out = append(out, m.withheld...)
		m.withheld = nil
	}
	return out
}

func (m *StateMachine) begin(now core.Instant, b Begin) BeginReply {
	clock := targetClock(now)
	reply := BeginReply{Clock: clock, Incarnation: m.options.Incarnation}
	if reply.Status, reply.RejectReason = m.rejection(clock, b); reply.RejectReason != "" {
		return reply
	}
	reply.Service = m.serviceTime()
	if m.cold.atLimit(m.inFlight, m.faults) {
		m.cold.overloads++
		if m.faults.ColdDelay == 0 {
			reply.Status, reply.RejectReason = statusOverloaded, "cold and overloaded"
			return reply
		}
		reply.Service = m.faults.ColdDelay
	}
	reply.Remaining = time.Duration(b.Deadline-clock) * time.Millisecond
	m.planResponse(&reply)
	m.inFlight++
	reply.Run = m.newRun(now, b)
	reply.Number = len(m.runs)
	m.runs = append(m.runs, reply.Run)
	return reply
}

func (m *StateMachine) newRun(now core.Instant, b Begin) Run {
	r := b.Run
	r.Target, r.Incarnation = m.options.ID, m.options.Incarnation
	r.Began, r.BeganAt = targetClock(now), m.unixNano(now)
	r.Deadline = b.Deadline
	r.DeadlineAt = m.options.Epoch + int64(time.Duration(b.Deadline)*time.Millisecond)
	r.Unchecked = !m.options.Checks
	r.Draining = m.drain.reported
	return r
}

func (m *StateMachine) unixNano(now core.Instant) int64 { return m.options.Epoch + int64(now) }

func (m *StateMachine) serviceTime() time.Duration {
	if m.random.Float64() < m.faults.StragglerShare {
		return m.faults.StragglerTime
	}
	return m.faults.ServiceTime
}

// planResponse selects the fault and the delay of the response.
func (m *StateMachine) planResponse(b *BeginReply) {
	b.Response = m.faults.pickResponse(m.random.Float64())
	if m.random.Float64() < m.faults.Delay {
		b.Delay = m.faults.DelayTime
	}
	if b.Response != ResponseCrossed {
		return
	}
	b.HeaderRun = Run{Request: "crossed", Attempt: 1}
	if len(m.runs) > 0 {
		b.HeaderRun = m.runs[len(m.runs)-1]
	}
}

func (m *StateMachine) end(now core.Instant, e End) []Output {
	m.inFlight--
	r := &m.runs[e.Number]
	r.Ended, r.EndedAt = targetClock(now), m.unixNano(now)
	if m.options.Checks && r.EndedAt >= r.DeadlineAt {
		// The run counts as cancelled at its deadline, also if the End arrives
		// later because the target was frozen.
		r.Ended, r.EndedAt, r.Cancelled = r.Deadline, r.DeadlineAt, true
	} else {
		m.cold.successes++
	}
	reply := SendEndReply{To: e.Reply, Run: *r}
	if m.faults.Reorder > 0 && m.random.Float64() < m.faults.Reorder {
		m.reordered = append(m.reordered, reordered{output: reply, until: now.Add(reorderTime)})
		return nil
	}
	out := []Output{reply}
	for _, waiting := range m.reordered {
		out = append(out, waiting.output)
	}
	m.reordered = nil
	return out
}

// dueReordered removes and returns the reordered responses that have waited for
// reorderTime.
func (m *StateMachine) dueReordered(now core.Instant) []Output {
	var out []Output
	for len(m.reordered) > 0 && !now.Before(m.reordered[0].until) {
		out = append(out, m.reordered[0].output)
		m.reordered = m.reordered[1:]
	}
	return out
}
