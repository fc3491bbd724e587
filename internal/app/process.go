package app

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
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
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/peer"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/route"
	"celeryhook.example/celeryhook/internal/settings"
	"celeryhook.example/celeryhook/internal/target"
	"celeryhook.example/celeryhook/internal/transport"
	"celeryhook.example/celeryhook/internal/witness"
)

const (
	// controlRingSize is for duties that receive a few messages per second from
	// each VM or target.
	controlRingSize = 1024
	// requestRingSize is for duties that receive a few messages per request: at
	// 10,800 requests per second, the ring holds about 100 ms of messages.
	requestRingSize = 4096
	// tickInterval is how often duties check their timers.
	tickInterval = 25 * time.Millisecond
	// rpcTimeout bounds an RPC between VMs that carries a control message.
	rpcTimeout = 250 * time.Millisecond
	// recallTimeout is longer than rpcTimeout since the reply holds all request
	// ids of a few ranges.
	recallTimeout = time.Second
	appendTimeout = 2 * time.Second
)

// Process holds the rings, pools and I/O layers of an entry VM.
type Process struct {
	settings settings.Entry
	clock    duty.Clock
	log      logr.Logger
	tracer   trace.Tracer
	metrics  *observe.Metrics
	platform platformlog.Log
	// incarnation distinguishes this process from earlier ones with the same VM id.
	incarnation uint64

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
	// recordPool runs the RPCs that store request ids at witnesses and recall them.
	recordPool *duty.Pool

	peers         *peer.Client
	targets       *target.Client
	local         *forward.Local
	entry         *forward.Entry
	callerHandler *accept.Handler

	// stopping is set when the stop begins; the process is no longer ready then.
	stopping atomic.Bool
	running  sync.WaitGroup
	cancel   context.CancelFunc
}

// NewProcess returns a process whose duties and servers aren't started.
func NewProcess(s settings.Entry, clock duty.Clock, log logr.Logger, tracer trace.Tracer, metrics *observe.Metrics, platform platformlog.Log, dialer Dialer) *Process {
	p := &Process{
		settings:    s,
		clock:       clock,
		log:         log,
		tracer:      observe.CountHops(tracer, metrics),
		metrics:     metrics,
		platform:    platform,
		incarnation: uint64(time.Now().UnixNano()),
		reader:      ring.New[platformlog.Message]("platformlog", controlRingSize, ring.Block),
		members:     ring.New[membership.Message]("membership", controlRingSize, ring.DropOldest),
		coordinator: ring.New[coordinate.Message]("coordinate", controlRingSize, ring.Block),
		grants:      ring.New[grant.Message]("grant", controlRingSize, ring.Block),
		fronts:      ring.New[front.Message]("front", requestRingSize, ring.Reject),
		routes:      ring.New[route.Message]("route", requestRingSize, ring.Block),
		witnesses:   ring.New[witness.Message]("witness", requestRingSize, ring.Reject),
		logPool:     duty.NewPool("platformlog-io", 4, controlRingSize),
		peerPool:    duty.NewPool("peer-io", 16, controlRingSize),
		targetPool:  duty.NewPool("target-io", 32, controlRingSize),
		recordPool:  duty.NewPool("memory-io", 32, controlRingSize),
	}
	p.peers = peer.NewClient(&http.Client{Transport: newTransport(dialer)}, clock, p.tracer)
	p.targets = target.NewClient(s.VM, &http.Client{Transport: observe.TraceTransport(newTransport(dialer))})
	p.local = forward.NewLocal(clock, p.fronts, p.targets, p.tracer)
	p.entry = forward.NewEntry(s.VM, clock, p.routes, p.local, p.peers, p.tracer)
	p.callerHandler = accept.New(clock, p.entry, metrics, log)
	p.registerRings()
	return p
}

// Settings returns the settings. Once the process is started, they contain the
// addresses that it listens on.
func (p *Process) Settings() settings.Entry { return p.settings }

func (p *Process) registerRings() {
	for _, r := range []observe.Ring{p.reader, p.members, p.coordinator, p.grants, p.fronts, p.witnesses, p.routes} {
		p.metrics.Ring(r)
	}
	for _, pool := range []*duty.Pool{p.logPool, p.peerPool, p.targetPool, p.recordPool} {
		p.metrics.Pool(pool.Ring())
	}
}

func newTransport(d Dialer) http.RoundTripper {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	t.DialContext = d.DialContext
	t.MaxIdleConnsPerHost = 128
	t.MaxIdleConns = 0
	t.DisableCompression = true
	t.IdleConnTimeout = 30 * time.Second
	t.MaxResponseHeaderBytes = int64(internalLimits.HeaderBytes)
	return transport.ValidateStatus(t)
}

// run starts a goroutine that stopDuties waits for.
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

// startDuties starts the pools and one goroutine for each duty.
func (p *Process) startDuties() {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	s := p.settings
	p.runPool(ctx, p.logPool)
	p.runPool(ctx, p.peerPool)
	p.runPool(ctx, p.targetPool)
	p.runPool(ctx, p.recordPool)
	start(ctx, p, p.reader, platformlog.NewReader(s.VM), p.emitReader, platformlog.Message(platformlog.Tick{}), p.countReaderMessage, p.countReaderOutput)
	start(ctx, p, p.members, membership.New(p.self(), p.seeds()), p.emitMembership, membership.Message(membership.Tick{}), nil, nil)
	start(ctx, p, p.coordinator, coordinate.New(s.VM, s.FailureDomain, p.incarnation), p.emitCoordinator, coordinate.Message(coordinate.Tick{}), nil, nil)
	start(ctx, p, p.grants, grant.NewRenewer(s.VM, s.FailureDomain, p.incarnation), p.emitGrant, grant.Message(grant.Tick{}), p.countGrantMessage, nil)
	start(ctx, p, p.fronts, front.New(s.VM), p.emitFront, front.Message(front.Tick{}), p.countFrontMessage, p.countFrontOutput)
	start(ctx, p, p.witnesses, witness.New(), p.emitWitness, witness.Message(witness.Tick{}), nil, nil)
	start(ctx, p, p.routes, route.New(s.FailureDomain, rand.Uint64()), p.emitRoute, route.Message(route.Tick{}), p.countRouteMessage, p.countRouteOutput)
}

// start runs one duty on its own goroutine. onMessage and onOutput record
// metrics other than the counts by type and may be nil.
func start[M, O any](ctx context.Context, p *Process, in *ring.Ring[M], step duty.Step[M, O],
	emit func(context.Context, O), tick M, onMessage func(M), onOutput func(O),
) {
	counted := observe.NewStep(p.metrics, in.Name(), step, onMessage, onOutput)
	p.run(ctx, duty.New(in.Name(), p.clock, in, counted, emit, tick, tickInterval).Run)
}

// stopDuties stops the goroutines of duties and pools and waits for them.
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
