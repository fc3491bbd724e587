package discovery

import (
	"sort"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// reregisterTimeout is how long targets may take to register again after an
	// outage of the directory in which their registrations lapsed. The platform
	// states about 2 s.
	reregisterTimeout = 2300 * time.Millisecond
	// outageThreshold is the time without a read of the directory after which it
	// counts as unreachable. A registration lapses after about 2.6 s without
	// renewal, and in normal operation a VM reads the directory at least every
	// 2 s.
	outageThreshold = 2500 * time.Millisecond
)

// Registration is a target's entry in the directory.
type Registration struct {
	ID            core.Target
	Service       core.Service
	Address       string
	FailureDomain core.FailureDomain
	Slots         int
	Draining      bool
	// ColdRemaining is how much longer the target stays cold after registering.
	ColdRemaining time.Duration
	// StartedAt is the start time of the target's process, in Unix milliseconds. A
	// target that restarts keeps its id and gets another value.
	StartedAt int64
	// Sequence counts the registrations of the process.
	Sequence int64
}

// Target is a registered target as the request path sees it.
type Target struct {
	Registration
	// ColdUntil is the end of the cold start; the zero value means warm.
	ColdUntil core.Instant
	// RegisteredColdUntil is the end of the cold start according to the
	// registrations of this process alone.
	RegisteredColdUntil core.Instant
	// Evacuated is set while operators have evacuated the failure domain.
	Evacuated bool
	// AnnouncedLeaving is set once the process itself announced that it is about to
	// exit. Draining is then set whatever the registration says, as it may lag.
	AnnouncedLeaving bool
	// LeavingSince is when the target was first seen draining or evacuated; the
	// zero value means neither.
	LeavingSince core.Instant
	// UsableAt is a time at which a target that leaves was still usable, or zero if
	// none is known. It may have begun to leave right after that.
	UsableAt core.Instant
}

// updateLeaving sets LeavingSince and UsableAt. They are those of the target's former
// state if that was leaving already.
func (t *Target) updateLeaving(now, usableAt core.Instant, former *Target) {
	switch {
	case t.Usable():
		t.LeavingSince, t.UsableAt = 0, 0
	case former != nil && former.LeavingSince != 0:
		t.LeavingSince, t.UsableAt = former.LeavingSince, former.UsableAt
	default:
		t.LeavingSince, t.UsableAt = now, usableAt
	}
}

// Leaving returns a copy of the target that has announced since the given time that
// it is about to exit. usableAt is as in UsableAt.
func (t *Target) Leaving(since, usableAt core.Instant) *Target {
	c := *t
	c.AnnouncedLeaving, c.Draining = true, true
	c.updateLeaving(since, usableAt, t)
	return &c
}

// Usable reports whether new requests may be sent to the target.
func (t *Target) Usable() bool { return !t.Draining && !t.Evacuated }

const (
	// drainGracePeriod is how long the owner of a key still gets requests after it
	// was seen draining, while its keys move. The platform's bounds of 2 s and
	// more count from the record in the store, which arrives up to 0.8 s later.
	drainGracePeriod = 1200 * time.Millisecond
	// maxDrainTime is the longest time from UsableAt in which the owner gets requests.
	// It ends the grace period earlier if the record arrived late.
	maxDrainTime = 1900 * time.Millisecond
	// evacuationGracePeriod is the same for an evacuated failure domain, for which
	// the bound is 5 s.
	evacuationGracePeriod = 2200 * time.Millisecond
)

// ServesOwnedKeys reports whether requests for keys that the target owns may be
// sent to it: it is usable, or within the grace period.
func (t *Target) ServesOwnedKeys(now core.Instant) bool {
	switch {
	case t.Usable():
		return true
	case t.Draining:
		return now.Sub(t.LeavingSince) <= drainGracePeriod && (t.UsableAt == 0 || now.Sub(t.UsableAt) <= maxDrainTime)
	}
	return now.Sub(t.LeavingSince) <= evacuationGracePeriod
}

// View is an immutable snapshot of the targets.
type View struct {
	Targets   map[core.Target]*Target
	ByService map[core.Service][]*Target
}

// Registry tracks the registered targets. It is not safe for concurrent use.
type Registry struct {
	targets map[core.Target]*Target
	// leaving holds the processes that have announced that they are about to exit.
	// It outlasts their registrations, which may end and come back.
	leaving map[core.Target]leavingProcess
	// pendingRemoval holds the targets whose registrations ended around an outage
	// of the directory, with the time at which they are removed.
	pendingRemoval map[core.Target]core.Instant
	evacuated      map[core.FailureDomain]bool
	// coldStart is the cold-start duration by service, for targets in failure
	// domains that return from evacuation.
	coldStart map[core.Service]time.Duration
	// outageEnd is when the directory was last read again after an outage.
	outageEnd core.Instant
	lastRead  core.Instant
	hasRead   bool
	// registrationsAsOf is a time at which all registrations had been applied, or
	// zero. Those that are applied later were written after it.
	registrationsAsOf core.Instant
	changed           bool
}

// leavingProcess is a process that has announced that it is about to exit.
type leavingProcess struct {
	// startedAt is the start of the process, in Unix milliseconds.
	startedAt             int64
	announcedAt, usableAt core.Instant
}

// leavingMemory is how long a process that is about to exit is remembered at least.
const leavingMemory = time.Hour

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		targets:        make(map[core.Target]*Target),
		leaving:        make(map[core.Target]leavingProcess),
		pendingRemoval: make(map[core.Target]core.Instant),
		evacuated:      make(map[core.FailureDomain]bool),
		coldStart:      make(map[core.Service]time.Duration),
	}
}

// SetColdStart sets how long the targets of a service stay cold.
func (r *Registry) SetColdStart(s core.Service, d time.Duration) { r.coldStart[s] = d }

// MarkCurrent records that the registrations were up to date at the given time.
func (r *Registry) MarkCurrent(at core.Instant) {
	if !r.hasRead || at.After(r.lastRead) {
		if r.hasRead && at.Sub(r.lastRead) > outageThreshold {
			r.outageEnd = at
		}
		r.lastRead, r.hasRead = at, true
	}
}

// MarkRegistrationsRead records that all registrations up to the given time have been
// applied.
func (r *Registry) MarkRegistrationsRead(asOf core.Instant) {
	r.registrationsAsOf = max(r.registrationsAsOf, asOf)
}

// Register adds or updates a target. It ignores a registration that is older
// than the known one and reports false for it.
func (r *Registry) Register(now core.Instant, reg Registration) bool {
	if old, ok := r.targets[reg.ID]; ok && (reg.StartedAt < old.StartedAt || reg.StartedAt == old.StartedAt && reg.Sequence < old.Sequence) {
		return false
	}
	leaving, isLeaving := r.leaving[reg.ID]
	switch {
	case isLeaving && reg.StartedAt < leaving.startedAt:
		return false
	case reg.StartedAt > leaving.startedAt:
		delete(r.leaving, reg.ID)
		isLeaving = false
	}
	delete(r.pendingRemoval, reg.ID)
	t := &Target{Registration: reg, Evacuated: r.evacuated[reg.FailureDomain]}
	if reg.ColdRemaining > 0 {
		t.ColdUntil = now.Add(reg.ColdRemaining)
		t.RegisteredColdUntil = t.ColdUntil
	}
	former := r.targets[reg.ID]
	if former != nil && former.StartedAt != reg.StartedAt {
		former = nil
	}
	if former != nil {
		t.ColdUntil = max(t.ColdUntil, former.ColdUntil)
		t.RegisteredColdUntil = max(t.RegisteredColdUntil, former.RegisteredColdUntil)
	}
	t.updateLeaving(now, r.registrationsAsOf, former)
	if isLeaving {
		t = t.Leaving(leaving.announcedAt, leaving.usableAt)
	}
	r.targets[reg.ID] = t
	r.changed = true
	return true
}

// Remove handles the end of a registration. Around an outage of the directory
// the target stays usable until it has had time to register again.
func (r *Registry) Remove(now core.Instant, id core.Target) {
	if _, ok := r.targets[id]; !ok {
		return
	}
	if r.outageEnd != 0 && now.Sub(r.outageEnd) < reregisterTimeout {
		r.pendingRemoval[id] = r.outageEnd.Add(reregisterTimeout)
		return
	}
	delete(r.targets, id)
	delete(r.pendingRemoval, id)
	r.changed = true
}

// SetEvacuated starts or ends the evacuation of a failure domain. Its targets
// count as cold when the evacuation ends.
func (r *Registry) SetEvacuated(now core.Instant, d core.FailureDomain, evacuated bool) {
	if r.evacuated[d] == evacuated {
		return
	}
	if evacuated {
		r.evacuated[d] = true
	} else {
		delete(r.evacuated, d)
	}
	for id, t := range r.targets {
		if t.FailureDomain != d {
			continue
		}
		c := *t
		c.Evacuated = evacuated
		c.updateLeaving(now, r.registrationsAsOf, t)
		if until := now.Add(r.coldStart[t.Service]); !evacuated && until.After(c.ColdUntil) {
			c.ColdUntil = until
		}
		r.targets[id] = &c
	}
	r.changed = true
}

// ExtendColdStart records the remaining cold time that a target itself reported.
func (r *Registry) ExtendColdStart(now core.Instant, id core.Target, remaining time.Duration) {
	t, ok := r.targets[id]
	if until := now.Add(remaining); ok && until.After(t.ColdUntil.Add(minColdChange)) {
		c := *t
		c.ColdUntil = until
		r.targets[id] = &c
		r.changed = true
	}
}

// MarkLeaving marks a process as draining because it announced so itself, and
// reports whether that is news. Its registration may have ended meanwhile.
func (r *Registry) MarkLeaving(now core.Instant, id core.Target, startedAt int64) bool {
	t, registered := r.targets[id]
	p, known := r.leaving[id]
	if registered && t.StartedAt != startedAt || known && p.startedAt >= startedAt {
		return false
	}
	r.leaving[id] = leavingProcess{startedAt: startedAt, announcedAt: now, usableAt: r.registrationsAsOf}
	if registered {
		r.targets[id] = t.Leaving(now, r.registrationsAsOf)
		r.changed = true
	}
	return true
}

// minColdChange is the smallest extension of a cold start that updates the view.
const minColdChange = 100 * time.Millisecond

// Tick removes the targets that did not register again in time, and forgets the
// processes that have left long ago.
func (r *Registry) Tick(now core.Instant) {
	for id, p := range r.leaving {
		if r.targets[id] == nil && now.Sub(p.announcedAt) >= leavingMemory {
			delete(r.leaving, id)
		}
	}
	for id, until := range r.pendingRemoval {
		if !now.Before(until) {
			delete(r.pendingRemoval, id)
			delete(r.targets, id)
			r.changed = true
		}
	}
}

// Changed reports whether the targets have changed since the last View.
func (r *Registry) Changed() bool { return r.changed }

// View returns a snapshot and resets Changed.
func (r *Registry) View() *View {
	r.changed = false
	v := &View{Targets: make(map[core.Target]*Target, len(r.targets)), ByService: make(map[core.Service][]*Target)}
	for id, t := range r.targets {
		v.Targets[id] = t
		v.ByService[t.Service] = append(v.ByService[t.Service], t)
	}
	for _, list := range v.ByService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return v
}

// PendingRemoval reports whether a target whose registration ended is kept until
// it has had time to register again.
func (r *Registry) PendingRemoval(id core.Target) bool {
	_, ok := r.pendingRemoval[id]
	return ok
}
