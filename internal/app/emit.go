package app

import (
	"context"
	"errors"

	"github.com/google/uuid"

	"celeryhook.example/celeryhook/internal/coordinate"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/policy"
	"celeryhook.example/celeryhook/internal/route"
	"celeryhook.example/celeryhook/internal/target"
)

func (p *Process) emitReader(ctx context.Context, o platformlog.Output) {
	switch o := o.(type) {
	case platformlog.Read:
		p.submit(ctx, p.logPool.Submit, func(ctx context.Context) { p.readLog(ctx, o) })
	case platformlog.Changed:
		p.logChanged(ctx, o.Folded)
	case platformlog.Fresh:
		_ = p.coordinator.Put(ctx, coordinate.LogFresh{Began: o.Began})
	case platformlog.Skipped:
		p.log.Info("log record skipped", "offset", o.Offset, "reason", o.Err.Error())
	case platformlog.Gap:
		p.log.Info("log records expired before they were read", "wanted", o.Wanted, "first", o.First)
	}
}

func (p *Process) submit(ctx context.Context, to func(context.Context, func(context.Context)) error, task func(context.Context)) {
	if err := to(ctx, task); err != nil {
		p.log.V(1).Info("task refused", "reason", err.Error())
	}
}

func (p *Process) readLog(ctx context.Context, r platformlog.Read) {
	began := p.clock()
	ctx, cancel := context.WithTimeout(ctx, r.Wait+rpcTimeout)
	defer cancel()
	page, err := p.platform.Read(ctx, r.From, r.Limit, r.Wait)
	if err != nil {
		_ = p.reader.Put(ctx, platformlog.ReadFailed{Err: err})
		return
	}
	_ = p.reader.Put(ctx, platformlog.PageRead{Began: began, Page: page})
}

func (p *Process) logChanged(ctx context.Context, f platformlog.Folded) {
	if f.PolicyVersion == 0 {
		return
	}
	parsed, err := policy.Parse([]byte(f.Document))
	if err != nil {
		p.log.Error(err, "policy in force can't be read", "version", f.PolicyVersion)
		return
	}
	_ = p.coordinator.Put(ctx, coordinate.LogChanged{Folded: f, Policy: parsed})
	_ = p.routes.Put(ctx, route.PolicyChanged{Policy: parsed, Folded: f})
}

func (p *Process) emitMembership(ctx context.Context, o membership.Output) {
	switch o := o.(type) {
	case membership.Send:
		p.submit(ctx, p.peerPool.Submit, func(ctx context.Context) { p.heartbeat(ctx, o) })
	case membership.List:
		p.submit(ctx, p.logPool.Submit, p.listVMs)
	case membership.Reply:
		o.To <- o.Info
	case membership.Changed:
		addresses := make(map[core.VM]string, len(o.View.Members))
		for id, m := range o.View.Members {
			addresses[id] = m.Address
		}
		_ = p.coordinator.Put(ctx, coordinate.ViewChanged{View: o.View})
		_ = p.routes.Put(ctx, route.AddressesChanged{Addresses: addresses})
	case membership.Behind:
		p.submit(ctx, p.peerPool.Submit, func(ctx context.Context) { p.fetch(ctx, o) })
	}
}

func (p *Process) listVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	vms, err := p.platform.VMs(ctx)
	if err != nil {
		return
	}
	listed := make([]membership.Info, len(vms))
	for i, vm := range vms {
		listed[i] = membership.Info{VM: vm.ID, FailureDomain: vm.FailureDomain, Address: vm.Address, Leaving: vm.Leaving, Capacity: 1}
	}
	_ = p.members.Put(ctx, membership.Listed{VMs: listed})
}

func (p *Process) heartbeat(ctx context.Context, o membership.Send) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	info, err := p.peers.Exchange(ctx, o.Address, o.Info)
	if err != nil {
		_ = p.members.Put(ctx, membership.Silent{VM: o.VM})
		return
	}
	_ = p.members.Put(ctx, membership.Heard{Info: info})
}

func (p *Process) fetch(ctx context.Context, o membership.Behind) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	fetched, err := p.peers.Fetch(ctx, o.Address, o.Self.LogOffset, o.Self.Maps)
	if err != nil {
		return
	}
	if fetched.Folded != nil {
		_ = p.reader.Put(ctx, platformlog.PeerState{Folded: *fetched.Folded})
	}
	for _, m := range fetched.Maps {
		_ = p.mapHeard(ctx, m)
	}
}

// mapHeard hands a map to the duties that use maps.
func (p *Process) mapHeard(ctx context.Context, m *core.RangeMap) error {
	if m.FailureDomain == p.settings.FailureDomain {
		if err := p.coordinator.Wait(ctx, coordinate.MapHeard{Map: m}); err != nil {
			return err
		}
	}
	return p.routes.Wait(ctx, route.MapChanged{Map: m})
}

func (p *Process) emitCoordinator(ctx context.Context, o coordinate.Output) {
	switch o := o.(type) {
	case coordinate.Append:
		p.submit(ctx, p.logPool.Submit, func(ctx context.Context) { p.appendRecord(ctx, o.Record) })
	case coordinate.Publish:
		p.log.Info("map published", "version", o.Map.Version.String())
		_ = p.routes.Put(ctx, route.MapChanged{Map: o.Map})
		for _, to := range o.To {
			p.submit(ctx, p.peerPool.Submit, func(ctx context.Context) {
				ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
				defer cancel()
				_ = p.peers.Publish(ctx, to.Address, o.Map)
			})
		}
	}
}

func (p *Process) appendRecord(ctx context.Context, r platformlog.Record) {
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	data, err := r.Encode()
	if err != nil {
		p.log.Error(err, "record can't be encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := p.platform.Append(ctx, data); err != nil {
		p.log.V(1).Info("append failed", "kind", r.Kind, "reason", err.Error())
	}
}

func (p *Process) emitGrant(ctx context.Context, o grant.Output) {
	switch o := o.(type) {
	case grant.SendOrder:
		p.submit(ctx, p.targetPool.Submit, func(ctx context.Context) { p.sendOrder(ctx, o) })
	case grant.Changed:
		_ = p.fronts.Put(ctx, front.GrantChanged{Target: o.Target, View: o.View})
	case grant.Lost:
		p.log.Info("target lost", "target", o.Target, "token", o.Token.String())
	case grant.Superseded:
		p.log.Info("grant superseded", "target", o.Target, "token", o.Token.String())
	}
}

func (p *Process) sendOrder(ctx context.Context, o grant.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, grant.OrderTimeout)
	defer cancel()
	done := grant.OrderDone{Target: o.Target, Order: o.Order, Sent: p.clock()}
	done.Reply, done.Err = p.targets.Order(ctx, o.Address, o.Order)
	done.Received = p.clock()
	done.NotSent = errors.Is(done.Err, target.ErrNotSent)
	_ = p.grants.Wait(context.WithoutCancel(ctx), done)
}

func (p *Process) emitFront(ctx context.Context, o front.Output) {
	switch o := o.(type) {
	case front.Answer:
		o.To <- o.Decision
	case front.Drained:
		_ = p.grants.Put(ctx, grant.Drained{Target: o.Target, Ranges: o.Ranges})
	}
}

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
			_ = p.grants.Put(ctx, grant.Assigned{Targets: grants})
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
		grants[id] = grant.Assignment{Address: t.Address, Token: a.Token}
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
