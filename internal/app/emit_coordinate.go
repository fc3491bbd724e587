package app

import (
	"context"

	"github.com/google/uuid"

	"celeryhook.example/celeryhook/internal/coordinate"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/route"
)

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
