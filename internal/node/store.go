package node

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
)

// appendTimeout bounds an append; a slow store takes some 500 ms.
const appendTimeout = 1500 * time.Millisecond

func (n *Process) writeMember(ctx context.Context, m roster.Member) {
	value, err := m.Encode()
	if err != nil {
		n.log.Error(err, "member record not written")
		return
	}
	err = n.appends.Submit(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		if _, err := n.platform.Append(ctx, replica.Members, -1, []replica.Record{{Key: string(m.VM), Value: value}}); err != nil {
			n.metrics.Count("appends_failed", "members")
			n.log.Info("member record not written", "reason", err.Error())
			n.rosterRing.Offer(roster.Failed{})
		}
	})
	if err != nil {
		n.rosterRing.Offer(roster.Failed{})
	}
}

func (n *Process) appendOwners(ctx context.Context, a ownership.Append) {
	err := n.appends.Submit(ctx, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		began := n.clock()
		offset, err := n.platform.Append(call, replica.Owners, a.At, a.Records)
		if err == nil {
			// The stream ended at a.At, so these are all records up to here.
			b := replica.Batch{Stream: replica.Owners, Next: offset + int64(len(a.Records)), AsOf: began, Source: "append"}
			for i, r := range a.Records {
				r.Offset = offset + int64(i)
				b.Records = append(b.Records, r)
			}
			_ = n.replicaRing.Wait(ctx, replica.Fetched{Batch: b})
		} else {
			n.metrics.Count("appends_failed", "owners")
		}
		_ = n.assignerRing.Put(ctx, ownership.Appended{Next: offset + int64(len(a.Records)), Err: err})
	})
	if err != nil {
		n.assignerRing.Offer(ownership.Appended{Err: ring.ErrFull})
	}
}
