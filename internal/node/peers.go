package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/mesh"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/roster"
)

const (
	peerTimeout = 400 * time.Millisecond
	// readerKey ranks the VMs of a failure domain for reading the store.
	readerKey = "reader"
)

// maxSources bounds the VMs that are asked in turn for a fresh copy. It covers
// the readers of all failure domains.
const maxSources = 8

// source returns the n-th VM to follow and how many there are. A VM that knows
// no others yet, as after a start while the store is down, asks its seeds.
func (n *Process) source(i int) (replica.Peer, int) {
	sources := n.sources()
	if len(sources) == 0 {
		return nil, 0
	}
	return n.mesh.Peer(sources[i%len(sources)]), len(sources)
}

// carriers returns the VMs that may append for this one, the readers of the
// other failure domains first.
func (n *Process) carriers() []*mesh.Peer {
	var others, own []*mesh.Peer
	for _, m := range n.sources() {
		if m.FailureDomain == n.self.FailureDomain {
			own = append(own, n.mesh.Peer(m))
		} else {
			others = append(others, n.mesh.Peer(m))
		}
	}
	list := append(others, own...)
	return list[:min(len(list), maxCarriers)]
}

// sources returns the VMs to follow, best first.
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

// settle asks every member; those that give no answer are asked again.
func (n *Process) settle(ctx context.Context, o ownership.QueryGrantExpiry) {
	for _, m := range o.Members {
		err := n.peers.Submit(ctx, func(ctx context.Context) {
			call, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			r, err := n.mesh.QueryGrant(call, m, o.Holder.Target, o.Offset)
			if err != nil {
				n.metrics.Count("settles_failed")
				return
			}
			_ = n.assignerRing.Put(ctx, ownership.GrantExpiry{Holder: o.Holder, Offset: o.Offset, VM: m.VM, Applied: r.Applied, Remaining: r.Remaining})
		})
		if err != nil {
			n.metrics.Count("settles_failed")
		}
	}
}

// askQuorum counts the other members that know of no newer record.
func (n *Process) askQuorum(ctx context.Context, o ownership.CheckQuorum) {
	started := n.clock()
	var same atomic.Int32
	var open sync.WaitGroup
	for _, m := range o.Members {
		if m.VM == n.self.VM {
			continue
		}
		open.Add(1)
		err := n.peers.Submit(ctx, func(ctx context.Context) {
			defer open.Done()
			call, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			if r, err := n.mesh.QueryGrant(call, m, "", o.Next+1); err == nil && r.NothingNewer {
				same.Add(1)
			}
		})
		if err != nil {
			open.Done()
		}
	}
	go func() {
		open.Wait()
		_ = n.keeperRing.Put(ctx, ownership.QuorumResult{Started: started, Agreeing: int(same.Load())})
	}()
}

// report sends the load of keys and targets to the assigner.
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
	owners, members := n.owners.Load(), n.members.Load()
	if owners == nil || members == nil || len(load.UnitLoads) == 0 {
		return
	}
	if owners.Leader.VM == n.self.VM {
		_ = n.assignerRing.Put(ctx, load)
		return
	}
	to, ok := members.Member(owners.Leader.VM)
	if !ok {
		return
	}
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := n.mesh.Report(call, to, load); err != nil {
		n.metrics.Count("reports_failed")
	}
}

func (n *Process) tickRoster(ctx context.Context) {
	at := core.Instant(n.membersAt.Load())
	_ = n.rosterRing.Put(ctx, roster.Tick{Fresh: at != 0 && n.clock().Sub(at) < membersFreshAge})
}
