package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/twitchtv/twirp"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/peer/peerpb"
	"celeryhook.example/celeryhook/internal/witness"
)

// Remember stores a batch of request ids at another VM.
func (c *Client) Remember(ctx context.Context, address string, b witness.Batch) (witness.RememberReply, error) {
	reply, err := c.stub(address).Remember(ctx, &peerpb.RememberRequest{
		Front:             string(b.Front),
		Target:            string(b.Target),
		Token:             tokenToPB(b.Token),
		Requests:          recordsToPB(b.Records),
		Complete:          b.Complete,
		Reset_:            b.Reset,
		RampLimit:         uint32(b.RampLimit),
		TargetIncarnation: b.Incarnation,
	})
	if err != nil {
		return witness.RememberReply{}, fmt.Errorf("%w: %s: remember: %w", ErrUnreachable, address, err)
	}
	return witness.RememberReply{Stored: reply.GetStored(), Complete: reply.GetComplete()}, nil
}

// Recall requests the request ids that another VM stores.
func (c *Client) Recall(ctx context.Context, address string, request witness.RecallRequest) (witness.RecallReply, error) {
	req := &peerpb.RecallRequest{Target: string(request.Target), Since: tokenToPB(request.Since)}
	for _, r := range request.Ranges {
		req.Ranges = append(req.Ranges, rangeToPB(r))
	}
	reply, err := c.stub(address).Recall(ctx, req)
	if err != nil {
		return witness.RecallReply{}, fmt.Errorf("%w: %s: recall: %w", ErrUnreachable, address, err)
	}
	return witness.RecallReply{
		Complete:    reply.GetComplete(),
		Gap:         gapFromPB(reply.GetGap()),
		Records:     recordsFromPB(reply.GetRequests()),
		RampLimit:   int(reply.GetRampLimit()),
		Incarnation: reply.GetTargetIncarnation(),
	}, nil
}

// Remember implements peerpb.Peer.
func (s *Server) Remember(ctx context.Context, r *peerpb.RememberRequest) (*peerpb.RememberReply, error) {
	stored, err := s.handlers.Remember(ctx, witness.Batch{
		Front:       core.VM(r.GetFront()),
		Target:      core.Target(r.GetTarget()),
		Token:       tokenFromPB(r.GetToken()),
		Records:     recordsFromPB(r.GetRequests()),
		Reset:       r.GetReset_(),
		Complete:    r.GetComplete(),
		RampLimit:   int(r.GetRampLimit()),
		Incarnation: r.GetTargetIncarnation(),
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerpb.RememberReply{Stored: stored.Stored, Complete: stored.Complete}, nil
}

// Recall implements peerpb.Peer.
func (s *Server) Recall(ctx context.Context, r *peerpb.RecallRequest) (*peerpb.RecallReply, error) {
	request := witness.RecallRequest{Target: core.Target(r.GetTarget()), Since: tokenFromPB(r.GetSince())}
	for _, id := range r.GetRanges() {
		request.Ranges = append(request.Ranges, rangeFromPB(id))
	}
	reply, err := s.handlers.Recall(ctx, request)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &peerpb.RecallReply{
		Complete:          reply.Complete,
		Gap:               gapToPB(reply.Gap),
		Requests:          recordsToPB(reply.Records),
		RampLimit:         uint32(reply.RampLimit),
		TargetIncarnation: reply.Incarnation,
	}, nil
}

func gapToPB(g *witness.Gap) *peerpb.MemoryGap {
	if g == nil {
		return nil
	}
	return &peerpb.MemoryGap{AgeMs: uint64(g.Age.Milliseconds()), LeftMs: uint64(g.Remaining.Milliseconds()) + 1}
}

func gapFromPB(g *peerpb.MemoryGap) *witness.Gap {
	if g == nil {
		return nil
	}
	return &witness.Gap{
		Age:       time.Duration(g.GetAgeMs()) * time.Millisecond,
		Remaining: time.Duration(g.GetLeftMs()) * time.Millisecond,
	}
}

func recordsToPB(records []witness.Record) []*peerpb.RememberedRequest {
	out := make([]*peerpb.RememberedRequest, len(records))
	for i, r := range records {
		out[i] = &peerpb.RememberedRequest{
			RequestId: string(r.ID),
			Range:     rangeToPB(r.Range),
			Digest:    r.Digest,
			Flow:      r.Flow,
			Attempt:   r.Attempt,
			State:     uint32(r.State),
			AgeMs:     uint64(max(r.Age.Milliseconds(), 0)),
		}
		if r.Response != nil {
			out[i].BodyKept = true
			out[i].Status = uint32(r.Response.Status)
			out[i].Headers = headersToPB(r.Response.Header)
			out[i].Body = r.Response.Body
		}
	}
	return out
}

func recordsFromPB(records []*peerpb.RememberedRequest) []witness.Record {
	out := make([]witness.Record, len(records))
	for i, r := range records {
		out[i] = witness.Record{
			ID:      core.RequestID(r.GetRequestId()),
			Range:   rangeFromPB(r.GetRange()),
			Digest:  r.GetDigest(),
			Flow:    r.GetFlow(),
			Attempt: r.GetAttempt(),
			State:   witness.State(r.GetState()),
			Age:     time.Duration(r.GetAgeMs()) * time.Millisecond,
		}
		if r.GetBodyKept() {
			out[i].Response = &witness.Response{
				Status: int(r.GetStatus()), Header: headersFromPB(r.GetHeaders()), Body: r.GetBody(),
			}
		}
	}
	return out
}
