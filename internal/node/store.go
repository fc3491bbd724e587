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
	// appendTimeout bounds an append; a slow store takes some 500 ms.
	appendTimeout = 1500 * time.Millisecond
	// ownAppendTimeout is the part of it for this VM's own call, and carryTimeout
	// the part for each VM that carries it.
	ownAppendTimeout = 900 * time.Millisecond
	carryTimeout     = 400 * time.Millisecond
	// maxCarriers is how many other VMs are tried: those of other failure domains
	// come first, as a domain may be cut off as a whole.
	maxCarriers = 2
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

// append writes to the store, through another VM if the store turns this one
// away. An append with a condition that had an effect although its answer is
// missing makes the second one a conflict.
func (n *Process) append(ctx context.Context, s replica.Stream, at int64, records []replica.Record) (int64, error) {
	own, cancel := context.WithTimeout(ctx, ownAppendTimeout)
	defer cancel()
	offset, err := n.platform.Append(own, s, at, records)
	if err == nil || errors.Is(err, replica.ErrConflict) {
		return offset, err
	}
	for _, peer := range n.carriers() {
		n.metrics.Count("appends_carried")
		carried, cancel := context.WithTimeout(ctx, carryTimeout)
		offset, e := peer.Append(carried, s, at, records)
		cancel()
		if e == nil || errors.Is(e, replica.ErrConflict) {
			return offset, e
		}
	}
	return 0, err
}

func (n *Process) appendOwners(ctx context.Context, a ownership.Append) {
	err := n.appends.Submit(ctx, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		began := n.clock()
		offset, err := n.append(call, replica.Owners, a.At, a.Records)
		if err == nil {
			// The stream ended at a.At, so these are all records up to here.
			b := replica.Batch{Stream: replica.Owners, Next: offset + int64(len(a.Records)), AsOf: began, Source: "append"}
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
