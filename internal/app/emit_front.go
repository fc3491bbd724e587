package app

import (
	"context"

	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/grant"
)

func (p *Process) emitFront(ctx context.Context, o front.Output) {
	switch o := o.(type) {
	case front.SendRememberRequest:
		p.submitRemember(ctx, o)
	case front.SendRecallRequest:
		p.submitRecall(ctx, o)
	case front.SendRecallReply:
		o.To <- o.Reply
	case front.Report:
		p.postLoad(ctx, o.Load)
	case front.SendDecision:
		o.To <- o.Decision
	case front.Drained:
		_ = p.grants.Put(ctx, grant.Drained{Target: o.Target, Ranges: o.Ranges})
	}
}
