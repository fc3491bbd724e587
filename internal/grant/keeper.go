package grant

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// OrderTimeout bounds how long an order may be under way.
	OrderTimeout = 250 * time.Millisecond
	// probeInterval is the pause between inspects of a silent target.
	probeInterval = 150 * time.Millisecond
	// lostAfter is how long a target may be silent before it counts as lost.
	// Two frozen probes fit into it.
	lostAfter = 600 * time.Millisecond
)

// Message is what the keeper takes.
type Message interface{ isGrantMessage() }

type (
	// Tick lets the keeper look at its timers.
	Tick struct{}
	// Assigned hands over what this VM shall hold; targets that are missing
	// are no longer its.
	Assigned struct{ Targets map[core.Target]Assignment }
	// OrderDone is the result of an order.
	OrderDone struct {
		Target         core.Target
		Order          Order
		Sent, Received core.Instant
		Reply          OrderReply
		// Err is set if no response came; NotSent if the order surely had no effect.
		Err     error
		NotSent bool
	}
	// Drained says that nothing of these ranges is in flight at the target any more.
	Drained struct {
		Target core.Target
		Ranges []core.RangeID
	}
)

func (Tick) isGrantMessage()      {}
func (Assigned) isGrantMessage()  {}
func (OrderDone) isGrantMessage() {}
func (Drained) isGrantMessage()   {}

// Assignment is what the map says of one target of this VM.
type Assignment struct {
	Address string
	Token   core.Token
	// Ranges shall be held. Moving ones are held until they are drained.
	Ranges []core.RangeID
	Moving []core.RangeID
}

// Output is what the keeper asks for.
type Output interface{ isGrantOutput() }

type (
	// SendOrder asks for an order to be sent; its result is an OrderDone.
	SendOrder struct {
		Target  core.Target
		Address string
		Order   Order
	}
	// Changed hands the state of a grant to the front.
	Changed struct {
		Target core.Target
		View   View
	}
	// Lost reports that a target is silent and when its grant has ended for sure.
	Lost struct {
		Target core.Target
		Token  core.Token
		Ends   core.Instant
	}
	// Confirmed reports what a target holds by its own word.
	Confirmed struct {
		Target core.Target
		Token  core.Token
		Ranges []core.RangeID
	}
	// Superseded reports a greater token at the target.
	Superseded struct {
		Target core.Target
		Token  core.Token
	}
)

func (SendOrder) isGrantOutput()  {}
func (Changed) isGrantOutput()    {}
func (Lost) isGrantOutput()       {}
func (Confirmed) isGrantOutput()  {}
func (Superseded) isGrantOutput() {}

// View is a grant as its front may rely on it.
type View struct {
	Token   core.Token
	Address string
	Ranges  []core.RangeID
	// HeldUntil is the instant up to which the grant may be relied on.
	HeldUntil   core.Instant
	Clock       ClockReading
	Incarnation uint64
	// InFlight is the target's own count at the last response.
	InFlight int
	Cold     bool
	Draining bool
}

// Keeper is the step of the grant duty.
type Keeper struct {
	vm      core.VM
	targets map[core.Target]*held
}

// held is the state of one target.
type held struct {
	want    Assignment
	drained map[core.RangeID]bool
	view    View
	// confirmed is the token that the target last confirmed.
	confirmed core.Token
	// mayHoldUntil is when the grant has ended on any clock.
	mayHoldUntil core.Instant
	inFlight     bool
	nextAt       core.Instant
	silentSince  core.Instant
	silent       bool
	lost         bool
	superseded   core.Token
}

// NewKeeper returns a keeper of a VM's grants.
func NewKeeper(vm core.VM) *Keeper {
	return &Keeper{vm: vm, targets: make(map[core.Target]*held)}
}

// Step implements duty.Step.
func (k *Keeper) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Tick:
	case Assigned:
		k.stepAssigned(m)
	case OrderDone:
		out = k.stepDone(now, m)
	case Drained:
		if h := k.targets[m.Target]; h != nil {
			for _, r := range m.Ranges {
				h.drained[r] = true
			}
		}
	}
	for _, id := range k.sorted() {
		if o, ok := k.due(now, id, k.targets[id]); ok {
			out = append(out, o)
		}
	}
	return out
}

func (k *Keeper) sorted() []core.Target {
	ids := make([]core.Target, 0, len(k.targets))
	for id := range k.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (k *Keeper) stepAssigned(m Assigned) {
	for id := range k.targets {
		if _, ok := m.Targets[id]; !ok {
			delete(k.targets, id)
		}
	}
	for id, a := range m.Targets {
		h := k.targets[id]
		if h == nil {
			h = &held{}
			k.targets[id] = h
		}
		if h.want.Token != a.Token || h.drained == nil {
			h.drained = make(map[core.RangeID]bool)
			h.lost = false
			h.nextAt = 0
		}
		h.want = a
	}
}

// due returns the next order for a target, if it is time for one.
func (k *Keeper) due(now core.Instant, id core.Target, h *held) (Output, bool) {
	if h.inFlight || h.lost || h.want.Token.Less(h.superseded) {
		return nil, false
	}
	kind := h.next()
	if now.Before(h.nextAt) {
		return nil, false
	}
	order := Order{Kind: kind, Token: h.want.Token, Front: k.vm}
	switch kind {
	case OrderInspect:
		// A probe after a confirmed grant must not fence that grant.
		order.Token = h.confirmed
	case OrderTake:
		order.Ranges = h.want.Ranges
	case OrderRenew:
		order.Token = h.confirmed
	}
	if kind == OrderTake || kind == OrderRenew {
		end := now.Add(core.GrantLease)
		order.Deadline = h.view.Clock.NeverLater(now.Add(OrderTimeout))
		order.LeaseEnd = h.view.Clock.NeverLater(end)
		h.mayHoldUntil = max(h.mayHoldUntil, end)
	}
	h.inFlight = true
	return SendOrder{Target: id, Address: h.want.Address, Order: order}, true
}

// next returns the kind of the order that comes next.
func (h *held) next() OrderKind {
	switch {
	case h.silent || h.view.Clock == ClockReading{}:
		return OrderInspect
	case h.confirmed != h.want.Token && h.readyToTake():
		return OrderTake
	case h.confirmed.IsZero():
		return OrderInspect
	}
	return OrderRenew
}

// readyToTake reports whether all moving ranges that the target still holds
// are drained.
func (h *held) readyToTake() bool {
	for _, r := range h.want.Moving {
		if slices.Contains(h.view.Ranges, r) && !h.drained[r] {
			return false
		}
	}
	return true
}

func (k *Keeper) stepDone(now core.Instant, m OrderDone) []Output {
	h := k.targets[m.Target]
	if h == nil {
		return nil
	}
	h.inFlight = false
	if m.Err != nil {
		return k.stepSilent(now, m, h)
	}
	h.silent = false
	h.view.Address = h.want.Address
	h.view.Clock = ClockReading{Clock: m.Reply.Clock, Sent: m.Sent, Received: m.Received}
	h.view.Incarnation = m.Reply.Incarnation
	h.view.InFlight = m.Reply.InFlight
	h.view.Cold = m.Reply.Cold
	h.view.Draining = m.Reply.Draining
	if !m.Reply.Accepted {
		return k.stepRejected(m, h)
	}
	switch m.Order.Kind {
	case OrderTake, OrderRenew:
		h.nextAt = m.Sent.Add(core.RenewInterval)
		h.confirmed = m.Order.Token
		h.view.Token = m.Order.Token
		h.view.Ranges = m.Reply.Ranges
		h.view.HeldUntil = m.Sent.Add(core.Shorten(core.GrantLease))
		if h.confirmed != h.want.Token && h.readyToTake() {
			h.nextAt = now
		}
		return []Output{
			Changed{Target: m.Target, View: h.view},
			Confirmed{Target: m.Target, Token: m.Order.Token, Ranges: m.Reply.Ranges},
		}
	default:
		h.nextAt = now
		return nil
	}
}

func (k *Keeper) stepRejected(m OrderDone, h *held) []Output {
	h.nextAt = m.Received.Add(probeInterval)
	if m.Reply.Token.Compare(h.want.Token) > 0 {
		h.superseded = m.Reply.Token
		h.view.HeldUntil = 0
		return []Output{
			Changed{Target: m.Target, View: h.view},
			Superseded{Target: m.Target, Token: m.Reply.Token},
		}
	}
	// The target has lost the grant, by its end or a restart: take it anew.
	h.confirmed = core.Token{}
	h.view.HeldUntil = 0
	return []Output{Changed{Target: m.Target, View: h.view}}
}

func (k *Keeper) stepSilent(now core.Instant, m OrderDone, h *held) []Output {
	if !h.silent {
		h.silent = true
		h.silentSince = m.Sent
	}
	h.nextAt = now.Add(probeInterval)
	if now.Sub(h.silentSince) < lostAfter {
		return nil
	}
	h.lost = true
	return []Output{Lost{Target: m.Target, Token: h.want.Token, Ends: h.mayHoldUntil}}
}
