package node

import (
	"context"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
)

// loadExchange is this VM's end of the exchange of observations with the leader.
type loadExchange struct {
	ring *ring.Ring[loadview.Message]
	// reported is set if the last report had observations. One without follows, so
	// that the leader knows that there are none.
	reported bool
	// unreachable is the list of the last report.
	unreachable []core.Target
	// Metrics of the last digest.
	digestAt  *atomic.Int64
	admitting *atomic.Int64
}

// loadControlled reports whether load control is on for any service.
func (n *Process) loadControlled() bool {
	table := n.routes.Table()
	if table == nil {
		return false
	}
	for _, s := range table.Services() {
		if s.LoadControl {
			return true
		}
	}
	return false
}

// exchangeInterval returns the time between two reports to the leader.
func (n *Process) exchangeInterval() time.Duration {
	members := n.members.Load()
	if members == nil || !n.loadControlled() {
		return reportInterval
	}
	return loadview.ReportInterval(members.Size())
}

// runReports sends the load reports and, with load control, observations in between.
func (n *Process) runReports(ctx context.Context) {
	interval := reportInterval
	t := time.NewTicker(interval)
	defer t.Stop()
	var sinceFull time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		// The intervals divide reportInterval, but for rounding.
		if sinceFull += interval; sinceFull >= reportInterval-time.Millisecond {
			sinceFull = 0
			n.report(ctx)
		} else {
			n.reportObservations(ctx)
		}
		if d := n.exchangeInterval(); d != interval {
			interval, sinceFull = d, 0
			t.Reset(interval)
		}
	}
}

// observations returns this VM's observations since the last call, or false without
// load control.
func (n *Process) observations(ctx context.Context) (balance.Observations, bool) {
	if !n.loadControlled() {
		return balance.Observations{}, false
	}
	reply := make(chan balance.Observations, 1)
	if n.balanceRing.Put(ctx, balance.ObservationsRequest{Reply: reply}) != nil {
		return balance.Observations{}, false
	}
	select {
	case o := <-reply:
		o.Report.VM, o.Report.Incarnation = n.self.VM, n.self.Incarnation
		return o, true
	case <-ctx.Done():
		return balance.Observations{}, false
	}
}

// reportObservations sends what is new since the last report, if anything is.
func (n *Process) reportObservations(ctx context.Context) {
	to, isSelf, known := n.leader()
	if !known {
		return
	}
	o, ok := n.observations(ctx)
	if !ok {
		return
	}
	observed := len(o.Report.Observations) > 0
	if !observed && !n.exchange.reported && !newlyUnreachable(n.exchange.unreachable, o.Unreachable) {
		return
	}
	n.exchange.reported, n.exchange.unreachable = observed, o.Unreachable
	asOf := n.clock()
	if isSelf {
		if len(o.Unreachable) > 0 {
			_ = n.assignerRing.Put(ctx, ownership.LoadReport{VM: n.self.VM, Unreachable: o.Unreachable, Partial: true})
		}
		n.aggregateOwn(ctx, asOf, o.Report)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	digest, err := n.mesh.Observe(callCtx, to, n.self.VM, o.Report, o.Unreachable)
	if err != nil {
		n.metrics.Count("observations_failed")
		return
	}
	n.takeDigest(ctx, asOf, digest)
}

// newlyUnreachable reports whether a list has a target that the former one lacks.
func newlyUnreachable(former, list []core.Target) bool {
	known := make(map[core.Target]bool, len(former))
	for _, t := range former {
		known[t] = true
	}
	for _, t := range list {
		if !known[t] {
			return true
		}
	}
	return false
}

// leader returns the member that is the leader, and whether it is this VM.
func (n *Process) leader() (to roster.Member, isSelf, ok bool) {
	owners, members := n.owners.Load(), n.members.Load()
	if owners == nil || members == nil {
		return roster.Member{}, false, false
	}
	if owners.Leader.VM == n.self.VM {
		return roster.Member{}, true, true
	}
	to, ok = members.Member(owners.Leader.VM)
	return to, false, ok
}

// aggregateOwn passes the leader's own observations to its aggregator.
func (n *Process) aggregateOwn(ctx context.Context, asOf core.Instant, r loadview.Report) {
	reply := make(chan loadview.Digest, 1)
	r.Reply = reply
	if n.exchange.ring.Put(ctx, r) != nil {
		return
	}
	select {
	case d := <-reply:
		n.takeDigest(ctx, asOf, &d)
	case <-ctx.Done():
	}
}

// takeDigest passes a digest on. Sequence 0 means that the sender isn't the leader
// according to its own copy of the ledger.
func (n *Process) takeDigest(ctx context.Context, asOf core.Instant, d *loadview.Digest) {
	if d == nil || d.Sequence == 0 {
		return
	}
	n.exchange.digestAt.Store(int64(asOf))
	n.exchange.admitting.Store(int64(d.Admitting))
	_ = n.balanceRing.Put(ctx, balance.DigestChanged{Digest: *d, AsOf: asOf})
}

func (n *Process) emitLoadView(_ context.Context, o loadview.Output) {
	switch o := o.(type) {
	case loadview.Event:
		n.log.Info(o.Text, o.Fields...)
	case loadview.SendReply:
		o.To <- o.Digest
	}
}

// newLoadExchange registers the metrics: the age of the last digest in milliseconds,
// -1 if there is none, and the targets under admission according to it.
func (n *Process) newLoadExchange() loadExchange {
	x := loadExchange{
		ring: ring.New[loadview.Message]("loadview", stateRingSize, ring.Block), digestAt: new(atomic.Int64), admitting: new(atomic.Int64),
	}
	n.metrics.Ring(x.ring)
	n.metrics.Gauge(func() int64 {
		if at := x.digestAt.Load(); at != 0 {
			return n.clock().Sub(core.Instant(at)).Milliseconds()
		}
		return -1
	}, "loadview", "digest_age_ms")
	n.metrics.Gauge(func() int64 {
		if n.clock().Sub(core.Instant(x.digestAt.Load())) >= loadview.EntryTTL {
			return 0
		}
		return x.admitting.Load()
	}, "loadview", "targets_under_admission")
	return x
}
