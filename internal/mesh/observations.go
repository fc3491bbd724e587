package mesh

import (
	"context"
	"fmt"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/roster"
)

func milliseconds(d time.Duration) uint32 { return uint32(max(0, min(d, time.Hour)).Milliseconds()) }

func observationsToPB(r *loadview.Report) *meshpb.Observations {
	if r == nil {
		return nil
	}
	out := &meshpb.Observations{
		Incarnation: r.Incarnation, Leader: string(r.Leader.VM), LeaderIncarnation: r.Leader.Incarnation, Have: r.Have,
		IntervalMs: milliseconds(r.Interval),
	}
	for _, o := range r.Observations {
		out.Targets = append(out.Targets, &meshpb.TargetObservation{
			Target: string(o.Target), StartedAt: o.StartedAt, Slots: uint32(o.Slots),
			Demand: uint32(o.Demand), Sent: uint32(o.Sent), TurnedAway: uint32(o.TurnedAway), Samples: uint32(o.Samples),
			ServiceMs: float32(o.ServiceTime) / float32(time.Millisecond), Limit: float32(o.Limit), Load: loadToPB(o.Load),
		})
	}
	return out
}

func observationsFromPB(vm string, p *meshpb.Observations) loadview.Report {
	r := loadview.Report{
		VM: core.VM(vm), Incarnation: p.Incarnation, Have: p.Have, Interval: time.Duration(p.IntervalMs) * time.Millisecond,
		Leader: ownership.Leader{VM: core.VM(p.Leader), Incarnation: p.LeaderIncarnation},
	}
	for _, t := range p.Targets {
		r.Observations = append(r.Observations, loadview.Observation{
			Process: loadview.Process{Target: core.Target(t.Target), StartedAt: t.StartedAt}, Slots: int(t.Slots),
			Demand: int(t.Demand), Sent: int(t.Sent), TurnedAway: int(t.TurnedAway), Samples: int(t.Samples),
			ServiceTime: serviceTimeFromPB(t.ServiceMs), Limit: float64(t.Limit), Load: loadFromPB(t.Load),
		})
	}
	return r
}

// serviceTimeFromPB returns 0 for a value that is no possible duration.
func serviceTimeFromPB(ms float32) time.Duration {
	if !(ms > 0 && ms < float32(time.Hour.Milliseconds())) {
		return 0
	}
	return time.Duration(float64(ms) * float64(time.Millisecond))
}

func loadToPB(l *loadview.Load) *meshpb.ReportedLoad {
	if l == nil {
		return nil
	}
	return &meshpb.ReportedLoad{
		Running: uint32(max(0, l.Running)), Waiting: uint32(max(0, l.Waiting)), Slowdown: float32(l.Slowdown), AgeMs: milliseconds(l.Age),
	}
}

func loadFromPB(p *meshpb.ReportedLoad) *loadview.Load {
	if p == nil {
		return nil
	}
	return &loadview.Load{
		Running: int(p.Running), Waiting: int(p.Waiting), Slowdown: float64(p.Slowdown), Age: time.Duration(p.AgeMs) * time.Millisecond,
	}
}

func digestToPB(d loadview.Digest) *meshpb.Digest {
	out := &meshpb.Digest{
		Leader: string(d.Leader.VM), LeaderIncarnation: d.Leader.Incarnation, Sequence: d.Sequence, Full: d.Full, Admitting: uint32(d.Admitting),
	}
	for _, e := range d.Entries {
		out.Targets = append(out.Targets, &meshpb.TargetDigest{
			Target: string(e.Target), StartedAt: e.StartedAt, Slots: uint32(e.Slots),
			ServiceMs: float32(e.ServiceTime) / float32(time.Millisecond),
			Demand:    float32(e.Demand), TurnedAway: float32(e.TurnedAway), Admit: float32(e.Admit),
			Load: loadToPB(e.Load), Removed: e.Removed,
		})
	}
	return out
}

// digestFromPB returns the digest, without the entries that can't be used.
func digestFromPB(p *meshpb.Digest) *loadview.Digest {
	if p == nil {
		return nil
	}
	d := &loadview.Digest{
		Leader:   ownership.Leader{VM: core.VM(p.Leader), Incarnation: p.LeaderIncarnation},
		Sequence: p.Sequence, Full: p.Full, Admitting: int(p.Admitting),
	}
	for _, t := range p.Targets {
		e := loadview.Entry{
			Process: loadview.Process{Target: core.Target(t.Target), StartedAt: t.StartedAt}, Slots: int(t.Slots),
			ServiceTime: serviceTimeFromPB(t.ServiceMs), Demand: float64(t.Demand), TurnedAway: float64(t.TurnedAway), Admit: float64(t.Admit),
			Load: loadFromPB(t.Load), Removed: t.Removed,
		}
		if e, ok := e.Bounded(); ok {
			d.Entries = append(d.Entries, e)
		}
	}
	return d
}

// digest passes a VM's observations to the aggregator and returns its digest, or nil
// if there is none in time.
func (s *Server) digest(ctx context.Context, req *meshpb.LoadReport) *meshpb.Digest {
	if req.Observations == nil || s.loadview == nil {
		return nil
	}
	report := observationsFromPB(req.Vm, req.Observations)
	reply := make(chan loadview.Digest, 1)
	report.Reply = reply
	if !s.loadview.TryPut(report) {
		return nil
	}
	select {
	case d := <-reply:
		return digestToPB(d)
	case <-ctx.Done():
		return nil
	}
}

// Observe sends observations to the leader between two load reports, with the targets
// of which the VM knows that they are unreachable. It returns the leader's digest, or
// nil if the receiver has none.
func (c *Client) Observe(ctx context.Context, to roster.Member, vm core.VM, r loadview.Report, unreachable []core.Target) (*loadview.Digest, error) {
	req := &meshpb.LoadReport{Vm: string(vm), Observations: observationsToPB(&r), Partial: true}
	for _, t := range unreachable {
		req.Unreachable = append(req.Unreachable, string(t))
	}
	reply, err := rpc(c.calls, to).Report(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("mesh: observations to %s: %w", to.VM, err)
	}
	return digestFromPB(reply.Digest), nil
}
