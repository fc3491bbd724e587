package grant

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// State says how a front stands to a target.
type State uint8

const (
	// StatePending: the grant has not been taken yet.
	StatePending State = iota
	// StateHeld: the target confirmed the grant.
	StateHeld
	// StateLost: the target is silent; the front extends nothing any more.
	StateLost
	// StateSuperseded: the target has seen a greater token.
	StateSuperseded
	// StateBack: a lost target responds again; the front needs a new token.
	StateBack
	// StateRestarted: the target's incarnation is not that of the assignment.
	StateRestarted
)

// Report is all that a VM has to say of its targets. It states what is, not
// what changed, so that a lost report needs no repetition.
type Report struct {
	VM            core.VM
	FailureDomain core.FailureDomain
	Incarnation   uint64
	// Sequence increases with every report of an incarnation.
	Sequence uint64
	// Version of the map that the VM acts on.
	Version core.Token
	Targets []TargetReport
}

// TargetReport is the part of a report that concerns one target.
type TargetReport struct {
	Target core.Target
	// Token is that of the assignment; Confirmed the one that the target
	// confirmed last, with Ranges.
	Token     core.Token
	Confirmed core.Token
	Ranges    []core.RangeID
	State     State
	// EndsIn is the time until the grant of a lost target has ended on any clock.
	EndsIn      time.Duration
	Incarnation uint64
	// Superseded is the greater token, for StateSuperseded.
	Superseded core.Token
	InFlight   int
	Draining   bool
	// Load is nil if nothing was measured since the last report.
	Load *core.TargetLoad
}

// ReportAnswer is what the receiver of a report says.
type ReportAnswer struct {
	// Accepted is set by a holder with the keep right.
	Accepted bool
	// Version is that of the holder's map. A front with an older one may have
	// been replaced, so it takes no grant on this answer.
	Version core.Token
	// DomainAuthority permits the ranges of services with isolation = yield.
	DomainAuthority bool
}

func (k *Keeper) stepReportDone(m ReportDone) {
	v := m.Answer.Version
	if !m.Answer.Accepted || v.Term != k.version.Term || v.Rank != k.version.Rank {
		return
	}
	if v == k.version {
		k.confirmedUntil = max(k.confirmedUntil, m.Sent.Add(core.MinusDrift(HolderLease)))
	}
	if m.Answer.DomainAuthority {
		k.yieldConfirmedUntil = max(k.yieldConfirmedUntil, m.Sent.Add(core.MinusDrift(HolderLease)))
	}
}

func (k *Keeper) report(now core.Instant) []Output {
	if k.holder == "" || !k.changed && now.Before(k.reportAt) {
		return nil
	}
	k.changed = false
	k.reportAt = now.Add(ReportInterval)
	k.sequence++
	r := Report{
		VM: k.vm, FailureDomain: k.domain, Incarnation: k.incarnation,
		Sequence: k.sequence, Version: k.version,
	}
	for _, id := range k.sorted() {
		r.Targets = append(r.Targets, k.targets[id].report(now, id))
	}
	return []Output{SendReport{Holder: k.holder, Address: k.addresses[k.holder], Report: r}}
}

func (h *held) report(now core.Instant, id core.Target) TargetReport {
	r := TargetReport{
		Target:      id,
		Token:       h.want.Token,
		Confirmed:   h.confirmed,
		Ranges:      slices.Clone(h.view.Ranges),
		State:       h.state(),
		EndsIn:      core.PlusDrift(max(0, h.mayHoldUntil.Sub(now))),
		Incarnation: h.view.Incarnation,
		Superseded:  h.superseded,
		InFlight:    h.view.InFlight,
		Draining:    h.view.Draining,
		Load:        h.load,
	}
	h.load = nil
	return r
}

func (h *held) state() State {
	switch {
	case h.lost && h.back:
		return StateBack
	case h.lost:
		return StateLost
	case h.want.Token.Less(h.superseded):
		return StateSuperseded
	case h.view.Incarnation != 0 && h.view.Incarnation != h.want.Incarnation:
		return StateRestarted
	case !h.confirmed.IsZero():
		return StateHeld
	}
	return StatePending
}
