package grant

import (
	"slices"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

// State is the state of a front's grant on a target.
type State uint8

const (
	// StatePending: the grant has not been taken yet.
	StatePending State = iota
	// StateHeld: the target confirmed the grant.
	StateHeld
	// StateLost: the target does not respond; the front no longer renews the grant.
	StateLost
	// StateSuperseded: the target has seen a greater token.
	StateSuperseded
	// StateRecovered: a lost target responds again; the front needs a new token.
	StateRecovered
	// StateRestarted: the target's incarnation is not that of the assignment.
	StateRestarted
)

// Report is the state of all targets of a VM. It contains the complete state
// and not the changes, so that a lost report need not be repeated.
type Report struct {
	VM            core.VM
	FailureDomain core.FailureDomain
	Incarnation   uint64
	// Sequence increases with every report of an incarnation.
	Sequence uint64
	// Version of the map that the VM uses.
	Version core.Token
	Targets []TargetReport
}

// TargetReport is the part of a report that concerns one target.
type TargetReport struct {
	Target core.Target
	// Token is the token of the assignment; Confirmed is the one that the target
	// confirmed last, with Ranges.
	Token     core.Token
	Confirmed core.Token
	Ranges    []core.RangeID
	State     State
	// ExpiresIn is the time until the grant has expired on every clock.
	ExpiresIn   time.Duration
	Incarnation uint64
	// Superseded is the greater token that the target has seen (StateSuperseded).
	Superseded core.Token
	InFlight   int
	Draining   bool
	// Load is nil if nothing was measured since the last report.
	Load *core.TargetLoad
}

// ReportReply is the reply to a report.
type ReportReply struct {
	// Accepted is set if the replying VM is the holder and has the keep right;
	// see package coordinate.
	Accepted bool
	// Version is the version of the holder's map. A front with an older one may
	// have been replaced, so it takes no grant on the basis of this reply.
	Version core.Token
	// DomainAuthority permits the ranges of services with isolation = yield.
	DomainAuthority bool
}

func (r *Renewer) stepReportDone(m ReportDone) {
	v := m.Reply.Version
	if !m.Reply.Accepted || v.Term != r.version.Term || v.Rank != r.version.Rank {
		return
	}
	if v == r.version {
		r.confirmedUntil = max(r.confirmedUntil, m.Sent.Add(core.MinusDrift(HolderLease)))
	}
	if m.Reply.DomainAuthority {
		r.yieldConfirmedUntil = max(r.yieldConfirmedUntil, m.Sent.Add(core.MinusDrift(HolderLease)))
	}
}

func (r *Renewer) report(now core.Instant) []Output {
	if r.holder == "" || !r.changed && now.Before(r.reportAt) {
		return nil
	}
	r.changed = false
	r.reportAt = now.Add(ReportInterval)
	r.sequence++
	report := Report{
		VM: r.vm, FailureDomain: r.domain, Incarnation: r.incarnation,
		Sequence: r.sequence, Version: r.version,
	}
	for _, id := range r.sortedTargets() {
		report.Targets = append(report.Targets, r.targets[id].report(now, id))
	}
	return []Output{SendReport{Holder: r.holder, Address: r.addresses[r.holder], Report: report}}
}

func (t *targetState) report(now core.Instant, id core.Target) TargetReport {
	r := TargetReport{
		Target:      id,
		Token:       t.assignment.Token,
		Confirmed:   t.confirmed,
		Ranges:      slices.Clone(t.view.Ranges),
		State:       t.state(),
		ExpiresIn:   core.PlusDrift(max(0, t.latestExpiry.Sub(now))),
		Incarnation: t.view.Incarnation,
		Superseded:  t.superseded,
		InFlight:    t.view.InFlight,
		Draining:    t.view.Draining,
		Load:        t.load,
	}
	t.load = nil
	return r
}

func (t *targetState) state() State {
	switch {
	case t.lost && t.recovered:
		return StateRecovered
	case t.lost:
		return StateLost
	case t.assignment.Token.Less(t.superseded):
		return StateSuperseded
	case t.view.Incarnation != 0 && t.view.Incarnation != t.assignment.Incarnation:
		return StateRestarted
	case !t.confirmed.IsZero():
		return StateHeld
	}
	return StatePending
}
