package mesh

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/twitchtv/twirp"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/mesh/meshpb"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/team"
)

// maxQuotaItems bounds the teams of a Quota.
const maxQuotaItems = 1 << 16

// ServeQuotas passes calls for permits to the account of the teams. Without it they
// are rejected.
func (s *Server) ServeQuotas(account *ring.Ring[team.Message]) *Server {
	s.account = account
	return s
}

// Quota implements meshpb.Mesh.
func (s *Server) Quota(ctx context.Context, req *meshpb.QuotaRequest) (*meshpb.QuotaReply, error) {
	if s.account == nil {
		return nil, twirp.NewError(twirp.Unavailable, "no account")
	}
	if len(req.Items) > maxQuotaItems {
		return nil, twirp.InvalidArgumentError("items", "too many teams")
	}
	reply := make(chan team.AskReply, 1)
	ask := team.Ask{Reply: reply, VMs: int(min(req.Vms, math.MaxInt32))}
	for _, v := range req.Items {
		if !(v.PerSecond >= 0) || !(v.Burst >= 0) || math.IsInf(v.PerSecond+v.Burst, 0) || v.Needed > math.MaxInt32 || v.Extra > math.MaxInt32 {
			return nil, twirp.InvalidArgumentError("items", "quota or number out of range")
		}
		item := team.AskItem{
			Team: v.Team, Version: v.Version, Rate: v.PerSecond, Burst: v.Burst, Needed: int(v.Needed), Extra: int(v.Extra),
		}
		for _, u := range v.Unused {
			item.Returns = append(item.Returns, team.Return{Issue: team.Issue{Term: u.Term, At: core.Instant(u.At)}, Count: int(u.Count)})
		}
		ask.Items = append(ask.Items, item)
	}
	if err := s.account.PutBlocking(ctx, ask); err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	select {
	case r := <-reply:
		out := &meshpb.QuotaReply{Closed: r.Closed}
		for _, v := range r.Items {
			out.Items = append(out.Items, &meshpb.IssuedPermits{
				Count: uint32(v.Count), Term: v.Issue.Term, At: int64(v.Issue.At), RetryAfterUs: v.RetryAfter.Microseconds(),
			})
		}
		return out, nil
	case <-ctx.Done():
		return nil, twirp.NewError(twirp.Canceled, ctx.Err().Error())
	}
}

// Quota asks a member, whose account of the teams is open, for permits.
func (c *Client) Quota(ctx context.Context, to roster.Member, items []team.AskItem, vms int) (team.AskReply, error) {
	req := &meshpb.QuotaRequest{Vms: uint32(vms)}
	for _, v := range items {
		item := &meshpb.QuotaItem{
			Team: v.Team, Version: v.Version, PerSecond: v.Rate, Burst: v.Burst, Needed: uint32(v.Needed), Extra: uint32(v.Extra),
		}
		for _, r := range v.Returns {
			item.Unused = append(item.Unused, &meshpb.UnusedPermits{Term: r.Issue.Term, At: int64(r.Issue.At), Count: uint32(r.Count)})
		}
		req.Items = append(req.Items, item)
	}
	reply, err := rpc(c.calls, to).Quota(ctx, req)
	if err != nil {
		return team.AskReply{}, fmt.Errorf("mesh: quota from %s: %w", to.VM, err)
	}
	out := team.AskReply{Closed: reply.Closed}
	for i, v := range reply.Items {
		if i < len(items) && int64(v.Count) > int64(items[i].Needed)+int64(items[i].Extra) {
			return team.AskReply{}, fmt.Errorf("mesh: quota from %s: more permits than were asked for", to.VM)
		}
		out.Items = append(out.Items, team.Issued{
			Count: int(v.Count), Issue: team.Issue{Term: v.Term, At: core.Instant(v.At)},
			RetryAfter: time.Duration(v.RetryAfterUs) * time.Microsecond,
		})
	}
	return out, nil
}
