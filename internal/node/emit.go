package node

import (
	"context"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/team"
)

// Messages flow from the replica through discovery, roster and ledger to the
// renewer, the assigner and the balancer. A message in the opposite direction
// is sent with TryPut and dropped if the ring is full, so that two duties never
// block each other.

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
	case replica.EraChanged:
		n.eraChanged(ctx, o)
	case replica.Changed:
		n.readers[o.Stream].Advance(o.Next)
		n.follower.Advance(o.Stream, o.Next)
		n.applyChange(ctx, o)
	}
}

// eraChanged records that the store has lost the newest records of a stream. What
// this VM wrote to Members is written again at once; the assigner restores Owners,
// and operators and targets write their own records again.
func (n *Process) eraChanged(ctx context.Context, e replica.EraChanged) {
	n.metrics.Count("store_losses", e.Stream.String())
	n.log.Info("store restored from an older copy", "stream", e.Stream.String(),
		"era_before", replica.Era(e.Before), "end_before", replica.Index(e.Before),
		"era", replica.Era(e.After), "end", replica.Index(e.After), "source", e.Source)
	if e.Stream == replica.Members {
		_ = n.rosterRing.Put(ctx, roster.RecordsLost{})
	}
}

func (n *Process) applyChange(ctx context.Context, c replica.Changed) {
	// A change of any stream shows that the store is reachable.
	_ = n.discoveryRing.Put(ctx, discovery.DirectoryRead{AsOf: c.AsOf})
	switch c.Stream {
	case replica.Config:
		for _, r := range c.Records {
			n.applyOperatorRecord(ctx, r, c)
		}
		n.configAsOf.Store(max(n.configAsOf.Load(), int64(c.AsOf)))
		_ = n.holderRing.Put(ctx, team.ConfigRead{AsOf: c.AsOf})
	case replica.Targets:
		_ = n.renewerRing.Put(ctx, ownership.DirectoryRead{AsOf: c.AsOf})
		for _, r := range c.Records {
			n.applyTargetRecord(ctx, r)
		}
		_ = n.discoveryRing.Put(ctx, discovery.RegistrationsRead{AsOf: c.AsOf})
	case replica.Owners:
		n.applyOwnerRecords(ctx, c)
	case replica.Members:
		n.membersAsOf.Store(int64(c.AsOf))
		for _, r := range c.Records {
			n.applyMemberRecord(ctx, r)
		}
		_ = n.accountRing.Put(ctx, team.MembersRead{AsOf: c.AsOf})
	}
}

func (n *Process) applyOperatorRecord(ctx context.Context, r replica.Record, c replica.Changed) {
	config, evacuation, err := n.platform.DecodeConfig(r)
	switch {
	case err != nil:
		n.metrics.Count("records_refused", "config")
		n.log.Error(err, "operator record rejected", "offset", r.Offset)
	case evacuation != nil:
		_ = n.discoveryRing.Put(ctx, discovery.EvacuationChanged{FailureDomain: evacuation.FailureDomain, Evacuated: evacuation.Evacuated})
	case !n.routes.Apply(*config):
		n.log.Info("older configuration ignored", "version", config.Version, "offset", r.Offset)
	default:
		n.publishConfig(ctx, config.Version, r.Offset, c)
	}
}

// publishConfig sends the services of a new configuration to the duties.
func (n *Process) publishConfig(ctx context.Context, version, offset int64, c replica.Changed) {
	n.metrics.Count("configurations")
	n.log.Info("configuration in force", "version", version, "offset", offset, "source", c.Source, "age_ms", n.clock().Sub(c.AsOf).Milliseconds())
	services := n.routes.Table().Services()
	coldStarts := make(map[core.Service]time.Duration, len(services))
	for name, s := range services {
		coldStarts[name] = s.ColdStart
	}
	_ = n.discoveryRing.Put(ctx, discovery.ColdStartsChanged{Durations: coldStarts})
	_ = n.balanceRing.Put(ctx, balance.ServicesChanged{Services: services})
	_ = n.assignerRing.Put(ctx, ownership.ServicesChanged{Services: services})
	teams := team.ConfigChanged{Version: version, Teams: n.routes.Table().Teams().Teams()}
	_ = n.holderRing.Put(ctx, teams)
	_ = n.accountRing.Put(ctx, teams)
}

func (n *Process) applyTargetRecord(ctx context.Context, r replica.Record) {
	if r.Deleted {
		_ = n.discoveryRing.Put(ctx, discovery.Removed{Target: core.Target(r.Key)})
		return
	}
	registration, err := n.platform.DecodeTarget(r)
	if err != nil {
		// An invalid registration must not leave the previous one in use.
		n.metrics.Count("records_refused", "target")
		n.log.Error(err, "registration rejected", "offset", r.Offset)
		_ = n.discoveryRing.Put(ctx, discovery.Removed{Target: core.Target(r.Key)})
		return
	}
	_ = n.discoveryRing.Put(ctx, discovery.Registered{Registration: registration})
}

func (n *Process) applyOwnerRecords(ctx context.Context, c replica.Changed) {
	if err := n.ledger.Apply(c.Records, c.Next); err != nil {
		n.metrics.Count("records_refused", "owner")
		n.log.Error(err, "ledger record rejected", "ledger_end", c.Next)
	}
	view := n.ledger.View()
	n.owners.Store(view)
	m := ownership.LedgerChanged{View: view, AsOf: c.AsOf, LeaderWrote: len(c.Records) > 0 && view.InForce()}
	_ = n.renewerRing.Put(ctx, m)
	_ = n.assignerRing.Put(ctx, m)
	_ = n.accountRing.Put(ctx, n.leadership(view, c.AsOf))
	if len(c.Records) > 0 {
		_ = n.exchange.ring.Put(ctx, loadview.LeaderChanged{Leader: view.Leader})
		_ = n.balanceRing.Put(ctx, balance.OwnersChanged{View: view})
	}
}

func (n *Process) applyMemberRecord(ctx context.Context, r replica.Record) {
	if r.Deleted {
		_ = n.rosterRing.Put(ctx, roster.RecordDeleted{VM: core.VM(r.Key)})
		return
	}
	m, err := roster.Decode(r.Value)
	if err != nil {
		n.metrics.Count("records_refused", "member")
		n.log.Error(err, "member record rejected", "offset", r.Offset)
		return
	}
	_ = n.rosterRing.Put(ctx, roster.RecordRead{Member: m})
}

func (n *Process) emitDiscovery(ctx context.Context, o discovery.Output) {
	switch o := o.(type) {
	case discovery.Event:
		n.log.Info(o.Text, o.Fields...)
	case discovery.ViewUpdated:
		n.reportEnded(n.targets.Swap(o.View), o.View)
		_ = n.balanceRing.Put(ctx, balance.TargetsChanged{View: o.View})
		_ = n.assignerRing.Put(ctx, ownership.TargetsChanged{View: o.View})
		_ = n.renewerRing.Put(ctx, ownership.TargetsChanged{View: o.View})
	}
}

func (n *Process) emitRoster(ctx context.Context, o roster.Output) {
	switch o := o.(type) {
	case roster.WriteRecord:
		n.writeMember(ctx, o.Member)
	case roster.ViewUpdated:
		n.members.Store(o.View)
		vms := make([]core.VM, 0, o.View.Size())
		for _, m := range o.View.All() {
			vms = append(vms, m.VM)
		}
		rank := o.View.CapacityRank(readerKey, n.self.FailureDomain)
		reader := rank == 0
		n.log.Info("members of the deployment", "count", len(vms), "vms", vms, "reader", reader)
		n.replicaRing.TryPut(replica.Elected{Reader: reader, Deputy: rank <= readerDeputies})
		_ = n.balanceRing.Put(ctx, balance.MembersChanged{View: o.View})
		_ = n.assignerRing.Put(ctx, ownership.MembersChanged{View: o.View})
		_ = n.renewerRing.Put(ctx, ownership.MembersChanged{View: o.View})
		_ = n.quarantineRing.Put(ctx, quarantine.MembersChanged{View: o.View})
		_ = n.holderRing.Put(ctx, team.MembersChanged{View: o.View})
		_ = n.accountRing.Put(ctx, team.MembersChanged{View: o.View})
	}
}

func (n *Process) emitBalance(ctx context.Context, o balance.Output) {
	switch o := o.(type) {
	case balance.DecisionReply:
		o.To <- o.Decision
	case balance.LoadReportReply:
		o.To <- o.Load
	case balance.ObservationsReply:
		o.To <- o.Observations
	case balance.Event:
		n.log.Info(o.Text, o.Fields...)
	case balance.TargetUnreachable:
		n.assignerRing.TryPut(ownership.Unreachable{Target: o.Target})
		n.quarantineRing.TryPut(quarantine.ProcessEnded{Process: quarantine.Process{Target: o.Target, StartedAt: o.StartedAt}})
	case balance.TargetLeaving:
		n.discoveryRing.TryPut(discovery.LeavingReported{Target: o.Target, StartedAt: o.StartedAt})
	case balance.MalformedAnnouncement:
		n.metrics.Count("announcements_malformed")
		n.log.Info("announcement of a target can't be read", "target", o.Target, "service", o.Service)
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
		n.queryGrantExpiry(ctx, o)
	case ownership.CheckQuorum:
		n.checkQuorum(ctx, o, n.quorumTo(n.assignerRing))
	}
}

func (n *Process) emitRenewer(ctx context.Context, o ownership.Output) {
	switch o := o.(type) {
	case ownership.Event:
		n.log.Info(o.Text, o.Fields...)
	case ownership.SendReply:
		o.To <- o.Reply
	case ownership.CheckQuorum:
		n.checkQuorum(ctx, o, n.quorumTo(n.renewerRing))
	case ownership.Renew:
		n.renew(ctx, o)
	}
}
