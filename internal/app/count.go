package app

import (
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/route"
)

func (p *Process) countReaderMessage(m platformlog.Message) {
	if read, ok := m.(platformlog.PageRead); ok {
		p.metrics.Latency(p.clock().Sub(read.StartedAt), "log_read")
	}
}

func (p *Process) countReaderOutput(o platformlog.Output) {
	if skipped, ok := o.(platformlog.Skipped); ok {
		p.metrics.Count("log", "skipped", platformlog.Reason(skipped.Err))
	}
}

func (p *Process) countGrantMessage(m grant.Message) {
	done, ok := m.(grant.OrderDone)
	if !ok {
		return
	}
	result := "accepted"
	switch {
	case done.NotSent:
		result = "not_sent"
	case done.Err != nil:
		result = "no_response"
	case !done.Reply.Accepted:
		result = "rejected"
	}
	p.metrics.Count("orders", string(done.Order.Kind), result)
	p.metrics.Latency(done.Received.Sub(done.Sent), "order", string(done.Order.Kind))
}

func (p *Process) countFrontMessage(m front.Message) {
	switch m := m.(type) {
	case front.Submit:
		if m.Request.Attempt > 1 {
			p.metrics.Count("front", "repeated_attempts")
		}
	case front.Finished:
		p.metrics.Count("front", "finished", string(m.Outcome))
		p.metrics.Latency(m.Latency, "target")
	}
}

func (p *Process) countFrontOutput(o front.Output) {
	sent, ok := o.(front.SendDecision)
	if !ok {
		return
	}
	if sent.Decision.Dispatch != nil {
		p.metrics.Count("front", "dispatched")
		return
	}
	p.metrics.Count("rejections", "front", string(sent.Decision.Outcome))
}

func (p *Process) countRouteMessage(m route.Message) {
	switch m := m.(type) {
	case route.Lookup:
		service := string(m.Request.Service)
		switch {
		case m.Hedge:
			p.metrics.Count("hedges", service, "asked")
		case len(m.Tried) > 0 || m.Last != "":
			p.metrics.Count("retries", service, string(m.Last))
		}
	case route.AttemptDone:
		p.metrics.Count("attempts", string(m.Service), string(m.Outcome))
		p.metrics.Latency(m.Latency, "attempt", string(m.Service))
	}
}

func (p *Process) countRouteOutput(o route.Output) {
	if sent, ok := o.(route.SendDecision); ok && sent.Decision.Outcome != "" && sent.Decision.Outcome != core.OutcomeAnswered {
		p.metrics.Count("rejections", "route", string(sent.Decision.Outcome))
	}
}
