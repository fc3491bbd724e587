package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/core"
	"celeryhook.example/celeryhook/internal/discovery"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/ingress"
	"celeryhook.example/celeryhook/internal/loadview"
	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/mesh"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/ownership"
	"celeryhook.example/celeryhook/internal/quarantine"
	"celeryhook.example/celeryhook/internal/replica"
	"celeryhook.example/celeryhook/internal/ring"
	"celeryhook.example/celeryhook/internal/roster"
	"celeryhook.example/celeryhook/internal/routing"
	"celeryhook.example/celeryhook/internal/team"
	"celeryhook.example/celeryhook/internal/upstream"
)

const (
	// requestRingSize is the capacity for messages of requests in progress, of
	// which a VM has a few hundred.
	requestRingSize = 4096
	// stateRingSize is the capacity for changes of state, of which a few hundred
	// arrive at once when a complete copy is read.
	stateRingSize = 4096
	// orderWorkers is the number of concurrent grant and release requests to
	// targets. A target responds to a release once its work on the keys has ended,
	// so most of the workers wait.
	orderWorkers = 96
	// probeWorkers and peerWorkers are the numbers of concurrent health checks and
	// calls to other VMs.
	probeWorkers = 4
	peerWorkers  = 16
	poolRingSize = 1024
	// quotaWorkers call the account of the teams. One call is in progress at a time.
	quotaWorkers = 2

	quotaTickInterval      = 50 * time.Millisecond
	tickInterval           = 100 * time.Millisecond
	replicaTickInterval    = 50 * time.Millisecond
	discoveryTickInterval  = 40 * time.Millisecond
	quarantineTickInterval = time.Second
	rosterTickInterval     = 200 * time.Millisecond
	reportInterval         = time.Second
	cleanupInterval        = time.Second
	maxMembersAge          = 4 * time.Second
	readinessInterval      = 100 * time.Millisecond
)

// Process is the process of a gateway VM.
type Process struct {
	settings Settings
	platform Platform
	log      logr.Logger
	metrics  *observe.Metrics
	clock    duty.Clock
	self     roster.Member

	routes routing.ActiveTable
	// ledger is updated only by the replica duty's goroutine; others read its
	// views from owners.
	ledger   *ownership.Ledger
	owners   atomic.Pointer[ownership.View]
	members  atomic.Pointer[roster.View]
	targets  atomic.Pointer[discovery.View]
	suspects atomic.Pointer[quarantine.View]
	// evidenceDiffers is set if the leader lacked evidence of this VM at the last
	// report.
	evidenceDiffers atomic.Bool
	membersAsOf     atomic.Int64
	configAsOf      atomic.Int64
	// accountReached is set once this VM has reached the account of the teams, and
	// wasReady once it has been ready.
	accountReached atomic.Bool
	wasReady       atomic.Bool
	startedAt      core.Instant
	ready          atomic.Bool
	stopping       atomic.Bool

	replicaRing    *ring.Ring[replica.Message]
	discoveryRing  *ring.Ring[discovery.Message]
	rosterRing     *ring.Ring[roster.Message]
	balanceRing    *ring.Ring[balance.Message]
	assignerRing   *ring.Ring[ownership.Message]
	renewerRing    *ring.Ring[ownership.Message]
	quarantineRing *ring.Ring[quarantine.Message]
	exchange       loadExchange
	holderRing     *ring.Ring[team.Message]
	accountRing    *ring.Ring[team.Message]
	readers        [replica.NumStreams]*replica.Reader
	follower       *replica.Follower
	orders         *duty.Pool
	probes         *duty.Pool
	peers          *duty.Pool
	appends        *duty.Pool
	quotas         *duty.Pool
	usage          *team.Usage

	// verifiedAt holds, for each ownership.Holder, the core.Instant of the last
	// health check that found its process not restarted.
	verifiedAt sync.Map

	pool    *upstream.Pool
	client  *upstream.Client
	mesh    *mesh.Client
	ingress *ingress.Server
	servers []*http.Server

	cancel context.CancelFunc
}

// NewProcess builds a gateway VM that isn't started.
func NewProcess(s Settings, p Platform, log logr.Logger, m *observe.Metrics, clock duty.Clock, tracer trace.Tracer) *Process {
	n := &Process{
		settings: s, platform: p, log: log, metrics: m, clock: clock,
		self: roster.Member{
			VM: s.VM, FailureDomain: s.FailureDomain, Address: s.MeshAddress, Incarnation: time.Now().UnixMilli(), Capacity: s.Capacity,
		},
		ledger:         ownership.NewLedger(),
		replicaRing:    ring.New[replica.Message]("replica", stateRingSize, ring.Block),
		discoveryRing:  ring.New[discovery.Message]("discovery", stateRingSize, ring.Block),
		rosterRing:     ring.New[roster.Message]("roster", stateRingSize, ring.Block),
		balanceRing:    ring.New[balance.Message]("balance", requestRingSize, ring.Block),
		assignerRing:   ring.New[ownership.Message]("assigner", stateRingSize, ring.Block),
		renewerRing:    ring.New[ownership.Message]("keeper", stateRingSize, ring.Block),
		quarantineRing: ring.New[quarantine.Message]("quarantine", stateRingSize, ring.Block),
		holderRing:     ring.New[team.Message]("quota", requestRingSize, ring.Block),
		accountRing:    ring.New[team.Message]("account", stateRingSize, ring.Block),
		usage:          team.NewUsage(),
		quotas:         duty.NewPool("quotas", quotaWorkers, poolRingSize),
		orders:         duty.NewPool("orders", orderWorkers, poolRingSize),
		probes:         duty.NewPool("probes", probeWorkers, poolRingSize),
		peers:          duty.NewPool("peers", peerWorkers, poolRingSize),
		appends:        duty.NewPool("appends", 2, poolRingSize),
	}
	n.exchange = n.newLoadExchange()
	n.pool = upstream.NewPool(func() { m.Count("connections_opened") })
	account := memory.NewAccount(memory.Limit(s.Memory))
	n.client = upstream.NewClient(n.pool, p.Headers(), account)
	n.mesh = mesh.NewClient(clock)
	n.readers = replica.NewReaders(p, n.replicaRing, clock, log)
	n.follower = replica.NewFollower(n.source, n.replicaRing, clock, log)
	n.ingress = ingress.NewServer(ingress.Options{
		Routes: &n.routes, Balancer: &balancerClient{n}, Quarantine: &quarantineClient{n}, Upstream: n.client, Headers: p.Headers(),
		Clock: clock, Log: log, Metrics: m, Tracer: tracer, Memory: account, MaxFDs: s.MaxFDs,
		ConfigAge: n.configAge, Identity: s.Identity, Quota: &quotaClient{n},
	})
	for _, r := range []observe.Ring{n.replicaRing, n.discoveryRing, n.rosterRing, n.balanceRing, n.assignerRing, n.renewerRing, n.quarantineRing, n.holderRing, n.accountRing} {
		m.Ring(r)
	}
	m.Source(n.usage.Report)
	for _, p := range []*duty.Pool{n.orders, n.probes, n.peers, n.appends, n.quotas} {
		m.Pool(p.Ring())
	}
	return n
}

// startDuties starts all duties, pools and periodic tasks. They run until the
// returned context is cancelled.
func (n *Process) startDuties() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.startedAt = n.clock()
	random := rand.New(rand.NewPCG(uint64(n.self.Incarnation), uint64(len(n.self.VM))))
	go duty.New("replica", n.clock, n.replicaRing, replica.New(), n.emitReplica, replica.Message(replica.Tick{}), replicaTickInterval).Run(ctx)
	go duty.New("discovery", n.clock, n.discoveryRing, discovery.NewDuty(), n.emitDiscovery, discovery.Message(discovery.Tick{}), discoveryTickInterval).Run(ctx)
	go duty.New("roster", n.clock, n.rosterRing, roster.NewDuty(n.self), n.emitRoster, roster.Message(roster.Tick{}), 0).Run(ctx)
	go duty.New("balance", n.clock, n.balanceRing, balance.New(n.settings.FailureDomain, n.settings.Retry, random),
		n.emitBalance, balance.Message(balance.Tick{}), tickInterval).Run(ctx)
	assigner := ownership.NewAssigner(ownership.Leader{VM: n.self.VM, Incarnation: n.self.Incarnation}, n.settings.FirstStart)
	go duty.New("assigner", n.clock, n.assignerRing, assigner, n.emitAssigner, ownership.Message(ownership.Tick{}), tickInterval).Run(ctx)
	go duty.New("keeper", n.clock, n.renewerRing, ownership.NewRenewer(n.clock()), n.emitRenewer, ownership.Message(ownership.Tick{}), tickInterval).Run(ctx)
	go duty.New("quarantine", n.clock, n.quarantineRing, quarantine.NewDuty(), n.emitQuarantine, quarantine.Message(quarantine.Tick{}), quarantineTickInterval).Run(ctx)
	aggregator := loadview.NewAggregator(ownership.Leader{VM: n.self.VM, Incarnation: n.self.Incarnation})
	go duty.New("loadview", n.clock, n.exchange.ring, aggregator, n.emitLoadView, loadview.Message(loadview.Tick{}), tickInterval).Run(ctx)
	go duty.New("quota", n.clock, n.holderRing, team.NewHolder(n.settings.Quotas, n.clock()), n.emitHolder, team.Message(team.Tick{}), quotaTickInterval).Run(ctx)
	go duty.New("account", n.clock, n.accountRing, team.NewAccount(n.settings.Quotas, n.settings.FirstStart), n.emitAccount, team.Message(team.Tick{}), tickInterval).Run(ctx)
	for _, r := range n.readers {
		go r.Run(ctx)
	}
	go n.follower.Run(ctx)
	for _, p := range []*duty.Pool{n.orders, n.probes, n.peers, n.appends, n.quotas} {
		for range p.Size() {
			go p.Run(ctx)
		}
	}
	go n.runReports(ctx)
	n.runEvery(ctx, cleanupInterval, func(context.Context) {
		n.pool.CloseExpired()
		n.removeExpiredChecks()
	})
	n.runEvery(ctx, rosterTickInterval, n.tickRoster)
	n.runEvery(ctx, readinessInterval, n.checkReady)
	return ctx
}

func (n *Process) runEvery(ctx context.Context, d time.Duration, f func(context.Context)) {
	go func() {
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				f(ctx)
			}
		}
	}()
}
