package app

import (
	"context"

	"celeryhook.example/celeryhook/internal/coordinate"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/route"
)

func (p *Process) emitMembership(ctx context.Context, o membership.Output) {
	switch o := o.(type) {
	case membership.SendHeartbeat:
		p.submit(ctx, p.peerPool.Submit, func(ctx context.Context) { p.sendHeartbeat(ctx, o) })
	case membership.ListVMs:
		p.submit(ctx, p.logPool.Submit, p.listVMs)
	case membership.SendHeartbeatReply:
		o.To <- o.Info
	case membership.Changed:
		addresses := make(map[core.VM]string, len(o.View.Members))
		for id, m := range o.View.Members {
			addresses[id] = m.Address
		}
		_ = p.coordinator.Put(ctx, coordinate.ViewChanged{View: o.View})
		_ = p.routes.Put(ctx, route.AddressesChanged{Addresses: addresses})
		_ = p.grants.Put(ctx, grant.AddressesChanged{Addresses: addresses})
	case membership.NewerStateFound:
		p.submit(ctx, p.peerPool.Submit, func(ctx context.Context) { p.fetch(ctx, o) })
	}
}

func (p *Process) listVMs(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	vms, err := p.platform.VMs(ctx)
	if err != nil {
		return
	}
	listed := make([]membership.Info, len(vms))
	for i, vm := range vms {
		listed[i] = membership.Info{VM: vm.ID, FailureDomain: vm.FailureDomain, Address: vm.Address, Leaving: vm.Leaving, Capacity: 1}
	}
	_ = p.members.Put(ctx, membership.VMsListed{VMs: listed})
}

func (p *Process) sendHeartbeat(ctx context.Context, o membership.SendHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	info, err := p.peers.Exchange(ctx, o.Address, o.Info)
	if err != nil {
		_ = p.members.Put(ctx, membership.HeartbeatFailed{VM: o.VM})
		return
	}
	_ = p.members.Put(ctx, membership.HeartbeatReceived{Info: info})
}

func (p *Process) fetch(ctx context.Context, o membership.NewerStateFound) {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	fetched, err := p.peers.Fetch(ctx, o.Address, o.Self.LogOffset, o.Self.Maps)
	if err != nil {
		return
	}
	if fetched.LogState != nil {
		_ = p.reader.Put(ctx, platformlog.PeerState{State: *fetched.LogState})
	}
	for _, m := range fetched.Maps {
		_ = p.receiveMap(ctx, m)
	}
}
