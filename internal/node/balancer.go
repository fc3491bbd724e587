package node

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
)

// probeTimeout bounds a health check; a target responds within a few
// milliseconds.
const probeTimeout = 400 * time.Millisecond

func (n *Process) probe(ctx context.Context, o balance.Probe) {
	result := balance.ProbeDone{Target: o.Target}
	err := n.probes.Submit(ctx, func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		n.metrics.Count("probes")
		resp, err := n.client.Health(callCtx, o.Address, o.Path)
		result.Refused = errors.Is(err, syscall.ECONNREFUSED)
		if err == nil {
			headers := n.platform.Headers()
			result.OtherProcess = resp.Header.Get(headers.Target) != "" && resp.Header.Get(headers.Target) != string(o.Target)
			result.Healthy = resp.Status == http.StatusOK && !result.OtherProcess
			result.Load, result.ColdRemaining = headers.ParseLoad(resp.Header), headers.ParseColdTime(resp.Header)
		}
		_ = n.balanceRing.Put(ctx, result)
	})
	if err != nil {
		n.balanceRing.TryPut(result)
	}
}

// balancerClient passes messages of callers' requests to the balance duty.
type balancerClient struct{ n *Process }

// SelectTarget implements ingress.Balancer.
func (b *balancerClient) SelectTarget(ctx context.Context, request balance.SelectTarget) (balance.Decision, error) {
	reply := make(chan balance.Decision, 1)
	request.Reply = reply
	if err := b.n.balanceRing.PutBlocking(ctx, request); err != nil {
		return balance.Decision{}, err
	}
	select {
	case d := <-reply:
		return d, nil
	case <-ctx.Done():
		// The decision may be to send, which occupies a slot of the target until
		// AttemptDone.
		go b.cancelDecision(request, reply)
		return balance.Decision{}, ctx.Err()
	}
}

// cancelTimeout bounds the wait for the decision of a cancelled request.
const cancelTimeout = 5 * time.Second

// cancelDecision waits for the decision of a cancelled request and frees the
// slot that it occupies.
func (b *balancerClient) cancelDecision(request balance.SelectTarget, reply <-chan balance.Decision) {
	t := time.NewTimer(cancelTimeout)
	defer t.Stop()
	select {
	case d := <-reply:
		if d.Verdict == balance.Send {
			b.Done(balance.AttemptDone{Service: request.Service, Target: d.Target.ID, Result: balance.Cancelled, Attempt: d.Attempt})
		}
	case <-t.C:
	}
}

// Done implements ingress.Balancer. It blocks while the ring is full.
func (b *balancerClient) Done(d balance.AttemptDone) {
	_ = b.n.balanceRing.Put(context.Background(), d)
}

// NotOwner implements ingress.Balancer.
func (b *balancerClient) NotOwner(s core.Service, key uint16, t core.Target) {
	b.n.renewerRing.TryPut(ownership.GrantMissing{Service: s, Unit: ownership.Unit(key), Target: t})
}
