package app

import (
	"context"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/route"
	"celeryhook.example/celeryhook/internal/witness"
)

func (p *Process) emitRoute(ctx context.Context, o route.Output) {
	switch o := o.(type) {
	case route.SendDecision:
		o.To <- o.Decision
	case route.SendNewerState:
		o.To <- o.State
	case route.SendAddress:
		o.To <- o.Address
	case route.Changed:
		_ = p.members.Put(ctx, membership.VersionsChanged{LogOffset: o.LogOffset, Maps: o.Maps})
		if o.Policy == nil {
			return
		}
		p.callerHandler.Apply(o.Policy)
		if o.OwnMap != nil {
			grants, fronts := assignmentsFor(p.settings.VM, p.incarnation, o.Policy, o.OwnMap)
			_ = p.grants.Put(ctx, grant.Assigned{Holder: o.OwnMap.Holder, Version: o.OwnMap.Version, Targets: grants})
			retention := o.Policy.Control.IDRetention
			// Blocks until the rings have room, as an assignment isn't sent again.
			_ = p.fronts.PutBlocking(ctx, front.Assigned{Targets: fronts, Retention: retention})
			_ = p.witnesses.PutBlocking(ctx, witness.SetRetention{Period: retention})
		}
	}
}

// assignmentsFor returns the assignments in a map of the targets whose front
// is one process of a VM, for its grant and front duties.
func assignmentsFor(vm core.VM, incarnation uint64, p *policy.Policy, m *core.RangeMap) (map[core.Target]grant.Assignment, map[core.Target]front.Assignment) {
	grants := make(map[core.Target]grant.Assignment)
	fronts := make(map[core.Target]front.Assignment)
	for id, a := range m.Targets {
		t, ok := p.Targets[id]
		if !ok || a.Front != vm || a.FrontIncarnation != incarnation {
			continue
		}
		grants[id] = grant.Assignment{
			Address: t.Address, Token: a.Token, Incarnation: a.Incarnation,
			Yield: p.Services[t.Service].Isolation == policy.IsolationYield,
		}
		fronts[id] = front.Assignment{
			Service: t.Service, Slots: t.Slots, Limits: p.Services[t.Service].Limits,
			Token: a.Token, Leaving: a.Leaving || t.Leaving,
			Witnesses: a.Witnesses, Previous: a.Previous, PreviousSince: a.PreviousSince,
			Ranges: make(map[core.RangeID]front.Range),
		}
	}
	for id, r := range m.Ranges {
		g, ok := grants[r.Target]
		if !ok {
			continue
		}
		switch r.State {
		case core.RangeServing:
			g.Ranges = append(g.Ranges, id)
		case core.RangeMoving:
			g.Moving = append(g.Moving, id)
		default:
			continue
		}
		grants[r.Target] = g
		fronts[r.Target].Ranges[id] = front.Range{
			Moving: r.State == core.RangeMoving, Base: baseRange(p, id),
			MemoryAt: r.MemoryAt, MemorySince: r.MemorySince,
			First: r.FirstFor != 0 && r.FirstFor == incarnation,
		}
	}
	return grants, fronts
}

// baseRange returns the numbered range that a hot key belongs to.
func baseRange(p *policy.Policy, id core.RangeID) core.RangeID {
	ranges := p.Services[id.Service].Ranges
	if id.HotKey == 0 || ranges == 0 {
		return core.RangeID{}
	}
	return core.RangeOf(id.Service, id.HotKey, ranges)
}
