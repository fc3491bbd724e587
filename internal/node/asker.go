package node

import (
	"context"
	"net/http"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
)

// probeTimeout bounds a health check; a target answers within a few milliseconds.
const probeTimeout = 400 * time.Millisecond

func (n *Process) probe(ctx context.Context, o balance.Probe) {
	result := balance.ProbeDone{Target: o.Target}
	err := n.probes.Submit(ctx, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		n.metrics.Count("probes")
		if a, err := n.client.Health(call, o.Address, o.Path); err == nil {
			d := n.platform.Headers()
			result.OtherProcess = a.Header.Get(d.Target) != "" && a.Header.Get(d.Target) != string(o.Target)
			result.Healthy = a.Status == http.StatusOK && !result.OtherProcess
			result.Load, result.ColdRemaining = d.ParseLoad(a.Header), d.ParseColdTime(a.Header)
		}
		_ = n.balanceRing.Put(ctx, result)
	})
	if err != nil {
		n.balanceRing.TryPut(result)
	}
}

// asker lets requests talk to the balancer.
type asker struct{ n *Process }

// SelectTarget implements ingress.Balancer.
func (a *asker) SelectTarget(ctx context.Context, q balance.SelectTarget) (balance.Decision, error) {
	reply := make(chan balance.Decision, 1)
	q.Reply = reply
	if err := a.n.balanceRing.PutBlocking(ctx, q); err != nil {
		return balance.Decision{}, err
	}
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
		// The decision may be to send; its place at the target is given back.
		go a.giveBack(q, reply)
		return balance.Decision{}, ctx.Err()
	}
}

// giveBackTime bounds the wait for a decision that nobody wants any more.
const giveBackTime = 5 * time.Second

func (a *asker) giveBack(q balance.SelectTarget, reply <-chan balance.Decision) {
	t := time.NewTimer(giveBackTime)
	defer t.Stop()
	select {
	case d := <-reply:
		if d.Verdict == balance.Send {
			a.Done(balance.AttemptDone{Service: q.Service, Target: d.Target.ID, Result: balance.Cancelled})
		}
	case <-t.C:
	}
}

// Done implements ingress.Balancer.
func (a *asker) Done(d balance.AttemptDone) {
	_ = a.n.balanceRing.Put(context.Background(), d)
}

// NotOwner implements ingress.Balancer.
func (a *asker) NotOwner(s core.Service, key uint16, t core.Target) {
	a.n.keeperRing.TryPut(ownership.GrantMissing{Service: s, Unit: ownership.Unit(key), Target: t})
}
