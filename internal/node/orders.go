package node

import (
	"context"
	"errors"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/ring"
)

const (
	grantTimeout = 300 * time.Millisecond
	// maxOrderDelay bounds how long a grant waits for a worker, since the state
	// that it was decided on may have changed by then.
	maxOrderDelay = 200 * time.Millisecond
	// releaseTimeout leaves the target time to complete its work on the keys.
	releaseTimeout = 1200 * time.Millisecond
)

func firstKey(unit int) uint16 { return uint16(unit * ownership.KeysPerUnit) }
func lastKey(unit int) uint16  { return uint16((unit+1)*ownership.KeysPerUnit - 1) }

// grantDuration bounds the duration of a grant to what targets accept.
func (n *Process) grantDuration(d time.Duration) time.Duration {
	if n.settings.MaxGrant <= 0 {
		return d
	}
	return min(d, n.settings.MaxGrant)
}

func (n *Process) release(ctx context.Context, o ownership.Release) {
	result := ownership.Released{Move: o.Move, Outcome: ownership.ReleaseUnknown}
	err := n.orders.Submit(ctx, func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		handover, err := n.platform.Release(callCtx, o.Holder, firstKey(o.From), lastKey(o.To), o.Token)
		switch {
		case err == nil:
			result.Outcome, result.Handover = ownership.ReleaseConfirmed, handover
		case errors.Is(err, ErrOtherProcess):
			result.Outcome = ownership.ReleaseHolderExited
		default:
			n.metrics.Count("releases_failed")
			n.log.Info("release not confirmed", "target", o.Holder.Target, "address", o.Holder.Address,
				"service", o.Move.Service, "from_unit", o.From, "to_unit", o.To, "fence", o.Token, "error", err.Error())
		}
		_ = n.assignerRing.Put(ctx, result)
	})
	if err != nil {
		n.assignerRing.TryPut(result)
	}
}

func (n *Process) grant(ctx context.Context, o ownership.Grant) {
	// The renewer must be notified before the grant is sent.
	_ = n.renewerRing.Put(ctx, ownership.GrantSent{Target: o.Holder.Target})
	result := ownership.Granted{Move: o.Move}
	decidedAt := n.clock()
	err := n.orders.Submit(ctx, func(ctx context.Context) {
		if n.clock().Sub(decidedAt) > maxOrderDelay {
			_ = n.assignerRing.Put(ctx, result)
			return
		}
		if restarted, err := n.restarted(ctx, o.Holder); restarted || err != nil {
			_ = n.assignerRing.Put(ctx, result)
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		granted, err := n.platform.Grant(callCtx, o.Holder, firstKey(o.From), lastKey(o.To), o.Token, n.grantDuration(o.Duration), o.Handover)
		result.OK = err == nil && granted
		if err != nil {
			n.metrics.Count("grants_failed")
		}
		_ = n.renewerRing.Put(ctx, ownership.GrantSent{Target: o.Holder.Target})
		_ = n.assignerRing.Put(ctx, result)
	})
	if err != nil {
		n.assignerRing.TryPut(result)
	}
}

func (n *Process) renew(ctx context.Context, o ownership.Renew) {
	result := ownership.Renewed{Holder: o.Holder, Started: n.clock()}
	err := n.orders.Submit(ctx, func(ctx context.Context) {
		if o.Verify {
			result.Restarted, result.Err = n.restarted(ctx, o.Holder)
		}
		for _, unitRange := range o.Ranges {
			if result.Restarted || result.Err != nil {
				break
			}
			if n.clock().Sub(result.Started) > maxOrderDelay {
				break // the remaining ranges are renewed in the next round
			}
			callCtx, cancel := context.WithTimeout(ctx, grantTimeout)
			granted, err := n.platform.Grant(callCtx, o.Holder, firstKey(unitRange.From), lastKey(unitRange.To), unitRange.Token, n.grantDuration(o.Duration), "")
			cancel()
			if err != nil {
				n.metrics.Count("grants_failed")
				result.Err, result.HolderExited = err, errors.Is(err, ErrOtherProcess)
				break
			}
			n.metrics.Count("grants")
			result.Responses++
			if !granted {
				result.Rejections++
			}
		}
		_ = n.renewerRing.Put(ctx, result)
	})
	if err != nil {
		result.Err = ring.ErrFull
		n.renewerRing.TryPut(result)
	}
}

// coldStartMargin is how much later than its registration states the cold start
// of a target may end before it counts as restarted. It covers rounding and the
// latency of the health check. Registrations arrive late, so the cold start
// computed from them ends too late rather than too early.
const coldStartMargin = 250 * time.Millisecond

// verifiedTTL is how long a health check proves that a target's process is the
// known one. It is shorter than any restart.
const verifiedTTL = 200 * time.Millisecond

// restarted reports whether a target's remaining cold start is longer than its
// registration states, which means that the process was restarted.
func (n *Process) restarted(ctx context.Context, h ownership.Holder) (bool, error) {
	table := n.routes.Table()
	targets := n.targets.Load()
	if table == nil || targets == nil || targets.Targets[h.Target] == nil {
		return false, nil // without a registration there is nothing to compare, so the grant is renewed
	}
	registered := targets.Targets[h.Target]
	service, _ := table.Service(registered.Service)
	if at, ok := n.verifiedAt.Load(h); ok && n.clock().Sub(at.(core.Instant)) < verifiedTTL {
		return false, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	n.metrics.Count("probes")
	probedAt := n.clock()
	resp, err := n.client.Health(callCtx, h.Address, service.HealthPath)
	if err != nil {
		return false, err
	}
	coldRemaining := n.platform.Headers().ParseColdTime(resp.Header)
	if coldRemaining > 0 && n.clock().Add(coldRemaining).Sub(registered.RegisteredColdUntil) > coldStartMargin {
		return true, nil
	}
	n.verifiedAt.Store(h, probedAt)
	return false, nil
}

// removeExpiredChecks removes the health checks that are older than verifiedTTL.
func (n *Process) removeExpiredChecks() {
	now := n.clock()
	n.verifiedAt.Range(func(holder, at any) bool {
		if now.Sub(at.(core.Instant)) >= verifiedTTL {
			n.verifiedAt.Delete(holder)
		}
		return true
	})
}
