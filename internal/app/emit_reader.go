package app

import (
	"context"

	"celeryhook.example/celeryhook/internal/coordinate"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/route"
)

func (p *Process) emitReader(ctx context.Context, o platformlog.Output) {
	switch o := o.(type) {
	case platformlog.Read:
		p.submit(ctx, p.logPool.Submit, func(ctx context.Context) { p.readLog(ctx, o) })
	case platformlog.StateChanged:
		p.postLogState(ctx, o)
	case platformlog.CaughtUp:
		_ = p.coordinator.Put(ctx, coordinate.LogFresh{ReadStartedAt: o.ReadStartedAt})
	case platformlog.AppendSnapshot:
		p.submit(ctx, p.logPool.Submit, func(ctx context.Context) { p.appendSnapshot(ctx, o.Record) })
	case platformlog.Skipped:
		p.log.V(1).Info("log record skipped", "offset", o.Offset, "reason", o.Err.Error())
	case platformlog.GapFound:
		p.metrics.Count("log", "gaps")
		p.log.Info("log records expired before they were read", "wanted", o.Wanted, "first", o.First)
	case platformlog.GapClosed:
		p.log.Info("state restored from a snapshot of the log", "offset", o.Offset)
	}
}

func (p *Process) submit(ctx context.Context, enqueue func(context.Context, func(context.Context)) error, task func(context.Context)) {
	if err := enqueue(ctx, task); err != nil {
		p.log.V(1).Info("task rejected", "reason", err.Error())
	}
}

func (p *Process) readLog(ctx context.Context, r platformlog.Read) {
	startedAt := p.clock()
	call, cancel := context.WithTimeout(ctx, r.Wait+rpcTimeout)
	defer cancel()
	page, err := p.platform.Read(call, r.From, r.Limit, r.Wait)
	if err != nil {
		// The context of the call may have expired, and the reader waits for the
		// result, so it is posted under the outer context.
		_ = p.reader.Put(ctx, platformlog.ReadFailed{Err: err})
		return
	}
	_ = p.reader.Put(ctx, platformlog.PageRead{StartedAt: startedAt, From: r.From, Limit: r.Limit, Page: page})
}

// appendSnapshot appends a snapshot to the log. If it fails, the reader requests
// it again.
func (p *Process) appendSnapshot(ctx context.Context, r platformlog.Record) {
	data, err := r.Encode()
	if err != nil {
		p.log.Error(err, "failed to encode snapshot")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	result := "appended"
	if _, err := p.platform.Append(ctx, data); err != nil {
		result = "failed"
	}
	p.metrics.Count("log", "snapshots", result)
}

func (p *Process) postLogState(ctx context.Context, c platformlog.StateChanged) {
	if c.Policy == nil {
		return
	}
	_ = p.coordinator.Put(ctx, coordinate.LogChanged{LogState: c.State, Policy: c.Policy})
	_ = p.routes.Put(ctx, route.PolicyChanged{Policy: c.Policy, LogState: c.State})
}
