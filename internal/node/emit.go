package node

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
)

// Messages flow from the replica over discovery, roster and ledger to renewer,
// assigner and balancer. Where one goes back, it is offered and dropped if the
// ring is full, so that no two duties wait for each other.

func (n *Process) emitReplica(ctx context.Context, o replica.Output) {
	switch o := o.(type) {
	case replica.SetReading:
		for _, r := range n.readers {
			r.SetEnabled(o.On, o.Eager)
		}
		n.log.Info("reading the store", "on", o.On, "for_others", o.Eager)
	case replica.SetFollowing:
		n.follower.SetEnabled(o.On)
		n.log.Info("following other VMs", "on", o.On)
	case replica.SendReply:
		o.To <- o.Reply
	case replica.Changed:
		n.readers[o.Stream].Advance(o.Next)
		n.follower.Advance(o.Stream, o.Next)
		n.changed(ctx, o)
	}
}

func (n *Process) changed(ctx context.Context, c replica.Changed) {
	// Word from any stream shows that the store can be reached.
	_ = n.discoveryRing.Put(ctx, discovery.DirectoryRead{AsOf: c.AsOf})
	switch c.Stream {
	case replica.Config:
		for _, r := range c.Records {
			n.operatorRecord(ctx, r, c)
		}
	case replica.Targets:
		_ = n.keeperRing.Put(ctx, ownership.DirectoryRead{AsOf: c.AsOf})
		for _, r := range c.Records {
			n.targetRecord(ctx, r)
		}
	case replica.Owners:
		n.ownerRecords(ctx, c)
	case replica.Members:
		n.membersAt.Store(int64(c.AsOf))
		for _, r := range c.Records {
			n.memberRecord(ctx, r)
		}
	}
}

func (n *Process) operatorRecord(ctx context.Context, r replica.Record, c replica.Changed) {
	config, evacuation, err := n.platform.DecodeConfig(r)
	switch {
	case err != nil:
		n.metrics.Count("records_refused", "config")
		n.log.Error(err, "operators' record refused", "offset", r.Offset)
	case evacuation != nil:
		_ = n.discoveryRing.Put(ctx, discovery.EvacuationChanged{FailureDomain: evacuation.FailureDomain, Evacuated: evacuation.Out})
	case !n.routes.Apply(*config):
		n.log.Info("older configuration left out", "version", config.Version, "offset", r.Offset)
	default:
		n.configured(ctx, config.Version, r.Offset, c)
	}
}

// configured passes the services of a new configuration on.
func (n *Process) configured(ctx context.Context, version, offset int64, c replica.Changed) {
	n.metrics.Count("configurations")
	n.log.Info("configuration in force", "version", version, "offset", offset, "source", c.Source, "age_ms", n.clock().Sub(c.AsOf).Milliseconds())
	services := n.routes.Table().Services()
	cold := make(map[core.Service]time.Duration, len(services))
	for name, s := range services {
		cold[name] = s.ColdStart
	}
	_ = n.discoveryRing.Put(ctx, discovery.ColdStartsChanged{Durations: cold})
	_ = n.balanceRing.Put(ctx, balance.ServicesChanged{Services: services})
	_ = n.assignerRing.Put(ctx, ownership.ServicesChanged{Services: services})
}

func (n *Process) targetRecord(ctx context.Context, r replica.Record) {
	if r.Deleted {
		_ = n.discoveryRing.Put(ctx, discovery.Removed{Target: core.Target(r.Key)})
		return
	}
	entry, err := n.platform.DecodeTarget(r)
	if err != nil {
		// A registration that can't be read names no target to use.
		n.metrics.Count("records_refused", "target")
		n.log.Error(err, "registration refused", "offset", r.Offset)
		_ = n.discoveryRing.Put(ctx, discovery.Removed{Target: core.Target(r.Key)})
		return
	}
	_ = n.discoveryRing.Put(ctx, discovery.Registered{Registration: entry})
}

func (n *Process) ownerRecords(ctx context.Context, c replica.Changed) {
	if err := n.ledger.Apply(c.Records, c.Next); err != nil {
		n.metrics.Count("records_refused", "owner")
		n.log.Error(err, "ledger record refused", "ledger_end", c.Next)
	}
	view := n.ledger.View()
	n.owners.Store(view)
	m := ownership.LedgerChanged{View: view, AsOf: c.AsOf, LeaderWrote: len(c.Records) > 0}
	_ = n.keeperRing.Put(ctx, m)
	_ = n.assignerRing.Put(ctx, m)
	if len(c.Records) > 0 {
		_ = n.balanceRing.Put(ctx, balance.OwnersChanged{View: view})
	}
}

func (n *Process) memberRecord(ctx context.Context, r replica.Record) {
	if r.Deleted {
		_ = n.rosterRing.Put(ctx, roster.RecordDeleted{VM: core.VM(r.Key)})
		return
	}
	m, err := roster.Decode(r.Value)
	if err != nil {
		n.metrics.Count("records_refused", "member")
		n.log.Error(err, "member record refused", "offset", r.Offset)
		return
	}
	_ = n.rosterRing.Put(ctx, roster.RecordRead{Member: m})
}

func (n *Process) emitDiscovery(ctx context.Context, o discovery.Output) {
	switch o := o.(type) {
	case discovery.Event:
		n.log.Info(o.Text, o.Fields...)
	case discovery.ViewUpdated:
		n.targets.Store(o.View)
		_ = n.balanceRing.Put(ctx, balance.TargetsChanged{View: o.View})
		_ = n.assignerRing.Put(ctx, ownership.TargetsChanged{View: o.View})
		_ = n.keeperRing.Put(ctx, ownership.TargetsChanged{View: o.View})
	}
}

func (n *Process) emitRoster(ctx context.Context, o roster.Output) {
	switch o := o.(type) {
	case roster.WriteRecord:
		n.writeMember(ctx, o.Member)
	case roster.ViewUpdated:
		n.members.Store(o.View)
		names := make([]core.VM, 0, o.View.Size())
		for _, m := range o.View.All() {
			names = append(names, m.VM)
		}
		reader := o.View.CapacityRank(readerKey, n.self.FailureDomain) == 0
		n.log.Info("members of the deployment", "count", len(names), "vms", names, "reader", reader)
		n.replicaRing.TryPut(replica.Elected{Reader: reader})
		_ = n.balanceRing.Put(ctx, balance.MembersChanged{View: o.View})
		_ = n.assignerRing.Put(ctx, ownership.MembersChanged{View: o.View})
		_ = n.keeperRing.Put(ctx, ownership.MembersChanged{View: o.View})
	}
}

func (n *Process) emitBalance(ctx context.Context, o balance.Output) {
	switch o := o.(type) {
	case balance.DecisionReply:
		o.To <- o.Decision
	case balance.LoadReportReply:
		o.To <- o.Load
	case balance.Event:
		n.log.Info(o.Text, o.Fields...)
	case balance.TargetUnreachable:
		n.assignerRing.TryPut(ownership.Unreachable{Target: o.Target})
	case balance.ColdStartReported:
		n.discoveryRing.TryPut(discovery.ColdStartReported{Target: o.Target, Remaining: o.Remaining})
	case balance.Probe:
		n.probe(ctx, o)
	}
}

func (n *Process) emitAssigner(ctx context.Context, o ownership.Output) {
	switch o := o.(type) {
	case ownership.Event:
		n.log.Info(o.Text, o.Fields...)
	case ownership.Append:
		n.appendOwners(ctx, o)
	case ownership.Release:
		n.release(ctx, o)
	case ownership.Grant:
		n.grant(ctx, o)
	case ownership.QueryGrantExpiry:
		n.settle(ctx, o)
	}
}

func (n *Process) emitKeeper(ctx context.Context, o ownership.Output) {
	switch o := o.(type) {
	case ownership.Event:
		n.log.Info(o.Text, o.Fields...)
	case ownership.SendReply:
		o.To <- o.Reply
	case ownership.CheckQuorum:
		n.askQuorum(ctx, o)
	case ownership.Renew:
		n.renew(ctx, o)
	}
}
