package target

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
)

// Run is one run of a request, as the target logs it.
type Run struct {
	Target  core.Target    `json:"target"`
	Request core.RequestID `json:"request"`
	Attempt uint32         `json:"attempt"`
	Range   core.RangeID   `json:"range"`
	Token   core.Token     `json:"token"`
	Front   core.VM        `json:"front"`
	// Began and Ended are readings of the target's clock.
	Began grant.TargetClock `json:"began"`
	Ended grant.TargetClock `json:"ended,omitempty"`
}

// Message is what the target takes.
type Message interface{ isTargetMessage() }

type (
	// Order is an order from a front.
	Order struct {
		Order grant.Order
		Reply chan<- grant.OrderReply
	}
	// Begin asks whether a request may run.
	Begin struct {
		Run      Run
		Deadline grant.TargetClock
		Reply    chan<- Begun
	}
	// End says that a run has ended.
	End struct{ Number int }
	// ListRuns asks for the log of runs.
	ListRuns struct{ Reply chan<- []Run }
)

func (Order) isTargetMessage()    {}
func (Begin) isTargetMessage()    {}
func (End) isTargetMessage()      {}
func (ListRuns) isTargetMessage() {}

// Begun answers a Begin.
type Begun struct {
	// Refused is the reason for which the request isn't run.
	Refused string
	Status  int
	// Number identifies the run for its End.
	Number      int
	Clock       grant.TargetClock
	Incarnation uint64
}

// Output is an answer to be delivered.
type Output interface{ isTargetOutput() }

type (
	// OrderAnswer answers an Order.
	OrderAnswer struct {
		To    chan<- grant.OrderReply
		Reply grant.OrderReply
	}
	// BeginAnswer answers a Begin.
	BeginAnswer struct {
		To    chan<- Begun
		Begun Begun
	}
	// RunsAnswer answers a ListRuns.
	RunsAnswer struct {
		To   chan<- []Run
		Runs []Run
	}
)

func (OrderAnswer) isTargetOutput() {}
func (BeginAnswer) isTargetOutput() {}
func (RunsAnswer) isTargetOutput()  {}

// Options describe a target.
type Options struct {
	ID          core.Target
	Slots       int
	Checks      bool
	Incarnation uint64
}

// Machine is the step that owns the grant and the log of runs.
type Machine struct {
	options  Options
	token    core.Token
	front    core.VM
	ranges   []core.RangeID
	leaseEnd grant.TargetClock
	inFlight int
	runs     []Run
}

// NewMachine returns a target without a grant.
func NewMachine(o Options) *Machine { return &Machine{options: o} }

func clockOf(now core.Instant) grant.TargetClock { return grant.TargetClock(now / 1_000_000) }

// Step implements duty.Step.
func (m *Machine) Step(now core.Instant, msg Message) []Output {
	clock := clockOf(now)
	switch msg := msg.(type) {
	case Order:
		return []Output{OrderAnswer{To: msg.Reply, Reply: m.order(clock, msg.Order)}}
	case Begin:
		return []Output{BeginAnswer{To: msg.Reply, Begun: m.begin(clock, msg)}}
	case End:
		m.inFlight--
		m.runs[msg.Number].Ended = clock
	case ListRuns:
		return []Output{RunsAnswer{To: msg.Reply, Runs: slices.Clone(m.runs)}}
	}
	return nil
}

func (m *Machine) held(clock grant.TargetClock) bool {
	return m.front != "" && clock < m.leaseEnd
}

func (m *Machine) order(clock grant.TargetClock, o grant.Order) grant.OrderReply {
	reason := m.apply(clock, o)
	reply := grant.OrderReply{
		Accepted:    reason == "",
		Reason:      reason,
		Token:       m.token,
		Held:        m.held(clock),
		LeaseEnd:    m.leaseEnd,
		Clock:       clock,
		Incarnation: m.options.Incarnation,
		InFlight:    m.inFlight,
	}
	if reply.Held {
		reply.Front, reply.Ranges = m.front, slices.Clone(m.ranges)
	}
	return reply
}

// apply carries out an order; the result is the reason for a refusal.
func (m *Machine) apply(clock grant.TargetClock, o grant.Order) string {
	if !m.options.Checks {
		m.accept(o)
		return ""
	}
	if o.Kind != grant.OrderInspect && clock > o.Deadline {
		return "deadline passed"
	}
	order := o.Token.Compare(m.token)
	switch o.Kind {
	case grant.OrderInspect:
		if order > 0 {
			m.token = o.Token
		}
	case grant.OrderTake:
		if order < 0 || order == 0 && m.front != "" && m.front != o.Front {
			return "token is older than the grant's"
		}
		m.accept(o)
	case grant.OrderRenew:
		if order != 0 || !m.held(clock) || m.front != o.Front {
			return "no such grant"
		}
		m.leaseEnd = max(m.leaseEnd, o.LeaseEnd)
	case grant.OrderRelease:
		if order < 0 {
			return "token is older than the grant's"
		}
		m.token, m.front, m.ranges, m.leaseEnd = o.Token, "", nil, 0
	default:
		return "unknown order " + string(o.Kind)
	}
	return ""
}

func (m *Machine) accept(o grant.Order) {
	if o.Kind != grant.OrderTake && o.Kind != grant.OrderRenew {
		return
	}
	m.token, m.front, m.leaseEnd = o.Token, o.Front, o.LeaseEnd
	if o.Kind == grant.OrderTake {
		m.ranges = slices.Clone(o.Ranges)
	}
}

func (m *Machine) begin(clock grant.TargetClock, b Begin) Begun {
	if status, reason := m.refusal(clock, b); reason != "" {
		return Begun{Refused: reason, Status: status, Clock: clock, Incarnation: m.options.Incarnation}
	}
	m.inFlight++
	b.Run.Began = clock
	b.Run.Target = m.options.ID
	m.runs = append(m.runs, b.Run)
	return Begun{Number: len(m.runs) - 1, Clock: clock, Incarnation: m.options.Incarnation}
}

// Statuses of requests that weren't run.
const (
	statusStaleGrant     = 409
	statusDeadlinePassed = 425
	statusShed           = 503
)

func (m *Machine) refusal(clock grant.TargetClock, b Begin) (int, string) {
	if m.options.Checks {
		r := b.Run
		switch {
		case clock >= b.Deadline:
			return statusDeadlinePassed, "deadline passed"
		case !m.held(clock) || r.Front != m.front || m.token.Less(r.Token):
			return statusStaleGrant, "the front holds no grant"
		case r.Range != (core.RangeID{}) && !slices.Contains(m.ranges, r.Range):
			return statusStaleGrant, "the grant doesn't hold the range"
		}
	}
	if m.inFlight >= m.options.Slots {
		return statusShed, "all slots are in use"
	}
	return 0, ""
}
