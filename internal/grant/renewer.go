package grant

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// Renewer is the state machine of the grant duty.
type Renewer struct {
	vm          core.VM
	domain      core.FailureDomain
	incarnation uint64
	targets     map[core.Target]*targetState
	// unassignedExpiry holds the latest expiry of grants on targets that are no
	// longer assigned to this VM.
	unassignedExpiry map[core.Target]core.Instant

	addresses map[core.VM]string
	// holder published the map of this version.
	holder  core.VM
	version core.Token
	// confirmedUntil and yieldConfirmedUntil are the ends of the holder's last
	// permission to take grants, and to renew grants of services with
	// isolation = yield.
	confirmedUntil, yieldConfirmedUntil core.Instant

	// lastNumber is that of the last order.
	lastNumber uint64
	sequence   uint64
	reportAt   core.Instant
	// changed is set if the next report differs from the last one.
	changed bool
}

// targetState is the state of the grant on one target.
type targetState struct {
	assignment Assignment
	drained    map[core.RangeID]bool
	view       View
	// confirmed is the token that the target last confirmed.
	confirmed core.Token
	// latestExpiry is when the grant, including one that an order in flight may
	// establish, has expired on every clock.
	latestExpiry core.Instant
	// priorLatestExpiry is latestExpiry without the order in flight.
	priorLatestExpiry core.Instant
	// inFlight is the number of the order in flight, 0 if there is none.
	inFlight uint64
	nextAt   core.Instant
	// unresponsive is set while orders get no response, lost once lostTimeout has
	// passed, and recovered when a lost target responds again.
	unresponsiveSince core.Instant
	unresponsive      bool
	lost              bool
	recovered         bool
	// superseded is a token, greater than the assigned one, that the target
	// reported; zero if there is none.
	superseded core.Token
	load       *core.TargetLoad
}

// NewRenewer returns the renewer of a VM's grants.
func NewRenewer(vm core.VM, domain core.FailureDomain, incarnation uint64) *Renewer {
	return &Renewer{
		vm: vm, domain: domain, incarnation: incarnation,
		targets: make(map[core.Target]*targetState), unassignedExpiry: make(map[core.Target]core.Instant),
	}
}

// Step implements duty.Step.
func (r *Renewer) Step(now core.Instant, m Message) []Output {
	var out []Output
	switch m := m.(type) {
	case Tick:
	case Assigned:
		r.stepAssigned(m)
	case OrderDone:
		out = r.stepDone(now, m)
	case Drained:
		if t := r.targets[m.Target]; t != nil {
			for _, id := range m.Ranges {
				t.drained[id] = true
			}
		}
	case LoadMeasured:
		if t := r.targets[m.Load.Target]; t != nil {
			load := m.Load
			t.load = &load
		}
	case ReportDone:
		r.stepReportDone(m)
	case AddressesChanged:
		r.addresses = m.Addresses
	case StatusRequested:
		out = append(out, SendStatus{To: m.Reply, Status: r.status(now)})
	}
	for _, id := range r.sortedTargets() {
		if o, ok := r.dueOrder(now, id, r.targets[id]); ok {
			out = append(out, o)
		}
	}
	return append(out, r.report(now)...)
}

func (r *Renewer) sortedTargets() []core.Target {
	ids := make([]core.Target, 0, len(r.targets))
	for id := range r.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (r *Renewer) stepAssigned(m Assigned) {
	if m.Version.Less(r.version) {
		return
	}
	if m.Version.Term != r.version.Term || m.Version.Rank != r.version.Rank {
		r.confirmedUntil, r.yieldConfirmedUntil = 0, 0
	}
	r.holder, r.version = m.Holder, m.Version
	r.changed = true
	for id, t := range r.targets {
		if _, ok := m.Targets[id]; !ok {
			r.unassignedExpiry[id] = t.latestExpiry
			delete(r.targets, id)
		}
	}
	for id, a := range m.Targets {
		t := r.targets[id]
		if t == nil {
			t = &targetState{latestExpiry: r.unassignedExpiry[id], priorLatestExpiry: r.unassignedExpiry[id]}
			r.targets[id] = t
			delete(r.unassignedExpiry, id)
		}
		t.assign(a)
	}
}

func (t *targetState) assign(a Assignment) {
	if t.assignment.Token != a.Token || t.drained == nil {
		t.drained = make(map[core.RangeID]bool)
		t.lost, t.recovered, t.unresponsive = false, false, false
		t.nextAt = 0
	}
	t.assignment = a
}
