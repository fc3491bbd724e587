package grant

import (
	"slices"

	"celeryhook.example/celeryhook/internal/core"
)

// Keeper is the step of the grant duty.
type Keeper struct {
	vm          core.VM
	domain      core.FailureDomain
	incarnation uint64
	targets     map[core.Target]*held
	// retired holds until when grants may last whose target is another front's
	// by now.
	retired map[core.Target]core.Instant

	addresses map[core.VM]string
	holder    core.VM
	version   core.Token
	// confirmedUntil and yieldConfirmedUntil are the ends of the holder's last
	// permissions to take grants, and to renew those of services with
	// isolation = yield.
	confirmedUntil, yieldConfirmedUntil core.Instant

	orders   uint64
	sequence uint64
	reportAt core.Instant
	changed  bool
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
	// before is mayHoldUntil without the order under way.
	before core.Instant
	// inFlight is the number of the order under way, 0 if there is none.
	inFlight    uint64
	nextAt      core.Instant
	silentSince core.Instant
	silent      bool
	lost        bool
	back        bool
	superseded  core.Token
	load        *core.TargetLoad
}

// NewKeeper returns a keeper of a VM's grants.
func NewKeeper(vm core.VM, domain core.FailureDomain, incarnation uint64) *Keeper {
	return &Keeper{
		vm: vm, domain: domain, incarnation: incarnation,
		targets: make(map[core.Target]*held), retired: make(map[core.Target]core.Instant),
	}
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
	case Measured:
		if h := k.targets[m.Load.Target]; h != nil {
			load := m.Load
			h.load = &load
		}
	case ReportDone:
		k.stepReportDone(m)
	case AddressesChanged:
		k.addresses = m.Addresses
	case StatusAsked:
		out = append(out, AnswerStatus{To: m.Reply, Status: k.status(now)})
	}
	for _, id := range k.sorted() {
		if o, ok := k.due(now, id, k.targets[id]); ok {
			out = append(out, o)
		}
	}
	return append(out, k.report(now)...)
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
	if m.Version.Less(k.version) {
		return
	}
	if m.Version.Term != k.version.Term || m.Version.Rank != k.version.Rank {
		k.confirmedUntil, k.yieldConfirmedUntil = 0, 0
	}
	k.holder, k.version = m.Holder, m.Version
	k.changed = true
	for id, h := range k.targets {
		if _, ok := m.Targets[id]; !ok {
			k.retired[id] = h.mayHoldUntil
			delete(k.targets, id)
		}
	}
	for id, a := range m.Targets {
		h := k.targets[id]
		if h == nil {
			h = &held{mayHoldUntil: k.retired[id], before: k.retired[id]}
			k.targets[id] = h
			delete(k.retired, id)
		}
		h.assign(a)
	}
}

func (h *held) assign(a Assignment) {
	if h.want.Token != a.Token || h.drained == nil {
		h.drained = make(map[core.RangeID]bool)
		h.lost, h.back, h.silent = false, false, false
		h.nextAt = 0
	}
	h.want = a
}
