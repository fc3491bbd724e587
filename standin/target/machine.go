package target

import (
	"math/rand/v2"
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
)

// Options describe a target.
type Options struct {
	ID          core.Target
	Slots       int
	Checks      bool
	Incarnation uint64
	Faults      Faults
	// Seed decides which requests the faults strike.
	Seed uint64
	// Epoch is the Unix time in nanoseconds at which the clock reads zero.
	Epoch int64
}

// Machine is the step that owns the grant, the faults and the log of runs.
type Machine struct {
	options Options
	faults  Faults
	random  *rand.Rand
	token   core.Token
	// granted is the token of the last grant that was taken.
	granted  core.Token
	front    core.VM
	ranges   []core.RangeID
	leaseEnd grant.TargetClock
	inFlight int
	runs     []Run
	cold     cold
	drain    drain
	// samples are past states, oldest first, for reports that lag.
	samples []sample
	// withheld are answers of a frozen target.
	withheld []Output
	// reordered are answers that wait for another one to leave first.
	reordered []reordered
}

type sample struct {
	at     core.Instant
	status Status
}

type reordered struct {
	answer Output
	until  core.Instant
}

const (
	// reorderTime is how long a reordered answer waits for another at most.
	reorderTime = 100 * time.Millisecond
	// maxSampleAge bounds ReportLag.
	maxSampleAge = 30 * time.Second
)

// NewMachine returns a target without a grant; it is cold if the faults have
// cold slots.
func NewMachine(o Options) *Machine {
	return &Machine{
		options: o,
		faults:  o.Faults,
		random:  rand.New(rand.NewPCG(o.Seed, 0)),
		cold:    cold{on: true},
	}
}

func clockOf(now core.Instant) grant.TargetClock {
	return grant.TargetClock(time.Duration(now) / time.Millisecond)
}

// Step implements duty.Step.
func (m *Machine) Step(now core.Instant, msg Message) []Output {
	m.drain.step(now, m.faults)
	m.cold.step(now, m.faults)
	switch msg := msg.(type) {
	case Tick:
		m.sample(now)
		return m.withhold(m.overdue(now))
	case SetFaults:
		return m.stepFaults(msg)
	case TurnCold:
		m.cold = cold{on: true, since: now}
		return nil
	case ListRuns:
		return []Output{RunsAnswer{To: msg.Reply, Runs: slices.Clone(m.runs)}}
	case Inspect:
		return []Output{StatusAnswer{To: msg.Reply, Status: m.status()}}
	}
	return m.withhold(m.serve(now, msg))
}

// serve takes the messages whose answers a frozen target withholds.
func (m *Machine) serve(now core.Instant, msg Message) []Output {
	switch msg := msg.(type) {
	case Order:
		reply := m.order(clockOf(now), msg.Order)
		if m.random.Float64() < m.faults.DropOrders {
			return []Output{OrderDropped{To: msg.Reply}}
		}
		return []Output{OrderAnswer{To: msg.Reply, Reply: reply}}
	case Begin:
		return []Output{BeginAnswer{To: msg.Reply, Begun: m.begin(now, msg)}}
	case End:
		return m.end(now, msg)
	case Report:
		return []Output{StatusAnswer{To: msg.Reply, Status: m.report(now)}}
	}
	return nil
}

func (m *Machine) withhold(out []Output) []Output {
	if !m.faults.Freeze {
		return out
	}
	m.withheld = append(m.withheld, out...)
	return nil
}

func (m *Machine) stepFaults(s SetFaults) []Output {
	next, err := m.faults.With(s.Changes)
	if err == nil {
		m.faults = next
	}
	out := []Output{FaultsAnswer{To: s.Reply, Set: FaultsSet{Faults: m.faults, Err: err}}}
	if !m.faults.Freeze {
		out = append(out, m.withheld...)
		m.withheld = nil
	}
	return out
}

func (m *Machine) begin(now core.Instant, b Begin) Begun {
	clock := clockOf(now)
	begun := Begun{Clock: clock, Incarnation: m.options.Incarnation}
	if begun.Status, begun.Refused = m.refusal(clock, b); begun.Refused != "" {
		return begun
	}
	begun.Service = m.serviceTime()
	if m.cold.over(m.inFlight, m.faults) {
		m.cold.overloads++
		if m.faults.ColdDelay == 0 {
			begun.Status, begun.Refused = statusShed, "cold and overloaded"
			return begun
		}
		begun.Service = m.faults.ColdDelay
	}
	begun.Left = time.Duration(b.Deadline-clock) * time.Millisecond
	m.plan(&begun)
	m.inFlight++
	begun.Run = m.logged(now, b)
	begun.Number = len(m.runs)
	m.runs = append(m.runs, begun.Run)
	return begun
}

func (m *Machine) logged(now core.Instant, b Begin) Run {
	r := b.Run
	r.Target, r.Incarnation = m.options.ID, m.options.Incarnation
	r.Began, r.BeganAt = clockOf(now), m.unix(now)
	r.Deadline = b.Deadline
	r.DeadlineAt = m.options.Epoch + int64(time.Duration(b.Deadline)*time.Millisecond)
	r.Unchecked = !m.options.Checks
	r.Draining = m.drain.reported
	return r
}

func (m *Machine) unix(now core.Instant) int64 { return m.options.Epoch + int64(now) }

func (m *Machine) serviceTime() time.Duration {
	if m.random.Float64() < m.faults.StragglerShare {
		return m.faults.StragglerTime
	}
	return m.faults.ServiceTime
}

// plan decides what happens to the response.
func (m *Machine) plan(b *Begun) {
	b.Response = m.faults.response(m.random.Float64())
	if m.random.Float64() < m.faults.Delay {
		b.Delay = m.faults.DelayTime
	}
	if b.Response != ResponseCrossed {
		return
	}
	b.Other = Run{Request: "crossed", Attempt: 1}
	if len(m.runs) > 0 {
		b.Other = m.runs[len(m.runs)-1]
	}
}

func (m *Machine) end(now core.Instant, e End) []Output {
	m.inFlight--
	r := &m.runs[e.Number]
	r.Ended, r.EndedAt = clockOf(now), m.unix(now)
	if m.options.Checks && r.EndedAt >= r.DeadlineAt {
		// A target that was frozen has done nothing since its deadline.
		r.Ended, r.EndedAt, r.Cancelled = r.Deadline, r.DeadlineAt, true
	} else {
		m.cold.successes++
	}
	answer := EndAnswer{To: e.Reply, Run: *r}
	if m.faults.Reorder > 0 && m.random.Float64() < m.faults.Reorder {
		m.reordered = append(m.reordered, reordered{answer: answer, until: now.Add(reorderTime)})
		return nil
	}
	out := []Output{answer}
	for _, waiting := range m.reordered {
		out = append(out, waiting.answer)
	}
	m.reordered = nil
	return out
}

// overdue returns the reordered answers that have waited long enough.
func (m *Machine) overdue(now core.Instant) []Output {
	var out []Output
	for len(m.reordered) > 0 && !now.Before(m.reordered[0].until) {
		out = append(out, m.reordered[0].answer)
		m.reordered = m.reordered[1:]
	}
	return out
}
