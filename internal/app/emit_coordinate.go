package app

import (
	"context"
	"fmt"

	"celeryhook.example/celeryhook/internal/coordinate"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/route"
)

func (p *Process) emitCoordinator(ctx context.Context, o coordinate.Output) {
	switch o := o.(type) {
	case coordinate.Append:
		p.submit(ctx, p.logPool.Submit, func(ctx context.Context) { p.appendRecord(ctx, o.Record) })
	case coordinate.Publish:
		p.publish(ctx, o)
	case coordinate.SendPromiseRequest:
		p.submit(ctx, p.peerPool.Submit, func(ctx context.Context) { p.sendPromiseRequest(ctx, o) })
	case coordinate.SendPromiseReply:
		o.To <- o.Reply
	case coordinate.Inspect:
		p.submit(ctx, p.targetPool.Submit, func(ctx context.Context) { p.sendInspect(ctx, o) })
	case coordinate.SendReportReply:
		o.To <- o.Reply
	case coordinate.SendStatus:
		o.To <- o.Status
	case coordinate.RoleChanged:
		p.log.Info("role changed", "holding", o.Holding, "term", o.Term, "rank", o.Rank)
	}
}

func (p *Process) publish(ctx context.Context, o coordinate.Publish) {
	p.log.V(1).Info("map published", "version", o.Map.Version.String())
	_ = p.routes.Put(ctx, route.MapChanged{Map: o.Map})
	for _, to := range o.To {
		p.submit(ctx, p.peerPool.Submit, func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
			defer cancel()
			_ = p.peers.Publish(ctx, to.Address, o.Map)
		})
	}
}

func (p *Process) sendPromiseRequest(ctx context.Context, o coordinate.SendPromiseRequest) {
	done := coordinate.PromiseDone{From: o.To.VM, Request: o.Request, Sent: p.clock()}
	call, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	var err error
	if done.Reply, err = p.peers.Promise(call, o.To.Address, o.Request); err == nil {
		_ = p.coordinator.Put(ctx, done)
	}
}

func (p *Process) sendInspect(ctx context.Context, o coordinate.Inspect) {
	done := coordinate.InspectDone{Target: o.Target, Order: o.Order}
	call, cancel := context.WithTimeout(ctx, grant.OrderTimeout)
	defer cancel()
	reply, err := p.targets.Order(call, o.Address, o.Order)
	done.Reply, done.OK = reply, err == nil
	_ = p.coordinator.Put(ctx, done)
}

// decidePromise passes a request for a promise to the coordinate duty and
// returns its reply.
func (p *Process) decidePromise(ctx context.Context, request coordinate.PromiseRequest) (coordinate.PromiseReply, error) {
	reply := make(chan coordinate.PromiseReply, 1)
	if err := p.coordinator.Put(ctx, coordinate.PromiseRequested{Request: request, Reply: reply}); err != nil {
		return coordinate.PromiseReply{}, err
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return coordinate.PromiseReply{}, fmt.Errorf("app: promise: %w", ctx.Err())
	}
}

// receiveReport passes a report to the coordinate duty and returns its reply.
func (p *Process) receiveReport(ctx context.Context, r grant.Report) (grant.ReportReply, error) {
	reply := make(chan grant.ReportReply, 1)
	if err := p.coordinator.Put(ctx, coordinate.ReportReceived{Report: r, Reply: reply}); err != nil {
		return grant.ReportReply{}, err
	}
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
		return grant.ReportReply{}, fmt.Errorf("app: report: %w", ctx.Err())
	}
}

func (p *Process) appendRecord(ctx context.Context, r platformlog.Record) {
	data, err := r.Encode()
	if err != nil {
		p.log.Error(err, "failed to encode record")
		return
	}
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	offset, err := p.platform.Append(call, data)
	if err != nil {
		p.log.V(1).Info("append failed", "kind", r.Kind, "reason", err.Error())
	}
	_ = p.coordinator.Put(ctx, coordinate.AppendDone{ID: r.ID, OK: err == nil, Offset: offset})
}
