package app

import (
	"context"

	"celeryhook.example/celeryhook/internal/coordinate"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/route"
)

// receiveMap passes a range map to the duties that use it.
func (p *Process) receiveMap(ctx context.Context, m *core.RangeMap) error {
	if err := p.coordinator.PutBlocking(ctx, coordinate.MapReceived{Map: m}); err != nil {
		return err
	}
	return p.routes.PutBlocking(ctx, route.MapChanged{Map: m})
}
