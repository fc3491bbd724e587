package app

import (
	"context"
	"errors"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/target"
)

func (p *Process) emitGrant(ctx context.Context, o grant.Output) {
	switch o := o.(type) {
	case grant.SendOrder:
		p.submit(ctx, p.targetPool.Submit, func(ctx context.Context) { p.sendOrder(ctx, o) })
	case grant.Changed:
		_ = p.fronts.Put(ctx, front.GrantChanged{Target: o.Target, View: o.View})
	case grant.SendReport:
		p.submit(ctx, p.peerPool.Submit, func(ctx context.Context) { p.sendReport(ctx, o) })
	case grant.SendStatus:
		o.To <- o.Status
	case grant.TargetLost:
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
	_ = p.grants.PutBlocking(context.WithoutCancel(ctx), done)
}

// sendReport sends a report to the holder, which may be this VM.
func (p *Process) sendReport(ctx context.Context, o grant.SendReport) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	done := grant.ReportDone{Sent: p.clock()}
	var err error
	if o.Holder == p.settings.VM {
		done.Reply, err = p.receiveReport(ctx, o.Report)
	} else {
		done.Reply, err = p.peers.Report(ctx, o.Address, o.Report)
	}
	if err == nil {
		_ = p.grants.Put(ctx, done)
	}
}

// postLoad passes a front's measurement of a target's load to the grant duty,
// which sends it to the holder with the next report.
func (p *Process) postLoad(ctx context.Context, load core.TargetLoad) {
	_ = p.grants.Put(ctx, grant.LoadMeasured{Load: load})
}
