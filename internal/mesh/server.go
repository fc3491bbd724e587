package mesh

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/team"
)

// maxSyncWait is the longest time for which a Sync is held.
const maxSyncWait = 2 * time.Second

// Server serves the RPCs of the other VMs.
type Server struct {
	clock    duty.Clock
	replica  *ring.Ring[replica.Message]
	assigner *ring.Ring[ownership.Message]
	renewer  *ring.Ring[ownership.Message]
	suspects *ring.Ring[quarantine.Message]
	store    replica.Store
	// loadview is nil if observations aren't aggregated.
	loadview *ring.Ring[loadview.Message]
	// account is nil if ServeQuotas was not called.
	account *ring.Ring[team.Message]
}

// NewServer returns a server that passes requests to the duties over their rings
// and appends to the store.
func NewServer(
	clock duty.Clock, r *ring.Ring[replica.Message], assigner, renewer *ring.Ring[ownership.Message],
	suspects *ring.Ring[quarantine.Message], store replica.Store,
) *Server {
	return &Server{clock: clock, replica: r, assigner: assigner, renewer: renewer, suspects: suspects, store: store}
}

// WithLoadView sets the ring of the aggregator for observations and returns the server.
func (s *Server) WithLoadView(r *ring.Ring[loadview.Message]) *Server {
	s.loadview = r
	return s
}

// NewHandler returns the HTTP handler of a server, which bounds requests.
func NewHandler(s *Server) http.Handler {
	return http.MaxBytesHandler(meshpb.NewMeshServer(s), maxMessageBytes)
}

// Sync implements meshpb.Mesh.
func (s *Server) Sync(ctx context.Context, req *meshpb.SyncRequest) (*meshpb.SyncReply, error) {
	have := make([]replica.Position, 0, len(req.Have))
	for _, p := range req.Have {
		if p.Stream >= uint32(replica.NumStreams) {
			return nil, twirp.InvalidArgumentError("have", "unknown stream")
		}
		have = append(have, replica.Position{Stream: replica.Stream(p.Stream), Next: p.Next})
	}
	reply := make(chan replica.SyncReply, 1)
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxSyncWait)
	if err := s.replica.PutBlocking(ctx, replica.SyncRequest{Have: have, Until: s.clock().Add(wait), Reply: reply}); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	select {
	case r := <-reply:
		return s.syncReply(r), nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, ctx.Err().Error())
	}
}

func (s *Server) syncReply(r replica.SyncReply) *meshpb.SyncReply {
	now := s.clock()
	out := &meshpb.SyncReply{Direct: r.Direct}
	for _, b := range r.Batches {
		state := &meshpb.StreamState{Stream: uint32(b.Stream), End: b.Next, AgeMs: now.Sub(b.AsOf).Milliseconds()}
		for _, r := range b.Records {
			state.Records = append(state.Records, &meshpb.Record{Key: r.Key, Value: r.Value, Offset: r.Offset, Deleted: r.Deleted})
		}
		out.Streams = append(out.Streams, state)
	}
	return out
}

// Report implements meshpb.Mesh.
func (s *Server) Report(ctx context.Context, req *meshpb.LoadReport) (*meshpb.ReportReply, error) {
	load := ownership.LoadReport{
		VM:          core.VM(req.Vm),
		UnitLoads:   make(map[core.Service]map[int]float64),
		ServiceTime: make(map[core.Target]time.Duration),
		Partial:     req.Partial,
	}
	for _, sv := range req.Services {
		units := make(map[int]float64, len(sv.Units))
		for _, u := range sv.Units {
			units[int(u.Unit)] = float64(u.PerSecond)
		}
		load.UnitLoads[core.Service(sv.Service)] = units
	}
	for _, t := range req.Targets {
		load.ServiceTime[core.Target(t.Target)] = time.Duration(t.ServiceMs * float32(time.Millisecond))
	}
	for _, t := range req.Unreachable {
		load.Unreachable = append(load.Unreachable, core.Target(t))
	}
	if len(load.UnitLoads)+len(load.ServiceTime)+len(load.Unreachable) > 0 {
		if err := s.assigner.PutBlocking(ctx, load); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
	}
	digest := s.digest(ctx, req)
	if req.Partial {
		return &meshpb.ReportReply{Digest: digest}, nil
	}
	reply, err := s.reportEvidence(ctx, req)
	if err == nil {
		reply.Digest = digest
	}
	return reply, err
}

// reportEvidence handles the part of a report on requests that crash targets.
func (s *Server) reportEvidence(ctx context.Context, req *meshpb.LoadReport) (*meshpb.ReportReply, error) {
	evidence := evidenceFromPB(req.Evidence)
	if !req.Compare {
		if err := s.suspects.PutBlocking(ctx, quarantine.EvidenceReceived{Evidence: evidence}); err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		return &meshpb.ReportReply{}, nil
	}
	reply := make(chan quarantine.CompareReply, 1)
	if err := s.suspects.PutBlocking(ctx, quarantine.Compare{Digest: req.EvidenceDigest, Evidence: evidence, Reply: reply}); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	select {
	case r := <-reply:
		return &meshpb.ReportReply{Evidence: evidenceToPB(r.Evidence), Different: r.Different}, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, ctx.Err().Error())
	}
}

// maxSettleQuestions bounds the questions of a Settle. A leader asks for the holders
// of one deployment that don't respond.
const maxSettleQuestions = 4096

// Settle implements meshpb.Mesh.
func (s *Server) Settle(ctx context.Context, req *meshpb.SettleRequest) (*meshpb.SettleReply, error) {
	if len(req.More) >= maxSettleQuestions {
		return nil, twirp.InvalidArgumentError("more", "too many questions")
	}
	reply, err := s.settle(ctx, req)
	if err != nil {
		return nil, err
	}
	for _, q := range req.More {
		r, err := s.settle(ctx, q)
		if err != nil {
			return nil, err
		}
		reply.More = append(reply.More, r)
	}
	return reply, nil
}

// settle answers one question.
func (s *Server) settle(ctx context.Context, req *meshpb.SettleRequest) (*meshpb.SettleReply, error) {
	reply := make(chan ownership.GrantQueryReply, 1)
	if err := s.renewer.PutBlocking(ctx, ownership.GrantQuery{Target: core.Target(req.Target), Offset: req.Offset, Reply: reply}); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	select {
	case r := <-reply:
		return &meshpb.SettleReply{Applied: r.Applied, RemainingMs: r.Remaining.Milliseconds(), Same: r.NothingNewer}, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, ctx.Err().Error())
	}
}

// Append implements meshpb.Mesh.
func (s *Server) Append(ctx context.Context, req *meshpb.AppendRequest) (*meshpb.AppendReply, error) {
	if req.Stream >= uint32(replica.NumStreams) {
		return nil, twirp.InvalidArgumentError("stream", "unknown stream")
	}
	records := make([]replica.Record, 0, len(req.Records))
	for _, r := range req.Records {
		records = append(records, replica.Record{Key: r.Key, Value: r.Value, Deleted: r.Deleted})
	}
	offset, err := s.store.Append(ctx, replica.Stream(req.Stream), req.At, records)
	switch {
	case errors.Is(err, replica.ErrConflict):
		return &meshpb.AppendReply{Conflict: true}, nil
	case err != nil:
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &meshpb.AppendReply{Offset: offset}, nil
}
