package app

import (
	"context"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/route"
)

func (p *Process) emitRoute(ctx context.Context, o route.Output) {
	switch o := o.(type) {
	case route.Answer:
		o.To <- o.Decision
	case route.AnswerHeld:
		o.To <- o.Held
	case route.Changed:
		_ = p.members.Put(ctx, membership.Versions{LogOffset: o.LogOffset, Maps: o.Maps})
		if o.Policy == nil {
			return
		}
		p.acceptor.Apply(o.Policy)
		if o.Own != nil {
			grants, fronts := assignments(p.settings.VM, o.Policy, o.Own)
			_ = p.grants.Put(ctx, grant.Assigned{Holder: o.Own.Holder, Version: o.Own.Version, Targets: grants})
			_ = p.fronts.Put(ctx, front.Assigned{Targets: fronts})
		}
	}
}

// assignments picks out of a map what concerns one VM's targets.
func assignments(vm core.VM, p *policy.Policy, m *core.RangeMap) (map[core.Target]grant.Assignment, map[core.Target]front.Assignment) {
	grants := make(map[core.Target]grant.Assignment)
	fronts := make(map[core.Target]front.Assignment)
	for id, a := range m.Targets {
		t, ok := p.Targets[id]
		if !ok || a.Front != vm {
			continue
		}
		grants[id] = grant.Assignment{
			Address: t.Address, Token: a.Token, Incarnation: a.Incarnation,
			Yield: p.Services[t.Service].Isolation == policy.IsolationYield,
		}
		fronts[id] = front.Assignment{Slots: t.Slots}
	}
	for id, r := range m.Ranges {
		g, ok := grants[r.Target]
		if !ok {
			continue
		}
		f := fronts[r.Target]
		switch r.State {
		case core.RangeServing:
			g.Ranges = append(g.Ranges, id)
			f.Serving = append(f.Serving, id)
		case core.RangeMoving:
			g.Moving = append(g.Moving, id)
			f.Moving = append(f.Moving, id)
		}
		grants[r.Target], fronts[r.Target] = g, f
	}
	return grants, fronts
}
