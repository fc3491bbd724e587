package discovery

import (
	"sort"
	"time"

	"celeryhook.example/celeryhook/internal/core"
)

const (
	// reregisterTimeout is how long registrations that vanished while the directory
	// was out of reach may take to come back after its return: the platform
	// states about 2 s.
	reregisterTimeout = 2300 * time.Millisecond
	// outageThreshold is the time without word from the directory from which it counts
	// as out of reach. An entry lapses after some 2.6 s of silence, and a VM hears
	// of the directory at least every 2 s while all is well.
	outageThreshold = 2500 * time.Millisecond
)

// Registration is a target's registration.
type Registration struct {
	ID            core.Target
	Service       core.Service
	Address       string
	FailureDomain core.FailureDomain
	Slots         int
	Draining      bool
	// ColdRemaining is how much longer the target stayed cold when it registered.
	ColdRemaining time.Duration
	// Born is the start of the target's process, in Unix milliseconds. A target
	// may start again under its id with another value.
	Born int64
	// Sequence counts the registrations of the process.
	Sequence int64
}

// Target is a registered target as the request path sees it.
type Target struct {
	Registration
	// ColdUntil is the end of the cold start; the zero value means warm.
	ColdUntil core.Instant
	// RegisteredColdUntil is the end of the cold start by the registrations of this
	// process alone.
	RegisteredColdUntil core.Instant
	// Evacuated is set while operators keep the failure domain empty.
	Evacuated bool
	// LeavingSince is when the target was first seen to drain or to be
	// evacuated; the zero value means neither.
	LeavingSince core.Instant
}

func (t *Target) updateLeavingSince(now core.Instant, since core.Instant) {
	t.LeavingSince = 0
	if !t.Usable() {
		t.LeavingSince = now
		if since != 0 {
			t.LeavingSince = since
		}
	}
}

// Usable reports whether new requests may be sent.
func (t *Target) Usable() bool { return !t.Draining && !t.Evacuated }

const (
	// drainGracePeriod is for how long the owner of a key still gets requests after
	// it was seen to drain, while its keys move: the platform's bounds of 2 s and
	// more count from the store's word, which arrives up to 0.8 s later.
	drainGracePeriod = 1200 * time.Millisecond
	// evacuationGracePeriod is the same for an evacuated failure domain, for which the
	// bound is 5 s.
	evacuationGracePeriod = 2200 * time.Millisecond
)

// ServesOwnedKeys reports whether requests for keys that the target owns may be sent:
// it is usable, or has begun to leave a short time ago.
func (t *Target) ServesOwnedKeys(now core.Instant) bool {
	switch {
	case t.Usable():
		return true
	case t.Draining:
		return now.Sub(t.LeavingSince) <= drainGracePeriod
	}
	return now.Sub(t.LeavingSince) <= evacuationGracePeriod
}

// View is an immutable picture of the targets.
type View struct {
	Targets   map[core.Target]*Target
	ByService map[core.Service][]*Target
}

// Registry is the state. It is not safe for concurrent use.
type Registry struct {
	targets map[core.Target]*Target
	// pendingRemoval holds targets that vanished around an outage of the directory,
	// with the time at which they are taken as gone.
	pendingRemoval map[core.Target]core.Instant
	evacuated      map[core.FailureDomain]bool
	// coldStart is the cold time by service, for domains that return.
	coldStart map[core.Service]time.Duration
	// outageEnd is when the directory was last seen to return.
	outageEnd core.Instant
	lastRead  core.Instant
	hasRead   bool
	changed   bool
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{
		targets:        make(map[core.Target]*Target),
		pendingRemoval: make(map[core.Target]core.Instant),
		evacuated:      make(map[core.FailureDomain]bool),
		coldStart:      make(map[core.Service]time.Duration),
	}
}

// SetColdStart notes how long the targets of a service stay cold.
func (r *Registry) SetColdStart(s core.Service, d time.Duration) { r.coldStart[s] = d }

// MarkCurrent notes that the directory was read at the given time and that its state
// was the newest then.
func (r *Registry) MarkCurrent(at core.Instant) {
	if !r.hasRead || at.After(r.lastRead) {
		if r.hasRead && at.Sub(r.lastRead) > outageThreshold {
			r.outageEnd = at
		}
		r.lastRead, r.hasRead = at, true
	}
}

// Register adds or changes a target, and reports false for a registration that
// is older than the one known, which is left out.
func (r *Registry) Register(now core.Instant, e Registration) bool {
	if old, ok := r.targets[e.ID]; ok && (e.Born < old.Born || e.Born == old.Born && e.Sequence < old.Sequence) {
		return false
	}
	delete(r.pendingRemoval, e.ID)
	t := &Target{Registration: e, Evacuated: r.evacuated[e.FailureDomain]}
	if e.ColdRemaining > 0 {
		t.ColdUntil = now.Add(e.ColdRemaining)
		t.RegisteredColdUntil = t.ColdUntil
	}
	var since core.Instant
	if old, ok := r.targets[e.ID]; ok && old.Born == e.Born {
		t.ColdUntil = max(t.ColdUntil, old.ColdUntil)
		t.RegisteredColdUntil = max(t.RegisteredColdUntil, old.RegisteredColdUntil)
		since = old.LeavingSince
	}
	t.updateLeavingSince(now, since)
	r.targets[e.ID] = t
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

// SetEvacuated empties a failure domain or takes it back. Its targets count as
// cold when they return.
func (r *Registry) SetEvacuated(now core.Instant, d core.FailureDomain, out bool) {
	if r.evacuated[d] == out {
		return
	}
	if out {
		r.evacuated[d] = true
	} else {
		delete(r.evacuated, d)
	}
	for id, t := range r.targets {
		if t.FailureDomain != d {
			continue
		}
		c := *t
		c.Evacuated = out
		c.updateLeavingSince(now, t.LeavingSince)
		if until := now.Add(r.coldStart[t.Service]); !out && until.After(c.ColdUntil) {
			c.ColdUntil = until
		}
		r.targets[id] = &c
	}
	r.changed = true
}

// ExtendColdStart notes a cold time that a target itself reported.
func (r *Registry) ExtendColdStart(now core.Instant, id core.Target, left time.Duration) {
	t, ok := r.targets[id]
	if until := now.Add(left); ok && until.After(t.ColdUntil.Add(minColdChange)) {
		c := *t
		c.ColdUntil = until
		r.targets[id] = &c
		r.changed = true
	}
}

// minColdChange is the least change of a cold time that is worth a new view.
const minColdChange = 100 * time.Millisecond

// Tick removes targets whose time to return is over.
func (r *Registry) Tick(now core.Instant) {
	for id, until := range r.pendingRemoval {
		if !now.Before(until) {
			delete(r.pendingRemoval, id)
			delete(r.targets, id)
			r.changed = true
		}
	}
}

// Changed reports whether the view differs from the last one that was taken.
func (r *Registry) Changed() bool { return r.changed }

// View returns the present picture.
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

// PendingRemoval reports whether a target whose registration ended is still used until
// it has had time to register again.
func (r *Registry) PendingRemoval(id core.Target) bool {
	_, ok := r.pendingRemoval[id]
	return ok
}
