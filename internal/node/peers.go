package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/mesh"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
)

const (
	peerTimeout = 400 * time.Millisecond
	// readerKey ranks the VMs of a failure domain for reading the store.
	readerKey = "reader"
	// readerDeputies is how many further VMs of a failure domain read the store
	// while it turns all readers away. More of them would load a store in trouble.
	readerDeputies = 2
)

// maxSources bounds the VMs that are followed in turn. It covers the readers of
// all failure domains.
const maxSources = 8

// source returns the i-th VM to follow, modulo their number, and the number of
// them.
func (n *Process) source(i int) (replica.Peer, int) {
	sources := n.sources()
	if len(sources) == 0 {
		return nil, 0
	}
	return n.mesh.Peer(sources[i%len(sources)]), len(sources)
}

// appendPeers returns the VMs that may append to the store on behalf of this
// one, those of other failure domains first.
func (n *Process) appendPeers() []*mesh.Peer {
	var otherDomains, sameDomain []*mesh.Peer
	for _, m := range n.sources() {
		if m.FailureDomain == n.self.FailureDomain {
			sameDomain = append(sameDomain, n.mesh.Peer(m))
		} else {
			otherDomains = append(otherDomains, n.mesh.Peer(m))
		}
	}
	peers := append(otherDomains, sameDomain...)
	return peers[:min(len(peers), maxAppendPeers)]
}

// sources returns the VMs to follow, in order of preference. A VM that knows no
// others yet, as after a start while the store is unreachable, uses its seeds.
func (n *Process) sources() []roster.Member {
	var sources []roster.Member
	if view := n.members.Load(); view != nil {
		sources = view.Sources(readerKey)
	}
	if len(sources) == 0 {
		for _, address := range n.settings.Seeds {
			if address != n.settings.MeshAddress {
				sources = append(sources, roster.Member{VM: core.VM(address), Address: address})
			}
		}
	}
	return sources[:min(len(sources), maxSources)]
}

// queryGrantExpiry asks each member, in one message. The assigner repeats it for
// members without a reply.
func (n *Process) queryGrantExpiry(ctx context.Context, o ownership.QueryGrantExpiry) {
	for _, m := range o.Members {
		err := n.peers.Submit(ctx, func(ctx context.Context) {
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			replies, err := n.mesh.QueryGrants(callCtx, m, o.Evictions)
			if err != nil {
				n.metrics.Count("settles_failed")
				return
			}
			for i, r := range replies {
				_ = n.assignerRing.Put(ctx, ownership.GrantExpiry{Eviction: o.Evictions[i], VM: m.VM, Applied: r.Applied, Remaining: r.Remaining})
			}
		})
		if err != nil {
			n.metrics.Count("settles_failed")
		}
	}
}

// checkQuorum counts the other members that know no newer record and those that
// know one, and passes the result on.
func (n *Process) checkQuorum(ctx context.Context, o ownership.CheckQuorum, done func(context.Context, ownership.QuorumResult)) {
	started := n.clock()
	var agreeing, newer atomic.Int32
	var pending sync.WaitGroup
	for _, m := range o.Members {
		if m.VM == n.self.VM {
			continue
		}
		pending.Add(1)
		err := n.peers.Submit(ctx, func(ctx context.Context) {
			defer pending.Done()
			callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			switch r, err := n.mesh.QueryGrants(callCtx, m, []ownership.Eviction{{Offset: o.Next + 1}}); {
			case err != nil:
				n.metrics.Count("settles_failed")
			case r[0].NothingNewer:
				agreeing.Add(1)
			case r[0].Applied:
				newer.Add(1)
			}
		})
		if err != nil {
			pending.Done()
		}
	}
	go func() {
		pending.Wait()
		done(ctx, ownership.QuorumResult{Started: started, Agreeing: int(agreeing.Load()), Newer: int(newer.Load())})
	}()
}

// quorumTo returns a function that puts the result of a quorum check into a ring.
func (n *Process) quorumTo(to *ring.Ring[ownership.Message]) func(context.Context, ownership.QuorumResult) {
	return func(ctx context.Context, r ownership.QuorumResult) { _ = to.Put(ctx, r) }
}

// report sends this VM's load report to the leader's assigner, and compares the
// evidence against requests that crash targets. With load control it also sends the
// observations of the targets.
func (n *Process) report(ctx context.Context) {
	reply := make(chan ownership.LoadReport, 1)
	if n.balanceRing.Put(ctx, balance.LoadReportRequest{Reply: reply}) != nil {
		return
	}
	var load ownership.LoadReport
	select {
	case load = <-reply:
	case <-ctx.Done():
		return
	}
	load.VM = n.self.VM
	to, isSelf, ok := n.leader()
	if !ok {
		return
	}
	observations, exchanged := n.observations(ctx)
	n.exchange.reported, n.exchange.unreachable = len(observations.Report.Observations) > 0, load.Unreachable
	asOf := n.clock()
	if isSelf {
		_ = n.assignerRing.Put(ctx, load)
		if exchanged {
			n.aggregateOwn(ctx, asOf, observations.Report)
		}
		return
	}
	var sent *loadview.Report
	if exchanged {
		sent = &observations.Report
	}
	digest, err := n.compareEvidence(ctx, to, load, sent)
	if err != nil {
		n.metrics.Count("reports_failed")
		return
	}
	n.takeDigest(ctx, asOf, digest)
}

func (n *Process) tickRoster(ctx context.Context) {
	at := core.Instant(n.membersAsOf.Load())
	_ = n.rosterRing.Put(ctx, roster.Tick{Fresh: at != 0 && n.clock().Sub(at) < maxMembersAge})
}
