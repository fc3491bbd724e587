package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
)

const (
	// appendTimeout bounds an append; a slow store takes some 500 ms.
	appendTimeout = 1500 * time.Millisecond
	grantTimeout  = 300 * time.Millisecond
	// maxOrderDelay bounds how long a grant waits for a worker. What decided it
	// may not hold later.
	maxOrderDelay = 200 * time.Millisecond
	// releaseTimeout leaves the work on the keys time to end.
	releaseTimeout = 1200 * time.Millisecond
	probeTimeout   = 400 * time.Millisecond
	peerTimeout    = 400 * time.Millisecond
	// readerKey ranks the VMs of a failure domain for reading the store.
	readerKey = "reader"
)

// maxSources bounds the VMs that are asked in turn for a fresh copy. It covers
// the readers of all failure domains.
const maxSources = 8

// source returns the n-th VM to follow and how many there are. A VM that knows
// no others yet, as after a start while the store is down, asks its seeds.
func (n *Process) source(i int) (replica.Peer, int) {
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
	if len(sources) == 0 {
		return nil, 0
	}
	sources = sources[:min(len(sources), maxSources)]
	return n.mesh.Peer(sources[i%len(sources)]), len(sources)
}

func (n *Process) writeMember(ctx context.Context, m roster.Member) {
	value, err := m.Encode()
	if err != nil {
		n.log.Error(err, "member record not written")
		return
	}
	n.submit(ctx, n.appends.Submit, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		if _, err := n.platform.Append(ctx, replica.Members, -1, []replica.Record{{Key: string(m.VM), Value: value}}); err != nil {
			n.metrics.Count("appends_failed", "members")
			n.log.Info("member record not written", "reason", err.Error())
			_ = n.rosterRing.Put(ctx, roster.Failed{})
		}
	})
}

// submit queues a task; one that finds the pool full is counted by the pool and
// asked for again by its duty.
func (n *Process) submit(ctx context.Context, pool func(context.Context, func(context.Context)) error, task func(context.Context)) bool {
	return pool(ctx, task) == nil
}

func (n *Process) appendOwners(ctx context.Context, a ownership.Append) {
	ok := n.submit(ctx, n.appends.Submit, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		began := n.clock()
		offset, err := n.platform.Append(call, replica.Owners, a.At, a.Records)
		if err == nil {
			// The stream ended at a.At, so these are all records up to here.
			b := replica.Batch{Stream: replica.Owners, Next: offset + int64(len(a.Records)), AsOf: began, Source: "append"}
			for i, r := range a.Records {
				r.Offset = offset + int64(i)
				b.Records = append(b.Records, r)
			}
			_ = n.replicaRing.Wait(ctx, replica.Fetched{Batch: b})
		} else {
			n.metrics.Count("appends_failed", "owners")
		}
		_ = n.assignerRing.Put(ctx, ownership.Appended{Next: offset + int64(len(a.Records)), Err: err})
	})
	if !ok {
		n.assignerRing.Offer(ownership.Appended{Err: ring.ErrFull})
	}
}

func firstKey(unit int) uint16 { return uint16(unit * ownership.KeysPerUnit) }
func lastKey(unit int) uint16  { return uint16((unit+1)*ownership.KeysPerUnit - 1) }

func (n *Process) release(ctx context.Context, o ownership.Release) {
	result := ownership.Released{Task: o.Task, Outcome: ownership.ReleaseUnknown}
	ok := n.submit(ctx, n.orders.Submit, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		handover, err := n.platform.Release(call, o.Holder, firstKey(o.From), lastKey(o.To), o.Fence)
		switch {
		case err == nil:
			result.Outcome, result.Handover = ownership.ReleaseConfirmed, handover
		case errors.Is(err, ErrOtherProcess):
			result.Outcome = ownership.ReleaseEnded
		default:
			n.metrics.Count("releases_failed")
		}
		_ = n.assignerRing.Put(ctx, result)
	})
	if !ok {
		n.assignerRing.Offer(result)
	}
}

func (n *Process) grant(ctx context.Context, o ownership.Grant) {
	// The keeper must know before the grant leaves.
	_ = n.keeperRing.Put(ctx, ownership.Ordered{Target: o.Holder.Target})
	result := ownership.Granted{Task: o.Task}
	decided := n.clock()
	ok := n.submit(ctx, n.orders.Submit, func(ctx context.Context) {
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
		granted, err := n.platform.Grant(call, o.Holder, firstKey(o.From), lastKey(o.To), o.Fence, ownership.Hold, o.Handover)
		result.OK = err == nil && granted
		if err != nil {
			n.metrics.Count("grants_failed")
		}
		_ = n.keeperRing.Put(ctx, ownership.Ordered{Target: o.Holder.Target})
		_ = n.assignerRing.Put(ctx, result)
	})
	if !ok {
		n.assignerRing.Offer(result)
	}
}

func (n *Process) renew(ctx context.Context, o ownership.Renew) {
	result := ownership.Renewed{Holder: o.Holder, Started: n.clock()}
	ok := n.submit(ctx, n.orders.Submit, func(ctx context.Context) {
		if o.Verify {
			result.Restarted, result.Err = n.restarted(ctx, o.Holder)
		}
		for _, row := range o.Rows {
			if result.Restarted || result.Err != nil {
				break
			}
			if n.clock().Sub(result.Started) > maxOrderDelay {
				break // the rest is due again
			}
			call, cancel := context.WithTimeout(ctx, grantTimeout)
			granted, err := n.platform.Grant(call, o.Holder, firstKey(row.From), lastKey(row.To), row.Fence, ownership.Hold, "")
			cancel()
			if err != nil {
				n.metrics.Count("grants_failed")
				result.Err, result.Ended = err, errors.Is(err, ErrOtherProcess)
				break
			}
			n.metrics.Count("grants")
			result.Answered++
			if !granted {
				result.Refused++
			}
		}
		_ = n.keeperRing.Put(ctx, result)
	})
	if !ok {
		result.Err = ring.ErrFull
		n.keeperRing.Offer(result)
	}
}

// youngMargin is added to a service's cold time for targets whose own start is
// the reason that they are cold. It covers wrong clocks.
const youngMargin = 3 * time.Second

// verifiedTime is for how long a health check speaks for a target's process. It
// is shorter than any restart.
const verifiedTime = 200 * time.Millisecond

// restarted reports whether a target is cold although the known process started
// long ago.
func (n *Process) restarted(ctx context.Context, h ownership.Holder) (bool, error) {
	table := n.routes.Table()
	targets := n.targets.Load()
	if table == nil || targets == nil || targets.Targets[h.Target] == nil {
		return false, nil // the directory has nothing to ask with; renewing is all that can be done
	}
	service, _ := table.Service(targets.Targets[h.Target].Service)
	if time.Since(time.UnixMilli(h.Born)) < service.ColdStart+youngMargin {
		return false, nil
	}
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
	if n.platform.Dialect().Cold(a.Header) > 0 {
		return true, nil
	}
	n.verified.Store(h, asked)
	return false, nil
}

// settle asks every member; those that give no answer are asked again.
func (n *Process) settle(ctx context.Context, o ownership.Settle) {
	for _, m := range o.Members {
		n.submit(ctx, n.peers.Submit, func(ctx context.Context) {
			call, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			r, err := n.mesh.Settle(call, m, o.Holder.Target, o.Offset)
			if err != nil {
				n.metrics.Count("settles_failed")
				return
			}
			_ = n.assignerRing.Put(ctx, ownership.Settled{Holder: o.Holder, Offset: o.Offset, VM: m.VM, Applied: r.Applied, Remaining: r.Remaining})
		})
	}
}

// askQuorum counts the other members that know of no newer record.
func (n *Process) askQuorum(ctx context.Context, o ownership.AskQuorum) {
	started := n.clock()
	var same atomic.Int32
	var open sync.WaitGroup
	for _, m := range o.Members {
		if m.VM == n.self.VM {
			continue
		}
		open.Add(1)
		ok := n.submit(ctx, n.peers.Submit, func(ctx context.Context) {
			defer open.Done()
			call, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			if r, err := n.mesh.Settle(call, m, "", o.Next+1); err == nil && r.Same {
				same.Add(1)
			}
		})
		if !ok {
			open.Done()
		}
	}
	go func() {
		open.Wait()
		_ = n.keeperRing.Put(ctx, ownership.Quorum{Started: started, Same: int(same.Load())})
	}()
}

func (n *Process) probe(ctx context.Context, o balance.Probe) {
	result := balance.Probed{Target: o.Target}
	ok := n.submit(ctx, n.probes.Submit, func(ctx context.Context) {
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		n.metrics.Count("probes")
		if a, err := n.client.Health(call, o.Address, o.Path); err == nil {
			d := n.platform.Dialect()
			result.Other = a.Header.Get(d.Target) != "" && a.Header.Get(d.Target) != string(o.Target)
			result.Healthy = a.Status == http.StatusOK && !result.Other
			result.Load, result.Cold = d.Load(a.Header), d.Cold(a.Header)
		}
		_ = n.balanceRing.Put(ctx, result)
	})
	if !ok {
		n.balanceRing.Offer(result)
	}
}

// report sends the load of keys and targets to the assigner.
func (n *Process) report(ctx context.Context) {
	reply := make(chan ownership.Load, 1)
	if n.balanceRing.Put(ctx, balance.Survey{Reply: reply}) != nil {
		return
	}
	var load ownership.Load
	select {
	case load = <-reply:
	case <-ctx.Done():
		return
	}
	load.VM = n.self.VM
	owners, members := n.owners.Load(), n.members.Load()
	if owners == nil || members == nil || len(load.Units) == 0 {
		return
	}
	if n.leading.Load() {
		_ = n.assignerRing.Put(ctx, load)
		return
	}
	to, ok := members.Member(owners.Lead.VM)
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

// asker lets requests talk to the balancer.
type asker struct{ n *Process }

// Ask implements ingress.Balancer.
func (a *asker) Ask(ctx context.Context, q balance.Ask) (balance.Decision, error) {
	reply := make(chan balance.Decision, 1)
	q.Reply = reply
	if err := a.n.balanceRing.Wait(ctx, q); err != nil {
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

func (a *asker) giveBack(q balance.Ask, reply <-chan balance.Decision) {
	t := time.NewTimer(giveBackTime)
	defer t.Stop()
	select {
	case d := <-reply:
		if d.Verdict == balance.Send {
			a.Done(balance.Done{Service: q.Service, Target: d.Target.ID, Result: balance.Cancelled})
		}
	case <-t.C:
	}
}

// Done implements ingress.Balancer.
func (a *asker) Done(d balance.Done) {
	_ = a.n.balanceRing.Put(context.Background(), d)
}

// NotOwner implements ingress.Balancer.
func (a *asker) NotOwner(s core.Service, key uint16, t core.Target) {
	a.n.keeperRing.Offer(ownership.Missing{Service: s, Unit: ownership.Unit(key), Target: t})
}
