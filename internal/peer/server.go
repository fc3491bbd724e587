package peer

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"celeryhook.example/celeryhook/internal/coordinate"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/forward"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/peer/peerpb"
	"celeryhook.example/celeryhook/internal/target"
	"celeryhook.example/celeryhook/internal/witness"
)

// Handlers implement the RPCs other than Forward.
type Handlers struct {
	// Exchange receives a heartbeat and returns that of this VM.
	Exchange func(context.Context, membership.Info) (membership.Info, error)
	// Publish receives a range map.
	Publish func(context.Context, *core.RangeMap) error
	// Fetch returns the state that is newer than the versions given, with the
	// state of the log as JSON.
	Fetch func(context.Context, uint64, map[core.FailureDomain]core.Token) ([]byte, []*core.RangeMap, error)
	// Remember stores the request ids of another VM's front.
	Remember func(context.Context, witness.Batch) (witness.RememberReply, error)
	// Recall returns the request ids that this VM stores as a front and as a
	// witness.
	Recall func(context.Context, witness.RecallRequest) (witness.RecallReply, error)
	// Promise decides on a request for a promise.
	Promise func(context.Context, coordinate.PromiseRequest) (coordinate.PromiseReply, error)
	// Report receives a report of a VM's fronts.
	Report func(context.Context, grant.Report) (grant.ReportReply, error)
}

// Server implements the RPCs for other VMs.
type Server struct {
	handlers Handlers
	local    *forward.Local
	clock    duty.Clock
	tracer   trace.Tracer
}

// NewServer returns a server; register it with peerpb.NewPeerServer.
func NewServer(h Handlers, local *forward.Local, clock duty.Clock, tracer trace.Tracer) *Server {
	return &Server{handlers: h, local: local, clock: clock, tracer: tracer}
}

// Exchange implements peerpb.Peer.
func (s *Server) Exchange(ctx context.Context, h *peerpb.Heartbeat) (*peerpb.Heartbeat, error) {
	info, err := s.handlers.Exchange(ctx, infoFromPB(h))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return infoToPB(info), nil
}

// Publish implements peerpb.Peer.
func (s *Server) Publish(ctx context.Context, m *peerpb.RangeMap) (*peerpb.PublishReply, error) {
	if err := s.handlers.Publish(ctx, mapFromPB(m)); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerpb.PublishReply{Version: m.GetVersion()}, nil
}

// Fetch implements peerpb.Peer.
func (s *Server) Fetch(ctx context.Context, r *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	logState, maps, err := s.handlers.Fetch(ctx, r.GetLogOffset(), mapVersionsFromPB(r.GetMaps()))
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	reply := &peerpb.FetchReply{Folded: logState}
	for _, m := range maps {
		reply.Maps = append(reply.Maps, mapToPB(m))
	}
	return reply, nil
}

// Forward implements peerpb.Peer.
func (s *Server) Forward(ctx context.Context, r *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": r.GetTraceParent()})
	class, err := core.ParseClass(r.GetClass())
	if err != nil {
		return nil, twirp.InvalidArgumentError("class", err.Error())
	}
	if r.GetBodyLength() != uint64(len(r.GetBody())) {
		return nil, twirp.InvalidArgumentError("body", "its length differs from body_length")
	}
	call := forward.Call{
		Request: core.Request{
			ID:         core.RequestID(r.GetRequestId()),
			Attempt:    r.GetAttempt(),
			Flow:       r.GetFlow(),
			Service:    core.Service(r.GetService()),
			Branch:     core.Branch(r.GetBranch()),
			Class:      class,
			Idempotent: r.GetIdempotent(),
			Range:      rangeFromPB(r.GetRange()),
			KeyHash:    r.GetKeyHash(),
			Caller:     r.GetCaller(),
			Deadline:   s.clock().Add(time.Duration(r.GetDeadlineLeftMs()) * time.Millisecond),
			Digest:     r.GetDigest(),
		},
		HTTP: target.HTTPRequest{
			Method: r.GetMethod(),
			Path:   r.GetPath(),
			Header: headersFromPB(r.GetHeaders()),
			Body:   r.GetBody(),
		},
		Target: core.Target(r.GetTarget()),
	}
	return resultToPB(call, s.local.Serve(ctx, call)), nil
}

func resultToPB(call forward.Call, result forward.Result) *peerpb.ForwardReply {
	return &peerpb.ForwardReply{
		RequestId:    string(call.Request.ID),
		Attempt:      call.Request.Attempt,
		Outcome:      string(result.Outcome),
		Detail:       result.Detail,
		Status:       uint32(result.Response.Status),
		Headers:      headersToPB(result.Response.Header),
		Body:         result.Response.Body,
		BodyLength:   uint64(len(result.Response.Body)),
		RetryAfterMs: uint64(result.RetryAfter.Milliseconds()),
		Target:       string(result.Target),
	}
}
