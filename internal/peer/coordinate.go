package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"celeryhook.example/celeryhook/internal/coordinate"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/peer/peerpb"
)

// Promise requests a promise from another VM.
func (c *Client) Promise(ctx context.Context, address string, request coordinate.PromiseRequest) (coordinate.PromiseReply, error) {
	reply, err := c.stub(address).Promise(ctx, &peerpb.PromiseRequest{
		FailureDomain: string(request.FailureDomain), Term: request.Term, Rank: request.Rank,
		Holder: string(request.Holder), LogOffset: request.Offset,
	})
	if err != nil {
		return coordinate.PromiseReply{}, fmt.Errorf("%w: %s: promise: %w", ErrUnreachable, address, err)
	}
	return coordinate.PromiseReply{Granted: reply.GetGranted(), Term: reply.GetTerm(), Offset: reply.GetLogOffset()}, nil
}

// Report sends a report to a holder.
func (c *Client) Report(ctx context.Context, address string, r grant.Report) (grant.ReportReply, error) {
	reply, err := c.stub(address).Report(ctx, reportToPB(r))
	if err != nil {
		return grant.ReportReply{}, fmt.Errorf("%w: %s: report: %w", ErrUnreachable, address, err)
	}
	return grant.ReportReply{
		Accepted: reply.GetAccepted(), Version: tokenFromPB(reply.GetMapVersion()),
		DomainAuthority: reply.GetDomainAuthority(),
	}, nil
}

// Promise implements peerpb.Peer.
func (s *Server) Promise(ctx context.Context, r *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	reply, err := s.handlers.Promise(ctx, coordinate.PromiseRequest{
		FailureDomain: core.FailureDomain(r.GetFailureDomain()), Term: r.GetTerm(), Rank: r.GetRank(),
		Holder: core.VM(r.GetHolder()), Offset: r.GetLogOffset(),
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerpb.PromiseReply{
		Granted: reply.Granted, Term: reply.Term, Rank: r.GetRank(), Holder: r.GetHolder(), LogOffset: reply.Offset,
	}, nil
}

// Report implements peerpb.Peer.
func (s *Server) Report(ctx context.Context, r *peerpb.FrontReport) (*peerpb.ReportReply, error) {
	reply, err := s.handlers.Report(ctx, reportFromPB(r))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerpb.ReportReply{
		Accepted: reply.Accepted, Term: reply.Version.Term, Rank: reply.Version.Rank,
		MapVersion: tokenToPB(reply.Version), DomainAuthority: reply.DomainAuthority,
	}, nil
}

func reportToPB(r grant.Report) *peerpb.FrontReport {
	out := &peerpb.FrontReport{
		Vm: string(r.VM), FailureDomain: string(r.FailureDomain), Incarnation: r.Incarnation,
		Sequence: r.Sequence, MapVersion: tokenToPB(r.Version),
	}
	for _, t := range r.Targets {
		p := &peerpb.TargetReport{
			Target: string(t.Target), Token: tokenToPB(t.Token), Confirmed: tokenToPB(t.Confirmed),
			State: uint32(t.State), LapseInMs: ceilMilliseconds(t.ExpiresIn), Incarnation: t.Incarnation,
			Superseded: tokenToPB(t.Superseded), InFlight: uint32(max(0, t.InFlight)), Draining: t.Draining,
			Ranges: rangesToPB(t.Ranges),
		}
		if t.Load != nil {
			loadToPB(p, t.Load)
		}
		out.Targets = append(out.Targets, p)
	}
	return out
}

// ceilMilliseconds rounds up, so that a grant isn't reported to end early.
func ceilMilliseconds(d time.Duration) uint64 {
	return uint64(max(0, d+time.Millisecond-1) / time.Millisecond)
}

func loadToPB(p *peerpb.TargetReport, l *core.TargetLoad) {
	p.HasLoad = true
	p.InFlight, p.Queued, p.Limit = uint32(max(0, l.InFlight)), uint32(max(0, l.Queued)), uint32(max(0, l.Limit))
	p.RequestsPerSecond, p.Utilisation = l.RequestsPerSecond, l.Utilisation
	for id, rate := range l.Ranges {
		p.Loads = append(p.Loads, &peerpb.RangeLoad{Range: rangeToPB(id), RequestsPerSecond: rate})
	}
	for _, k := range l.HotKeys {
		p.HotKeys = append(p.HotKeys, &peerpb.HotKey{Service: string(k.Service), KeyHash: k.KeyHash, RequestsPerSecond: k.RequestsPerSecond})
	}
}

func reportFromPB(r *peerpb.FrontReport) grant.Report {
	out := grant.Report{
		VM: core.VM(r.GetVm()), FailureDomain: core.FailureDomain(r.GetFailureDomain()),
		Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), Version: tokenFromPB(r.GetMapVersion()),
	}
	for _, t := range r.GetTargets() {
		report := grant.TargetReport{
			Target: core.Target(t.GetTarget()), Token: tokenFromPB(t.GetToken()), Confirmed: tokenFromPB(t.GetConfirmed()),
			State: grant.State(t.GetState()), ExpiresIn: time.Duration(t.GetLapseInMs()) * time.Millisecond,
			Incarnation: t.GetIncarnation(), Superseded: tokenFromPB(t.GetSuperseded()),
			InFlight: int(t.GetInFlight()), Draining: t.GetDraining(), Ranges: rangesFromPB(t.GetRanges()),
		}
		if t.GetHasLoad() {
			report.Load = loadFromPB(t)
		}
		out.Targets = append(out.Targets, report)
	}
	return out
}

func loadFromPB(t *peerpb.TargetReport) *core.TargetLoad {
	l := &core.TargetLoad{
		Target: core.Target(t.GetTarget()), InFlight: int(t.GetInFlight()), Queued: int(t.GetQueued()),
		Limit: int(t.GetLimit()), RequestsPerSecond: t.GetRequestsPerSecond(), Utilisation: t.GetUtilisation(),
		Draining: t.GetDraining(), Ranges: make(map[core.RangeID]float64, len(t.GetLoads())),
	}
	for _, r := range t.GetLoads() {
		l.Ranges[rangeFromPB(r.GetRange())] = r.GetRequestsPerSecond()
	}
	for _, k := range t.GetHotKeys() {
		l.HotKeys = append(l.HotKeys, core.KeyLoad{
			Service: core.Service(k.GetService()), KeyHash: k.GetKeyHash(), RequestsPerSecond: k.GetRequestsPerSecond(),
		})
	}
	return l
}

func rangesToPB(ids []core.RangeID) []*peerpb.RangeID {
	out := make([]*peerpb.RangeID, len(ids))
	for i, id := range ids {
		out[i] = rangeToPB(id)
	}
	return out
}

func rangesFromPB(ids []*peerpb.RangeID) []core.RangeID {
	out := make([]core.RangeID, len(ids))
	for i, id := range ids {
		out[i] = rangeFromPB(id)
	}
	return out
}
