package node

import (
	"context"
	"errors"
	"time"

	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
)

const (
	// appendTimeout bounds an append; a slow store takes about 500 ms.
	appendTimeout = 1500 * time.Millisecond
	// ownAppendTimeout is the part of it for this VM's own call, and
	// peerAppendTimeout the part for each VM that appends on its behalf.
	ownAppendTimeout  = 900 * time.Millisecond
	peerAppendTimeout = 400 * time.Millisecond
	// maxAppendPeers is how many other VMs are tried: those of other failure
	// domains first, as a whole domain may be partitioned from the store.
	maxAppendPeers = 2
)

func (n *Process) writeMember(ctx context.Context, m roster.Member) {
	value, err := m.Encode()
	if err != nil {
		n.log.Error(err, "member record not written")
		return
	}
	err = n.appends.Submit(ctx, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		if _, err := n.append(ctx, replica.Members, -1, []replica.Record{{Key: string(m.VM), Value: value}}); err != nil {
			n.metrics.Count("appends_failed", "members")
			n.log.Info("member record not written", "reason", err.Error())
			n.rosterRing.TryPut(roster.WriteFailed{})
		}
	})
	if err != nil {
		n.rosterRing.TryPut(roster.WriteFailed{})
	}
}

// append writes to the store, through other VMs if this one's call fails. If a
// conditional append took effect although its response was lost, the next
// attempt returns replica.ErrConflict.
func (n *Process) append(ctx context.Context, s replica.Stream, at int64, records []replica.Record) (int64, error) {
	ownCtx, cancel := context.WithTimeout(ctx, ownAppendTimeout)
	defer cancel()
	offset, err := n.platform.Append(ownCtx, s, at, records)
	if err == nil || errors.Is(err, replica.ErrConflict) {
		return offset, err
	}
	for _, peer := range n.appendPeers() {
		n.metrics.Count("appends_carried")
		callCtx, cancel := context.WithTimeout(ctx, peerAppendTimeout)
		offset, peerErr := peer.Append(callCtx, s, at, records)
		cancel()
		if peerErr == nil || errors.Is(peerErr, replica.ErrConflict) {
			return offset, peerErr
		}
	}
	return 0, err
}

func (n *Process) appendOwners(ctx context.Context, a ownership.Append) {
	err := n.appends.Submit(ctx, func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		startedAt := n.clock()
		offset, err := n.append(callCtx, replica.Owners, a.At, a.Records)
		if err == nil {
			// The stream ended at a.At, so these are all records up to here.
			b := replica.Batch{Stream: replica.Owners, Next: offset + int64(len(a.Records)), AsOf: startedAt, Source: "append"}
			for i, r := range a.Records {
				r.Offset = offset + int64(i)
				b.Records = append(b.Records, r)
			}
			_ = n.replicaRing.PutBlocking(ctx, replica.Fetched{Batch: b})
		} else {
			n.metrics.Count("appends_failed", "owners")
		}
		_ = n.assignerRing.Put(ctx, ownership.Appended{Next: offset + int64(len(a.Records)), Err: err})
	})
	if err != nil {
		n.assignerRing.TryPut(ownership.Appended{Err: ring.ErrFull})
	}
}
