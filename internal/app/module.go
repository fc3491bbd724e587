package app

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/fx"

	"celeryhook.example/celeryhook/internal/duty"
	"celeryhook.example/celeryhook/internal/observe"
	"celeryhook.example/celeryhook/internal/platformlog"
	"celeryhook.example/celeryhook/internal/settings"
)

// Module returns the fx options of an entry VM.
func Module(s settings.Entry, log logr.Logger) fx.Option {
	gin.SetMode(gin.ReleaseMode)
	return fx.Options(
		fx.NopLogger,
		fx.StopTimeout(s.StopTimeout+5*time.Second),
		fx.Supply(s),
		fx.Provide(
			func() logr.Logger { return log },
			duty.NewClock,
			newDialer,
			newTracer,
			newPlatform,
			observe.NewMetrics,
			NewProcess,
		),
		fx.Invoke(registerProcess),
	)
}

func newTracer(lc fx.Lifecycle, s settings.Entry) (trace.Tracer, error) {
	tracer, flush, err := observe.NewTracer(context.Background(), s.TraceExporter, s.TraceEndpoint, string(s.VM))
	if err != nil {
		return nil, fmt.Errorf("app: %w", err)
	}
	lc.Append(fx.Hook{OnStop: flush})
	return tracer, nil
}

func newPlatform(s settings.Entry, d Dialer) platformlog.Log {
	return platformlog.NewHTTPLog(s.Platform, &http.Client{Transport: newTransport(d)})
}

func registerProcess(lc fx.Lifecycle, p *Process) {
	var running servers
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			s := &p.settings
			listeners, err := listen(&s.CallersAddress, &s.PeersAddress, &s.OperatorsAddress)
			if err != nil {
				return err
			}
			p.startDuties()
			running = p.startServers(listeners)
			p.log.Info("entry VM started", "vm", s.VM, "failure_domain", s.FailureDomain,
				"callers", s.CallersAddress, "peers", s.PeersAddress, "operators", s.OperatorsAddress)
			return nil
		},
		OnStop: func(ctx context.Context) error {
			p.stop(ctx, running)
			return nil
		},
	})
}
