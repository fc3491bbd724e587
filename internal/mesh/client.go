package mesh

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/transport"
)

const (
	// maxMessageBytes bounds a request and a reply, other than that of Sync. The
	// largest is an append, of which the store takes 2 MiB.
	maxMessageBytes = 4 << 20
	// maxCopyBytes bounds the reply of a Sync, which may hold a copy of all streams.
	// A VM waits for one at a time.
	maxCopyBytes = 16 << 20
)

// Client calls other VMs.
type Client struct {
	clock duty.Clock
	// calls and syncs share their connections.
	calls, syncs *http.Client
}

// NewClient returns a client that reuses its connections.
func NewClient(clock duty.Clock) *Client {
	// A VM has at most one call at a time to most others, and the source that it
	// follows holds a Sync in addition.
	c := transport.NewClient(transport.Options{DialTimeout: 300 * time.Millisecond, IdleTimeout: 10 * time.Second, MaxIdlePerHost: 2})
	return &Client{clock: clock, calls: transport.LimitBodies(c, maxMessageBytes), syncs: transport.LimitBodies(c, maxCopyBytes)}
}

// rpc returns the RPC client of a member.
func rpc(c *http.Client, m roster.Member) meshpb.Mesh {
	return meshpb.NewMeshProtobufClient("http://"+m.Address, c)
}

// Peer implements replica.Peer and appends through another VM.
type Peer struct {
	client *Client
	member roster.Member
}

// Peer returns the Peer of a member.
func (c *Client) Peer(m roster.Member) *Peer { return &Peer{client: c, member: m} }

// Name implements replica.Peer.
func (p *Peer) Name() core.VM { return p.member.VM }

// Sync implements replica.Peer.
func (p *Peer) Sync(ctx context.Context, have []replica.Position, wait time.Duration) (replica.SyncReply, error) {
	req := &meshpb.SyncRequest{WaitMs: uint32(wait.Milliseconds())}
	for _, h := range have {
		req.Have = append(req.Have, &meshpb.Position{Stream: uint32(h.Stream), Next: h.Next})
	}
	startedAt := p.client.clock()
	reply, err := rpc(p.client.syncs, p.member).Sync(ctx, req)
	if err != nil {
		return replica.SyncReply{}, fmt.Errorf("mesh: sync with %s: %w", p.member.VM, err)
	}
	// The peer replies within the wait unless its reply is delayed on the way. The
	// state is then older than the time of arrival suggests.
	asOf := min(p.client.clock(), startedAt.Add(wait))
	out := replica.SyncReply{Direct: reply.Direct}
	for _, s := range reply.Streams {
		if s.Stream >= uint32(replica.NumStreams) {
			return replica.SyncReply{}, fmt.Errorf("mesh: sync with %s: unknown stream %d", p.member.VM, s.Stream)
		}
		b := replica.Batch{Stream: replica.Stream(s.Stream), Next: s.End, AsOf: asOf.Add(-time.Duration(s.AgeMs) * time.Millisecond)}
		for _, r := range s.Records {
			b.Records = append(b.Records, replica.Record{Key: r.Key, Value: r.Value, Offset: r.Offset, Deleted: r.Deleted})
		}
		out.Batches = append(out.Batches, b)
	}
	return out, nil
}

// Report sends a load report to the assigner, and compares this VM's evidence
// against requests that crash targets, which has the given digest, with that of the
// receiver.
func (c *Client) Report(ctx context.Context, to roster.Member, l ownership.LoadReport, evidence []quarantine.Evidence, digest uint64) (quarantine.CompareReply, error) {
	reply, _, err := c.ReportWithObservations(ctx, to, l, evidence, digest, nil)
	return reply, err
}

// ReportWithObservations is Report with observations of the targets, or nil. It also
// returns the leader's digest, which is nil if the receiver has none.
func (c *Client) ReportWithObservations(
	ctx context.Context, to roster.Member, l ownership.LoadReport, evidence []quarantine.Evidence, digest uint64, observations *loadview.Report,
) (quarantine.CompareReply, *loadview.Digest, error) {
	req := &meshpb.LoadReport{
		Vm: string(l.VM), Evidence: evidenceToPB(evidence), EvidenceDigest: digest, Compare: true, Observations: observationsToPB(observations),
	}
	for s, units := range l.UnitLoads {
		sv := &meshpb.ServiceLoad{Service: string(s)}
		for u, rate := range units {
			sv.Units = append(sv.Units, &meshpb.UnitLoad{Unit: uint32(u), PerSecond: float32(rate)})
		}
		req.Services = append(req.Services, sv)
	}
	for t, d := range l.ServiceTime {
		req.Targets = append(req.Targets, &meshpb.TargetSpeed{Target: string(t), ServiceMs: float32(d) / float32(time.Millisecond)})
	}
	for _, t := range l.Unreachable {
		req.Unreachable = append(req.Unreachable, string(t))
	}
	reply, err := rpc(c.calls, to).Report(ctx, req)
	if err != nil {
		return quarantine.CompareReply{}, nil, fmt.Errorf("mesh: report to %s: %w", to.VM, err)
	}
	return quarantine.CompareReply{Evidence: evidenceFromPB(reply.Evidence), Different: reply.Different}, digestFromPB(reply.Digest), nil
}

// SendEvidence sends evidence against requests that crash targets to another VM.
func (c *Client) SendEvidence(ctx context.Context, to roster.Member, evidence []quarantine.Evidence) error {
	if _, err := rpc(c.calls, to).Report(ctx, &meshpb.LoadReport{Evidence: evidenceToPB(evidence)}); err != nil {
		return fmt.Errorf("mesh: evidence to %s: %w", to.VM, err)
	}
	return nil
}

// Append appends to a stream through another VM, for when the store is
// unreachable from this one. The error wraps replica.ErrConflict if at is not the
// end of the stream.
func (p *Peer) Append(ctx context.Context, s replica.Stream, at int64, records []replica.Record) (int64, error) {
	req := &meshpb.AppendRequest{Stream: uint32(s), At: at}
	for _, r := range records {
		req.Records = append(req.Records, &meshpb.Record{Key: r.Key, Value: r.Value, Deleted: r.Deleted})
	}
	reply, err := rpc(p.client.calls, p.member).Append(ctx, req)
	switch {
	case err != nil:
		return 0, fmt.Errorf("mesh: append through %s: %w", p.member.VM, err)
	case reply.Conflict:
		return 0, fmt.Errorf("mesh: append through %s: %w", p.member.VM, replica.ErrConflict)
	}
	return reply.Offset, nil
}

// QueryGrants asks a member until when holders may hold a grant that the member
// renewed. The replies have the order of the questions, of which there is at least
// one. A VM of an earlier version answers only the first.
func (c *Client) QueryGrants(ctx context.Context, to roster.Member, evictions []ownership.Eviction) ([]ownership.GrantQueryReply, error) {
	req := settleRequest(evictions[0])
	for _, e := range evictions[1:] {
		req.More = append(req.More, settleRequest(e))
	}
	reply, err := rpc(c.calls, to).Settle(ctx, req)
	if err != nil {
		return nil, fmt.Errorf("mesh: query grants at %s: %w", to.VM, err)
	}
	if len(reply.More) > len(req.More) {
		return nil, fmt.Errorf("mesh: query grants at %s: %d replies to %d questions", to.VM, 1+len(reply.More), len(evictions))
	}
	out := []ownership.GrantQueryReply{grantQueryReply(reply)}
	for _, r := range reply.More {
		out = append(out, grantQueryReply(r))
	}
	return out, nil
}

func settleRequest(e ownership.Eviction) *meshpb.SettleRequest {
	return &meshpb.SettleRequest{Target: string(e.Holder.Target), Offset: e.Offset}
}

func grantQueryReply(r *meshpb.SettleReply) ownership.GrantQueryReply {
	return ownership.GrantQueryReply{Applied: r.Applied, Remaining: time.Duration(r.RemainingMs) * time.Millisecond, NothingNewer: r.Same}
}
