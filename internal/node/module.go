package node

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"celeryhook.example/celeryhook/internal/balance"
	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/memory"
	"celeryhook.example/celeryhook/internal/mesh"
	"celeryhook.example/celeryhook/internal/observe"
)

// Options are the gateway's own settings.
type Options struct {
	// MetricsAddress is the address that serves metrics; none if it is empty.
	MetricsAddress string
	TraceExporter  string
	TraceEndpoint  string
}

// Module returns the fx options of a gateway VM.
func Module(s Settings, p Platform, o Options, log logr.Logger) fx.Option {
	gin.SetMode(gin.ReleaseMode)
	return fx.Options(
		fx.NopLogger,
		fx.StopTimeout(s.StopTimeout+time.Second),
		fx.Supply(s, o),
		fx.Provide(
			func() logr.Logger { return log },
			func() Platform { return p },
			duty.NewBootClock,
			newTracer,
			observe.NewMetrics,
			NewProcess,
		),
		fx.Invoke(register),
	)
}

func newTracer(lc fx.Lifecycle, s Settings, o Options) (trace.Tracer, error) {
	tracer, flush, err := observe.NewTracer(context.Background(), o.TraceExporter, o.TraceEndpoint, string(s.VM))
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	lc.Append(fx.Hook{OnStop: flush})
	return tracer, nil
}

func register(lc fx.Lifecycle, n *Process, o Options) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return n.start(o) },
		OnStop:  func(ctx context.Context) error { return n.stop(ctx) },
	})
}

func (n *Process) start(o Options) error {
	if n.settings.Memory > 0 {
		debug.SetMemoryLimit(memory.RuntimeLimit(n.settings.Memory))
	}
	if err := n.ingress.Listen(n.settings.CallersAddress); err != nil {
		return err
	}
	meshServer := mesh.NewServer(n.clock, n.replicaRing, n.assignerRing, n.renewerRing, n.quarantineRing, n.platform).
		WithLoadView(n.exchange.ring).ServeQuotas(n.accountRing)
	meshHandler := mesh.NewHandler(meshServer)
	if err := n.startServer("messages", n.settings.MeshAddress, meshHandler, n.settings.messageLimits()); err != nil {
		return err
	}
	if err := n.startServer("probes", n.settings.ReadyAddress, n.readyHandler(), n.settings.probeLimits()); err != nil {
		return err
	}
	if o.MetricsAddress != "" {
		if err := n.startServer("metrics", o.MetricsAddress, n.metricsHandler(), n.settings.probeLimits()); err != nil {
			return err
		}
	}
	ctx := n.startDuties()
	go n.watchReload(ctx)
	go func() {
		if err := n.ingress.Serve(); err != nil {
			n.log.Error(err, "listener for callers failed")
		}
	}()
	n.log.Info("gateway started", "vm", n.self.VM, "failure_domain", n.self.FailureDomain, "incarnation", n.self.Incarnation,
		"callers", n.settings.CallersAddress, "mesh", n.self.Address, "retry_ratio", n.settings.Retry.Ratio, "retry_extra", n.settings.Retry.Extra)
	return nil
}

func (n *Process) readyHandler() http.Handler {
	e := gin.New()
	e.GET(n.settings.ReadyPath, func(c *gin.Context) {
		if n.ready.Load() {
			c.Status(http.StatusOK)
			return
		}
		c.Status(http.StatusServiceUnavailable)
	})
	return e
}

func (n *Process) metricsHandler() http.Handler {
	e := gin.New()
	e.GET("/metrics", gin.WrapH(n.metrics))
	return e
}

// checkReady updates the VM's readiness: it is ready if it has a configuration,
// the targets and the owners, and isn't stopping.
func (n *Process) checkReady(context.Context) {
	ready, reason := n.readiness()
	if ready {
		n.wasReady.Store(true)
	}
	if n.ready.Swap(ready) != ready {
		n.log.Info("readiness changed", "ready", ready, "reason", reason)
	}
}

func (n *Process) readiness() (bool, string) {
	table := n.routes.Table()
	switch {
	case n.stopping.Load():
		return false, "stopping"
	case table == nil:
		return false, "no configuration"
	case n.targets.Load() == nil:
		return false, "no targets"
	case n.owners.Load() == nil:
		return false, "no ledger"
	case n.awaitsAccount(table):
		return false, "no account of the teams"
	}
	owners := n.owners.Load()
	for name, s := range table.Services() {
		if s.Sharded && owners.Services[name] == nil {
			return false, "keys of " + string(name) + " not assigned"
		}
	}
	return true, "complete"
}

// watchReload reloads the settings on SIGHUP. Only the retry limits take effect;
// other settings, such as addresses, require a restart.
func (n *Process) watchReload(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		s, err := n.platform.Settings()
		if err != nil {
			n.log.Error(err, "settings not reloaded")
			continue
		}
		_ = n.balanceRing.Put(ctx, balance.LimitsChanged{Limits: s.Retry})
		n.log.Info("settings reloaded", "changed", !reflect.DeepEqual(s, n.settings), "retry_ratio", s.Retry.Ratio, "retry_extra", s.Retry.Extra)
	}
}

// stop stops the VM gracefully: requests in progress complete.
func (n *Process) stop(ctx context.Context) error {
	startedAt := n.clock()
	n.log.Info("gateway stopping", "timeout_ms", n.settings.StopTimeout.Milliseconds())
	n.stopping.Store(true)
	n.ready.Store(false)
	err := n.ingress.Stop(ctx)
	n.cancel()
	n.pool.Close()
	for _, s := range n.servers {
		_ = s.Close()
	}
	n.log.Info("gateway stopped", "took_ms", n.clock().Sub(startedAt).Milliseconds())
	return err
}
