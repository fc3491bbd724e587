package node

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/team"
)

const (
	// askTimeout bounds a call to the account of the teams. Permits that arrive later
	// have nearly expired.
	askTimeout = 250 * time.Millisecond
	// accountWait is how long after its start a VM waits for the account before it is
	// ready without.
	accountWait = 15 * time.Second
)

// quotaClient passes messages of callers' requests to the quota duty.
type quotaClient struct{ n *Process }

// Take implements ingress.Quota.
func (q *quotaClient) Take(ctx context.Context, t *team.Team, version int64, until core.Instant) (team.Verdict, error) {
	reply := make(chan team.Verdict, 1)
	if err := q.n.holderRing.PutBlocking(ctx, team.Take{Team: t, Version: version, Until: until, Reply: reply}); err != nil {
		return team.Verdict{}, err
	}
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		go q.cancelTake(reply)
		return team.Verdict{}, ctx.Err()
	}
}

// cancelTake returns the permit of a request that has ended before it got it.
func (q *quotaClient) cancelTake(reply <-chan team.Verdict) {
	t := time.NewTimer(cancelTimeout)
	defer t.Stop()
	select {
	case v := <-reply:
		if v.Outcome == team.Admitted {
			q.GiveBack(v.Permit)
		}
	case <-t.C:
	}
}

// GiveBack implements ingress.Quota.
func (q *quotaClient) GiveBack(p team.Permit) {
	if p.Limited() {
		_ = q.n.holderRing.Put(context.Background(), team.GiveBack{Permit: p})
	}
}

// Count implements ingress.Quota.
func (q *quotaClient) Count(t *team.Team, o team.Outcome) { q.n.usage.Count(t.Name, o) }

func (n *Process) emitHolder(ctx context.Context, o team.Output) {
	switch o := o.(type) {
	case team.TakeReply:
		o.To <- o.Verdict
	case team.AccountReached:
		n.accountReached.Store(true)
	case team.Ask:
		n.ask(ctx, o)
	}
}

func (n *Process) emitAccount(ctx context.Context, o team.Output) {
	switch o := o.(type) {
	case team.SendReply:
		o.To <- o.Reply
	case team.Event:
		n.log.Info(o.Text, o.Fields...)
	case team.CheckQuorum:
		n.checkQuorum(ctx, ownership.CheckQuorum{Next: o.Next, Members: o.Members}, func(ctx context.Context, r ownership.QuorumResult) {
			_ = n.accountRing.Put(ctx, team.QuorumResult{Started: r.Started, Agreeing: r.Agreeing, Newer: r.Newer, Next: o.Next})
		})
	}
}

// ask calls the account of the teams, which is on the VM that leads.
func (n *Process) ask(ctx context.Context, o team.Ask) {
	n.metrics.Count("quota_calls")
	err := n.quotas.Submit(ctx, func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		done := team.AskDone{Seq: o.Seq}
		var err error
		if done.Reply, err = n.callAccount(callCtx, o); err != nil {
			n.metrics.Count("quota_calls_failed")
			done.Failed = true
		}
		_ = n.holderRing.Put(ctx, done)
	})
	if err != nil {
		n.holderRing.TryPut(team.AskDone{Seq: o.Seq, Failed: true})
	}
}

func (n *Process) callAccount(ctx context.Context, o team.Ask) (team.AskReply, error) {
	closed := team.AskReply{Closed: true}
	view, members := n.owners.Load(), n.members.Load()
	if view == nil || members == nil {
		return closed, nil
	}
	if view.Leader.VM != n.self.VM {
		leader, ok := members.Member(view.Leader.VM)
		if !ok {
			return closed, nil
		}
		return n.mesh.Quota(ctx, leader, o.Items, o.VMs)
	}
	reply := make(chan team.AskReply, 1)
	if err := n.accountRing.PutBlocking(ctx, team.Ask{Items: o.Items, VMs: o.VMs, Reply: reply}); err != nil {
		return closed, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return closed, context.Cause(ctx)
	}
}

// leadership returns what a ledger says of the leader.
func (n *Process) leadership(view *ownership.View, asOf core.Instant) team.LedgerRead {
	self := ownership.Leader{VM: n.self.VM, Incarnation: n.self.Incarnation}
	return team.LedgerRead{
		Leading: view.InForce() && view.Leader == self, NoLeader: view.InForce() && view.Leader == ownership.Leader{}, Next: view.Next,
		Era: replica.Era(view.StreamEnd), AsOf: asOf,
	}
}

// configAge returns the time since the configuration was known to be the newest.
func (n *Process) configAge() time.Duration { return n.clock().Sub(core.Instant(n.configAsOf.Load())) }

// awaitsAccount reports whether the VM, which has just started, has yet to reach the
// account of the teams.
func (n *Process) awaitsAccount(table *routing.Table) bool {
	if n.wasReady.Load() || n.accountReached.Load() || n.clock().Sub(n.startedAt) > accountWait {
		return false
	}
	for _, t := range table.Teams().Teams() {
		if t.Rate > 0 {
			return true
		}
	}
	return false
}
