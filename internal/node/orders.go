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
	// maxOrderDelay bounds how long a grant waits for a worker. What decided it
	// may not hold later.
	maxOrderDelay = 200 * time.Millisecond
	// releaseTimeout leaves the work on the keys time to end.
	releaseTimeout = 1200 * time.Millisecond
)

func firstKey(unit int) uint16 { return uint16(unit * ownership.KeysPerUnit) }
func lastKey(unit int) uint16  { return uint16((unit+1)*ownership.KeysPerUnit - 1) }

func (n *Process) release(ctx context.Context, o ownership.Release) {
	result := ownership.Released{Move: o.Move, Outcome: ownership.ReleaseUnknown}
	err := n.orders.Submit(ctx, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		handover, err := n.platform.Release(call, o.Holder, firstKey(o.From), lastKey(o.To), o.Token)
		switch {
		case err == nil:
			result.Outcome, result.Handover = ownership.ReleaseConfirmed, handover
		case errors.Is(err, ErrOtherProcess):
			result.Outcome = ownership.ReleaseHolderExited
		default:
			n.metrics.Count("releases_failed")
		}
		_ = n.assignerRing.Put(ctx, result)
	})
	if err != nil {
		n.assignerRing.TryPut(result)
	}
}

func (n *Process) grant(ctx context.Context, o ownership.Grant) {
	// The renewer must know before the grant is sent.
	_ = n.keeperRing.Put(ctx, ownership.GrantSent{Target: o.Holder.Target})
	result := ownership.Granted{Move: o.Move}
	decided := n.clock()
	err := n.orders.Submit(ctx, func(ctx context.Context) {
		if n.clock().Sub(decided) > maxOrderDelay {
			_ = n.assignerRing.Put(ctx, result)
			return
		}
		if restarted, err := n.restarted(ctx, o.Holder); restarted || err != nil {
			_ = n.assignerRing.Put(ctx, result)
			return
		}
		call, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()
		granted, err := n.platform.Grant(call, o.Holder, firstKey(o.From), lastKey(o.To), o.Token, ownership.GrantDuration, o.Handover)
		result.OK = err == nil && granted
		if err != nil {
			n.metrics.Count("grants_failed")
		}
		_ = n.keeperRing.Put(ctx, ownership.GrantSent{Target: o.Holder.Target})
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
		for _, row := range o.Ranges {
			if result.Restarted || result.Err != nil {
				break
			}
			if n.clock().Sub(result.Started) > maxOrderDelay {
				break // the rest is due again
			}
			call, cancel := context.WithTimeout(ctx, grantTimeout)
			granted, err := n.platform.Grant(call, o.Holder, firstKey(row.From), lastKey(row.To), row.Token, ownership.GrantDuration, "")
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
		_ = n.keeperRing.Put(ctx, result)
	})
	if err != nil {
		result.Err = ring.ErrFull
		n.keeperRing.TryPut(result)
	}
}

// registeredMargin is how much longer than by its registration a target may be
// cold without having been started again. It covers rounding and the way of the
// health check; registrations arrive late, which makes their cold time longer.
const registeredMargin = 250 * time.Millisecond

// verifiedTime is for how long a health check speaks for a target's process. It
// is shorter than any restart.
const verifiedTime = 200 * time.Millisecond

// restarted reports whether a target is cold for longer than the known process
// has registered.
func (n *Process) restarted(ctx context.Context, h ownership.Holder) (bool, error) {
	table := n.routes.Table()
	targets := n.targets.Load()
	if table == nil || targets == nil || targets.Targets[h.Target] == nil {
		return false, nil // the directory has nothing to ask with; renewing is all that can be done
	}
	known := targets.Targets[h.Target]
	service, _ := table.Service(known.Service)
	if at, ok := n.verified.Load(h); ok && n.clock().Sub(at.(core.Instant)) < verifiedTime {
		return false, nil
	}
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	n.metrics.Count("probes")
	asked := n.clock()
	a, err := n.client.Health(call, h.Address, service.HealthPath)
	if err != nil {
		return false, err
	}
	cold := n.platform.Headers().ParseColdTime(a.Header)
	if cold > 0 && n.clock().Add(cold).Sub(known.RegisteredColdUntil) > registeredMargin {
		return true, nil
	}
	n.verified.Store(h, asked)
	return false, nil
}

// forgetVerified drops the health checks that no longer speak for a process.
func (n *Process) forgetVerified() {
	now := n.clock()
	n.verified.Range(func(holder, at any) bool {
		if now.Sub(at.(core.Instant)) >= verifiedTime {
			n.verified.Delete(holder)
		}
		return true
	})
}
