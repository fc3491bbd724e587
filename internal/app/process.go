package app

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"celeryhook.example/celeryhook/internal/accept"
	"celeryhook.example/celeryhook/internal/coordinate"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/forward"
	"celeryhook.example/celeryhook/internal/front"
	"celeryhook.example/celeryhook/internal/grant"
	"celeryhook.example/celeryhook/internal/membership"
	"celeryhook.example/celeryhook/internal/peer"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/route"
	"celeryhook.example/celeryhook/internal/settings"
	"celeryhook.example/celeryhook/internal/target"
	"celeryhook.example/celeryhook/internal/witness"
)

const (
	// controlRing suits duties that get a few messages a second per VM or target.
	controlRing = 1024
	// requestRing suits duties that get a few messages per request: at 10,800
	// requests a second it holds what arrives in about 100 ms.
	requestRing = 4096
	// tickInterval is how often duties look at their timers.
	tickInterval = 25 * time.Millisecond
	// rpcTimeout bounds a control message between VMs.
	rpcTimeout = 250 * time.Millisecond
	// recallTimeout bounds the answer with all request ids of a few ranges.
	recallTimeout = time.Second
	// appendTimeout bounds an append to the log.
	appendTimeout = 2 * time.Second
)

// Process holds the rings, pools and edges of an entry VM.
type Process struct {
	settings settings.Entry
	// incarnation tells this process from earlier ones under the VM's id.
	incarnation uint64
	clock       duty.Clock
	log         logr.Logger
	tracer      trace.Tracer
	platform    platformlog.Log

	reader      *ring.Ring[platformlog.Message]
	members     *ring.Ring[membership.Message]
	coordinator *ring.Ring[coordinate.Message]
	grants      *ring.Ring[grant.Message]
	fronts      *ring.Ring[front.Message]
	routes      *ring.Ring[route.Message]
	witnesses   *ring.Ring[witness.Message]

	logPool    *duty.Pool
	peerPool   *duty.Pool
	targetPool *duty.Pool
	// memoryPool stores request ids at witnesses and recalls them.
	memoryPool *duty.Pool

	peers    *peer.Client
	targets  *target.Client
	local    *forward.Local
	entry    *forward.Entry
	acceptor *accept.Acceptor

	running sync.WaitGroup
	cancel  context.CancelFunc
}

// NewProcess returns a process that isn't running yet.
func NewProcess(s settings.Entry, clock duty.Clock, log logr.Logger, tracer trace.Tracer, platform platformlog.Log) *Process {
	p := &Process{
		settings:    s,
		incarnation: uint64(time.Now().UnixNano()),
		clock:       clock,
		log:         log,
		tracer:      tracer,
		platform:    platform,
		reader:      ring.New[platformlog.Message]("platformlog", controlRing, ring.Block),
		members:     ring.New[membership.Message]("membership", controlRing, ring.DropOldest),
		coordinator: ring.New[coordinate.Message]("coordinate", controlRing, ring.Block),
		grants:      ring.New[grant.Message]("grant", controlRing, ring.Block),
		fronts:      ring.New[front.Message]("front", requestRing, ring.Refuse),
		routes:      ring.New[route.Message]("route", requestRing, ring.Block),
		witnesses:   ring.New[witness.Message]("witness", requestRing, ring.Refuse),
		logPool:     duty.NewPool("platformlog-io", 4, controlRing),
		peerPool:    duty.NewPool("peer-io", 16, controlRing),
		targetPool:  duty.NewPool("target-io", 32, controlRing),
		memoryPool:  duty.NewPool("memory-io", 32, controlRing),
	}
	p.peers = peer.NewClient(&http.Client{Transport: newTransport()}, clock, tracer)
	p.targets = target.NewClient(s.VM, &http.Client{Transport: newTransport()})
	p.local = forward.NewLocal(clock, p.fronts, p.targets, tracer)
	p.entry = forward.NewEntry(s.VM, clock, p.routes, p.local, p.peers, tracer)
	p.acceptor = accept.New(clock, p.entry)
	return p
}

func newTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.MaxIdleConnsPerHost = 128
	t.MaxIdleConns = 0
	t.DisableCompression = true
	t.IdleConnTimeout = 30 * time.Second
	return t
}

// run starts a goroutine that stop waits for.
func (p *Process) run(ctx context.Context, f func(context.Context)) {
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		f(ctx)
	}()
}

func (p *Process) runPool(ctx context.Context, pool *duty.Pool) {
	for range pool.Size() {
		p.run(ctx, pool.Run)
	}
}

// startDuties starts one goroutine for each duty.
func (p *Process) startDuties() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	s := p.settings
	p.runPool(ctx, p.logPool)
	p.runPool(ctx, p.peerPool)
	p.runPool(ctx, p.targetPool)
	p.runPool(ctx, p.memoryPool)
	p.run(ctx, duty.New("platformlog", p.clock, p.reader, platformlog.NewReader(), p.emitReader, platformlog.Message(platformlog.Tick{}), tickInterval).Run)
	p.run(ctx, duty.New("membership", p.clock, p.members, membership.New(p.self(), p.seeds()), p.emitMembership, membership.Message(membership.Tick{}), tickInterval).Run)
	p.run(ctx, duty.New("coordinate", p.clock, p.coordinator, coordinate.New(s.VM, s.FailureDomain), p.emitCoordinator, coordinate.Message(coordinate.Tick{}), tickInterval).Run)
	p.run(ctx, duty.New("grant", p.clock, p.grants, grant.NewKeeper(s.VM), p.emitGrant, grant.Message(grant.Tick{}), tickInterval).Run)
	p.run(ctx, duty.New("front", p.clock, p.fronts, front.New(s.VM), p.emitFront, front.Message(front.Tick{}), front.TickEvery).Run)
	p.run(ctx, duty.New("witness", p.clock, p.witnesses, witness.NewKeeper(), p.emitWitness, witness.Message(witness.Tick{}), time.Second).Run)
	p.run(ctx, duty.New("route", p.clock, p.routes, route.New(s.FailureDomain, rand.Uint64()), p.emitRoute, route.Message(route.Tick{}), tickInterval).Run)
}

// stopDuties ends all goroutines and waits for them.
func (p *Process) stopDuties() {
	p.cancel()
	p.running.Wait()
}

func (p *Process) self() membership.Info {
	return membership.Info{
		VM:            p.settings.VM,
		FailureDomain: p.settings.FailureDomain,
		Address:       p.settings.PeersAddress,
		Incarnation:   p.incarnation,
		Capacity:      p.settings.Capacity,
	}
}

func (p *Process) seeds() []membership.Info {
	out := make([]membership.Info, 0, len(p.settings.Peers))
	for _, s := range p.settings.Peers {
		out = append(out, membership.Info{VM: s.VM, FailureDomain: s.FailureDomain, Address: s.Address, Capacity: 1})
	}
	return out
}
